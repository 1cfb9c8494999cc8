#include "coltsfoottrail/dissemination/node.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Staleness reported for a feed that was never read.
constexpr milliseconds LongestStaleness = std::chrono::hours(1);

/// @return Offset behind the last record of a page.
Offset endOfRecords(const FeedPage &Page) {
  Offset Result = 0;
  for (const FeedRecord &Record : Page.Records)
    Result = std::max(Result, Record.Position + 1);
  return Result;
}

ReporterScope scopeOf(const Report &Received) {
  return Received.ToRelay ? ReporterScope::Relayed : ReporterScope::All;
}

} // namespace

void TreeNode::ingest(Feed FeedId, const FeedPage &Page,
                      std::span<const RoutingEffect> Effects, bool IsSnapshot,
                      TimePoint AsOf) {
  SharedFeed &Shared = feed(FeedId);
  // Records before this offset are in the log already. Repeated ones are
  // skipped: they no longer change the view, so a log that restarted with the
  // repeated page would lack them.
  const Offset KnownUpTo = IsSnapshot ? Page.Next : Shared.RoutingLog.next();
  if (IsSnapshot) {
    const Offset FirstServable = std::max(Page.Next, endOfRecords(Page));
    Shared.RoutingLog.clear(Page.Next, FirstServable);
    Shared.FullLog.restart(Page.Next, FirstServable);
  } else if (Page.From > KnownUpTo) {
    Shared.RoutingLog.restart(Page.From);
  }
  if (!IsSnapshot && !Page.Projected &&
      (Page.From > KnownUpTo || Shared.FullLog.next() != KnownUpTo))
    Shared.FullLog.restart(std::max(Page.From, KnownUpTo));
  for (std::size_t Index = 0; Index < Page.Records.size(); ++Index) {
    const FeedRecord &Record = Page.Records[Index];
    const RoutingEffect Effect = Effects[Index];
    if (Effect == RoutingEffect::None ||
        (!IsSnapshot && Record.Position < KnownUpTo))
      continue;
    if (!IsSnapshot && !Page.Projected)
      Shared.FullLog.addChange({Record.Position, Record.Bytes});
    if (Effect == RoutingEffect::Other)
      continue;
    if (IsSnapshot)
      Shared.RoutingLog.setNewest(Record);
    else
      Shared.RoutingLog.add(Record, Effect);
  }
  if (Page.Next < KnownUpTo)
    return;
  Shared.RoutingLog.advanceTo(Page.Next);
  if (!Page.Projected)
    Shared.FullLog.advanceTo(Page.Next);
  // A page that does not reach the end of the feed does not show that the log
  // is current. Newest values replace the log and are only as recent as their
  // own reading.
  if (Page.Next >= Page.End)
    Shared.AsOf = IsSnapshot ? AsOf : std::max(Shared.AsOf, AsOf);
}

void TreeNode::recordOwn(std::vector<EndpointLoad> Loads, TimePoint Now) {
  SubtreeLoads.advance(Now);
  SubtreeLoads.report(Self, std::move(Loads), Now);
}

void TreeNode::recordOutside(std::vector<EndpointLoad> Loads, TimePoint Now) {
  OutsideLoads = std::move(Loads);
  OutsideAt = Now;
}

void TreeNode::recordOwnDemand(std::vector<DemandRow> Rows, TimePoint Now) {
  Demand.advance(Now);
  Demand.report(Self, {std::move(Rows), 1, Duration::zero()}, Now);
}

void TreeNode::recordReport(const Report &Received, TimePoint Now) {
  SubtreeLoads.advance(Now);
  SubtreeLoads.report(Received.Host, Received.Loads, Now, Received.Hosts,
                      scopeOf(Received));
  Demand.advance(Now);
  if (Received.Demand)
    Demand.report(Received.Host, *Received.Demand, Now, scopeOf(Received));
}

