/// @file
/// Help for tests: small declarations, records by the line, and a log in memory
/// with the faults of a real one.
#ifndef COLTSFOOTTRAIL_TEST_SUPPORT_HPP
#define COLTSFOOTTRAIL_TEST_SUPPORT_HPP

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/fold/fold.hpp"
#include "coltsfoottrail/platform/log.hpp"
#include "coltsfoottrail/record/codec.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace coltsfoottrail::test {

/// Shape of a declaration that makeDeclaration() builds.
struct Shape {
  std::uint32_t DataCentres = 3;
  std::uint32_t DomainsPerDataCentre = 2;
  std::uint32_t HostsPerDomain = 4;
  std::uint32_t Models = 1;
  std::uint32_t MembersPerGroup = 2;
  std::uint32_t GroupsPerDataCentre = 1;
  bool RefusesOldFences = true;
};

/// "dc0", "dc1", ...
[[nodiscard]] inline DataCentreName dataCentre(std::uint32_t Index) {
  return DataCentreName("dc" + std::to_string(Index));
}
/// "dc0-f1-h2": host 2 of fabric domain 1 of data centre 0.
[[nodiscard]] inline HostName host(std::uint32_t DataCentre,
                                   std::uint32_t Domain, std::uint32_t Index) {
  return HostName("dc" + std::to_string(DataCentre) + "-f" +
                  std::to_string(Domain) + "-h" + std::to_string(Index));
}
/// "model0", "model1", ...
[[nodiscard]] inline ModelName model(std::uint32_t Index) {
  return ModelName("model" + std::to_string(Index));
}

namespace internal {
template <class Spec> void sortByName(std::vector<Spec> &List) {
  std::ranges::sort(List, {}, &Spec::Name);
}

inline void addHosts(const Shape &Wanted, std::uint32_t DataCentre,
                     Declaration &Into) {
  for (std::uint32_t Domain = 0; Domain < Wanted.DomainsPerDataCentre; ++Domain)
    for (std::uint32_t Index = 0; Index < Wanted.HostsPerDomain; ++Index) {
      HostSpec Host;
      Host.Name = host(DataCentre, Domain, Index);
      Host.DataCentre = dataCentre(DataCentre);
      Host.FabricDomain = FabricDomainName("dc" + std::to_string(DataCentre) +
                                           "-f" + std::to_string(Domain));
      Host.Address = "10." + std::to_string(DataCentre) + "." +
                     std::to_string(Domain) + "." +
                     std::to_string(Index % 250 + 1);
      Host.Port = static_cast<std::uint16_t>(7000 + Index / 250);
      Host.RefusesOldFences = Wanted.RefusesOldFences;
      Into.Hosts.push_back(std::move(Host));
    }
}
} // namespace internal

/// A declaration with models and hosts, one plain service "permits" with an
/// instance in each data centre, and one team "team0" whose credential is
/// "secret0".
[[nodiscard]] inline Declaration makeDeclaration(const Shape &Wanted = {}) {
  Declaration Out;
  ServiceSpec Service;
  Service.Name = ServiceName("permits");
  Service.RepeatablePaths = {"/lookup"};
  for (std::uint32_t Index = 0; Index < Wanted.DataCentres; ++Index) {
    Out.DataCentres.push_back(dataCentre(Index));
    internal::addHosts(Wanted, Index, Out);
    Service.Instances.push_back(ServiceInstance{
        HostName("permits-" + std::to_string(Index)), dataCentre(Index),
        "10." + std::to_string(Index) + ".255.1", 8000});
  }
  for (std::uint32_t Index = 0; Index < Wanted.Models; ++Index) {
    ModelSpec Model;
    Model.Name = model(Index);
    Model.Version = VersionName("v1");
    Model.MembersPerGroup = Wanted.MembersPerGroup;
    for (const DataCentreName &Name : Out.DataCentres)
      Model.Groups[Name] = Wanted.GroupsPerDataCentre;
    Out.Models.push_back(std::move(Model));
  }
  Out.Services.push_back(std::move(Service));
  TeamSpec Team;
  Team.Name = TeamName("team0");
  Team.CredentialSha256 = sha256Hex("secret0");
  Out.Teams.push_back(std::move(Team));
  std::ranges::sort(Out.DataCentres);
  internal::sortByName(Out.Hosts);
  internal::sortByName(Out.Models);
  return Out;
}

/// A step that forms a group as its model is declared.
[[nodiscard]] inline FormGroup formStep(const Declaration &Declared,
                                        std::uint32_t Number,
                                        const ModelName &Name,
                                        std::vector<HostName> Members) {
  const ModelSpec &Model = *findModel(Declared, Name);
  return FormGroup{Number,
                   Name,
                   Model.Version,
                   Model.Adapters,
                   Model.Role,
                   findHost(Declared, Members.front())->DataCentre,
                   std::move(Members)};
}

