#include "coltsfoottrail/fleethost/view.hpp"

#include "coltsfoottrail/core/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Safety margin before the revocation limit: a request accepted just before it
/// still has to reach its endpoint.
constexpr Duration RevocationMargin = milliseconds(700);
/// The same for the limit on configurations.
constexpr Duration ConfigurationMargin = milliseconds(200);
/// How long the endpoints of a returned data centre count as cold: two
/// heartbeats of the platform and one read of the feed.
constexpr Duration ReturnedColdTime = milliseconds(3'000);

} // namespace

std::string FleetView::processName(const EndpointRecord &Record) {
  return Record.Name.Text + "#" + std::to_string(Record.StartedAtMs);
}

std::string FleetView::endpointKey(const EndpointRecord &Record) {
  std::string Result = processName(Record);
  if (Record.Seat)
    Result += "@" + std::to_string(Record.Seat->Epoch);
  return Result;
}

std::string FleetView::poolName(const ServiceName &Service,
                                const ModelName &Model) {
  return Model.empty() ? "service/" + Service.Text
                       : "model/" + Service.Text + "/" + Model.Text;
}

std::vector<RoutingEffect> FleetView::ingest(Feed FeedId, FeedPage Page,
                                             bool IsSnapshot,
                                             TimePoint RequestedAt,
                                             TimePoint Now) {
  recordAnswer(RequestedAt);
  if (FeedId == Feed::Endpoints)
    recordRead(Now);
  if (IsSnapshot && FeedId == Feed::Endpoints)
    retainEndpoints(Page, Now);
  const bool IsOlder = Page.Next < OperatorsNext && RequestedAt < ConfigAsOf;
  if (IsSnapshot && FeedId == Feed::Operators && !IsOlder)
    retainDrains(Page, Now);
  std::vector<RoutingEffect> Effects;
  Effects.reserve(Page.Changes.size());
  for (FleetChange &Change : Page.Changes)
    Effects.push_back(FeedId == Feed::Operators && noteUnreadable(Change)
                          ? RoutingEffect::Set
                          : effectOf(Change, IsSnapshot, Now));
  if (FeedId == Feed::Operators) {
    if (!IsOlder)
      OperatorsNext = Page.Next;
    // Failure guarded against: an overloaded store returns the feed in parts,
    // this host stays some versions behind although each part is answered, and
    // it refuses valid requests because of routes and credentials that were
    // replaced long ago. Only a read that reached the end proves that the
    // configuration is current.
    if (Page.Next >= Page.End && !HasUnreadableConfig)
      ConfigAsOf = std::max(ConfigAsOf, RequestedAt);
    return Effects;
  }
  EndpointsKnown = true;
  KnowsAllEndpoints = !Page.Projected && (IsSnapshot || KnowsAllEndpoints);
  if (Page.Next >= Page.End)
    EndpointsAsOf = std::max(EndpointsAsOf, RequestedAt);
  return Effects;
}

/// Whether a host that only routes requests needs the record of an endpoint.
bool FleetView::isRoutable(const EndpointName &Name) const {
  const KnownEndpoint *const Entry = Catalogue.find(Name);
  if (Entry == nullptr)
    return false;
  const ServiceProfile *const Service =
      Index ? Index->service(Entry->Record.Service) : nullptr;
  return Service == nullptr || !Service->Engine ||
         Entry->Record.isServingLeader();
}

