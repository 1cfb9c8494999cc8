/// @file
/// Plays the dissemination tree of a whole fleet in simulated time.
#ifndef COLTSFOOTTRAIL_TEST_DISSEMINATION_SIMULATION_HPP
#define COLTSFOOTTRAIL_TEST_DISSEMINATION_SIMULATION_HPP

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
#include <vector>

namespace coltsfoottrail::test {

/// @brief What a fleet is made of.
struct FleetShape {
  std::size_t Hosts = 30;
  std::size_t DataCentres = 5;
  /// Hosts of a data centre that have the processor to relay and to coordinate.
  std::size_t StrongEach = 3;
  std::uint64_t Seed = 1;
  /// One exchange in so many is lost.
  std::uint64_t LostOneIn = 200;
};

/// @brief The fleet, its store and the network between them. The tree's
/// decisions are the product's own code; sockets and timers are simulated.
///
/// The operators' feed holds one configuration with growing versions; the
/// endpoints' feed holds records, most of which do not matter to routing.
class FleetSimulation {
public:
  static constexpr Duration Tick = milliseconds(5);
  static constexpr Duration ReadEvery = milliseconds(150);
  /// As a routing host: an own read once what was relayed is older.
  static constexpr Duration Cover = milliseconds(1'400);
  static constexpr Duration LeaseLife = milliseconds(1'500);
  static constexpr Duration ExchangeSlack = milliseconds(230);

  explicit FleetSimulation(FleetShape Given) : Shape(Given), Draw(Given.Seed) {
    for (std::size_t Index = 0; Index < Shape.Hosts; ++Index)
      Fleet.push_back(std::make_unique<Host>());
    for (std::size_t Index = 0; Index < Shape.Hosts; ++Index)
      restart(Index);
  }

  /// Starts a host anew, without memory.
  void restart(std::size_t Index) {
    Host &Its = *Fleet[Index];
    const std::string Name = "10.0." + std::to_string(Index / 250) + "." +
                             std::to_string(Index % 250) + ":7/" +
                             std::to_string(++Runs);
    Its.Node.emplace(HostName(Name));
    Its.Up.emplace(Name, Now);
    Its.Name = HostName(Name);
    Its.DataCentre =
        DataCentreName("dc" + std::to_string(Index % Shape.DataCentres));
    Its.IsStrong = Index / Shape.DataCentres < Shape.StrongEach;
    Its.Alive = true;
    Its.Frozen = false;
    Its.Waiting.clear();
    Its.Sent.reset();
    Its.Next = {};
    Its.Version = 0;
    Its.AsOf = {};
    Its.ReadAt = Now + (Its.IsStrong ? Duration{} : Cover / 2);
    Its.ReportAt = Now + milliseconds(Draw.below(20));
    ByAddress[textOf(*addressOfMember(Name))] = Index;
  }

  void run(Duration Span) {
    for (const TimePoint End = Now + Span; Now < End; Now += Tick)
      step();
  }

  void kill(std::size_t Index) { Fleet[Index]->Alive = false; }
  void freeze(std::size_t Index, bool Wanted) { Fleet[Index]->Frozen = Wanted; }
  /// Nothing from the first reaches the second.
  void cut(std::size_t From, std::size_t To) { Cut.insert({From, To}); }
  void publishVersion() {
    ++Published;
    Versions.push_back({Now, Published});
    ++OperatorsEnd;
  }
  /// Adds records of endpoints, of which one in OneIn matters.
  void publishEndpoints(std::size_t Count, std::size_t OneIn) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Endpoints.push_back(Index % OneIn == 0);
  }
  void setStoreAway(bool Wanted) { StoreAway = Wanted; }

  [[nodiscard]] std::optional<std::size_t> coordinator() const {
    return Coordinator;
  }
  [[nodiscard]] std::vector<std::size_t> relays() const {
    std::set<std::size_t> Out;
    for (const auto &Its : Fleet)
      if (Its->Alive && Its->Up->hasRelay())
        if (const auto To = ByAddress.find(textOf(*Its->Up->target()));
            To != ByAddress.end())
          Out.insert(To->second);
    return {Out.begin(), Out.end()};
  }
  [[nodiscard]] std::size_t mostReporters() const {
    std::size_t Most = 0;
    for (const auto &Its : Fleet)
      if (Its->Alive)
        Most = std::max(Most, Its->Node->reporters(Now));
    return Most;
  }
  /// Hosts that run and know a configuration that is no older than a bound.
  [[nodiscard]] std::size_t fresh(Duration Bound) const {
    return static_cast<std::size_t>(
        std::count_if(Fleet.begin(), Fleet.end(), [&](const auto &Its) {
          return Its->Alive && !Its->Frozen && Its->Version > 0 &&
                 Now - Its->AsOf <= Bound;
        }));
  }
  [[nodiscard]] std::size_t running() const {
    return static_cast<std::size_t>(
        std::count_if(Fleet.begin(), Fleet.end(), [](const auto &Its) {
          return Its->Alive && !Its->Frozen;
        }));
  }
  [[nodiscard]] std::size_t withVersion(std::uint64_t Wanted) const {
    return static_cast<std::size_t>(
        std::count_if(Fleet.begin(), Fleet.end(), [&](const auto &Its) {
          return Its->Alive && !Its->Frozen && Its->Version >= Wanted;
        }));
  }

  /// Reads of the store and questions for the coordinator since the last call.
  std::size_t takeStoreCalls() { return std::exchange(StoreCalls, 0); }
  /// Bytes that the busiest host sent to others since the last call.
  std::size_t takeMostBytes() {
    std::size_t Most = 0;
    for (const auto &Its : Fleet)
      Most = std::max(Most, std::exchange(Its->BytesSent, 0));
    return Most;
  }
  /// Versions that went back, and proofs that claimed a version that was
  /// already replaced when they were made.
  [[nodiscard]] std::size_t violations() const noexcept { return Violations; }

private:
  struct Held {
    std::size_t From = 0;
    Report What;
    TimePoint Arrived;
  };
  struct Outstanding {
    Report What;
    TimePoint SentAt;
    bool ByRelay;
  };
  struct Host {
    HostName Name;
    DataCentreName DataCentre;
    std::optional<TreeNode> Node;
    std::optional<Upstream> Up;
    bool Alive = true;
    bool Frozen = false;
    bool IsStrong = false;
    std::vector<Held> Waiting;
    std::optional<Outstanding> Sent;
    std::map<Feed, Offset> Next;
    std::uint64_t Version = 0;
    TimePoint AsOf{};
    TimePoint ReadAt{};
    TimePoint ReportAt{};
    std::size_t BytesSent = 0;
    /// Whether the last own read was answered.
    bool StoreAnswers = true;
  };

  /// Leaders that requests go to.
  static constexpr std::size_t Leaders = 64;
  /// Messages are encoded this seldom, and stand for those between.
  static constexpr std::size_t EncodedOneIn = 16;

  [[nodiscard]] static std::vector<EndpointLoad> ownLoads(std::size_t Index) {
    return {{Index % Leaders, {1, 0, 0, 0}}};
  }
  template <typename Message> void countBytes(Host &Of, const Message &Sent) {
    if (++Messages % EncodedOneIn == 0)
      Of.BytesSent += EncodedOneIn * encode(Sent).size();
  }

  [[nodiscard]] bool works(std::size_t Index) const {
    return Fleet[Index]->Alive && !Fleet[Index]->Frozen;
  }
  [[nodiscard]] bool reaches(std::size_t From, std::size_t To) const {
    return works(From) && works(To) && !Cut.contains({From, To});
  }

  void step() {
    elect();
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      if (!works(Index))
        continue;
      if (Coordinator == Index)
        coordinate(Index);
      else
        report(Index);
      respond(Index);
      readOwn(Index);
    }
  }

