#include "coltsfoottrail/fleethost/view.hpp"

#include "coltsfoottrail/core/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Kept free of the revocation bound: a request that is taken just before it
/// still has to reach its endpoint.
constexpr Duration RevocationMargin = milliseconds(700);
/// The same for the bound on configurations.
constexpr Duration ConfigurationMargin = milliseconds(200);
/// How long the endpoints of a returned data centre are taken for cold: two
/// heartbeats of the platform and a poll.
constexpr Duration ReturnCaution = milliseconds(3'000);

} // namespace

std::string FleetView::endpointKey(const EndpointRecord &Of) {
  std::string Out = Of.Name.Text + "#" + std::to_string(Of.StartedAtMs);
  if (Of.Seat)
    Out += "@" + std::to_string(Of.Seat->Epoch);
  return Out;
}

std::string FleetView::poolName(const ServiceName &Service,
                                const ModelName &Model) {
  return Model.empty() ? "service/" + Service.Text
                       : "model/" + Service.Text + "/" + Model.Text;
}

std::vector<RoutingEffect> FleetView::take(Feed Which, FeedPage Page,
                                           bool Whole, TimePoint AskedAt,
                                           TimePoint Now) {
  StoreAnsweredAsOf = std::max(StoreAnsweredAsOf, AskedAt);
  if (Which == Feed::Endpoints)
    noteRead(Now);
  if (Whole && Which == Feed::Endpoints)
    retainEndpoints(Page, Now);
  if (Whole && Which == Feed::Operators)
    retainDrains(Page, Now);
  std::vector<RoutingEffect> Effects;
  Effects.reserve(Page.Changes.size());
  for (FleetChange &Change : Page.Changes)
    Effects.push_back(effectOf(Change, Whole, Now));
  if (Which == Feed::Operators) {
    // Failure guarded against: an overloaded store hands the feed out in parts,
    // this host stays some versions behind while each part is answered, and it
    // refuses proper requests by routes and credentials that are long replaced.
    // Only a read that reached the end proves anything.
    if (Page.Next >= Page.End)
      ConfigAsOf = std::max(ConfigAsOf, AskedAt);
    return Effects;
  }
  EndpointsKnown = true;
  KnowsAllEndpoints = !Page.Projected && (Whole || KnowsAllEndpoints);
  if (Page.Next >= Page.End)
    EndpointsAsOf = std::max(EndpointsAsOf, AskedAt);
  return Effects;
}

/// Whether a host that only routes needs the record of an endpoint.
bool FleetView::isRoutable(const EndpointName &Which) const {
  const KnownEndpoint *const Known = Catalogue.find(Which);
  if (Known == nullptr)
    return false;
  const ServiceProfile *const Service =
      Index ? Index->service(Known->Record.Service) : nullptr;
  return Service == nullptr || !Service->Engine ||
         Known->Record.isServingLeader();
}

RoutingEffect FleetView::effectOf(FleetChange &Change, bool Whole,
                                  TimePoint Now) {
  const auto OfEndpoint = [&](const EndpointName &Name) {
    const bool Before = isRoutable(Name);
    const bool Changed = applyOne(Change, Now);
    const bool After = isRoutable(Name);
    if (After)
      return Changed || Whole ? RoutingEffect::Set : RoutingEffect::None;
    if (Before)
      return RoutingEffect::Unset;
    return Changed ? RoutingEffect::Other : RoutingEffect::None;
  };
  if (const auto *const One = std::get_if<EndpointPublished>(&Change))
    return OfEndpoint(EndpointName(One->Record.Name));
  if (const auto *const One = std::get_if<EndpointRemoved>(&Change)) {
    const bool Before = isRoutable(One->Name);
    (void)applyOne(Change, Now);
    return Before ? RoutingEffect::Unset : RoutingEffect::Other;
  }
  const bool Returned = std::holds_alternative<DataCentreReturned>(Change);
  if (!applyOne(Change, Now) && !Whole)
    return RoutingEffect::None;
  return Returned ? RoutingEffect::Unset : RoutingEffect::Set;
}

