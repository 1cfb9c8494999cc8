#include "coltsfoottrail/fleethost/changelog.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/logging/log.hpp"

namespace coltsfoottrail {

namespace {

/// Kind of change in an endpoint's record; empty for a plain heartbeat. Seats
/// are left out: the coordinator logs its orders and the fate of groups.
std::string_view changeKind(const KnownEndpoint *Entry,
                            const EndpointRecord &Record) {
  if (Entry == nullptr)
    return "learned";
  if (Entry->Record.StartedAtMs != Record.StartedAtMs)
    return "restarted";
  if (Entry->Record.State != Record.State)
    return Record.State == EndpointState::Draining ? "draining" : "serving";
  if (Entry->Record.Address != Record.Address)
    return "moved";
  if (Entry->RemovalDeferredUntil)
    return "back";
  if (Record.ColdFor.count() > 0 && !Entry->Cold)
    return "cold";
  return {};
}

} // namespace

void logFeedChanges(const FeedPage &Page, const FleetView &OldView,
                    TimePoint RequestedAt, TimePoint Now,
                    EventSampler &Unreadable) {
  const auto Age =
      std::chrono::duration_cast<milliseconds>(Now - RequestedAt).count();
  for (const FleetChange &Change : Page.Changes)
    std::visit(
        Overloaded{
            [&](const ConfigPublished &Item) {
              logEvent(Event::ConfigInForce,
                       {{"version", Item.Config.Version}, {"age_ms", Age}});
            },
            [&](const DataCentreDrained &Item) {
              logEvent(Event::Drained, {{"data_centre", Item.DataCentre},
                                        {"drained", true},
                                        {"age_ms", Age}});
            },
            [&](const DataCentreReturned &Item) {
              logEvent(Event::Drained, {{"data_centre", Item.DataCentre},
                                        {"drained", false},
                                        {"age_ms", Age}});
            },
            [&](const EndpointPublished &Item) {
              const std::string_view ChangeKind = changeKind(
                  OldView.endpoints().find(Item.Record.Name), Item.Record);
              if (!ChangeKind.empty())
                logEvent(Event::EndpointChanged,
                         {{"endpoint", Item.Record.Name},
                          {"what", ChangeKind},
                          {"service", Item.Record.Service},
                          {"data_centre", Item.Record.DataCentre},
                          {"sequence", Item.Record.Sequence},
                          {"age_ms", Age}});
            },
            [&](const EndpointRemoved &Item) {
              if (OldView.endpoints().find(Item.Name) != nullptr)
                logEvent(Event::EndpointChanged, {{"endpoint", Item.Name},
                                                  {"what", "removed"},
                                                  {"age_ms", Age}});
            },
            [&](const UnreadableEntry &Item) {
              if (const auto HeldBack =
                      Unreadable.admit(Event::EntryUnreadable, Now))
                logEvent(Event::EntryUnreadable, {{"key", Item.Key},
                                                  {"problem", Item.Problem},
                                                  {"held_back", *HeldBack}});
            },
        },
        Change);
}

} // namespace coltsfoottrail
