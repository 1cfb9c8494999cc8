#include "coltsfoottrail/fleethost/reachlog.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/logging/log.hpp"

namespace coltsfoottrail {

namespace {

std::int64_t toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

} // namespace

void logReachChange(const ReachChange &Change, TimePoint Now) {
  std::visit(Overloaded{
                 [](const EndpointUnreachable &Item) {
                   logEvent(Event::EndpointUnreachable,
                            {{"address", textOf(Item.Endpoint)}});
                 },
                 [](const EndpointReached &Item) {
                   logEvent(
                       Event::EndpointReached,
                       {{"address", textOf(Item.Endpoint)},
                        {"after_ms", toMilliseconds(Item.UnreachableFor)}});
                 },
                 [&](const CutOffBegan &Item) {
                   logEvent(Event::CutOff,
                            {{"since_ms", toMilliseconds(Now - Item.Since)},
                             {"direct", Item.Tally.Direct},
                             {"forwarded", Item.Tally.Forwarded},
                             {"unreachable", Item.Tally.Unreachable}});
                 },
                 [](const CutOffEnded &Item) {
                   logEvent(Event::CutOffEnded,
                            {{"after_ms", toMilliseconds(Item.Length)}});
                 },
             },
             Change);
}

} // namespace coltsfoottrail
