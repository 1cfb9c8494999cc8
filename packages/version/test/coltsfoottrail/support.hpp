/// @file
/// Helpers for tests: small declarations, folded sequences of records, and a
/// log in memory with fault injection.
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

/// Size of a declaration built by makeDeclaration().
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

inline void addHosts(const Shape &Requested, std::uint32_t DataCentre,
                     Declaration &Declared) {
  for (std::uint32_t Domain = 0; Domain < Requested.DomainsPerDataCentre;
       ++Domain)
    for (std::uint32_t Index = 0; Index < Requested.HostsPerDomain; ++Index) {
      HostSpec Host;
      Host.Name = host(DataCentre, Domain, Index);
      Host.DataCentre = dataCentre(DataCentre);
      Host.FabricDomain = FabricDomainName("dc" + std::to_string(DataCentre) +
                                           "-f" + std::to_string(Domain));
      Host.Address = "10." + std::to_string(DataCentre) + "." +
                     std::to_string(Domain) + "." +
                     std::to_string(Index % 250 + 1);
      Host.Port = static_cast<std::uint16_t>(7000 + Index / 250);
      Host.RefusesOldFences = Requested.RefusesOldFences;
      Declared.Hosts.push_back(std::move(Host));
    }
}
} // namespace internal

/// Builds a declaration with hosts and models of the requested size, one plain
/// service "permits" with an instance in each data centre, and one team "team0"
/// with the credential "secret0".
[[nodiscard]] inline Declaration makeDeclaration(const Shape &Requested = {}) {
  Declaration Result;
  ServiceSpec Service;
  Service.Name = ServiceName("permits");
  Service.RepeatablePaths = {"/lookup"};
  for (std::uint32_t Index = 0; Index < Requested.DataCentres; ++Index) {
    Result.DataCentres.push_back(dataCentre(Index));
    internal::addHosts(Requested, Index, Result);
    Service.Instances.push_back(ServiceInstance{
        HostName("permits-" + std::to_string(Index)), dataCentre(Index),
        "10." + std::to_string(Index) + ".255.1", 8000});
  }
  for (std::uint32_t Index = 0; Index < Requested.Models; ++Index) {
    ModelSpec Model;
    Model.Name = model(Index);
    Model.Version = VersionName("v1");
    Model.MembersPerGroup = Requested.MembersPerGroup;
    for (const DataCentreName &Name : Result.DataCentres)
      Model.Groups[Name] = Requested.GroupsPerDataCentre;
    Result.Models.push_back(std::move(Model));
  }
  Result.Services.push_back(std::move(Service));
  TeamSpec Team;
  Team.Name = TeamName("team0");
  Team.CredentialSha256 = sha256Hex("secret0");
  Result.Teams.push_back(std::move(Team));
  std::ranges::sort(Result.DataCentres);
  internal::sortByName(Result.Hosts);
  internal::sortByName(Result.Models);
  return Result;
}

/// Builds a step that forms a group as its model is declared.
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

/// A state and the encoded records that were folded into it.
struct FoldedLog {
  State Now;
  std::vector<std::vector<std::byte>> Bytes;
  WriterId Writer{1, 0};

