/// @file
/// Many followers, a log and the links between them, run in simulated time.
#ifndef COLTSFOOTTRAIL_TEST_CONFIG_SIMULATEDCLUSTER_HPP
#define COLTSFOOTTRAIL_TEST_CONFIG_SIMULATEDCLUSTER_HPP

#include "coltsfoottrail/config/follower.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coltsfoottrail::test {

/// Traffic of one host.
struct Traffic {
  std::size_t Reads = 0;
  std::size_t Messages = 0;
  std::size_t Bytes = 0;
};

/// A network of followers. All random choices derive from the seed, so that a
/// run is reproducible.
class SimulatedCluster {
public:
  struct Host {
    Member Identity;
    std::unique_ptr<Follower> Instance;
    /// Offset of the next record to fold; checked at each fold.
    Offset NextToFold = 0;
    bool FoldedInOrder = true;
    bool Alive = true;
    bool CutFromLog = false;
    Freshness LastFreshness = Freshness::Starting;
    std::set<Freshness> SeenFreshness;
    std::vector<Offset> Floors;
    Traffic Sent;
    std::uint64_t Generation = 0;
    TimePoint Wake = TimePoint::max();
  };

  SimulatedCluster(std::size_t HostCount, std::size_t DataCentreCount,
                   std::uint64_t Seed)
      : Rng(Seed) {
    for (std::size_t Index = 0; Index < HostCount; ++Index) {
      Host NewHost;
      NewHost.Identity = Member{
          HostName("entry-" + std::to_string(Index)),
          DataCentreName("dc" + std::to_string(Index % DataCentreCount))};
      Members.push_back(NewHost.Identity);
      Hosts.push_back(std::move(NewHost));
      IndexOf[Members.back().Name] = Index;
    }
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      startHost(Index, 0);
  }

  /// Starts or restarts a host with a state.
  /// @param Next The state's Next.
  void startHost(std::size_t Index, Offset Next) {
    Host &Entry = Hosts[Index];
    FollowerOptions Options;
    Options.Self = Entry.Identity;
    Options.Seed = Rng();
    Entry.Instance = std::make_unique<Follower>(Options, Next, Now);
    Entry.Instance->setMembers(Members);
    Entry.NextToFold = Next;
    Entry.LastFreshness = Freshness::Starting;
    Entry.SeenFreshness = {Freshness::Starting};
    Entry.Alive = true;
    ++Entry.Generation;
    wake(Index, Now + milliseconds(Rng.below(100)));
  }

  void append(std::size_t Bytes = 200) {
    Log.push_back(std::make_shared<const LogEntry>(
        LogEntry{Log.size(), std::vector<std::byte>(Bytes)}));
    releaseReaders();
  }

  void run(Duration Span) {
    const TimePoint End = Now + Span;
    while (!Events.empty() && Events.begin()->first <= End) {
      Now = Events.begin()->first;
      const std::function<void()> Action = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Action();
    }
    Now = End;
  }

  /// Runs until all hosts that are alive have folded the whole log.
  /// @return The time it took, or at least the limit.
  Duration runUntilInForceEverywhere(Duration Limit) {
    const TimePoint Start = Now;
    while (Now - Start < Limit && !isInForceEverywhere())
      run(milliseconds(1));
    return Now - Start;
  }

  [[nodiscard]] bool isInForceEverywhere() const {
    return std::ranges::all_of(Hosts, [&](const Host &Entry) {
      return !Entry.Alive || Entry.NextToFold == Log.size();
    });
  }

