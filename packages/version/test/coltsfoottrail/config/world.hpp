/// @file
/// Many followers, a log and the links between them under a simulated time.
#ifndef COLTSFOOTTRAIL_TEST_CONFIG_WORLD_HPP
#define COLTSFOOTTRAIL_TEST_CONFIG_WORLD_HPP

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

/// What one host sent and took in.
struct Traffic {
  std::size_t Reads = 0;
  std::size_t Messages = 0;
  std::size_t Bytes = 0;
};

/// A network of followers. Each step is drawn from the seed, so a run can be
/// repeated.
class World {
public:
  struct Host {
    Member Who;
    std::unique_ptr<Follower> Follow;
    /// Offset of the next record that was to be folded; checked at each fold.
    Offset Folded = 0;
    bool InOrder = true;
    bool Alive = true;
    bool CutFromLog = false;
    Freshness Verdict = Freshness::Starting;
    std::set<Freshness> Verdicts;
    std::vector<Offset> Floors;
    Traffic Sent;
    std::uint64_t Life = 0;
    TimePoint Wake = TimePoint::max();
  };

  World(std::size_t Hosts, std::size_t DataCentres, std::uint64_t Seed)
      : Draw(Seed) {
    for (std::size_t Index = 0; Index < Hosts; ++Index) {
      Host Each;
      Each.Who =
          Member{HostName("entry-" + std::to_string(Index)),
                 DataCentreName("dc" + std::to_string(Index % DataCentres))};
      Members.push_back(Each.Who);
      All.push_back(std::move(Each));
      IndexOf[Members.back().Name] = Index;
    }
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      begin(Index, 0);
  }

  /// Starts a host, or starts it anew, with a state of an offset.
  void begin(std::size_t Index, Offset Next) {
    Host &Each = All[Index];
    FollowerOptions Options;
    Options.Self = Each.Who;
    Options.Seed = Draw();
    Each.Follow = std::make_unique<Follower>(Options, Next, Now);
    Each.Follow->setMembers(Members);
    Each.Folded = Next;
    Each.Verdict = Freshness::Starting;
    Each.Verdicts = {Freshness::Starting};
    Each.Alive = true;
    ++Each.Life;
    wake(Index, Now + milliseconds(Draw.below(100)));
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
      const std::function<void()> Act = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Act();
    }
    Now = End;
  }

  /// Runs until all living hosts have folded the whole log.
  /// @return How long that took, or the limit.
  Duration runUntilInForce(Duration Limit) {
    const TimePoint Start = Now;
    while (Now - Start < Limit && !inForce())
      run(milliseconds(1));
    return Now - Start;
  }

  [[nodiscard]] bool inForce() const {
    return std::ranges::all_of(All, [&](const Host &Each) {
      return !Each.Alive || Each.Folded == Log.size();
    });
  }

  [[nodiscard]] std::size_t count(Freshness Which) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(All, [&](const Host &Each) {
          return Each.Alive && Each.Verdict == Which;
        }));
  }
  [[nodiscard]] bool allInOrder() const {
    return std::ranges::all_of(All, &Host::InOrder);
  }
  void clearTraffic() {
    for (Host &Each : All)
      Each.Sent = Traffic{};
  }
  void clearVerdicts() {
    for (Host &Each : All)
      Each.Verdicts = {Each.Verdict};
  }
  [[nodiscard]] Traffic total() const {
    Traffic Out;
    for (const Host &Each : All) {
      Out.Reads += Each.Sent.Reads;
      Out.Messages += Each.Sent.Messages;
      Out.Bytes += Each.Sent.Bytes;
    }
    return Out;
  }
  [[nodiscard]] Traffic most() const {
    Traffic Out;
    for (const Host &Each : All) {
      Out.Reads = std::max(Out.Reads, Each.Sent.Reads);
      Out.Messages = std::max(Out.Messages, Each.Sent.Messages);
      Out.Bytes = std::max(Out.Bytes, Each.Sent.Bytes);
    }
    return Out;
  }

  TimePoint Now{seconds(1000)};
  std::vector<Host> All;
  std::vector<Member> Members;
  std::vector<RecordPtr> Log;
  bool LogDown = false;
  Offset Horizon = 0;
  /// Records that a reader of the log does not see yet, by host.
  std::map<std::size_t, std::size_t> Lag;
  /// Share of the messages that are lost.
  double Loss = 0;
  Duration LogDelay = milliseconds(3);
  Duration LinkDelay = milliseconds(1);
  /// Whether a message passes; both directions are asked.
  std::function<bool(std::size_t, std::size_t)> Linked =
      [](std::size_t, std::size_t) { return true; };

