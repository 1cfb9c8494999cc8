/// @file
/// Random streams of records, likely and hostile ones mixed.
#ifndef COLTSFOOTTRAIL_TEST_FOLD_STREAM_HPP
#define COLTSFOOTTRAIL_TEST_FOLD_STREAM_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/support.hpp"

#include <iterator>
#include <utility>
#include <vector>

namespace coltsfoottrail::test {

/// Makes the next record of a stream out of a number: the same numbers make the
/// same stream. Most records fit the state; others name what is gone, repeat an
/// append, or are damaged.
class StreamMaker {
public:
  StreamMaker() : Declared(makeDeclaration({2, 1, 4, 1, 2, 1, true})) {
    Told.join(HostName("entry-0"), 1);
    Told.proposeAndConfirm(ApplyDeclaration{Declared});
  }

  /// Appends one record, or a few that belong together, and folds them.
  void move(std::uint32_t Number) {
    Draw = Random(Number);
    constexpr std::uint64_t Damage = 12;
    if (Draw.below(Damage) == 0)
      return damage();
    if (Draw.below(Damage) == 0)
      return repeat();
    Told.Writer = WriterId{1 + Draw.below(3), Sequence++};
    Told.append(nextRecord());
  }

  [[nodiscard]] const State &now() const { return Told.Now; }
  [[nodiscard]] const std::vector<std::vector<std::byte>> &bytes() const {
    return Told.Bytes;
  }

private:
  template <class Map> [[nodiscard]] auto pickKey(const Map &From) {
    auto Found = From.begin();
    if (!From.empty())
      std::advance(Found, static_cast<std::ptrdiff_t>(Draw.below(From.size())));
    return Found == From.end() ? typename Map::key_type{} : Found->first;
  }
  [[nodiscard]] HostName pickHost() {
    return Declared.Hosts[Draw.below(Declared.Hosts.size())].Name;
  }

  void damage() {
    std::vector<std::byte> Bytes = Told.Bytes[Draw.below(Told.Bytes.size())];
    if (Draw.below(2) == 0)
      Bytes.resize(Draw.below(Bytes.size()));
    else
      Bytes[Draw.below(Bytes.size())] ^=
          static_cast<std::byte>(1 + Draw.below(255));
    add(std::move(Bytes));
  }
  void repeat() { add(Told.Bytes[Draw.below(Told.Bytes.size())]); }
  void add(std::vector<std::byte> Bytes) {
    Told.Bytes.push_back(std::move(Bytes));
    foldRecord(Told.Now, Told.Now.Next, Told.Bytes.back());
  }

  [[nodiscard]] Record nextRecord() {
    switch (Draw.below(14)) {
    case 0:
      return EntryHostJoined{HostName("entry-" + std::to_string(Draw.below(3))),
                             1 + Draw.below(3),
                             dataCentre(0),
                             "10.0.0.1",
                             1,
                             2};
    case 1:
      return EntryHostLeft{HostName("entry-" + std::to_string(Draw.below(3))),
                           1 + Draw.below(3)};
    case 2:
    case 3:
    case 4:
      return PlanProposed{nextPlan(), "operator"};
    case 5:
    case 6:
    case 7:
      return PlanConfirmed{pickKey(Told.Now.Plans), "operator"};
    case 8:
      return nextLease();
    case 9:
    case 10:
      return nextProgress();
    case 11:
      return GroupBroken{pickKey(Told.Now.Groups), pickHost(), "lost"};
    case 12:
      return nextRelease();
    default:
      return PlanAbandoned{pickKey(Told.Now.Plans), ""};
    }
  }

  [[nodiscard]] Record nextLease() {
    const Offset Plan = pickKey(Told.Now.Plans);
    const HostName Host = pickKey(Told.Now.EntryHosts);
    ExecutorTaken Said{Plan, Host, 1, 0};
    if (Told.Now.Plans.contains(Plan) && Draw.below(4) > 0)
      Said.Replaces = Told.Now.Plans.at(Plan).Lease;
    if (Told.Now.EntryHosts.contains(Host))
      Said.Run = Told.Now.EntryHosts.at(Host).Joined.Run;
    return Said;
  }

  [[nodiscard]] Record nextProgress() {
    const GroupId Which = pickKey(Told.Now.Groups);
    const auto Plan = Told.Now.Plans.find(
        Draw.below(2) == 0 ? Which.Plan : pickKey(Told.Now.Plans));
    if (Plan == Told.Now.Plans.end())
      return GroupConfirmed{Which, 0, {1, 2}};
    if (Draw.below(2) == 0)
      return StepFinished{Plan->first, Plan->second.Lease,
                          Plan->second.StepsDone};
    return GroupConfirmed{Which, Plan->second.Lease, {1, 2}};
  }

  [[nodiscard]] Record nextRelease() {
    const HostName Host = pickKey(Told.Now.Occupied);
    const auto Found = Told.Now.Occupied.find(Host);
    return HostReleased{Host, Found == Told.Now.Occupied.end() ? GroupId{}
                                                               : Found->second};
  }

  [[nodiscard]] Plan nextPlan() {
    Plan Out;
    Out.PlannedAt = Told.Now.Next - Draw.below(3);
    Out.Asked = nextIntent();
    const std::uint64_t Steps = Draw.below(4);
    for (std::uint32_t Index = 0; Index < Steps; ++Index)
      Out.Steps.push_back(nextStep(Index));
    if (Draw.below(2) == 0)
      shortenPlan(Out, Told.Now);
    return Out;
  }

  [[nodiscard]] Intent nextIntent() {
    switch (Draw.below(7)) {
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
                         static_cast<std::uint32_t>(Draw.below(3))};
    }
  }

  [[nodiscard]] ApplyDeclaration nextDeclaration() {
    Declaration Wanted = Declared;
    if (Draw.below(2) == 0)
      Wanted.Hosts.erase(
          Wanted.Hosts.begin() +
          static_cast<std::ptrdiff_t>(Draw.below(Wanted.Hosts.size())));
    if (Draw.below(3) == 0)
      Wanted.Hosts.front().Name = HostName("another");
    std::ranges::sort(Wanted.Hosts, {}, &HostSpec::Name);
    return ApplyDeclaration{std::move(Wanted)};
  }

  [[nodiscard]] Step nextStep(std::uint32_t Number) {
    if (Draw.below(3) == 0)
      return StopGroup{pickKey(Told.Now.Groups)};
    HostName First = pickHost();
    HostName Second = pickHost();
    return formStep(Declared, Number, model(0),
                    {std::move(First), std::move(Second)});
  }

  Declaration Declared;
  FoldedLog Told;
  Random Draw{0};
  std::uint64_t Sequence = 1000;
};

} // namespace coltsfoottrail::test

#endif