  void elect() {
    if (StoreAway)
      return;
    if (Coordinator && works(*Coordinator)) {
      LeaseUntil = Now + LeaseLife;
      return;
    }
    if (Now < LeaseUntil)
      return;
    Coordinator.reset();
    for (std::size_t Index = 0; Index < Fleet.size() && !Coordinator; ++Index)
      if (works(Index) && Fleet[Index]->IsStrong)
        Coordinator = Index;
  }

  void coordinate(std::size_t Index) {
    Host &Its = *Fleet[Index];
    Its.Up->coordinate();
    Its.Sent.reset();
    Its.Node->recordOwn(ownLoads(Index), Now);
  }

  void report(std::size_t Index) {
    Host &Its = *Fleet[Index];
    if (Its.Sent) {
      if (Now - Its.Sent->SentAt < LongestReportPace + ExchangeSlack)
        return;
      Its.Sent.reset();
      (void)Its.Up->lose(Now);
      Its.ReportAt = Now + milliseconds(100);
    }
    if (Now < Its.ReportAt)
      return;
    if (Its.Up->takeQuestion(Now)) {
      ++StoreCalls;
      if (!StoreAway && Coordinator)
        Its.Up->setCoordinator(Fleet[*Coordinator]->Name.Text);
    }
    const auto To = Its.Up->target();
    if (!To) {
      Its.ReportAt = Now + milliseconds(100);
      return;
    }
    send(Index, ByAddress.at(textOf(*To)));
  }