// Failure guarded against: the store is away, the coordinator has restarted,
// and two hosts that take each other for the coordinator count each other's
// hosts with every exchange. What is divided by the number of hosts, such as
// reads of a store that fails, then stops for seconds after the store is back.
void TreeNode::setSubtree(Report &OwnReport, TimePoint Now) const {
  OwnReport.Loads = SubtreeLoads.total(Now, LoadAggregator::Scope::Relayed);
  OwnReport.Hosts = SubtreeLoads.hosts(Now, LoadAggregator::Scope::Relayed);
}

void TreeNode::recordAssignment(const EngineAddress &Coordinator) {
  if (LastDemand && LastDemand->Receiver == Coordinator)
    LastDemand.reset();
}

void TreeNode::forgetReporters() {
  LoadAggregator OwnLoads;
  std::swap(SubtreeLoads, OwnLoads);
  Demand = DemandAggregator();
}

// Failure guarded against: a host leaves its relay, which goes on to report the
// demand that it had from this host, and the coordinator counts it twice. The
// next receiver gets none until the former relay has dropped it.
bool TreeNode::isDemandDue(const EngineAddress &Receiver, TimePoint Now) const {
  if (!LastDemand)
    return true;
  const Duration Elapsed = Now - LastDemand->SentAt;
  if (Receiver == LastDemand->Receiver)
    return Elapsed >= DemandInterval;
  return !LastDemand->ToRelay || Elapsed >= DemandAggregator::ReportLife;
}

void TreeNode::setDemand(Report &OwnReport, const EngineAddress &Receiver,
                         TimePoint Now) {
  if (!isDemandDue(Receiver, Now))
    return;
  DemandSum Sum = Demand.total(Now, ReporterScope::Relayed);
  if (Sum.Hosts == 0)
    return;
  OwnReport.Demand = std::move(Sum);
  LastDemand = DemandDelivery{Receiver, OwnReport.ToRelay, Now};
}

void TreeNode::setNotices(Report &OwnReport, TimePoint Now) const {
  NoticePage Page = Board.since(SentToUpstream, ReadFromUpstream.Board, Now);
  OwnReport.Notices = std::move(Page.Notices);
  OwnReport.NoticesEnd = Page.Next;
  OwnReport.ReadNotices = ReadFromUpstream;
}

std::vector<PoolNotice> TreeNode::ingestNotices(const Report &Received,
                                                TimePoint Now) {
  return Board.add(Received.Notices, Received.Host, Now);
}

// A new upstream gets all notices of the board: it may be a host that has just
// started, and the former one may have ended before it passed them on.
std::vector<PoolNotice> TreeNode::ingestNotices(const Report &SentReport,
                                                const Response &Answer,
                                                TimePoint Now) {
  const bool IsNewUpstream = !Answer.NextNotices.Board.empty() &&
                             Answer.NextNotices.Board != ReadFromUpstream.Board;
  if (IsNewUpstream)
    SentToUpstream = 0;
  else
    SentToUpstream = std::max(SentToUpstream, SentReport.NoticesEnd);
  if (!Answer.NextNotices.Board.empty())
    ReadFromUpstream = Answer.NextNotices;
  return Board.add(Answer.Notices, Answer.NextNotices.Board, Now);
}

std::optional<HostName> TreeNode::assignRelay(const Report &Received,
                                              TimePoint Now) {
  const auto Relay = Assignments.assign(Received, SubtreeLoads.hosts(Now), Now);
  if (Relay) {
    SubtreeLoads.forget(Received.Host);
    Demand.forget(Received.Host);
  }
  return Relay;
}

std::size_t TreeNode::reporters(TimePoint Now) const {
  const std::size_t All = SubtreeLoads.reporters(Now);
  return All > 0 ? All - 1 : 0;
}

