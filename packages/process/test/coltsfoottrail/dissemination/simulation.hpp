/// @file
/// Simulates the dissemination tree of a whole fleet in simulated time.
#ifndef COLTSFOOTTRAIL_TEST_DISSEMINATION_SIMULATION_HPP
#define COLTSFOOTTRAIL_TEST_DISSEMINATION_SIMULATION_HPP

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/dissemination/node.hpp"
#include "coltsfoottrail/dissemination/pace.hpp"
#include "coltsfoottrail/dissemination/upstream.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coltsfoottrail::test {

/// @brief Size and properties of the simulated fleet.
struct FleetShape {
  std::size_t Hosts = 30;
  std::size_t DataCentres = 5;
  /// Hosts per data centre with the processor capacity to relay and to
  /// coordinate.
  std::size_t StrongPerDataCentre = 3;
  std::uint64_t Seed = 1;
  /// One report in this many is lost.
  std::uint64_t LostOneIn = 200;
  bool FollowsDemand = false;
};

/// @brief Simulates the fleet, its store and the network between the hosts. The
/// decisions of the tree are made by the production code; sockets and timers
/// are simulated.
///
/// The operators' feed holds one configuration with increasing versions; the
/// endpoints' feed holds records most of which routing does not need.
class FleetSimulation {
public:
  static constexpr Duration Tick = milliseconds(5);
  static constexpr Duration ReadEvery = milliseconds(150);
  /// A host reads the store itself once the relayed records are older than
  /// this.
  static constexpr Duration MaxRelayedAge = milliseconds(1'400);
  static constexpr Duration LeaseLife = milliseconds(1'500);
  static constexpr Duration ExchangeSlack = milliseconds(230);

  explicit FleetSimulation(FleetShape InitialShape)
      : Shape(InitialShape), Draw(InitialShape.Seed) {
    for (std::size_t Index = 0; Index < Shape.Hosts; ++Index)
      Fleet.push_back(std::make_unique<Host>());
    for (std::size_t Index = 0; Index < Shape.Hosts; ++Index)
      restart(Index);
  }

  /// Restarts a host without its previous state.
  void restart(std::size_t Index) {
    Host &Member = *Fleet[Index];
    const std::string Name = "10.0." + std::to_string(Index / 250) + "." +
                             std::to_string(Index % 250) + ":7/" +
                             std::to_string(++Runs);
    Member.Node.emplace(HostName(Name));
    Member.CurrentUpstream.emplace(Name, Now);
    Member.Name = HostName(Name);
    Member.DataCentre =
        DataCentreName("dc" + std::to_string(Index % Shape.DataCentres));
    Member.IsStrong = Index / Shape.DataCentres < Shape.StrongPerDataCentre;
    Member.Alive = true;
    Member.Frozen = false;
    Member.Waiting.clear();
    Member.Sent.reset();
    Member.Next = {};
    Member.Crashes.clear();
    Member.Version = 0;
    Member.AsOf = {};
    Member.ReadAt = Now + (Member.IsStrong ? Duration{} : MaxRelayedAge / 2);
    Member.ReportAt = Now + milliseconds(Draw.below(20));
    Member.DemandAt = Now + milliseconds(Draw.below(100));
    ByAddress[textOf(*addressOfMember(Name))] = Index;
  }

  void run(Duration Span) {
    for (const TimePoint End = Now + Span; Now < End; Now += Tick)
      step();
  }

  void kill(std::size_t Index) { Fleet[Index]->Alive = false; }
  void freeze(std::size_t Index, bool Enabled) {
    Fleet[Index]->Frozen = Enabled;
  }
  /// Drops all messages from the first host to the second.
  void cutLink(std::size_t From, std::size_t To) {
    CutLinks.insert({From, To});
  }
  void publishVersion() {
    ++Published;
    Versions.push_back({Now, Published});
    ++OperatorsEnd;
  }
  /// Publishes records of endpoints; routing needs one in OneIn of them.
  void publishEndpoints(std::size_t Count, std::size_t OneIn) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Endpoints.push_back(Index % OneIn == 0);
  }
  void setStoreDown(bool Enabled) { StoreDown = Enabled; }
  /// A host sees an endpoint crash with some requests in flight.
  void crashEndpoint(std::size_t Index, const std::string &EndpointKey,
                     std::size_t RequestCount = 1) {
    CrashNotice Notice{EndpointKey, Fleet[Index]->DataCentre, 0, {}, {}};
    for (std::size_t Request = 1; Request <= RequestCount; ++Request)
      Notice.Fingerprints.push_back(Request);
    Fleet[Index]->Crashes.insert(EndpointKey);
    Fleet[Index]->Node->recordOwnNotice("model/m", Notice, Now);
  }
  /// Multiplies the demand at all hosts from now on.
  void setDemandFactor(double Factor) { DemandFactor = Factor; }
  /// Demand as a host knows it.
  [[nodiscard]] DemandSum demandAt(std::size_t Index) const {
    return Fleet[Index]->Node->demand(Now);
  }
  /// Demand as the coordinator knows it.
  [[nodiscard]] DemandSum demand() const { return demandAt(*Coordinator); }
  /// Lets a host take another one for the coordinator.
  void takeForCoordinator(std::size_t Index, std::size_t Other) {
    Fleet[Index]->CurrentUpstream->setCoordinator(Fleet[Other]->Name.Text);
  }
  /// Requests per second that are offered to a host.
  [[nodiscard]] double offeredTo(std::size_t Index) const {
    return offered(ownDemand(Index));
  }
  /// Requests per second that are offered to the running hosts.
  [[nodiscard]] double trueOffered() const {
    double Result = 0.0;
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      if (isRunning(Index))
        Result += offeredTo(Index);
    return Result;
  }
  [[nodiscard]] static double offered(const std::vector<DemandRow> &Rows) {
    double Result = 0.0;
    for (const DemandRow &Row : Rows)
      Result += Row.Rates.Offered;
    return Result;
  }
  /// Number of hosts that a host reports for, itself among them.
  [[nodiscard]] std::size_t subtreeHosts(std::size_t Index) const {
    Report Result;
    Fleet[Index]->Node->setSubtree(Result, Now);
    return Result.Hosts;
  }
  /// Size of the largest demand in a report since the last call.
  std::size_t takeMaxDemandSize() { return std::exchange(MaxDemandSize, 0); }
  /// Bytes of demand that all hosts have sent since the last call, and that the
  /// host that was sent most has been sent.
  std::pair<std::size_t, std::size_t> takeDemandBytes() {
    std::size_t Total = 0;
    std::size_t Max = 0;
    for (const auto &Member : Fleet) {
      const std::size_t Bytes = std::exchange(Member->DemandBytes, 0);
      Total += Bytes;
      Max = std::max(Max, Bytes);
    }
    return {Total, Max};
  }
  /// Number of running hosts that know of the crash of an endpoint.
  [[nodiscard]] std::size_t knowCrash(const std::string &EndpointKey) const {
    return static_cast<std::size_t>(
        std::count_if(Fleet.begin(), Fleet.end(), [&](const auto &Member) {
          return Member->Alive && !Member->Frozen &&
                 Member->Crashes.contains(EndpointKey);
        }));
  }

  [[nodiscard]] std::optional<std::size_t> coordinator() const {
    return Coordinator;
  }
  [[nodiscard]] std::vector<std::size_t> relays() const {
    std::set<std::size_t> Result;
    for (const auto &Member : Fleet)
      if (Member->Alive && Member->CurrentUpstream->hasRelay())
        if (const auto Relay =
                ByAddress.find(textOf(*Member->CurrentUpstream->target()));
            Relay != ByAddress.end())
          Result.insert(Relay->second);
    return {Result.begin(), Result.end()};
  }
  [[nodiscard]] std::size_t maxReporters() const {
    std::size_t Max = 0;
    for (const auto &Member : Fleet)
      if (Member->Alive)
        Max = std::max(Max, Member->Node->reporters(Now));
    return Max;
  }
  /// Number of running hosts whose configuration is known and not older than a
  /// limit.
  [[nodiscard]] std::size_t fresh(Duration Bound) const {
    return static_cast<std::size_t>(
        std::count_if(Fleet.begin(), Fleet.end(), [&](const auto &Member) {
          return Member->Alive && !Member->Frozen && Member->Version > 0 &&
                 Now - Member->AsOf <= Bound;
        }));
  }
  [[nodiscard]] std::size_t running() const {
    return static_cast<std::size_t>(
        std::count_if(Fleet.begin(), Fleet.end(), [](const auto &Member) {
          return Member->Alive && !Member->Frozen;
        }));
  }
  [[nodiscard]] std::size_t withVersion(std::uint64_t MinVersion) const {
    return static_cast<std::size_t>(
        std::count_if(Fleet.begin(), Fleet.end(), [&](const auto &Member) {
          return Member->Alive && !Member->Frozen &&
                 Member->Version >= MinVersion;
        }));
  }

  /// Number of reads of the store and of queries for the coordinator since the
  /// last call.
  std::size_t takeStoreCalls() { return std::exchange(StoreCalls, 0); }
  /// Bytes that the host that sent most has sent since the last call.
  std::size_t takeMaxBytes() {
    std::size_t Max = 0;
    for (const auto &Member : Fleet)
      Max = std::max(Max, std::exchange(Member->BytesSent, 0));
    return Max;
  }
  /// Number of versions that went backwards, and of proofs for a version that
  /// was already replaced when they were made.
  [[nodiscard]] std::size_t violations() const noexcept { return Violations; }

private:
  struct PendingReport {
    std::size_t Sender = 0;
    Report Message;
    TimePoint Arrived;
  };
  struct Outstanding {
    Report Message;
    TimePoint SentAt;
    bool ByRelay;
    EngineAddress Receiver;
  };
  struct Host {
    HostName Name;
    DataCentreName DataCentre;
    std::optional<TreeNode> Node;
    std::optional<Upstream> CurrentUpstream;
    bool Alive = true;
    bool Frozen = false;
    bool IsStrong = false;
    std::vector<PendingReport> Waiting;
    std::optional<Outstanding> Sent;
    std::map<Feed, Offset> Next;
    std::uint64_t Version = 0;
    TimePoint AsOf{};
    TimePoint ReadAt{};
    TimePoint ReportAt{};
    std::size_t BytesSent = 0;
    TimePoint DemandAt{};
    /// Bytes of demand that it has been sent.
    std::size_t DemandBytes = 0;
    /// Endpoints whose crash it knows of.
    std::set<std::string> Crashes;
    /// Whether the store answered this host's last read.
    bool StoreAnswers = true;
  };

  /// Number of leaders that receive requests.
  static constexpr std::size_t Leaders = 64;
  /// One message in this many is encoded and its size counted for all of them.
  static constexpr std::size_t EncodedOneIn = 16;

  [[nodiscard]] static std::vector<EndpointLoad> ownLoads(std::size_t Index) {
    return {{Index % Leaders, {1, 0, 0, 0}}};
  }
  static constexpr std::uint64_t DemandPools = 2;
  static constexpr std::uint32_t DemandRanks = 3;
  static constexpr Duration OwnDemandEvery = milliseconds(100);

  [[nodiscard]] std::vector<DemandRow> ownDemand(std::size_t Index) const {
    std::vector<DemandRow> Result;
    const std::uint64_t DataCentre = hashText(Fleet[Index]->DataCentre.Text);
    for (std::uint64_t Pool = 0; Pool < DemandPools; ++Pool)
      for (std::uint32_t Rank = 0; Rank < DemandRanks; ++Rank) {
        const double PerSecond = DemandFactor * (0.25 + double(Index % 8));
        Result.push_back(
            {{hashText(std::to_string(Pool)), DataCentre, Rank},
             {PerSecond, PerSecond * 0.75, PerSecond * 0.125, PerSecond * 0.125,
              PerSecond * 1'500.0, PerSecond * 80.0, PerSecond * 0.25}});
      }
    return Result;
  }
  void recordDemand(std::size_t Index) {
    Host &Member = *Fleet[Index];
    if (!Shape.FollowsDemand || Now < Member.DemandAt)
      return;
    Member.DemandAt = Now + OwnDemandEvery;
    Member.Node->recordOwnDemand(ownDemand(Index), Now);
  }
  void countDemand(Host &Receiver, const Report &Message) {
    if (!Message.Demand)
      return;
    Report Plain = Message;
    Plain.Demand.reset();
    const std::size_t Size = encode(Message).size() - encode(Plain).size();
    MaxDemandSize = std::max(MaxDemandSize, Size);
    Receiver.DemandBytes += Size;
  }

  template <typename Payload>
  void countBytes(Host &Sender, const Payload &Sent) {
    if (++Messages % EncodedOneIn == 0)
      Sender.BytesSent += EncodedOneIn * encode(Sent).size();
  }

  [[nodiscard]] bool isRunning(std::size_t Index) const {
    return Fleet[Index]->Alive && !Fleet[Index]->Frozen;
  }
  [[nodiscard]] bool reaches(std::size_t From, std::size_t To) const {
    return isRunning(From) && isRunning(To) && !CutLinks.contains({From, To});
  }

  void step() {
    elect();
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      if (!isRunning(Index))
        continue;
      recordDemand(Index);
      if (Coordinator == Index)
        coordinate(Index);
      else
        report(Index);
      respond(Index);
      readOwn(Index);
    }
  }

  void elect() {
    if (StoreDown)
      return;
    if (Coordinator && isRunning(*Coordinator)) {
      LeaseUntil = Now + LeaseLife;
      return;
    }
    if (Now < LeaseUntil)
      return;
    Coordinator.reset();
    for (std::size_t Index = 0; Index < Fleet.size() && !Coordinator; ++Index)
      if (isRunning(Index) && Fleet[Index]->IsStrong)
        Coordinator = Index;
  }

  void coordinate(std::size_t Index) {
    Host &Member = *Fleet[Index];
    Member.CurrentUpstream->becomeCoordinator();
    Member.Sent.reset();
    Member.Node->recordOwn(ownLoads(Index), Now);
  }

  void report(std::size_t Index) {
    Host &Member = *Fleet[Index];
    if (Member.Sent) {
      if (Now - Member.Sent->SentAt < LongestReportPace + ExchangeSlack)
        return;
      Member.Sent.reset();
      (void)Member.CurrentUpstream->recordLoss(Now);
      Member.ReportAt = Now + milliseconds(100);
    }
    if (Now < Member.ReportAt)
      return;
    if (Member.CurrentUpstream->takeCoordinatorQuery(Now)) {
      ++StoreCalls;
      if (!StoreDown && Coordinator)
        Member.CurrentUpstream->setCoordinator(Fleet[*Coordinator]->Name.Text);
    }
    const auto Target = Member.CurrentUpstream->target();
    if (!Target) {
      Member.ReportAt = Now + milliseconds(100);
      return;
    }
    send(Index, ByAddress.at(textOf(*Target)));
  }

  void send(std::size_t Index, std::size_t Target) {
    Host &Member = *Fleet[Index];
    Member.Node->recordOwn(ownLoads(Index), Now);
    Report Message;
    Message.Host = Member.Name;
    Message.DataCentre = Member.DataCentre;
    Message.CanRelay = Member.IsStrong;
    Message.FailedRelay = Member.CurrentUpstream->failedRelay(Now);
    Message.ToRelay = Member.CurrentUpstream->hasRelay();
    Member.Node->setSubtree(Message, Now);
    Member.Node->setNotices(Message, Now);
    for (const Feed FeedId : {Feed::Operators, Feed::Endpoints})
      if (Member.Next.contains(FeedId))
        Message.Next[FeedId] = Member.Next[FeedId];
      else
        Message.Missing.insert(FeedId);
    Member.Node->setDemand(Message, *Member.CurrentUpstream->target(), Now);
    countDemand(*Fleet[Target], Message);
    Member.Sent = Outstanding{Message, Now, Member.CurrentUpstream->hasRelay(),
                              *Member.CurrentUpstream->target()};
    countBytes(Member, Message);
    if (reaches(Index, Target) && Draw.below(Shape.LostOneIn) != 0)
      Fleet[Target]->Waiting.push_back({Index, std::move(Message), Now});
  }

  void respond(std::size_t Index) {
    Host &Member = *Fleet[Index];
    std::vector<PendingReport> Unanswered;
    for (PendingReport &Pending : std::exchange(Member.Waiting, {})) {
      if (Pending.Arrived == Now || !answer(Index, Pending))
        Unanswered.push_back(std::move(Pending));
    }
    for (PendingReport &Pending : Unanswered)
      Member.Waiting.push_back(std::move(Pending));
  }

  bool answer(std::size_t Index, PendingReport &Pending) {
    Host &Member = *Fleet[Index];
    (void)Member.CurrentUpstream->recordReporter(Pending.Message.Host, Now);
    Member.Node->recordReport(Pending.Message, Now);
    take(Member, Member.Node->ingestNotices(Pending.Message, Now));
    Response Answer;
    std::optional<HostName> Assigned;
    if (Coordinator == Index)
      Assigned = Member.Node->assignRelay(Pending.Message, Now);
    if (Assigned) {
      Answer.Relay = textOf(*addressOfMember(Assigned->Text));
    } else {
      const std::size_t Reporters = Member.Node->reporters(Now);
      const bool Update = Member.Node->hasUpdate(Pending.Message);
      const Duration Hold =
          Update ? batchTime(Reporters) : reportPace(Reporters);
      if (Now - Pending.Arrived < Hold && Pending.Message.Missing.empty())
        return false;
      if (Now - Pending.Arrived < Hold && !Update)
        return false;
      Answer = Member.Node->makeResponse(Pending.Message, Now);
    }
    Answer.Coordinates = Coordinator == Index;
    if (!Answer.Coordinates && Member.CurrentUpstream->coordinator())
      Answer.Coordinator = textOf(*Member.CurrentUpstream->coordinator());
    countBytes(Member, Answer);
    if (reaches(Index, Pending.Sender))
      receive(Pending.Sender, Answer);
    return true;
  }

  static void take(Host &Member, const std::vector<PoolNotice> &Notices) {
    for (const PoolNotice &Received : Notices)
      if (const auto *const Crash = std::get_if<CrashNotice>(&Received.Notice))
        Member.Crashes.insert(Crash->EndpointKey);
  }

  void receive(std::size_t Index, const Response &Answer) {
    Host &Member = *Fleet[Index];
    if (!Member.Sent)
      return;
    const Outstanding Sent = std::move(*Member.Sent);
    Member.Sent.reset();
    Member.ReportAt = Now + Tick;
    if (Member.CurrentUpstream->applyResponse(Answer, Sent.ByRelay)) {
      Member.Node->recordAssignment(Sent.Receiver);
      return;
    }
    Member.Node->recordOutside(Answer.Loads, Now);
    take(Member, Member.Node->ingestNotices(Sent.Message, Answer, Now));
    bool HasUsefulUpdate = false;
    for (const auto &[FeedId, Update] : Answer.Feeds) {
      const TimePoint AsOf = Sent.SentAt - Update.Staleness;
      const auto RequestedOffset = Sent.Message.Next.find(FeedId);
      const bool Matches =
          RequestedOffset == Sent.Message.Next.end()
              ? !Member.Next.contains(FeedId)
              : Member.Next[FeedId] >= RequestedOffset->second &&
                    Update.Next >= Member.Next[FeedId];
      if (!Matches || AsOf + MaxRelayedAge <= Now)
        continue;
      HasUsefulUpdate = true;
      FeedPage Page;
      Page.From = Update.Snapshot ? Update.Next : RequestedOffset->second;
      Page.Next = Page.End = Update.Next;
      for (const RelayedRecord &Record : Update.Records)
        Page.Records.push_back(
            {Record.Position, keyOf(FeedId, Record), Record.Bytes});
      apply(Index, FeedId, Page, Update.Snapshot, AsOf);
    }
    if (!HasUsefulUpdate && Member.StoreAnswers && Member.Version > 0 &&
        Now - Member.AsOf > milliseconds(1'000))
      Member.CurrentUpstream->abandon(Now);
  }

  static std::string keyOf(Feed FeedId, const RelayedRecord &Record) {
    return FeedId == Feed::Operators ? "config" : Record.Bytes;
  }

  void apply(std::size_t Index, Feed FeedId, const FeedPage &Page,
             bool IsSnapshot, TimePoint AsOf) {
    Host &Member = *Fleet[Index];
    std::vector<RoutingEffect> Effects;
    for (const FeedRecord &Record : Page.Records) {
      const bool Matters = FeedId == Feed::Operators
                               ? std::stoull(Record.Bytes) > Member.Version
                               : Record.Bytes.front() == 'r';
      Effects.push_back(Matters || IsSnapshot ? RoutingEffect::Set
                                              : RoutingEffect::None);
    }
    Member.Next[FeedId] = Page.Next;
    Member.Node->ingest(FeedId, Page, Effects, IsSnapshot, AsOf);
    if (FeedId != Feed::Operators)
      return;
    std::uint64_t Newest = Member.Version;
    for (const FeedRecord &Record : Page.Records)
      Newest = std::max<std::uint64_t>(Newest, std::stoull(Record.Bytes));
    Violations += Newest < Member.Version ? 1 : 0;
    Member.Version = Newest;
    Member.AsOf = std::max(Member.AsOf, AsOf);
    for (const auto &[PublishedAt, Version] : Versions)
      if (PublishedAt < AsOf && Member.Version < Version)
        ++Violations;
  }

  void readOwn(std::size_t Index) {
    Host &Member = *Fleet[Index];
    const bool Reads =
        Coordinator == Index || Now - Member.AsOf > MaxRelayedAge;
    if (!Reads || Now < Member.ReadAt)
      return;
    Member.ReadAt = Now + (Coordinator == Index ? ReadEvery : MaxRelayedAge);
    StoreCalls += 2;
    Member.StoreAnswers = !StoreDown;
    if (StoreDown)
      return;
    FeedPage Config;
    Config.From = Member.Next.contains(Feed::Operators)
                      ? Member.Next[Feed::Operators]
                      : 0;
    Config.Next = Config.End = OperatorsEnd;
    if (!Versions.empty() && Config.From < OperatorsEnd)
      Config.Records.push_back(
          {OperatorsEnd - 1, "config", std::to_string(Published)});
    apply(Index, Feed::Operators, Config,
          !Member.Next.contains(Feed::Operators), Now);
    FeedPage Page;
    const bool IsSnapshot = !Member.Next.contains(Feed::Endpoints);
    Page.From = IsSnapshot ? 0 : Member.Next[Feed::Endpoints];
    Page.Next = Page.End = Endpoints.size();
    for (Offset At = Page.From; At < Page.End; ++At) {
      const std::string Name = std::to_string(At % 1'000);
      Page.Records.push_back(
          {At, Name,
           (Endpoints[At] ? "r" : "m") + Name + std::string(300, '.')});
    }
    apply(Index, Feed::Endpoints, Page, IsSnapshot, Now);
  }

  FleetShape Shape;
  Random Draw;
  TimePoint Now{seconds(100)};
  std::vector<std::unique_ptr<Host>> Fleet;
  std::map<std::string, std::size_t> ByAddress;
  std::set<std::pair<std::size_t, std::size_t>> CutLinks;
  std::vector<std::pair<TimePoint, std::uint64_t>> Versions;
  std::vector<bool> Endpoints;
  std::uint64_t Published = 0;
  Offset OperatorsEnd = 0;
  std::optional<std::size_t> Coordinator;
  TimePoint LeaseUntil{};
  bool StoreDown = false;
  std::size_t StoreCalls = 0;
  std::size_t Violations = 0;
  std::uint64_t Runs = 0;
  std::size_t Messages = 0;
  double DemandFactor = 1.0;
  std::size_t MaxDemandSize = 0;
};

} // namespace coltsfoottrail::test

#endif