RoutingEffect FleetView::effectOf(FleetChange &Change, bool IsSnapshot,
                                  TimePoint Now) {
  const auto EffectOnEndpoint = [&](const EndpointName &Name) {
    const bool WasRoutable = isRoutable(Name);
    const bool Changed = applyOne(Change, Now);
    const bool IsRoutable = isRoutable(Name);
    if (IsRoutable)
      return Changed || IsSnapshot ? RoutingEffect::Set : RoutingEffect::None;
    if (WasRoutable)
      return RoutingEffect::Unset;
    return Changed ? RoutingEffect::Other : RoutingEffect::None;
  };
  if (const auto *const Item = std::get_if<EndpointPublished>(&Change))
    return EffectOnEndpoint(EndpointName(Item->Record.Name));
  if (const auto *const Item = std::get_if<EndpointRemoved>(&Change)) {
    const bool WasRoutable = isRoutable(Item->Name);
    (void)applyOne(Change, Now);
    return WasRoutable ? RoutingEffect::Unset : RoutingEffect::Other;
  }
  const bool IsReturn = std::holds_alternative<DataCentreReturned>(Change);
  if (!applyOne(Change, Now) && !IsSnapshot)
    return RoutingEffect::None;
  return IsReturn ? RoutingEffect::Unset : RoutingEffect::Set;
}

// Failure guarded against: single reads fail, removals are held back after each
// of them, and endpoints that have left get requests for seconds. Records
// expire after three missed heartbeats, so an outage shorter than two
// heartbeats lets no record of a live endpoint expire: removals read after it
// are real.
void FleetView::recordRead(TimePoint Now) {
  if (EndpointsReadAt && Now - *EndpointsReadAt >= 2 * Bounds.Heartbeat)
    Catalogue.storeReturned(Now);
  EndpointsReadAt = Now;
}

bool FleetView::applyOne(FleetChange &Change, TimePoint Now) {
  return std::visit(
      Overloaded{
          [&](ConfigPublished &Item) { return apply(std::move(Item)); },
          [&](const DataCentreDrained &Item) {
            const bool New = Drained.insert(Item.DataCentre).second;
            Changes += New ? 1 : 0;
            return New;
          },
          [&](const DataCentreReturned &Item) {
            return returnDataCentre(Item.DataCentre, Now);
          },
          [&](EndpointPublished &Item) {
            return publish(std::move(Item.Record), Now);
          },
          [&](const EndpointRemoved &Item) {
            (void)Catalogue.remove(Item.Name, Now);
            return true;
          },
          [](const UnreadableEntry &) { return false; },
      },
      Change);
}

// Failure guarded against: a configuration that this host cannot read takes
// credentials away, and the one before it counts as current from then on, here
// and at the hosts that this one relays to.
bool FleetView::noteUnreadable(const FleetChange &Change) {
  if (std::holds_alternative<UnreadableEntry>(Change))
    HasUnreadableConfig = true;
  else if (std::holds_alternative<ConfigPublished>(Change))
    HasUnreadableConfig = false;
  return std::holds_alternative<UnreadableEntry>(Change);
}

// A crashed process publishes nothing. A record from the same run of the
// process that no longer leads was therefore written by a leader that closed
// its group and is alive.
void FleetView::recordClosing(const EndpointRecord &Previous,
                              const EndpointRecord &Current) {
  const std::string Key = endpointKey(Previous);
  const bool Leads = Current.isServingLeader() && endpointKey(Current) == Key;
  if (Previous.isServingLeader() && !Previous.Loaded.empty() && !Leads &&
      Previous.StartedAtMs == Current.StartedAtMs)
    Closed.push_back({poolName(Previous.Service, Previous.Loaded.back()), Key});
}

bool FleetView::recordLeaving(const std::string &Process, TimePoint Now) {
  Leaving.insert_or_assign(Process, Now + EndpointAvailability::LeavingLife);
  const EndpointName Name(Process.substr(0, Process.rfind('#')));
  const KnownEndpoint *const Entry = Catalogue.find(Name);
  if (Entry == nullptr || processName(Entry->Record) != Process)
    return false;
  return publish(EndpointRecord(Entry->Record), Now);
}

