// The part of the host that follows the feeds, shares them with other hosts and
// takes what they relay.
#include "coltsfoottrail/fleethost/host.hpp"

#include "coltsfoottrail/fleethost/changelog.hpp"
#include "coltsfoottrail/logging/log.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// What an upstream relayed stands in for own reads while it is no older than
/// this part of the time in which a configuration must be in force: an own read
/// and one more still fit in.
constexpr double OperatorsCoverPart = 0.55;
constexpr milliseconds LongestOperatorsCover{2'400};
/// An upstream that has relayed no endpoints for so long, while this host's own
/// reads are answered, is abandoned; less often while that changes nothing.
constexpr milliseconds UselessUpstreamAfter{1'000};
constexpr milliseconds LongestAbandonPause{8'000};
/// How long a host that does not coordinate waits for an upstream to relay the
/// feeds before it reads them itself, and the spread over hosts that start
/// together. There is no coordinator at first when all hosts are new.
constexpr milliseconds RelayedStart{500};
constexpr milliseconds RelayedFirstStart{3'000};
constexpr milliseconds RelayedStartSpread{500};
/// While the store fails, all hosts together attempt one read of a feed in this
/// time, apart from the hosts that read for others; a host waits no longer than
/// the second.
constexpr milliseconds FailedReadEvery{20};
constexpr milliseconds LongestFailurePause{8'000};

milliseconds operatorsCover(const FleetBounds &Bounds) {
  const auto Part = std::chrono::duration_cast<milliseconds>(
      Bounds.Configuration * OperatorsCoverPart);
  return std::min(LongestOperatorsCover, Part);
}

} // namespace

void FleetHost::ingestPage(Feed Which, FeedPage Page, bool Whole,
                           TimePoint AskedAt) {
  if (!std::exchange(StoreAnswers, true)) {
    logEvent(Event::StoreRegained);
    Desk.recordStore(true, BootClock::now());
    follower(Which == Feed::Operators ? Feed::Endpoints : Feed::Operators)
        .hurry();
    Desk.hurry();
  }
  const TimePoint Now = BootClock::now();
  logFeedChanges(Page, View, AskedAt, Now);
  const std::vector<RoutingEffect> Effects =
      View.take(Which, Page, Whole, AskedAt, Now);
  share(Which, Page, Effects, Whole, AskedAt);
  refreshRoutes();
  reportClosedLeaders();
  Desk.lookNow();
}

// A coordinator forms groups of endpoints that routing does not need to know.
void FleetHost::readAllEndpoints() {
  if (View.knowsAllEndpoints())
    Endpoints.hurry();
  else if (Endpoints.next())
    Endpoints.restart();
}

// Without a configuration engines cannot be told from plain services, and all
// of them would be relayed: the endpoints are shared from the next whole read.
void FleetHost::share(Feed Which, const FeedPage &Page,
                      std::span<const RoutingEffect> Effects, bool Whole,
                      TimePoint AsOf) {
  if (Which == Feed::Endpoints && !View.config()) {
    EndpointsUnsorted = true;
    return;
  }
  if (Which == Feed::Endpoints && Whole)
    EndpointsUnsorted = false;
  if (Which == Feed::Operators && View.config() && EndpointsUnsorted)
    Endpoints.restart();
  if (Which == Feed::Operators || !EndpointsUnsorted)
    Link.ingest(Which, Page, Effects, Whole, AsOf);
}

// Hosts that start together would each read the whole fleet from the store. The
// hosts that may coordinate read at once, the others give an upstream time to
// relay the newest values.
void FleetHost::deferOwnReads() {
  if (dutyRole() == DutyRole::Candidate)
    return;
  const milliseconds Usual =
      Settings.FirstStart ? RelayedFirstStart : RelayedStart;
  const auto Spread = std::chrono::duration_cast<milliseconds>(
      RelayedStartSpread * Draw.fraction());
  const TimePoint Until = BootClock::now() + Usual + Spread;
  Operators.defer(Until);
  Endpoints.defer(Until);
}

TreeLinkHooks FleetHost::linkHooks() {
  TreeLinkHooks Out;
  Out.Coordinates = [this] { return Desk.held(); };
  Out.HoldsLease = [this] { return Desk.holds(BootClock::now()); };
  Out.MakeReport = [this] { return ownReport(); };
  Out.Apply = [this](const Report &Sent, Response Answer, TimePoint SentAt) {
    applyResponse(Sent, std::move(Answer), SentAt);
  };
  Out.Stalled = [this](const std::string &Endpoint) {
    Desk.askAbout(Endpoint, Threads.context(0).get_executor());
  };
  return Out;
}

Report FleetHost::ownReport() const {
  Report Out;
  Out.DataCentre = Settings.DataCentre;
  Out.CanRelay = dutyRole() == DutyRole::Candidate;
  Out.WantsAll = Out.CanRelay;
  Out.Loads = Routing.ownLoads();
  const auto Describe = [&Out](Feed Which, const FeedFollower &Its) {
    if (!Its.next() && !Out.WantsAll)
      Out.Missing.insert(Which);
    else if (!Its.next())
      return;
    else if (!Its.isBehind())
      Out.Next[Which] = *Its.next();
  };
  Describe(Feed::Operators, Operators);
  Describe(Feed::Endpoints, Endpoints);
  return Out;
}

void FleetHost::applyResponse(const Report &Sent, Response Answer,
                              TimePoint SentAt) {
  if (Answer.CoordinatorHeard || Answer.LeaseHeard)
    Desk.recordCoordinator(Answer.LeaseHeard, BootClock::now());
  Routing.shareLoads(Answer.Loads);
  for (const auto &[Which, Update] : Answer.Feeds) {
    const auto Next = Sent.Next.find(Which);
    applyUpdate(Which,
                Next == Sent.Next.end() ? std::nullopt
                                        : std::optional<Offset>(Next->second),
                Update, SentAt);
  }
  for (const Feed Which : Answer.Truncated)
    readTruncated(Which, Sent);
  watchUpstream(BootClock::now());
}

/// The upstream no longer has what this host lacks.
void FleetHost::readTruncated(Feed Which, const Report &Sent) {
  FeedFollower &Its = follower(Which);
  const auto Next = Sent.Next.find(Which);
  if (Next == Sent.Next.end()) {
    if (!Its.next())
      Its.endDeferral();
  } else if (Its.next() == Next->second)
    Its.fallBehind();
}

// A coordinator that is cut off from the store answers on but relays nothing to
// hosts that know more than it does.
void FleetHost::watchUpstream(TimePoint Now) {
  const bool Useless = StoreAnswers && Now - RelayedAt > UselessUpstreamAfter;
  if (!Useless) {
    AbandonPause = UselessUpstreamAfter;
    return;
  }
  if (Now < AbandonAgainAt)
    return;
  Link.abandonUpstream();
  AbandonAgainAt = Now + AbandonPause;
  AbandonPause = std::min(2 * AbandonPause, LongestAbandonPause);
}

FeedPage FleetHost::decodeUpdate(Feed Which, std::optional<Offset> From,
                                 const FeedUpdate &Update) const {
  FeedPage Out;
  Out.From = From.value_or(Update.Next);
  Out.Next = Update.Next;
  Out.End = Update.Next;
  Out.Projected = Update.Projected;
  for (const RelayedRecord &Each : Update.Records)
    if (auto Decoded = Platform.Store.decode(Which, Each.Bytes)) {
      Out.Changes.push_back(std::move(Decoded->Change));
      Out.Records.push_back({Each.At, std::move(Decoded->Key), Each.Bytes});
    }
  return Out;
}

// The store was read at least Staleness before the response left, and the
// response left after this host's report: what it relays is at least as new as
// SentAt - Staleness, by this host's clock alone.
void FleetHost::applyUpdate(Feed Which, std::optional<Offset> From,
                            const FeedUpdate &Update, TimePoint SentAt) {
  // A response of the former coordinator may arrive after this host has read
  // all records; projected ones must not take their place.
  if (Desk.held())
    return;
  FeedFollower &Its = follower(Which);
  if (Update.Snapshot == From.has_value())
    return;
  if (From ? !Its.accepts(*From, Update.Next) : Its.next().has_value())
    return;
  const TimePoint AsOf = SentAt - Update.Staleness;
  const TimePoint CoveredUntil =
      AsOf + (Which == Feed::Operators ? operatorsCover(Settings.Bounds)
                                       : followerSpacing());
  const TimePoint Now = BootClock::now();
  if (CoveredUntil <= Now)
    return;
  if (Which == Feed::Endpoints)
    RelayedAt = Now;
  const FeedPage Page = decodeUpdate(Which, From, Update);
  if (Update.Snapshot)
    Its.adopt(Update.Next, CoveredUntil);
  else
    Its.cover(Update.Next, CoveredUntil);
  logFeedChanges(Page, View, AsOf, Now);
  const std::vector<RoutingEffect> Effects =
      View.take(Which, Page, Update.Snapshot, AsOf, Now);
  share(Which, Page, Effects, Update.Snapshot, AsOf);
  refreshRoutes();
  reportClosedLeaders();
}

void FleetHost::reportClosedLeaders() {
  for (const FleetView::ClosedLeader &Leader : View.takeClosed())
    Routing.observeClosed(Leader.Pool, Leader.Key);
}

void FleetHost::readFailed(Feed Which) {
  Desk.recordStore(false, BootClock::now());
  if (std::exchange(StoreAnswers, false))
    logEvent(Event::StoreLost,
             {{"feed", Which == Feed::Operators ? "operators" : "endpoints"}});
}

// Bounds the reads of the whole fleet while the store is away: an upstream that
// answers reads for this host and relays as soon as the store is back.
void FleetHost::shareReads(std::size_t Hosts, TimePoint Now) {
  const bool ReadFor = Link.hearsUpstream(Now);
  const double Spread = 0.5 + Draw.fraction();
  const auto Pause = std::chrono::duration_cast<milliseconds>(
      FailedReadEvery * double(Hosts) * Spread);
  const milliseconds Shortest =
      ReadFor ? std::min(Pause, LongestFailurePause) : milliseconds(0);
  Operators.pauseAfterFailure(Shortest);
  Endpoints.pauseAfterFailure(Shortest);
  OwnPause = Shortest;
}

void FleetHost::logConfigProof(TimePoint Now) {
  const bool Proved = View.routesFresh(Now);
  if (!View.config() || Proved == std::exchange(ConfigProved, Proved))
    return;
  const auto Since = [Now](TimePoint At) {
    return std::chrono::duration_cast<milliseconds>(Now - At).count();
  };
  const auto Age =
      std::chrono::duration_cast<milliseconds>(View.configAge(Now)).count();
  logEvent(Proved ? Event::ConfigFresh : Event::ConfigStale,
           {{"version", View.config()->version()},
            {"age_ms", Age},
            {"store_answers", StoreAnswers},
            {"own_pause_ms", OwnPause.count()},
            {"upstream_heard", Link.hearsUpstream(Now)},
            {"relayed_ms", Since(RelayedAt)},
            {"coordinates", Desk.held()}});
}

} // namespace coltsfoottrail
