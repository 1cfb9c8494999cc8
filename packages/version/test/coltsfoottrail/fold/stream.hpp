/// @file
/// Random streams of records, a mix of valid and faulty ones.
#ifndef COLTSFOOTTRAIL_TEST_FOLD_STREAM_HPP
#define COLTSFOOTTRAIL_TEST_FOLD_STREAM_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/support.hpp"

#include <iterator>
#include <utility>
#include <vector>

namespace coltsfoottrail::test {

/// Generates the next record of a stream from a seed: the same seeds give the
/// same stream. Most records fit the state; others refer to removed entries,
/// repeat an append, or are damaged.
class StreamGenerator {
public:
  StreamGenerator() : Declared(makeDeclaration({2, 1, 4, 1, 2, 1, true})) {
    History.join(HostName("entry-0"), 1);
    History.proposeAndConfirm(ApplyDeclaration{Declared});
  }

  /// Appends one record and folds it.
  void appendRecord(std::uint32_t Seed) {
    Rng = Random(Seed);
    constexpr std::uint64_t FaultPeriod = 12;
    if (Rng.below(FaultPeriod) == 0)
      return appendDamaged();
    if (Rng.below(FaultPeriod) == 0)
      return appendDuplicate();
    History.Writer = WriterId{1 + Rng.below(3), Sequence++};
    History.append(nextRecord());
  }

  [[nodiscard]] const State &now() const { return History.Now; }
  [[nodiscard]] const std::vector<std::vector<std::byte>> &bytes() const {
    return History.Bytes;
  }

private:
  template <class Map> [[nodiscard]] auto pickKey(const Map &Source) {
    auto It = Source.begin();
    if (!Source.empty())
      std::advance(It, static_cast<std::ptrdiff_t>(Rng.below(Source.size())));
    return It == Source.end() ? typename Map::key_type{} : It->first;
  }
  [[nodiscard]] HostName pickHost() {
    return Declared.Hosts[Rng.below(Declared.Hosts.size())].Name;
  }

  void appendDamaged() {
    std::vector<std::byte> Bytes =
        History.Bytes[Rng.below(History.Bytes.size())];
    if (Rng.below(2) == 0)
      Bytes.resize(Rng.below(Bytes.size()));
    else
      Bytes[Rng.below(Bytes.size())] ^=
          static_cast<std::byte>(1 + Rng.below(255));
    appendBytes(std::move(Bytes));
  }
  void appendDuplicate() {
    appendBytes(History.Bytes[Rng.below(History.Bytes.size())]);
  }
  void appendBytes(std::vector<std::byte> Bytes) {
    History.Bytes.push_back(std::move(Bytes));
    foldRecord(History.Now, History.Now.Next, History.Bytes.back());
  }

  [[nodiscard]] Record nextRecord() {
    switch (Rng.below(14)) {
    case 0:
      return EntryHostJoined{HostName("entry-" + std::to_string(Rng.below(3))),
                             1 + Rng.below(3),
                             dataCentre(0),
                             "10.0.0.1",
                             1,
                             2};
    case 1:
      return EntryHostLeft{HostName("entry-" + std::to_string(Rng.below(3))),
                           1 + Rng.below(3)};
    case 2:
    case 3:
    case 4:
      return PlanProposed{nextPlan(), "operator"};
    case 5:
    case 6:
    case 7:
      return PlanConfirmed{pickKey(History.Now.Plans), "operator"};
    case 8:
      return nextLease();
    case 9:
    case 10:
      return nextProgress();
    case 11:
      return GroupBroken{pickKey(History.Now.Groups), pickHost(), "lost"};
    case 12:
      return nextRelease();
    default:
      return PlanAbandoned{pickKey(History.Now.Plans), ""};
    }
  }

  [[nodiscard]] Record nextLease() {
    const Offset Plan = pickKey(History.Now.Plans);
    const HostName Host = pickKey(History.Now.EntryHosts);
    ExecutorTaken Body{Plan, Host, 1, 0};
    if (History.Now.Plans.contains(Plan) && Rng.below(4) > 0)
      Body.ReplacedLease = History.Now.Plans.at(Plan).Lease;
    if (History.Now.EntryHosts.contains(Host))
      Body.Run = History.Now.EntryHosts.at(Host).JoinRecord.Run;
    return Body;
  }

  [[nodiscard]] Record nextProgress() {
    const GroupId Id = pickKey(History.Now.Groups);
    const auto Plan = History.Now.Plans.find(
        Rng.below(2) == 0 ? Id.Plan : pickKey(History.Now.Plans));
    if (Plan == History.Now.Plans.end())
      return GroupConfirmed{Id, 0, {1, 2}};
    if (Rng.below(2) == 0)
      return StepFinished{Plan->first, Plan->second.Lease,
                          Plan->second.StepsDone};
    return GroupConfirmed{Id, Plan->second.Lease, {1, 2}};
  }

  [[nodiscard]] Record nextRelease() {
    const HostName Host = pickKey(History.Now.OccupiedHosts);
    const auto It = History.Now.OccupiedHosts.find(Host);
    return HostReleased{
        Host, It == History.Now.OccupiedHosts.end() ? GroupId{} : It->second};
  }

  [[nodiscard]] Plan nextPlan() {
    Plan Result;
    Result.PlannedAt = History.Now.Next - Rng.below(3);
    Result.RequestedIntent = nextIntent();
    const std::uint64_t Steps = Rng.below(4);
    for (std::uint32_t Index = 0; Index < Steps; ++Index)
      Result.Steps.push_back(nextStep(Index));
    if (Rng.below(2) == 0)
      shortenPlan(Result, History.Now);
    return Result;
  }

  [[nodiscard]] Intent nextIntent() {
    switch (Rng.below(7)) {
    case 0:
      return DrainDataCentre{dataCentre(0)};
    case 1:
      return ReturnDataCentre{dataCentre(0)};
    case 2:
      return DrainHost{pickHost()};
    case 3:
      return ReturnHost{pickHost()};
    case 4:
      return nextDeclaration();
    default:
      return SetCapacity{model(0), dataCentre(0),
                         static_cast<std::uint32_t>(Rng.below(3))};
    }
  }

  [[nodiscard]] ApplyDeclaration nextDeclaration() {
    Declaration Changed = Declared;
    if (Rng.below(2) == 0)
      Changed.Hosts.erase(
          Changed.Hosts.begin() +
          static_cast<std::ptrdiff_t>(Rng.below(Changed.Hosts.size())));
    if (Rng.below(3) == 0)
      Changed.Hosts.front().Name = HostName("another");
    std::ranges::sort(Changed.Hosts, {}, &HostSpec::Name);
    return ApplyDeclaration{std::move(Changed)};
  }

  [[nodiscard]] Step nextStep(std::uint32_t Number) {
    if (Rng.below(3) == 0)
      return StopGroup{pickKey(History.Now.Groups)};
    HostName First = pickHost();
    HostName Second = pickHost();
    return formStep(Declared, Number, model(0),
                    {std::move(First), std::move(Second)});
  }

  Declaration Declared;
  FoldedLog History;
  Random Rng{0};
  std::uint64_t Sequence = 1000;
};

} // namespace coltsfoottrail::test

#endif