// Failure guarded against: single reads fail, removals are held back after each
// of them, and endpoints that have left get work for seconds. Entries lapse
// after three heartbeats of silence, so that an outage of less than two lets
// none of a live endpoint lapse: removals read after it are real.
void FleetView::noteRead(TimePoint Now) {
  if (EndpointsReadAt && Now - *EndpointsReadAt >= 2 * Bounds.Heartbeat)
    Catalogue.storeReturned(Now);
  EndpointsReadAt = Now;
}

bool FleetView::applyOne(FleetChange &Change, TimePoint Now) {
  return std::visit(
      Overloaded{
          [&](ConfigPublished &One) { return apply(std::move(One)); },
          [&](const DataCentreDrained &One) {
            const bool New = Drained.insert(One.DataCentre).second;
            Changes += New ? 1 : 0;
            return New;
          },
          [&](const DataCentreReturned &One) {
            return returned(One.DataCentre, Now);
          },
          [&](EndpointPublished &One) {
            return publish(std::move(One.Record), Now);
          },
          [&](const EndpointRemoved &One) {
            (void)Catalogue.remove(One.Name, Now);
            return true;
          },
          [](const UnreadableEntry &) { return false; },
      },
      Change);
}

// A process that has crashed publishes nothing: a record of the same life that
// leads no more was written by a leader that closed and lives.
void FleetView::recordClosing(const EndpointRecord &Before,
                              const EndpointRecord &Now) {
  const std::string Key = endpointKey(Before);
  const bool Leads = Now.isServingLeader() && endpointKey(Now) == Key;
  if (Before.isServingLeader() && !Before.Loaded.empty() && !Leads &&
      Before.StartedAtMs == Now.StartedAtMs)
    Closed.push_back({poolName(Before.Service, Before.Loaded.back()), Key});
}

bool FleetView::publish(EndpointRecord Record, TimePoint Now) {
  const EndpointName Name = Record.Name;
  const KnownEndpoint *const Known = Catalogue.find(Name);
  const std::optional<EndpointRecord> Before =
      Known == nullptr ? std::nullopt : std::optional(Known->Record);
  if (!Catalogue.publish(std::move(Record), Now))
    return false;
  const EndpointRecord &After = Catalogue.find(Name)->Record;
  if (!Before || endpointKey(*Before) != endpointKey(After))
    Changes += Shunned.erase(Name);
  if (Before)
    recordClosing(*Before, After);
  return true;
}

// Failure guarded against: the store is read again from an earlier point, or a
// lagging answer overtakes a newer one, and callers are served by routes and
// credentials that were withdrawn. Versions only grow within one run.
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
    if (const auto *const One = std::get_if<EndpointPublished>(&Change))
      Present.insert(One->Record.Name);
  Catalogue.retain(Present, Now);
}

// Failure guarded against: endpoints of a drained data centre are often cold
// when it is returned, but the record that says so comes up to a heartbeat and
// a poll later. Every host sends them full load at once, and they fall over.
bool FleetView::returned(const DataCentreName &Which, TimePoint Now) {
  if (Drained.erase(Which) == 0)
    return false;
  Returned.insert_or_assign(Which, Now + ReturnCaution);
  ++Changes;
  return true;
}

void FleetView::retainDrains(const FeedPage &Page, TimePoint Now) {
  std::set<DataCentreName> Present;
  for (const FleetChange &Change : Page.Changes)
    if (const auto *const One = std::get_if<DataCentreDrained>(&Change))
      Present.insert(One->DataCentre);
  const std::set<DataCentreName> Before = Drained;
  for (const DataCentreName &Each : Before)
    if (!Present.contains(Each))
      returned(Each, Now);
}

void FleetView::shun(const EndpointName &Which, Duration Span, TimePoint Now) {
  TimePoint &Until = Shunned[Which];
  const bool New = Until == TimePoint{};
  Until = std::max(Until, Now + Span);
  if (New)
    ++Changes;
}