/// Appends records to a state and keeps their bytes: a log of one reader.
struct FoldedLog {
  State Now;
  std::vector<std::vector<std::byte>> Bytes;
  WriterId Writer{1, 0};

  /// Folds a record at the next offset as a new append of Writer.
  FoldResult append(Record Body) {
    ++Writer.Sequence;
    return appendAs(Writer, std::move(Body));
  }
  /// Folds a record at the next offset as an append with this identifier.
  FoldResult appendAs(WriterId By, Record Body) {
    Bytes.push_back(encodeRecord(Envelope{By, std::move(Body)}));
    return foldRecord(Now, Now.Next, Bytes.back());
  }
  /// Lets an entry host join.
  FoldResult join(const HostName &Name, Incarnation Run,
                  const DataCentreName &Where = dataCentre(0)) {
    return append(EntryHostJoined{Name, Run, Where, "127.0.0.1", 7001, 7002});
  }
  /// Proposes a plan against the present state.
  /// @return The plan's offset.
  Offset propose(Intent Asked, std::vector<Step> Steps = {}) {
    Plan Proposal;
    Proposal.Asked = std::move(Asked);
    Proposal.PlannedAt = Now.Next;
    Proposal.Steps = std::move(Steps);
    const Offset At = Now.Next;
    append(PlanProposed{std::move(Proposal), "operator"});
    return At;
  }
  /// Proposes and confirms a plan.
  /// @return The plan's offset.
  Offset proposeAndConfirm(Intent Asked, std::vector<Step> Steps = {}) {
    const Offset Plan = propose(std::move(Asked), std::move(Steps));
    append(PlanConfirmed{Plan, "operator"});
    return Plan;
  }
  /// Takes the lease of a plan for an entry host that has joined.
  /// @return The lease.
  Offset takeLease(Offset Plan, const HostName &Name) {
    const Offset Lease = Now.Next;
    append(ExecutorTaken{Plan, Name, Now.EntryHosts.at(Name).Joined.Run,
                         Now.Plans.at(Plan).Lease});
    return Lease;
  }
  /// Confirms a group with the run 100 + rank of each member.
  FoldResult confirmGroup(const GroupId &Which, Offset Lease) {
    GroupConfirmed Said{Which, Lease, {}};
    const std::size_t Members = Now.Groups.at(Which).Formed.Members.size();
    for (std::size_t Rank = 0; Rank < Members; ++Rank)
      Said.MemberRuns.push_back(100 + Rank);
    return append(std::move(Said));
  }
};

/// Log in memory. Answers come only from run(), never from within a call. All
/// calls are thread-safe; handlers run on the thread that calls run().
class FakeLog final : public Log {
public:
  void append(const StreamName &Stream, std::vector<std::byte> Payload,
              milliseconds Timeout, AppendHandler Done) override {
    const std::scoped_lock Guard(Lock);
    ++AppendCount;
    if (Down) {
      answer([Done] { Done(LogFailure::NotDone); }, Delay);
      return;
    }
    const Offset At = put(Stream, std::move(Payload));
    if (LostAnswers > 0) {
      --LostAnswers;
      answer([Done] { Done(LogFailure::Unknown); }, Timeout);
      return;
    }
    if (Delay > Timeout) {
      answer([Done] { Done(LogFailure::Unknown); }, Timeout);
      return;
    }
    answer([Done, At] { Done(At); }, Delay);
  }

  void read(const StreamName &Stream, Offset From, std::size_t MaxEntries,
            milliseconds Wait, ReadHandler Done) override {
    const std::scoped_lock Guard(Lock);
    ++ReadCount;
    Waiting.push_back(Reader{Stream, From, MaxEntries, Now + Wait, Now + Delay,
                             std::move(Done)});
  }

  /// Puts a record on a stream without a client.
  Offset push(const StreamName &Stream, std::vector<std::byte> Payload) {
    const std::scoped_lock Guard(Lock);
    return put(Stream, std::move(Payload));
  }
  /// While true, nothing is done and every call answers NotDone.
  void setDown(bool Value) {
    const std::scoped_lock Guard(Lock);
    Down = Value;
  }
  /// The next appends take effect, but their answers are lost.
  void loseAnswers(std::uint32_t Count) {
    const std::scoped_lock Guard(Lock);
    LostAnswers = Count;
  }
  /// Time from a call to its answer.
  void setDelay(milliseconds Value) {
    const std::scoped_lock Guard(Lock);
    Delay = Value;
  }
  /// Drops the records below an offset.
  void trim(const StreamName &Stream, Offset Horizon) {
    const std::scoped_lock Guard(Lock);
    trimTo(Streams[Stream], Horizon);
  }
  /// Keeps only this many of the latest records of each stream; zero for all.
  void setRetention(std::size_t Entries) {
    const std::scoped_lock Guard(Lock);
    Retention = Entries;
    for (auto &[Name, Each] : Streams)
      retain(Each);
  }
  /// Moves the time on and gives the answers that are due, until none is left.
  void run(Duration Elapsed = {}) {
    {
      const std::scoped_lock Guard(Lock);
      Now += Elapsed;
    }
    while (const std::function<void()> Next = takeDue())
      Next();
  }