// Failure guarded against: an endpoint says in its responses that it leaves,
// its next record says that it serves, and its group is not replaced.
bool FleetView::publish(EndpointRecord Record, TimePoint Now) {
  if (Leaving.contains(processName(Record)))
    Record.State = EndpointState::Draining;
  const EndpointName Name = Record.Name;
  const KnownEndpoint *const Entry = Catalogue.find(Name);
  const std::optional<EndpointRecord> Previous =
      Entry == nullptr ? std::nullopt : std::optional(Entry->Record);
  if (!Catalogue.publish(std::move(Record), Now))
    return false;
  const EndpointRecord &Current = Catalogue.find(Name)->Record;
  if (!Previous || endpointKey(*Previous) != endpointKey(Current))
    Changes += Suspended.erase(Name);
  if (Previous)
    recordClosing(*Previous, Current);
  return true;
}

// Failure guarded against: the store is read again from an earlier point, or a
// delayed response overtakes a newer one, and callers are served by routes and
// credentials that were withdrawn. Versions only increase within one run.
bool FleetView::apply(ConfigPublished Change) {
  if (Index && Change.Config.Version <= Index->version())
    return false;
  Index = std::make_shared<const RouteIndex>(std::move(Change.Config));
  ++Changes;
  return true;
}

void FleetView::retainEndpoints(const FeedPage &Page, TimePoint Now) {
  std::set<EndpointName> Present;
  for (const FleetChange &Change : Page.Changes)
    if (const auto *const Item = std::get_if<EndpointPublished>(&Change))
      Present.insert(Item->Record.Name);
  Catalogue.retain(Present, Now);
}

// Failure guarded against: endpoints of a drained data centre are often cold
// when it is returned to service, but the record that says so arrives up to one
// heartbeat and one read later. Every host would send them full load at once
// and overload them.
bool FleetView::returnDataCentre(const DataCentreName &DataCentre,
                                 TimePoint Now) {
  if (Drained.erase(DataCentre) == 0)
    return false;
  RecentlyReturned.insert_or_assign(DataCentre, Now + ReturnedColdTime);
  ++Changes;
  return true;
}

void FleetView::retainDrains(const FeedPage &Page, TimePoint Now) {
  std::set<DataCentreName> Present;
  for (const FleetChange &Change : Page.Changes)
    if (const auto *const Item = std::get_if<DataCentreDrained>(&Change))
      Present.insert(Item->DataCentre);
  const std::set<DataCentreName> DrainedBefore = Drained;
  for (const DataCentreName &DataCentre : DrainedBefore)
    if (!Present.contains(DataCentre))
      returnDataCentre(DataCentre, Now);
}

void FleetView::suspend(const EndpointName &Name, Duration Span,
                        TimePoint Now) {
  TimePoint &Until = Suspended[Name];
  const bool New = Until == TimePoint{};
  Until = std::max(Until, Now + Span);
  if (New)
    ++Changes;
}

void FleetView::resume(const EndpointName &Name) {
  Changes += Suspended.erase(Name);
}

void FleetView::advance(TimePoint Now) {
  Catalogue.advance(Now);
  const auto IsExpired = [&](const auto &Expiry) {
    return Expiry.second <= Now;
  };
  Changes += std::erase_if(Suspended, IsExpired);
  Changes += std::erase_if(RecentlyReturned, IsExpired);
  std::erase_if(Leaving, IsExpired);
}

// Failure guarded against: this host is cut off from the store, a credential is
// withdrawn meanwhile, and its callers are still served. Once the last proof
// that the configuration is current is older than the limit, no credential is
// trusted. The clock includes suspension of the machine, so a host that wakes
// up knows how long it slept.
//
// A configuration older than its limit is tolerated only while the store does
// not answer at all, not while it answers with pages that do not reach the end
// of the feed. That it does not answer takes a read that this host sent within
// that limit and after the last one that was answered: silence of an upstream
// is no evidence.
bool FleetView::credentialsFresh(TimePoint Now) const noexcept {
  const Duration Limit = Bounds.Configuration - ConfigurationMargin;
  const bool Starved = StoreAnsweredAsOf - ConfigAsOf >= Limit;
  const bool StoreIsAway =
      NoAnswerAsOf > StoreAnsweredAsOf && Now - NoAnswerAsOf < Limit;
  return Index && !Starved && (routesFresh(Now) || StoreIsAway) &&
         configAge(Now) < Bounds.Revocation - RevocationMargin;
}