  /// Folds a record at the next offset, with the next sequence number of
  /// Writer.
  FoldResult append(Record Body) {
    ++Writer.Sequence;
    return appendAs(Writer, std::move(Body));
  }
  /// Folds a record at the next offset with a given writer identifier.
  FoldResult appendAs(WriterId Identifier, Record Body) {
    Bytes.push_back(encodeRecord(Envelope{Identifier, std::move(Body)}));
    return foldRecord(Now, Now.Next, Bytes.back());
  }
  /// Folds the record of an entry host that joins.
  FoldResult join(const HostName &Name, Incarnation Run,
                  const DataCentreName &DataCentre = dataCentre(0)) {
    return append(
        EntryHostJoined{Name, Run, DataCentre, "127.0.0.1", 7001, 7002});
  }
  /// Proposes a plan based on the current state.
  /// @return The plan's offset.
  Offset propose(Intent Request, std::vector<Step> Steps = {}) {
    Plan Proposal;
    Proposal.RequestedIntent = std::move(Request);
    Proposal.PlannedAt = Now.Next;
    Proposal.Steps = std::move(Steps);
    const Offset Position = Now.Next;
    append(PlanProposed{std::move(Proposal), "operator"});
    return Position;
  }
  /// Proposes and confirms a plan.
  /// @return The plan's offset.
  Offset proposeAndConfirm(Intent Request, std::vector<Step> Steps = {}) {
    const Offset Plan = propose(std::move(Request), std::move(Steps));
    append(PlanConfirmed{Plan, "operator"});
    return Plan;
  }
  /// Takes the lease on a plan's execution for an entry host that has joined.
  /// @return The lease.
  Offset takeLease(Offset Plan, const HostName &Name) {
    const Offset Lease = Now.Next;
    append(ExecutorTaken{Plan, Name, Now.EntryHosts.at(Name).JoinRecord.Run,
                         Now.Plans.at(Plan).Lease});
    return Lease;
  }
  /// Confirms a group; the engine run of each member is 100 + its rank.
  FoldResult confirmGroup(const GroupId &Group, Offset Lease) {
    GroupConfirmed Confirmation{Group, Lease, {}};
    const std::size_t Members = Now.Groups.at(Group).Spec.Members.size();
    for (std::size_t Rank = 0; Rank < Members; ++Rank)
      Confirmation.MemberRuns.push_back(100 + Rank);
    return append(std::move(Confirmation));
  }
};

/// Log in memory. Handlers are called only by run(), on the thread that calls
/// it. All functions are thread-safe.
class FakeLog final : public Log {
public:
  void append(const StreamName &Stream, std::vector<std::byte> Payload,
              milliseconds Timeout, AppendHandler Done) override {
    const std::scoped_lock Guard(Lock);
    ++AppendCount;
    if (Down) {
      respondAfter([Done] { Done(LogFailure::NotDone); }, Delay);
      return;
    }
    const Offset Position = put(Stream, std::move(Payload));
    if (ResponsesToLose > 0) {
      --ResponsesToLose;
      respondAfter([Done] { Done(LogFailure::Unknown); }, Timeout);
      return;
    }
    if (Delay > Timeout) {
      respondAfter([Done] { Done(LogFailure::Unknown); }, Timeout);
      return;
    }
    respondAfter([Done, Position] { Done(Position); }, Delay);
  }

  void read(const StreamName &Stream, Offset From, std::size_t MaxEntries,
            milliseconds Wait, ReadHandler Done) override {
    const std::scoped_lock Guard(Lock);
    ++ReadCount;
    WaitingReads.push_back(WaitingRead{Stream, From, MaxEntries, Now + Wait,
                                       Now + Delay, std::move(Done)});
  }