private:
  struct Reader {
    std::size_t Index;
    std::uint64_t Life;
    ReadAgreed Read;
    TimePoint Until;
  };
  static constexpr std::size_t SmallMessage = 64;

  void at(TimePoint When, std::function<void()> Act) {
    Events.emplace(When, std::move(Act));
  }

  void wake(std::size_t Index, TimePoint When) {
    Host &Each = All[Index];
    Each.Wake = When;
    at(When, [this, Index, When, Life = Each.Life] {
      Host &Woken = All[Index];
      if (Woken.Life != Life || Woken.Wake != When || !Woken.Alive)
        return;
      FollowCommands Out;
      Woken.Follow->advance(Now, Out);
      carryOut(Index, Out);
    });
  }

  void carryOut(std::size_t Index, const FollowCommands &Out) {
    for (const FollowCommand &Each : Out)
      std::visit([&](const auto &Command) { carry(Index, Command); }, Each);
    const TimePoint Next = All[Index].Follow->nextWake();
    if (Next != All[Index].Wake || Next <= Now)
      wake(Index, std::max(Next, Now + milliseconds(1)));
  }

  void carry(std::size_t Index, const ReadAgreed &Read) {
    Host &Each = All[Index];
    ++Each.Sent.Reads;
    at(Now + LogDelay, [this, Index, Read, Life = Each.Life] {
      Readers.push_back(Reader{Index, Life, Read, Now + Read.Wait});
      at(Now + Read.Wait, [this] { releaseReaders(); });
      releaseReaders();
    });
  }
  void carry(std::size_t Index, const FoldRecords &Fold) {
    Host &Each = All[Index];
    for (const RecordPtr &Record : Fold.Records)
      Each.InOrder = Each.InOrder && Record->At == Each.Folded++;
  }
  void carry(std::size_t Index, const RelayRecords &Relay) {
    std::size_t Bytes = SmallMessage;
    for (const RecordPtr &Record : Relay.Records)
      Bytes += Record->Payload.size() + 16;
    for (const HostName &To : Relay.Receivers)
      send(Index, To, Bytes,
           [Records = Relay.Records](Follower &Peer, const HostName &From,
                                     TimePoint When, FollowCommands &Out) {
             Peer.onRecords(From, Records, When, Out);
           });
  }
  void carry(std::size_t Index, const RequestRecords &Ask) {
    send(Index, Ask.Peer, SmallMessage,
         [Ask](Follower &Peer, const HostName &From, TimePoint When,
               FollowCommands &Out) {
           Peer.onRecordsRequested(From, Ask.From, When, Out);
         });
  }
  void carry(std::size_t Index, const ReportRecordsGone &Gone) {
    send(Index, Gone.Peer, SmallMessage,
         [Gone](Follower &Peer, const HostName &From, TimePoint When,
                FollowCommands &Out) {
           Peer.onRecordsGone(From, Gone.From, When, Out);
         });
  }
  void carry(std::size_t Index, const SendQuery &Query) {
    send(Index, Query.Peer, SmallMessage,
         [Query](Follower &Peer, const HostName &From, TimePoint When,
                 FollowCommands &Out) {
           Peer.onQuery(From, Query.Query, When, Out);
         });
  }
  void carry(std::size_t Index, const SendAnswer &Answer) {
    send(Index, Answer.Peer, SmallMessage,
         [Answer](Follower &Peer, const HostName &From, TimePoint When,
                  FollowCommands &Out) {
           Peer.onAnswer(From, Answer.Answer, When, Out);
         });
  }
  void carry(std::size_t Index, const FreshnessChanged &Change) {
    All[Index].Verdict = Change.Now;
    All[Index].Verdicts.insert(Change.Now);
  }
  void carry(std::size_t Index, const RecoverState &Over) {
    All[Index].Floors.push_back(Over.Floor);
  }

  template <class Deliver>
  void send(std::size_t From, const HostName &To, std::size_t Bytes,
            Deliver Act) {
    const std::size_t Target = IndexOf.at(To);
    All[From].Sent.Messages += 1;
    All[From].Sent.Bytes += Bytes;
    const bool Lost = Draw.fraction() < Loss;
    const Duration Delay =
        LinkDelay +
        Duration(Draw.below(static_cast<std::uint64_t>(LinkDelay.count())));
    at(Now + Delay, [this, From, Target, Lost, Act] {
      Host &Peer = All[Target];
      if (Lost || !Peer.Alive || !All[From].Alive || !Linked(From, Target))
        return;
      FollowCommands Out;
      Act(*Peer.Follow, All[From].Who.Name, Now, Out);
      carryOut(Target, Out);
    });
  }

  [[nodiscard]] Offset visibleEnd(std::size_t Index) const {
    const auto Found = Lag.find(Index);
    const std::size_t Behind = Found == Lag.end() ? 0 : Found->second;
    return Log.size() - std::min(Log.size(), Behind);
  }

  [[nodiscard]] bool isDue(const Reader &Each) const {
    return LogDown || All[Each.Index].CutFromLog ||
           visibleEnd(Each.Index) > Each.Read.From ||
           Horizon > Each.Read.From || Now >= Each.Until;
  }

  [[nodiscard]] ReadResult resultOf(const Reader &Each) const {
    if (LogDown || All[Each.Index].CutFromLog)
      return LogFailure::NotDone;
    if (Each.Read.From < Horizon)
      return LogFailure::Trimmed;
    LogBatch Batch;
    Batch.End = visibleEnd(Each.Index);
    Batch.Horizon = Horizon;
    for (Offset At = Each.Read.From;
         At < Batch.End && Batch.Entries.size() < Each.Read.MaxEntries; ++At)
      Batch.Entries.push_back(*Log[At]);
    return Batch;
  }

  void releaseReaders() {
    std::vector<Reader> Due;
    std::erase_if(Readers, [&](const Reader &Each) {
      if (!isDue(Each))
        return false;
      Due.push_back(Each);
      return true;
    });
    for (const Reader &Each : Due)
      at(Now + LogDelay, [this, Each, Result = resultOf(Each)] {
        Host &To = All[Each.Index];
        if (To.Life != Each.Life || !To.Alive)
          return;
        FollowCommands Out;
        To.Follow->onRead(Each.Read.Number, Result, Now, Out);
        carryOut(Each.Index, Out);
      });
  }

  Random Draw;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<Reader> Readers;
  std::map<HostName, std::size_t> IndexOf;
};

} // namespace coltsfoottrail::test

#endif