  [[nodiscard]] std::size_t count(Freshness Value) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Hosts, [&](const Host &Entry) {
          return Entry.Alive && Entry.LastFreshness == Value;
        }));
  }
  [[nodiscard]] bool allInOrder() const {
    return std::ranges::all_of(Hosts, &Host::FoldedInOrder);
  }
  void clearTraffic() {
    for (Host &Entry : Hosts)
      Entry.Sent = Traffic{};
  }
  void clearSeenFreshness() {
    for (Host &Entry : Hosts)
      Entry.SeenFreshness = {Entry.LastFreshness};
  }
  [[nodiscard]] Traffic totalTraffic() const {
    Traffic Result;
    for (const Host &Entry : Hosts) {
      Result.Reads += Entry.Sent.Reads;
      Result.Messages += Entry.Sent.Messages;
      Result.Bytes += Entry.Sent.Bytes;
    }
    return Result;
  }
  [[nodiscard]] Traffic maxTraffic() const {
    Traffic Result;
    for (const Host &Entry : Hosts) {
      Result.Reads = std::max(Result.Reads, Entry.Sent.Reads);
      Result.Messages = std::max(Result.Messages, Entry.Sent.Messages);
      Result.Bytes = std::max(Result.Bytes, Entry.Sent.Bytes);
    }
    return Result;
  }

  TimePoint Now{seconds(1000)};
  std::vector<Host> Hosts;
  std::vector<Member> Members;
  std::vector<RecordPtr> Log;
  bool LogDown = false;
  Offset Horizon = 0;
  /// Number of latest records that a reader of the log does not see yet, by
  /// host.
  std::map<std::size_t, std::size_t> Lag;
  /// Fraction of messages that are lost.
  double Loss = 0;
  Duration LogDelay = milliseconds(3);
  Duration LinkDelay = milliseconds(1);
  /// Whether a message from one host to another is delivered; called with the
  /// indexes of the sender and the receiver.
  std::function<bool(std::size_t, std::size_t)> Linked =
      [](std::size_t, std::size_t) { return true; };