  /// Appends a record to a stream directly, without a handler or faults.
  Offset push(const StreamName &Stream, std::vector<std::byte> Payload) {
    const std::scoped_lock Guard(Lock);
    return put(Stream, std::move(Payload));
  }
  /// While true, calls have no effect and fail with LogFailure::NotDone.
  void setDown(bool Value) {
    const std::scoped_lock Guard(Lock);
    Down = Value;
  }
  /// The next Count appends take effect, but their calls fail with
  /// LogFailure::Unknown at their timeout.
  void loseAnswers(std::uint32_t Count) {
    const std::scoped_lock Guard(Lock);
    ResponsesToLose = Count;
  }
  /// Time from a call to its response.
  void setDelay(milliseconds Value) {
    const std::scoped_lock Guard(Lock);
    Delay = Value;
  }
  /// Removes the records of a stream below an offset.
  void trim(const StreamName &Stream, Offset Horizon) {
    const std::scoped_lock Guard(Lock);
    trimTo(Streams[Stream], Horizon);
  }
  /// Keeps only the latest records of each stream, up to this number; zero
  /// keeps all.
  void setRetention(std::size_t Entries) {
    const std::scoped_lock Guard(Lock);
    Retention = Entries;
    for (auto &[Name, Entry] : Streams)
      retain(Entry);
  }
  /// Advances the time and calls the handlers that are due, until none is left.
  void run(Duration Elapsed = {}) {
    {
      const std::scoped_lock Guard(Lock);
      Now += Elapsed;
    }
    while (const std::function<void()> Next = takeDueResponse())
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
  /// The records not yet trimmed, in order.
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
  struct StreamRecords {
    Offset Horizon = 0;
    std::deque<std::vector<std::byte>> Entries;
  };
  struct WaitingRead {
    StreamName Stream;
    Offset From = 0;
    std::size_t MaxEntries = 0;
    TimePoint Until;
    TimePoint NotBefore;
    ReadHandler Done;
  };

  static Offset endOf(const StreamRecords &Stream) {
    return Stream.Horizon + Stream.Entries.size();
  }
  static void trimTo(StreamRecords &Stream, Offset Horizon) {
    while (Stream.Horizon < Horizon && !Stream.Entries.empty()) {
      Stream.Entries.pop_front();
      ++Stream.Horizon;
    }
  }
  void retain(StreamRecords &Stream) const {
    if (Retention > 0 && Stream.Entries.size() > Retention)
      trimTo(Stream, endOf(Stream) - Retention);
  }
  Offset put(const StreamName &Stream, std::vector<std::byte> Payload) {
    StreamRecords &Target = Streams[Stream];
    const Offset Position = endOf(Target);
    Target.Entries.push_back(std::move(Payload));
    retain(Target);
    return Position;
  }
  static std::vector<LogEntry> copyOf(const StreamRecords &Stream, Offset From,
                                      std::size_t MaxEntries) {
    std::vector<LogEntry> Result;
    for (Offset Position = From;
         Position < endOf(Stream) && Result.size() < MaxEntries; ++Position)
      Result.push_back(
          LogEntry{Position, Stream.Entries[Position - Stream.Horizon]});
    return Result;
  }
  void respondAfter(std::function<void()> Call, Duration After) {
    PendingResponses.emplace(Now + After, std::move(Call));
  }

  [[nodiscard]] ReadResult resultOf(const WaitingRead &Entry) {
    if (Down)
      return LogFailure::NotDone;
    const StreamRecords &Stream = Streams[Entry.Stream];
    if (Entry.From < Stream.Horizon)
      return LogFailure::Trimmed;
    return LogBatch{copyOf(Stream, Entry.From, Entry.MaxEntries), endOf(Stream),
                    Stream.Horizon};
  }
  [[nodiscard]] bool isDue(const WaitingRead &Entry) {
    if (Now < Entry.NotBefore)
      return false;
    const StreamRecords &Stream = Streams[Entry.Stream];
    return Down || Entry.From < Stream.Horizon || Entry.From < endOf(Stream) ||
           Now >= Entry.Until;
  }
  [[nodiscard]] std::function<void()> takeDueResponse() {
    const std::scoped_lock Guard(Lock);
    if (!PendingResponses.empty() && PendingResponses.begin()->first <= Now) {
      std::function<void()> Call = std::move(PendingResponses.begin()->second);
      PendingResponses.erase(PendingResponses.begin());
      return Call;
    }
    const auto Due = std::ranges::find_if(
        WaitingReads, [&](const WaitingRead &Entry) { return isDue(Entry); });
    if (Due == WaitingReads.end())
      return {};
    ReadHandler Done = std::move(Due->Done);
    ReadResult Result = resultOf(*Due);
    WaitingReads.erase(Due);
    return
        [Done = std::move(Done), Result = std::move(Result)] { Done(Result); };
  }

  std::mutex Lock;
  /// Simulated time.
  TimePoint Now;
  bool Down = false;
  std::uint32_t ResponsesToLose = 0;
  milliseconds Delay{0};
  std::size_t Retention = 0;
  std::size_t AppendCount = 0;
  std::size_t ReadCount = 0;
  std::map<StreamName, StreamRecords> Streams;
  std::multimap<TimePoint, std::function<void()>> PendingResponses;
  std::vector<WaitingRead> WaitingReads;
};

} // namespace coltsfoottrail::test

#endif