  void send(std::size_t Index, std::size_t To) {
    Host &Its = *Fleet[Index];
    Its.Node->recordOwn(ownLoads(Index), Now);
    Report What;
    What.Host = Its.Name;
    What.DataCentre = Its.DataCentre;
    What.CanRelay = Its.IsStrong;
    What.FailedRelay = Its.Up->failedRelay(Now);
    What.Loads = Its.Node->loadsBelow(Now);
    What.Hosts = Its.Node->hostsBelow(Now);
    for (const Feed Which : {Feed::Operators, Feed::Endpoints})
      if (Its.Next.contains(Which))
        What.Next[Which] = Its.Next[Which];
      else
        What.Missing.insert(Which);
    Its.Sent = Outstanding{What, Now, Its.Up->hasRelay()};
    countBytes(Its, What);
    if (reaches(Index, To) && Draw.below(Shape.LostOneIn) != 0)
      Fleet[To]->Waiting.push_back({Index, std::move(What), Now});
  }

  void respond(std::size_t Index) {
    Host &Its = *Fleet[Index];
    std::vector<Held> Left;
    for (Held &Each : std::exchange(Its.Waiting, {})) {
      if (Each.Arrived == Now || !answer(Index, Each))
        Left.push_back(std::move(Each));
    }
    for (Held &Each : Left)
      Its.Waiting.push_back(std::move(Each));
  }

  bool answer(std::size_t Index, Held &Each) {
    Host &Its = *Fleet[Index];
    (void)Its.Up->reportedHere(Each.What.Host, Now);
    Its.Node->recordReport(Each.What, Now);
    Response Made;
    std::optional<HostName> Assigned;
    if (Coordinator == Index)
      Assigned = Its.Node->assignRelay(Each.What, Now);
    if (Assigned) {
      Made.Relay = textOf(*addressOfMember(Assigned->Text));
    } else {
      const std::size_t Reporters = Its.Node->reporters(Now);
      const bool Update = Its.Node->hasUpdate(Each.What);
      const Duration Hold =
          Update ? batchTime(Reporters) : reportPace(Reporters);
      if (Now - Each.Arrived < Hold && Each.What.Missing.empty())
        return false;
      if (Now - Each.Arrived < Hold && !Update)
        return false;
      Made = Its.Node->respond(Each.What, Now);
    }
    Made.Coordinates = Coordinator == Index;
    if (!Made.Coordinates && Its.Up->coordinator())
      Made.Coordinator = textOf(*Its.Up->coordinator());
    countBytes(Its, Made);
    if (reaches(Index, Each.From))
      receive(Each.From, Made);
    return true;
  }