private:
  struct Reader {
    std::size_t Index;
    std::uint64_t Generation;
    ReadAgreed Read;
    TimePoint Deadline;
  };
  static constexpr std::size_t MessageOverheadBytes = 64;

  void schedule(TimePoint Time, std::function<void()> Action) {
    Events.emplace(Time, std::move(Action));
  }

  void wake(std::size_t Index, TimePoint Time) {
    Host &Entry = Hosts[Index];
    Entry.Wake = Time;
    schedule(Time, [this, Index, Time, Generation = Entry.Generation] {
      Host &Woken = Hosts[Index];
      if (Woken.Generation != Generation || Woken.Wake != Time || !Woken.Alive)
        return;
      FollowCommands Commands;
      Woken.Instance->advance(Now, Commands);
      executeAll(Index, Commands);
    });
  }

  void executeAll(std::size_t Index, const FollowCommands &Commands) {
    for (const FollowCommand &Command : Commands)
      std::visit([&](const auto &Alternative) { execute(Index, Alternative); },
                 Command);
    const TimePoint Next = Hosts[Index].Instance->nextWake();
    if (Next != Hosts[Index].Wake || Next <= Now)
      wake(Index, std::max(Next, Now + milliseconds(1)));
  }

  void execute(std::size_t Index, const ReadAgreed &Read) {
    Host &Entry = Hosts[Index];
    ++Entry.Sent.Reads;
    schedule(
        Now + LogDelay, [this, Index, Read, Generation = Entry.Generation] {
          Readers.push_back(Reader{Index, Generation, Read, Now + Read.Wait});
          schedule(Now + Read.Wait, [this] { releaseReaders(); });
          releaseReaders();
        });
  }
  void execute(std::size_t Index, const FoldRecords &Fold) {
    Host &Entry = Hosts[Index];
    for (const RecordPtr &Record : Fold.Records)
      Entry.FoldedInOrder =
          Entry.FoldedInOrder && Record->At == Entry.NextToFold++;
  }
  void execute(std::size_t Index, const RelayRecords &Relay) {
    std::size_t Bytes = MessageOverheadBytes;
    for (const RecordPtr &Record : Relay.Records)
      Bytes += Record->Payload.size() + 16;
    for (const HostName &To : Relay.Receivers)
      send(Index, To, Bytes,
           [Records = Relay.Records](Follower &Peer, const HostName &From,
                                     TimePoint Time, FollowCommands &Commands) {
             Peer.onRecords(From, Records, Time, Commands);
           });
  }
  void execute(std::size_t Index, const RequestRecords &Ask) {
    send(Index, Ask.Peer, MessageOverheadBytes,
         [Ask](Follower &Peer, const HostName &From, TimePoint Time,
               FollowCommands &Commands) {
           Peer.onRecordsRequested(From, Ask.From, Time, Commands);
         });
  }
  void execute(std::size_t Index, const ReportRecordsGone &Gone) {
    send(Index, Gone.Peer, MessageOverheadBytes,
         [Gone](Follower &Peer, const HostName &From, TimePoint Time,
                FollowCommands &Commands) {
           Peer.onRecordsGone(From, Gone.From, Time, Commands);
         });
  }
  void execute(std::size_t Index, const SendQuery &Query) {
    send(Index, Query.Peer, MessageOverheadBytes,
         [Query](Follower &Peer, const HostName &From, TimePoint Time,
                 FollowCommands &Commands) {
           Peer.onQuery(From, Query.Query, Time, Commands);
         });
  }
  void execute(std::size_t Index, const SendAnswer &Answer) {
    send(Index, Answer.Peer, MessageOverheadBytes,
         [Answer](Follower &Peer, const HostName &From, TimePoint Time,
                  FollowCommands &Commands) {
           Peer.onAnswer(From, Answer.Answer, Time, Commands);
         });
  }
  void execute(std::size_t Index, const FreshnessChanged &Change) {
    Hosts[Index].LastFreshness = Change.Now;
    Hosts[Index].SeenFreshness.insert(Change.Now);
  }
  void execute(std::size_t Index, const RecoverState &Over) {
    Hosts[Index].Floors.push_back(Over.Floor);
  }

  template <class DeliverFunction>
  void send(std::size_t From, const HostName &To, std::size_t Bytes,
            DeliverFunction Handler) {
    const std::size_t Target = IndexOf.at(To);
    Hosts[From].Sent.Messages += 1;
    Hosts[From].Sent.Bytes += Bytes;
    const bool Lost = Rng.fraction() < Loss;
    const Duration Delay =
        LinkDelay +
        Duration(Rng.below(static_cast<std::uint64_t>(LinkDelay.count())));
    schedule(Now + Delay, [this, From, Target, Lost, Handler] {
      Host &Peer = Hosts[Target];
      if (Lost || !Peer.Alive || !Hosts[From].Alive || !Linked(From, Target))
        return;
      FollowCommands Commands;
      Handler(*Peer.Instance, Hosts[From].Identity.Name, Now, Commands);
      executeAll(Target, Commands);
    });
  }

  [[nodiscard]] Offset visibleEnd(std::size_t Index) const {
    const auto It = Lag.find(Index);
    const std::size_t Behind = It == Lag.end() ? 0 : It->second;
    return Log.size() - std::min(Log.size(), Behind);
  }

  [[nodiscard]] bool isDue(const Reader &Waiting) const {
    return LogDown || Hosts[Waiting.Index].CutFromLog ||
           visibleEnd(Waiting.Index) > Waiting.Read.From ||
           Horizon > Waiting.Read.From || Now >= Waiting.Deadline;
  }

  [[nodiscard]] ReadResult resultFor(const Reader &Waiting) const {
    if (LogDown || Hosts[Waiting.Index].CutFromLog)
      return LogFailure::NotDone;
    if (Waiting.Read.From < Horizon)
      return LogFailure::Trimmed;
    LogBatch Batch;
    Batch.End = visibleEnd(Waiting.Index);
    Batch.Horizon = Horizon;
    for (Offset At = Waiting.Read.From;
         At < Batch.End && Batch.Entries.size() < Waiting.Read.MaxEntries; ++At)
      Batch.Entries.push_back(*Log[At]);
    return Batch;
  }

  void releaseReaders() {
    std::vector<Reader> Due;
    std::erase_if(Readers, [&](const Reader &Waiting) {
      if (!isDue(Waiting))
        return false;
      Due.push_back(Waiting);
      return true;
    });
    for (const Reader &Waiting : Due)
      schedule(Now + LogDelay, [this, Waiting, Result = resultFor(Waiting)] {
        Host &Receiver = Hosts[Waiting.Index];
        if (Receiver.Generation != Waiting.Generation || !Receiver.Alive)
          return;
        FollowCommands Commands;
        Receiver.Instance->onRead(Waiting.Read.Number, Result, Now, Commands);
        executeAll(Waiting.Index, Commands);
      });
  }

  Random Rng;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<Reader> Readers;
  std::map<HostName, std::size_t> IndexOf;
};

} // namespace coltsfoottrail::test

#endif
