#include "coltsfoottrail/dissemination/upstream.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Consecutive failed exchanges after which the target counts as failed; a
/// single one may be lost in transit.
constexpr int MaxLostExchanges = 2;
/// Interval between queries of the store for the coordinator. It doubles up to
/// MaxQueryPause while that changes nothing, because each query is a call from
/// every host.
constexpr milliseconds QueryInterval{700};
constexpr milliseconds MaxQueryPause{2'800};
/// Delay of the first query: hosts start together, and there is no coordinator
/// at first.
constexpr milliseconds FirstQueryDelay{400};
/// How long a failed relay is reported to the coordinator, so that it is not
/// assigned to this host again.
constexpr Duration FailedRelayTimeout = seconds(5);

} // namespace

std::optional<EngineAddress> addressOfMember(std::string_view Member) {
  return addressFrom(Member.substr(0, Member.find('/')));
}

Upstream::Upstream(std::string_view Member, TimePoint Now)
    : OwnAddress(addressOfMember(Member)), QueryPause(QueryInterval),
      NextQueryAt(Now + FirstQueryDelay) {}

bool Upstream::takeCoordinatorQuery(TimePoint Now) {
  if (Relay || CoordinatorConfirmed || Now < NextQueryAt)
    return false;
  NextQueryAt = Now + QueryPause;
  QueryPause = std::min(2 * QueryPause, MaxQueryPause);
  return true;
}

void Upstream::setCoordinator(std::string_view Member) {
  const auto Address = addressOfMember(Member);
  if (Address && Address != OwnAddress)
    Coordinator = Address;
}

std::optional<std::string> Upstream::failedRelay(TimePoint Now) const {
  return Now < FailedRelayUntil ? FailedRelay : std::nullopt;
}

// While the former coordinator responds, only it queries the store for its
// successor; the other hosts learn of the successor from its responses or from
// their relay.
void Upstream::learnCoordinator(const Response &Received, bool ByRelay) {
  if (!ByRelay && Received.Coordinates) {
    CoordinatorConfirmed = true;
    QueryPause = QueryInterval;
    return;
  }
  if (ByRelay && Received.Coordinates && Relay) {
    Coordinator = Relay;
    CoordinatorConfirmed = true;
    return;
  }
  const auto Address = Received.Coordinator
                           ? addressOfMember(*Received.Coordinator)
                           : std::nullopt;
  if (Address && Address != OwnAddress) {
    Coordinator = Address;
    CoordinatorConfirmed = true;
  } else if (!ByRelay)
    CoordinatorConfirmed = false;
}

// Failure guarded against: a relay becomes the coordinator and assigns its
// reporters to other relays with responses that carry nothing else. If only
// direct reporters followed, the others would leave it as useless and look for
// a coordinator that has ended.
bool Upstream::applyResponse(const Response &Received, bool ByRelay) {
  LostExchanges = 0;
  learnCoordinator(Received, ByRelay);
  const auto Address =
      Received.Relay ? addressOfMember(*Received.Relay) : std::nullopt;
  const bool MayAssign = !ByRelay || Received.Coordinates;
  if (!Address || !MayAssign || Address == OwnAddress)
    return false;
  Relay = Address;
  return true;
}

bool Upstream::recordLoss(TimePoint Now) {
  if (++LostExchanges < MaxLostExchanges)
    return false;
  abandon(Now);
  return true;
}

void Upstream::abandon(TimePoint Now) {
  LostExchanges = 0;
  if (!Relay) {
    CoordinatorConfirmed = false;
    return;
  }
  FailedRelay = textOf(*Relay);
  FailedRelayUntil = Now + FailedRelayTimeout;
  Relay.reset();
}

bool Upstream::recordReporter(const HostName &Reporter, TimePoint Now) {
  if (!Relay || addressOfMember(Reporter.Text) != Relay)
    return false;
  abandon(Now);
  return true;
}

} // namespace coltsfoottrail