bool TreeNode::hasUpdate(const Report &Received) const {
  const auto HasChanges = [&](const auto &Entry) {
    const FeedLog &Log = feed(Entry.first).logFor(Received);
    return Log.isTruncated(Entry.second) || Log.hasSince(Entry.second);
  };
  const auto HasValues = [&](Feed FeedId) {
    const FeedLog &Log = feed(FeedId).RoutingLog;
    return Log.hasSnapshot() || Log.isTooLarge();
  };
  const bool HasNotices =
      Received.ReadsNotices &&
      Board.hasSince(noticePosition(Received), Received.Host);
  return HasNotices ||
         std::any_of(Received.Next.begin(), Received.Next.end(), HasChanges) ||
         std::any_of(Received.Missing.begin(), Received.Missing.end(),
                     HasValues);
}

std::vector<EndpointLoad> TreeNode::otherLoads(TimePoint Now) const {
  return loadsExcept(Self, Now);
}

// Failure guarded against: two hosts that take each other for the coordinator
// each pass on what the other one answered, and loads are added again with each
// exchange. Only hosts that report to this one as their relay are told of loads
// outside its subtree.
std::vector<EndpointLoad> TreeNode::loadsFor(const Report &Received,
                                             TimePoint Now) const {
  return Received.ToRelay ? loadsExcept(Received.Host, Now)
                          : SubtreeLoads.others(Received.Host, Now);
}

std::vector<EndpointLoad> TreeNode::loadsExcept(const HostName &Host,
                                                TimePoint Now) const {
  if (Now - OutsideAt >= LoadAggregator::ReportLife || OutsideLoads.empty())
    return SubtreeLoads.others(Host, Now);
  const std::vector<EndpointLoad> Below =
      SubtreeLoads.others(Host, Now, LoadAggregator::Scope::Relayed);
  std::map<std::uint64_t, RequestLoad> Sums;
  for (const std::vector<EndpointLoad> *const Loads : {&Below, &OutsideLoads})
    for (const EndpointLoad &Item : *Loads)
      Sums[Item.Endpoint] += Item.Load;
  std::vector<EndpointLoad> Result;
  for (const auto &[Endpoint, Load] : Sums)
    Result.push_back({Endpoint, Load});
  return Result;
}

Response TreeNode::makeResponse(const Report &Received, TimePoint Now) const {
  Response Result;
  Result.Hosts = SubtreeLoads.hosts(Now);
  Result.Loads = loadsFor(Received, Now);
  if (Received.ReadsNotices) {
    NoticePage Page = Board.since(noticePosition(Received), Received.Host, Now);
    Result.Notices = std::move(Page.Notices);
    Result.NextNotices = {Self, Page.Next};
  }
  const auto MakeUpdate = [&](Feed FeedId, bool Snapshot) {
    const SharedFeed &Shared = feed(FeedId);
    FeedUpdate Update;
    Update.Snapshot = Snapshot;
    Update.Next = Shared.RoutingLog.next();
    Update.Staleness = std::min(
        LongestStaleness, std::chrono::ceil<milliseconds>(Now - Shared.AsOf));
    return Update;
  };
  for (const auto &[FeedId, Next] : Received.Next) {
    const FeedLog &Log = feed(FeedId).logFor(Received);
    if (Log.isTruncated(Next))
      Result.Truncated.insert(FeedId);
    if (!Log.covers(Next))
      continue;
    FeedUpdate Update = MakeUpdate(FeedId, false);
    Update.Projected = &Log == &feed(FeedId).RoutingLog;
    Update.Records = Log.since(Next);
    Result.Feeds.emplace(FeedId, std::move(Update));
  }
  for (const Feed FeedId : Received.Missing) {
    if (feed(FeedId).RoutingLog.isTooLarge())
      Result.Truncated.insert(FeedId);
    if (!feed(FeedId).RoutingLog.hasSnapshot())
      continue;
    FeedUpdate Update = MakeUpdate(FeedId, true);
    Update.Records = feed(FeedId).RoutingLog.snapshot();
    Result.Feeds.emplace(FeedId, std::move(Update));
  }
  return Result;
}

} // namespace coltsfoottrail