  [[nodiscard]] Offset end(const StreamName &Stream) {
    const std::scoped_lock Guard(Lock);
    return endOf(Streams[Stream]);
  }
  [[nodiscard]] Offset horizon(const StreamName &Stream) {
    const std::scoped_lock Guard(Lock);
    return Streams[Stream].Horizon;
  }
  /// Records that are still kept, in order.
  [[nodiscard]] std::vector<LogEntry> entries(const StreamName &Stream) {
    const std::scoped_lock Guard(Lock);
    return copyOf(Streams[Stream], Streams[Stream].Horizon, SIZE_MAX);
  }
  [[nodiscard]] std::size_t appends() {
    const std::scoped_lock Guard(Lock);
    return AppendCount;
  }
  [[nodiscard]] std::size_t reads() {
    const std::scoped_lock Guard(Lock);
    return ReadCount;
  }

private:
  struct Records {
    Offset Horizon = 0;
    std::deque<std::vector<std::byte>> Kept;
  };
  struct Reader {
    StreamName Stream;
    Offset From = 0;
    std::size_t MaxEntries = 0;
    TimePoint Until;
    TimePoint NotBefore;
    ReadHandler Done;
  };

  static Offset endOf(const Records &Of) { return Of.Horizon + Of.Kept.size(); }
  static void trimTo(Records &Of, Offset Horizon) {
    while (Of.Horizon < Horizon && !Of.Kept.empty()) {
      Of.Kept.pop_front();
      ++Of.Horizon;
    }
  }
  void retain(Records &Of) const {
    if (Retention > 0 && Of.Kept.size() > Retention)
      trimTo(Of, endOf(Of) - Retention);
  }
  Offset put(const StreamName &Stream, std::vector<std::byte> Payload) {
    Records &To = Streams[Stream];
    const Offset At = endOf(To);
    To.Kept.push_back(std::move(Payload));
    retain(To);
    return At;
  }
  static std::vector<LogEntry> copyOf(const Records &Of, Offset From,
                                      std::size_t Most) {
    std::vector<LogEntry> Out;
    for (Offset At = From; At < endOf(Of) && Out.size() < Most; ++At)
      Out.push_back(LogEntry{At, Of.Kept[At - Of.Horizon]});
    return Out;
  }
  void answer(std::function<void()> Call, Duration After) {
    Answers.emplace(Now + After, std::move(Call));
  }

  [[nodiscard]] ReadResult resultOf(const Reader &Each) {
    if (Down)
      return LogFailure::NotDone;
    const Records &Of = Streams[Each.Stream];
    if (Each.From < Of.Horizon)
      return LogFailure::Trimmed;
    return LogBatch{copyOf(Of, Each.From, Each.MaxEntries), endOf(Of),
                    Of.Horizon};
  }
  [[nodiscard]] bool isDue(const Reader &Each) {
    if (Now < Each.NotBefore)
      return false;
    const Records &Of = Streams[Each.Stream];
    return Down || Each.From < Of.Horizon || Each.From < endOf(Of) ||
           Now >= Each.Until;
  }
  [[nodiscard]] std::function<void()> takeDue() {
    const std::scoped_lock Guard(Lock);
    if (!Answers.empty() && Answers.begin()->first <= Now) {
      std::function<void()> Call = std::move(Answers.begin()->second);
      Answers.erase(Answers.begin());
      return Call;
    }
    const auto Found = std::ranges::find_if(
        Waiting, [&](const Reader &Each) { return isDue(Each); });
    if (Found == Waiting.end())
      return {};
    ReadHandler Done = std::move(Found->Done);
    ReadResult Result = resultOf(*Found);
    Waiting.erase(Found);
    return
        [Done = std::move(Done), Result = std::move(Result)] { Done(Result); };
  }

  std::mutex Lock;
  TimePoint Now;
  bool Down = false;
  std::uint32_t LostAnswers = 0;
  milliseconds Delay{0};
  std::size_t Retention = 0;
  std::size_t AppendCount = 0;
  std::size_t ReadCount = 0;
  std::map<StreamName, Records> Streams;
  std::multimap<TimePoint, std::function<void()>> Answers;
  std::vector<Reader> Waiting;
};

} // namespace coltsfoottrail::test

#endif
