#include "coltsfoottrail/dissemination/node.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// What was never read counts as this old.
constexpr milliseconds LongestStaleness = std::chrono::hours(1);

/// @return Behind the last record of a page.
Offset endOfRecords(const FeedPage &Page) {
  Offset Out = 0;
  for (const FeedRecord &Each : Page.Records)
    Out = std::max(Out, Each.Position + 1);
  return Out;
}

} // namespace

void TreeNode::ingest(Feed Which, const FeedPage &Page,
                      std::span<const RoutingEffect> Effects, bool Whole,
                      TimePoint AsOf) {
  SharedFeed &Its = feed(Which);
  // Records before this offset are in the log already. They are skipped when
  // they are repeated: they no longer change the view, and a log that began
  // anew with the repeated page would leave them out.
  const Offset Known = Whole ? Page.Next : Its.Log.next();
  if (Whole) {
    const Offset Consistent = std::max(Page.Next, endOfRecords(Page));
    Its.Log.clear(Page.Next, Consistent);
    Its.All.restart(Page.Next, Consistent);
  } else if (Page.From > Known) {
    Its.Log.restart(Page.From);
  }
  if (!Whole && !Page.Projected &&
      (Page.From > Known || Its.All.next() != Known))
    Its.All.restart(std::max(Page.From, Known));
  for (std::size_t Index = 0; Index < Page.Records.size(); ++Index) {
    const FeedRecord &Record = Page.Records[Index];
    const RoutingEffect Effect = Effects[Index];
    if (Effect == RoutingEffect::None || (!Whole && Record.Position < Known))
      continue;
    if (!Whole && !Page.Projected)
      Its.All.addChange({Record.Position, Record.Bytes});
    if (Effect == RoutingEffect::Other)
      continue;
    if (Whole)
      Its.Log.keepNewest(Record);
    else
      Its.Log.add(Record, Effect);
  }
  if (Page.Next < Known)
    return;
  Its.Log.readTo(Page.Next);
  if (!Page.Projected)
    Its.All.readTo(Page.Next);
  // A page that does not reach the end proves nothing of what is behind it.
  if (Page.Next >= Page.End)
    Its.AsOf = std::max(Its.AsOf, AsOf);
}

void TreeNode::recordOwn(std::vector<EndpointLoad> Loads, TimePoint Now) {
  Below.advance(Now);
  Below.report(Self, std::move(Loads), Now);
}

void TreeNode::recordOutside(std::vector<EndpointLoad> Loads, TimePoint Now) {
  Outside = std::move(Loads);
  OutsideAt = Now;
}

void TreeNode::recordReport(const Report &From, TimePoint Now) {
  Below.advance(Now);
  Below.report(From.Host, From.Loads, Now, From.Hosts);
}

void TreeNode::forgetReporters() {
  LoadBoard Own;
  std::swap(Below, Own);
}

std::optional<HostName> TreeNode::assignRelay(const Report &From,
                                              TimePoint Now) {
  const auto Relay = Relays.assign(From, Below.hosts(Now), Now);
  if (Relay)
    Below.forget(From.Host);
  return Relay;
}

std::size_t TreeNode::reporters(TimePoint Now) const {
  const std::size_t All = Below.reporters(Now);
  return All > 0 ? All - 1 : 0;
}

bool TreeNode::hasUpdate(const Report &From) const {
  const auto HasChanges = [&](const auto &Entry) {
    const FeedLog &Its = feed(Entry.first).logFor(From);
    return Its.isTruncated(Entry.second) || Its.hasSince(Entry.second);
  };
  const auto HasValues = [&](Feed Which) {
    const FeedLog &Its = feed(Which).Log;
    return Its.hasSnapshot() || Its.isTooLarge();
  };
  return std::any_of(From.Next.begin(), From.Next.end(), HasChanges) ||
         std::any_of(From.Missing.begin(), From.Missing.end(), HasValues);
}

std::vector<EndpointLoad> TreeNode::loadsBeside(const HostName &Host,
                                                TimePoint Now) const {
  std::vector<EndpointLoad> Out = Below.others(Host, Now);
  if (Now - OutsideAt >= LoadBoard::ReportLife || Outside.empty())
    return Out;
  std::map<std::uint64_t, RequestLoad> Sums;
  for (const std::vector<EndpointLoad> *const Loads :
       {&std::as_const(Out), &Outside})
    for (const EndpointLoad &Each : *Loads)
      Sums[Each.Endpoint] += Each.Load;
  Out.clear();
  for (const auto &[Endpoint, Load] : Sums)
    Out.push_back({Endpoint, Load});
  return Out;
}

Response TreeNode::respond(const Report &From, TimePoint Now) const {
  Response Out;
  Out.Hosts = Below.hosts(Now);
  Out.Loads = loadsBeside(From.Host, Now);
  const auto Update = [&](Feed Which, bool Snapshot) {
    const SharedFeed &Its = feed(Which);
    FeedUpdate Made;
    Made.Snapshot = Snapshot;
    Made.Next = Its.Log.next();
    Made.Staleness = std::min(LongestStaleness,
                              std::chrono::ceil<milliseconds>(Now - Its.AsOf));
    return Made;
  };
  for (const auto &[Which, Next] : From.Next) {
    const FeedLog &Log = feed(Which).logFor(From);
    if (Log.isTruncated(Next))
      Out.Truncated.insert(Which);
    if (!Log.covers(Next))
      continue;
    FeedUpdate Made = Update(Which, false);
    Made.Projected = &Log == &feed(Which).Log;
    Made.Records = Log.since(Next);
    Out.Feeds.emplace(Which, std::move(Made));
  }
  for (const Feed Which : From.Missing) {
    if (feed(Which).Log.isTooLarge())
      Out.Truncated.insert(Which);
    if (!feed(Which).Log.hasSnapshot())
      continue;
    FeedUpdate Made = Update(Which, true);
    Made.Records = feed(Which).Log.snapshot();
    Out.Feeds.emplace(Which, std::move(Made));
  }
  return Out;
}

} // namespace coltsfoottrail