  void receive(std::size_t Index, const Response &Made) {
    Host &Its = *Fleet[Index];
    if (!Its.Sent)
      return;
    const Outstanding Sent = std::move(*Its.Sent);
    Its.Sent.reset();
    Its.ReportAt = Now + Tick;
    if (Its.Up->respond(Made, Sent.ByRelay))
      return;
    Its.Node->recordOutside(Made.Loads, Now);
    bool Useful = false;
    for (const auto &[Which, Update] : Made.Feeds) {
      const TimePoint AsOf = Sent.SentAt - Update.Staleness;
      const auto Asked = Sent.What.Next.find(Which);
      const bool Matches = Asked == Sent.What.Next.end()
                               ? !Its.Next.contains(Which)
                               : Its.Next[Which] >= Asked->second &&
                                     Update.Next >= Its.Next[Which];
      if (!Matches || AsOf + Cover <= Now)
        continue;
      Useful = true;
      FeedPage Page;
      Page.From = Update.Snapshot ? Update.Next : Asked->second;
      Page.Next = Page.End = Update.Next;
      for (const RelayedRecord &Record : Update.Records)
        Page.Records.push_back({Record.At, keyOf(Which, Record), Record.Bytes});
      apply(Index, Which, Page, Update.Snapshot, AsOf);
    }
    if (!Useful && Its.StoreAnswers && Its.Version > 0 &&
        Now - Its.AsOf > milliseconds(1'000))
      Its.Up->abandon(Now);
  }

  static std::string keyOf(Feed Which, const RelayedRecord &Record) {
    return Which == Feed::Operators ? "config" : Record.Bytes;
  }

  void apply(std::size_t Index, Feed Which, const FeedPage &Page, bool Whole,
             TimePoint AsOf) {
    Host &Its = *Fleet[Index];
    std::vector<RoutingEffect> Effects;
    for (const FeedRecord &Record : Page.Records) {
      const bool Matters = Which == Feed::Operators
                               ? std::stoull(Record.Bytes) > Its.Version
                               : Record.Bytes.front() == 'r';
      Effects.push_back(Matters || Whole ? RoutingEffect::Set
                                         : RoutingEffect::None);
    }
    Its.Next[Which] = Page.Next;
    Its.Node->ingest(Which, Page, Effects, Whole, AsOf);
    if (Which != Feed::Operators)
      return;
    std::uint64_t Newest = Its.Version;
    for (const FeedRecord &Record : Page.Records)
      Newest = std::max<std::uint64_t>(Newest, std::stoull(Record.Bytes));
    Violations += Newest < Its.Version ? 1 : 0;
    Its.Version = Newest;
    Its.AsOf = std::max(Its.AsOf, AsOf);
    for (const auto &[At, Version] : Versions)
      if (At < AsOf && Its.Version < Version)
        ++Violations;
  }

  void readOwn(std::size_t Index) {
    Host &Its = *Fleet[Index];
    const bool Reads = Coordinator == Index || Now - Its.AsOf > Cover;
    if (!Reads || Now < Its.ReadAt)
      return;
    Its.ReadAt = Now + (Coordinator == Index ? ReadEvery : Cover);
    StoreCalls += 2;
    Its.StoreAnswers = !StoreAway;
    if (StoreAway)
      return;
    FeedPage Config;
    Config.From =
        Its.Next.contains(Feed::Operators) ? Its.Next[Feed::Operators] : 0;
    Config.Next = Config.End = OperatorsEnd;
    if (!Versions.empty() && Config.From < OperatorsEnd)
      Config.Records.push_back(
          {OperatorsEnd - 1, "config", std::to_string(Published)});
    apply(Index, Feed::Operators, Config, !Its.Next.contains(Feed::Operators),
          Now);
    FeedPage Page;
    const bool Whole = !Its.Next.contains(Feed::Endpoints);
    Page.From = Whole ? 0 : Its.Next[Feed::Endpoints];
    Page.Next = Page.End = Endpoints.size();
    for (Offset At = Page.From; At < Page.End; ++At) {
      const std::string Name = std::to_string(At % 1'000);
      Page.Records.push_back(
          {At, Name,
           (Endpoints[At] ? "r" : "m") + Name + std::string(300, '.')});
    }
    apply(Index, Feed::Endpoints, Page, Whole, Now);
  }

  FleetShape Shape;
  Random Draw;
  TimePoint Now{seconds(100)};
  std::vector<std::unique_ptr<Host>> Fleet;
  std::map<std::string, std::size_t> ByAddress;
  std::set<std::pair<std::size_t, std::size_t>> Cut;
  std::vector<std::pair<TimePoint, std::uint64_t>> Versions;
  std::vector<bool> Endpoints;
  std::uint64_t Published = 0;
  Offset OperatorsEnd = 0;
  std::optional<std::size_t> Coordinator;
  TimePoint LeaseUntil{};
  bool StoreAway = false;
  std::size_t StoreCalls = 0;
  std::size_t Violations = 0;
  std::uint64_t Runs = 0;
  std::size_t Messages = 0;
};

} // namespace coltsfoottrail::test

#endif
