// The part of FleetHost that follows the feeds, shares them with other hosts
// and applies what they relay.
#include "coltsfoottrail/fleethost/host.hpp"

#include "coltsfoottrail/fleethost/changelog.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/server/evidencelog.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Relayed records of the operators' feed replace own reads while they are no
/// older than this fraction of the time in which a configuration must be in
/// force: an own read and one more still fit in.
constexpr double OperatorsCoverFraction = 0.55;
constexpr milliseconds MaxOperatorsCover{2'400};
/// An upstream that has relayed no endpoints for this long, although the store
/// answers this host's own reads or the coordinator, is abandoned. The pause
/// doubles up to MaxAbandonPause while that changes nothing.
constexpr milliseconds UselessUpstreamAfter{1'000};
constexpr milliseconds MaxAbandonPause{8'000};
/// How long a host that is no candidate for the coordinator lease waits for an
/// upstream to relay the feeds before it reads them itself, and a random
/// addition that spreads hosts that start together. The first start takes
/// longer because there is no coordinator yet.
constexpr milliseconds RelayedStart{500};
constexpr milliseconds RelayedFirstStart{3'000};
constexpr milliseconds RelayedStartSpread{500};
/// While the store fails, all hosts together attempt one read of a feed in this
/// interval, not counting the hosts that read for others. A single host waits
/// no longer than MaxFailurePause, and for the operators' feed no longer than
/// evidencePause() while its configuration may still be trusted.
constexpr milliseconds FailedReadEvery{20};
constexpr milliseconds MaxFailurePause{8'000};

/// Within this time a read either fails or is overdue.
constexpr milliseconds EvidenceMargin{700};

milliseconds evidencePause(Duration Within) {
  return std::chrono::duration_cast<milliseconds>(Within) - EvidenceMargin;
}

milliseconds operatorsCover(const FleetBounds &Bounds) {
  const auto Cover = std::chrono::duration_cast<milliseconds>(
      Bounds.Configuration * OperatorsCoverFraction);
  return std::min(MaxOperatorsCover, Cover);
}

} // namespace

void FleetHost::storeAnswered(Feed FeedId, TimePoint RequestedAt) {
  View.recordAnswer(RequestedAt);
  if (std::exchange(StoreAnswers, true))
    return;
  logEvent(Event::StoreRegained);
  Coordinator.recordStore(true, BootClock::now());
  follower(FeedId == Feed::Operators ? Feed::Endpoints : Feed::Operators)
      .readNow();
  Coordinator.renewNow();
}

void FleetHost::ingestPage(Feed FeedId, FeedPage Page, bool IsSnapshot,
                           TimePoint RequestedAt) {
  storeAnswered(FeedId, RequestedAt);
  const TimePoint Now = BootClock::now();
  logFeedChanges(Page, View, RequestedAt, Now, UnreadableLog);
  const std::vector<RoutingEffect> Effects =
      View.ingest(FeedId, Page, IsSnapshot, RequestedAt, Now);
  shareFeed(FeedId, Page, Effects, IsSnapshot, RequestedAt);
  refreshRoutes();
  reportClosedLeaders();
  Coordinator.planNow();
}

// Failure guarded against: a host gains the coordinator lease, or its upstream
// relays nothing recent, and it still waits for the time until which others
// postponed its reads. It has no recent configuration meanwhile, and the hosts
// below it have none either.
void FleetHost::endDeferrals() {
  Operators.endDeferral();
  Endpoints.endDeferral();
}

// A coordinator also needs the endpoints that routing does not need, in order
// to form groups.
void FleetHost::readAllEndpoints() {
  if (View.knowsAllEndpoints())
    Endpoints.readNow();
  else if (Endpoints.next())
    Endpoints.restart();
}

// Without a configuration engines cannot be distinguished from plain services,
// and all endpoints would be relayed. Sharing of endpoints therefore starts
// with the next snapshot.
void FleetHost::shareFeed(Feed FeedId, const FeedPage &Page,
                          std::span<const RoutingEffect> Effects,
                          bool IsSnapshot, TimePoint AsOf) {
  if (FeedId == Feed::Endpoints && !View.config()) {
    EndpointsReadBeforeConfig = true;
    return;
  }
  if (FeedId == Feed::Endpoints && IsSnapshot)
    EndpointsReadBeforeConfig = false;
  if (FeedId == Feed::Operators && View.config() && EndpointsReadBeforeConfig)
    Endpoints.restart();
  if (FeedId == Feed::Operators || !EndpointsReadBeforeConfig)
    Link.ingest(FeedId, Page, Effects, IsSnapshot, AsOf);
}

// Hosts that start together would each read the whole fleet from the store.
// Candidates for the coordinator lease read at once; the others give an
// upstream time to relay the newest values.
void FleetHost::deferOwnReads() {
  if (dutyRole() == DutyRole::Candidate)
    return;
  const milliseconds Delay =
      Settings.FirstStart ? RelayedFirstStart : RelayedStart;
  const auto Spread = std::chrono::duration_cast<milliseconds>(
      RelayedStartSpread * Draw.fraction());
  const TimePoint Until = BootClock::now() + Delay + Spread;
  Operators.defer(Until);
  Endpoints.defer(Until);
}

TreeLinkHooks FleetHost::linkHooks() {
  TreeLinkHooks Result;
  Result.Coordinates = [this] { return Coordinator.isLastHolder(); };
  Result.HoldsLease = [this] { return Coordinator.holds(BootClock::now()); };
  Result.MakeReport = [this] { return ownReport(); };
  Result.OnResponse = [this](const Report &SentReport, Response Answer,
                             TimePoint SentAt) {
    applyResponse(SentReport, std::move(Answer), SentAt);
  };
  Result.OnNotices = [this](std::span<const PoolNotice> Notices) {
    for (const auto &[PoolName, Notice] : Notices)
      if (Routing.observeNotice(PoolName, Notice) &&
          PeerNoticeLog.admit(Event::CrashNoticed, BootClock::now()))
        logNotice(PoolName, Notice, "peer");
  };
  Result.OnForwarders = [this](std::span<const Forwarder> Hosts) {
    Platform.Endpoints.reach().addForwarders(Hosts, BootClock::now());
  };
  Result.Forward = [this](Exchange &Call) { return Forwarding.serve(Call); };
  Result.OnServed = [this](const DataCentreName &Sender, std::size_t Received,
                           std::size_t Sent) {
    if (Sender == Settings.DataCentre)
      return;
    Proxy.placement().recordBytes(DistantTraffic::Report, Received);
    Proxy.placement().recordBytes(DistantTraffic::ReportResponse, Sent);
  };
  Result.OnStalled = [this](const std::string &Endpoint) {
    Coordinator.probeMembers(Endpoint, Threads.context(0).get_executor());
  };
  return Result;
}

Report FleetHost::ownReport() const {
  Report Result;
  Result.DataCentre = Settings.DataCentre;
  Result.CanRelay = dutyRole() == DutyRole::Candidate;
  Result.WantsAll = Result.CanRelay;
  Result.CanForward = Forwarding.isForwarding();
  Result.Loads = Routing.ownLoads();
  for (const EndpointLoad &Traffic : Routing.poolTraffic())
    Result.Loads.push_back(Traffic);
  const auto Describe = [&Result](Feed FeedId, const FeedFollower &Follower) {
    if (!Follower.next() && !Result.WantsAll)
      Result.Missing.insert(FeedId);
    else if (!Follower.next())
      return;
    else if (!Follower.isBehind())
      Result.Next[FeedId] = *Follower.next();
  };
  Describe(Feed::Operators, Operators);
  Describe(Feed::Endpoints, Endpoints);
  return Result;
}

void FleetHost::applyResponse(const Report &SentReport, Response Answer,
                              TimePoint SentAt) {
  if (Answer.CoordinatorHeard || Answer.LeaseHeard)
    Coordinator.recordCoordinator(Answer.LeaseHeard, BootClock::now());
  Routing.setRemoteLoads(Answer.Loads);
  for (const auto &[FeedId, Update] : Answer.Feeds) {
    const auto Next = SentReport.Next.find(FeedId);
    applyUpdate(FeedId,
                Next == SentReport.Next.end()
                    ? std::nullopt
                    : std::optional<Offset>(Next->second),
                Update, SentAt);
  }
  for (const Feed FeedId : Answer.Truncated)
    readTruncated(FeedId, SentReport);
  watchUpstream(BootClock::now(), Answer.LeaseHeard);
}

/// Handles an update that the upstream cannot relay because it no longer has
/// the records that this host lacks.
void FleetHost::readTruncated(Feed FeedId, const Report &SentReport) {
  FeedFollower &Follower = follower(FeedId);
  const auto Next = SentReport.Next.find(FeedId);
  if (Next == SentReport.Next.end()) {
    if (!Follower.next())
      Follower.endDeferral();
  } else if (Follower.next() == Next->second)
    Follower.markBehind();
}

// A coordinator that is cut off from the store still answers reports but relays
// nothing to hosts that have more recent records than it has. A valid lease
// shows that the store answers its holder, although this host's own last read
// failed: it then reads again itself.
void FleetHost::watchUpstream(TimePoint Now, bool LeaseHeard) {
  const bool Useless = (StoreAnswers || LeaseHeard) &&
                       Now - EndpointsRelayedAt > UselessUpstreamAfter;
  if (!Useless) {
    AbandonPause = UselessUpstreamAfter;
    return;
  }
  if (Now < NextAbandonAt)
    return;
  Link.abandonUpstream();
  if (!StoreAnswers)
    endDeferrals();
  NextAbandonAt = Now + AbandonPause;
  AbandonPause = std::min(2 * AbandonPause, MaxAbandonPause);
}

FeedPage FleetHost::decodeUpdate(Feed FeedId, std::optional<Offset> From,
                                 const FeedUpdate &Update) const {
  FeedPage Result;
  Result.From = From.value_or(Update.Next);
  Result.Next = Update.Next;
  Result.End = Update.Next;
  Result.Projected = Update.Projected;
  for (const RelayedRecord &Relayed : Update.Records)
    if (auto Decoded = Platform.Store.decode(FeedId, Relayed.Bytes)) {
      Result.Changes.push_back(std::move(Decoded->Change));
      Result.Records.push_back(
          {Relayed.Position, std::move(Decoded->Key), Relayed.Bytes});
    }
  return Result;
}

// Failure guarded against: a host serves an old configuration although a newer
// one was relayed to it, because the reading behind it is old. Its age only
// decides whether it postpones own reads.
//
// The store was read at most Staleness before the response left, and the
// response left after this host's report: what it relays is at least as recent
// as SentAt - Staleness, measured by this host's clock alone.
void FleetHost::applyUpdate(Feed FeedId, std::optional<Offset> From,
                            const FeedUpdate &Update, TimePoint SentAt) {
  // A response of the former coordinator may arrive after this host has read
  // all records; projected records must not replace them.
  if (Coordinator.isLastHolder())
    return;
  FeedFollower &Follower = follower(FeedId);
  if (Update.Snapshot == From.has_value())
    return;
  if (From ? !Follower.canAcceptChanges(*From, Update.Next)
           : !Follower.canAcceptSnapshot(Update.Next))
    return;
  const TimePoint AsOf = SentAt - Update.Staleness;
  const TimePoint CoveredUntil =
      AsOf + (FeedId == Feed::Operators ? operatorsCover(Settings.Bounds)
                                        : followerSpacing());
  const TimePoint Now = BootClock::now();
  const bool HasNewer =
      FeedId == Feed::Operators && From && Update.Next > *Follower.next();
  if (CoveredUntil <= Now && !HasNewer)
    return;
  if (FeedId == Feed::Endpoints)
    EndpointsRelayedAt = Now;
  const FeedPage Page = decodeUpdate(FeedId, From, Update);
  if (Update.Snapshot)
    Follower.acceptSnapshot(Update.Next, CoveredUntil);
  else
    Follower.acceptChanges(Update.Next, CoveredUntil);
  logFeedChanges(Page, View, AsOf, Now, UnreadableLog);
  const std::vector<RoutingEffect> Effects =
      View.ingest(FeedId, Page, Update.Snapshot, AsOf, Now);
  shareFeed(FeedId, Page, Effects, Update.Snapshot, AsOf);
  refreshRoutes();
  reportClosedLeaders();
}

void FleetHost::reportClosedLeaders() {
  for (const FleetView::ClosedLeader &Leader : View.takeClosed())
    Routing.observeClosed(Leader.Pool, Leader.Key);
}

void FleetHost::recordOverdue(TimePoint Now) {
  for (const FeedFollower *const Follower : {&Operators, &Endpoints})
    if (const auto RequestedAt = Follower->overdueSince(Now))
      View.recordNoAnswer(*RequestedAt);
}

void FleetHost::readFailed(Feed FeedId, TimePoint RequestedAt) {
  View.recordNoAnswer(RequestedAt);
  Coordinator.recordStore(false, BootClock::now());
  if (std::exchange(StoreAnswers, false))
    logEvent(Event::StoreLost,
             {{"feed", FeedId == Feed::Operators ? "operators" : "endpoints"}});
}

// Limits the reads of all hosts together while the store is unavailable: a host
// whose upstream answers retries rarely, because the upstream reads for it and
// relays as soon as the store is back. As long as a configuration beyond its
// bound may still be trusted, failed reads must show that the store is away.
void FleetHost::limitFailedReads(std::size_t Hosts, TimePoint Now) {
  const bool HasUpstream = Link.hearsUpstream(Now);
  const double Spread = 0.5 + Draw.fraction();
  const auto Pause = std::chrono::duration_cast<milliseconds>(
      FailedReadEvery * double(Hosts) * Spread);
  const milliseconds MinPause =
      HasUpstream ? std::min(Pause, MaxFailurePause) : milliseconds(0);
  const auto Within = View.failedReadsWithin(Now);
  Operators.setMinFailurePause(
      Within ? std::min(MinPause, evidencePause(*Within)) : MinPause);
  Endpoints.setMinFailurePause(MinPause);
  FailedReadPause = MinPause;
}

void FleetHost::logConfigFreshness(TimePoint Now) {
  const bool IsFresh = View.routesFresh(Now);
  if (!View.config() || IsFresh == std::exchange(ConfigWasFresh, IsFresh))
    return;
  const auto MillisecondsSince = [Now](TimePoint Time) {
    return std::chrono::duration_cast<milliseconds>(Now - Time).count();
  };
  const auto Age =
      std::chrono::duration_cast<milliseconds>(View.configAge(Now)).count();
  logEvent(IsFresh ? Event::ConfigFresh : Event::ConfigStale,
           {{"version", View.config()->version()},
            {"age_ms", Age},
            {"store_answers", StoreAnswers},
            {"own_pause_ms", FailedReadPause.count()},
            {"entry_hosts", Link.hosts(Now)},
            {"upstream", Link.upstreamAddress()},
            {"upstream_heard", Link.hearsUpstream(Now)},
            {"relayed_ms", MillisecondsSince(EndpointsRelayedAt)},
            {"coordinates", Coordinator.isLastHolder()}});
}

} // namespace coltsfoottrail