void FleetView::advance(TimePoint Now) {
  Catalogue.advance(Now);
  const auto Over = [&](const auto &Entry) { return Entry.second <= Now; };
  Changes += std::erase_if(Shunned, Over);
  Changes += std::erase_if(Returned, Over);
}

// Failure guarded against: this host is cut off from the store, a credential is
// withdrawn meanwhile, and its callers are served on. Once the last proof of
// the configuration is older than the bound, no credential is trusted. The
// clock counts suspension, so a host that wakes knows that it slept.
//
// Only a store that does not answer at all excuses a configuration that is
// older than its bound; one that answers without reaching the end does not.
bool FleetView::credentialsFresh(TimePoint Now) const noexcept {
  const bool Starved = StoreAnsweredAsOf - ConfigAsOf >=
                       Bounds.Configuration - ConfigurationMargin;
  return Index && !Starved &&
         Now - ConfigAsOf < Bounds.Revocation - RevocationMargin;
}

bool FleetView::routesFresh(TimePoint Now) const noexcept {
  return Index && configAge(Now) < Bounds.Configuration - ConfigurationMargin;
}

std::map<ServiceName, std::vector<std::string>> FleetView::pools() const {
  std::map<ServiceName, std::vector<std::string>> Out;
  if (!Index)
    return Out;
  for (const ServiceProfile &Service : Index->config().Services) {
    std::vector<std::string> &Names = Out[Service.Name];
    if (!Service.Engine)
      Names.push_back(poolName(Service.Name, ModelName()));
    else
      for (const ServedModel &Each : Service.Engine->Models)
        Names.push_back(poolName(Service.Name, Each.Name));
  }
  return Out;
}

EndpointTally FleetView::tally() const {
  EndpointTally Out;
  for (const auto &[Name, Known] : Catalogue.all()) {
    const bool Drains = Known.Record.State == EndpointState::Draining;
    ++(Drains ? Out.Draining : Out.Serving);
    Out.Cold += mayBeCold(Known) ? 1 : 0;
    Out.Leaders += Known.Record.isServingLeader() ? 1 : 0;
  }
  return Out;
}

FleetRoutes FleetView::routes() const {
  FleetRoutes Out;
  if (!Index)
    return Out;
  Out.Table.Version = version();
  for (const auto &[Service, Names] : pools())
    for (const std::string &Name : Names) {
      Out.Table.Pools[Name].Name = Name;
      Out.Table.Pools[Name].RetryGroup = Service.Text;
    }
  addPaces(Out);
  for (const auto &[Name, Known] : Catalogue.all())
    addEndpoint(Known, Out);
  return Out;
}

void FleetView::addPaces(FleetRoutes &Out) const {
  for (const ServiceProfile &Service : Index->config().Services) {
    if (!Service.Engine)
      continue;
    for (const ServedModel &Each : Service.Engine->Models)
      Out.Table.Pools[poolName(Service.Name, Each.Name)].Pace =
          enginePace(*Service.Engine, Each);
  }
}

void FleetView::addEndpoint(const KnownEndpoint &Known,
                            FleetRoutes &Out) const {
  const EndpointRecord &Record = Known.Record;
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
  const auto Pool = Out.Table.Pools.find(poolName(Service->Name, Model));
  if (Pool == Out.Table.Pools.end())
    return;
  EndpointSpec Spec;
  Spec.Key = endpointKey(Record);
  Spec.Address = Record.Address;
  Spec.Host = HostName(Record.Name.Text);
  Spec.DataCentre = Record.DataCentre;
  Spec.WarmBound = std::max<std::uint32_t>(1, Record.Slots);
  Spec.Members = {Record.Address};
  Out.Shares[Spec.Key] = mayBeCold(Known) ? 0 : Spec.WarmBound;
  if (shuns(Record.Name))
    Out.Shares[Spec.Key] = 0;
  Pool->second.Endpoints.push_back(std::move(Spec));
}

} // namespace coltsfoottrail