std::optional<Duration>
FleetView::failedReadsWithin(TimePoint Now) const noexcept {
  if (!Index || configAge(Now) >= Bounds.Revocation - RevocationMargin)
    return std::nullopt;
  return Bounds.Configuration - ConfigurationMargin;
}

bool FleetView::routesFresh(TimePoint Now) const noexcept {
  return Index && configAge(Now) < Bounds.Configuration - ConfigurationMargin;
}

std::map<ServiceName, std::vector<std::string>> FleetView::pools() const {
  std::map<ServiceName, std::vector<std::string>> Result;
  if (!Index)
    return Result;
  for (const ServiceProfile &Service : Index->config().Services) {
    std::vector<std::string> &Names = Result[Service.Name];
    if (!Service.Engine)
      Names.push_back(poolName(Service.Name, ModelName()));
    else
      for (const ServedModel &Model : Service.Engine->Models)
        Names.push_back(poolName(Service.Name, Model.Name));
  }
  return Result;
}

EndpointTally FleetView::tally() const {
  EndpointTally Result;
  for (const auto &[Name, Entry] : Catalogue.all()) {
    const bool Drains = Entry.Record.State == EndpointState::Draining;
    ++(Drains ? Result.Draining : Result.Serving);
    Result.Cold += mayBeCold(Entry) ? 1 : 0;
    Result.Leaders += Entry.Record.isServingLeader() ? 1 : 0;
  }
  return Result;
}

FleetRoutes FleetView::routes() const {
  FleetRoutes Result;
  if (!Index)
    return Result;
  Result.Table.Version = version();
  for (const auto &[Service, Names] : pools())
    for (const std::string &Name : Names) {
      Pool &Target = Result.Table.Pools[Name];
      Target.Name = Name;
      Target.RetryGroup = Service.Text;
      Target.Ranks = ranks(Service);
    }
  addPaces(Result);
  for (const auto &[Name, Entry] : Catalogue.all())
    addEndpoint(Entry, Result);
  return Result;
}

void FleetView::addPaces(FleetRoutes &Result) const {
  for (const ServiceProfile &Service : Index->config().Services) {
    if (!Service.Engine)
      continue;
    for (const ServedModel &Model : Service.Engine->Models)
      Result.Table.Pools[poolName(Service.Name, Model.Name)].Pace =
          enginePace(*Service.Engine, Model);
  }
}

void FleetView::addEndpoint(const KnownEndpoint &Entry,
                            FleetRoutes &Result) const {
  const EndpointRecord &Record = Entry.Record;
  const ServiceProfile *const Service = Index->service(Record.Service);
  if (Service == nullptr || Record.State != EndpointState::Serving ||
      Drained.contains(Record.DataCentre))
    return;
  ModelName Model;
  if (Service->Engine) {
    if (!Record.isServingLeader() || Record.Loaded.empty())
      return;
    Model = Record.Loaded.back();
  }
  const auto Pool = Result.Table.Pools.find(poolName(Service->Name, Model));
  if (Pool == Result.Table.Pools.end())
    return;
  EndpointSpec Spec;
  Spec.Key = endpointKey(Record);
  Spec.Process = processName(Record);
  Spec.Address = Record.Address;
  Spec.Host = HostName(Record.Name.Text);
  Spec.DataCentre = Record.DataCentre;
  Spec.WarmBound = std::max<std::uint32_t>(1, Record.Slots);
  Spec.Members = {Record.Address};
  Result.Shares[Spec.Key] = mayBeCold(Entry) ? 0 : Spec.WarmBound;
  if (isSuspended(Record.Name))
    Result.Shares[Spec.Key] = 0;
  Pool->second.Endpoints.push_back(std::move(Spec));
}

} // namespace coltsfoottrail
