#include "coltsfoottrail/fleethost/changelog.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/logging/log.hpp"

namespace coltsfoottrail {

namespace {

/// What is new in an endpoint's record; empty for a mere heartbeat. Seats are
/// left out: the driver logs its orders and the fate of groups.
std::string_view whatChanged(const KnownEndpoint *Known,
                             const EndpointRecord &Record) {
  if (Known == nullptr)
    return "learned";
  if (Known->Record.StartedAtMs != Record.StartedAtMs)
    return "restarted";
  if (Known->Record.State != Record.State)
    return Record.State == EndpointState::Draining ? "draining" : "serving";
  if (Known->Record.Address != Record.Address)
    return "moved";
  if (Known->RemovalDeferredUntil)
    return "back";
  if (Record.ColdFor.count() > 0 && !Known->Cold)
    return "cold";
  return {};
}

} // namespace

void logFeedChanges(const FeedPage &Page, const FleetView &Before,
                    TimePoint AskedAt, TimePoint Now) {
  const auto Age =
      std::chrono::duration_cast<milliseconds>(Now - AskedAt).count();
  for (const FleetChange &Change : Page.Changes)
    std::visit(Overloaded{
                   [&](const ConfigPublished &One) {
                     logEvent(
                         Event::ConfigInForce,
                         {{"version", One.Config.Version}, {"age_ms", Age}});
                   },
                   [&](const DataCentreDrained &One) {
                     logEvent(Event::Drained, {{"data_centre", One.DataCentre},
                                               {"drained", true},
                                               {"age_ms", Age}});
                   },
                   [&](const DataCentreReturned &One) {
                     logEvent(Event::Drained, {{"data_centre", One.DataCentre},
                                               {"drained", false},
                                               {"age_ms", Age}});
                   },
                   [&](const EndpointPublished &One) {
                     const std::string_view What = whatChanged(
                         Before.endpoints().find(One.Record.Name), One.Record);
                     if (!What.empty())
                       logEvent(Event::EndpointChanged,
                                {{"endpoint", One.Record.Name},
                                 {"what", What},
                                 {"service", One.Record.Service},
                                 {"data_centre", One.Record.DataCentre},
                                 {"sequence", One.Record.Sequence},
                                 {"age_ms", Age}});
                   },
                   [&](const EndpointRemoved &One) {
                     if (Before.endpoints().find(One.Name) != nullptr)
                       logEvent(Event::EndpointChanged, {{"endpoint", One.Name},
                                                         {"what", "removed"},
                                                         {"age_ms", Age}});
                   },
                   [](const UnreadableEntry &One) {
                     logEvent(Event::EntryUnreadable,
                              {{"key", One.Key}, {"problem", One.Problem}});
                   },
               },
               Change);
}

} // namespace coltsfoottrail
