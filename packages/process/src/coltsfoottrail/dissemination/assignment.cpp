#include "coltsfoottrail/dissemination/assignment.hpp"

namespace coltsfoottrail {

namespace {

std::string_view addressOf(const HostName &Host) {
  const std::string_view Text = Host.Text;
  return Text.substr(0, Text.find('/'));
}

} // namespace

void RelayAssignment::record(const Report &Received, TimePoint Now) {
  std::erase_if(Reporters, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt >= ReporterTimeout;
  });
  Reporter &Sender = Reporters[Received.Host];
  Sender.DataCentre = Received.DataCentre;
  Sender.CanRelay = Received.CanRelay;
  Sender.HeardAt = Now;
  const std::size_t Below = Received.Hosts > 0 ? Received.Hosts - 1 : 0;
  if (Below != Sender.Below)
    Sender.Assigned = 0;
  Sender.Below = Below;
  Sender.Relays = Sender.Relays || Below > 0;
}

// Hysteresis: a fleet that shrinks a little does not alternate between the two
// layouts.
bool RelayAssignment::needsRelays(std::size_t FleetSize) {
  if (FleetSize > MostReporters)
    UsesRelays = true;
  else if (FleetSize <= MostReporters / 2)
    UsesRelays = false;
  return UsesRelays;
}

bool RelayAssignment::isUsable(const HostName &Name, const Reporter &Host,
                               const Report &Received, Role RequiredRole) {
  const std::size_t Most =
      Host.CanRelay ? MostReporters : MostReportersOfWeakHost;
  if (Host.DataCentre != Received.DataCentre ||
      Host.Below + Host.Assigned >= Most)
    return false;
  if (Received.FailedRelay && *Received.FailedRelay == addressOf(Name))
    return false;
  switch (RequiredRole) {
  case Role::Relay:
    return Host.Relays;
  case Role::Candidate:
    return !Host.Relays && Host.CanRelay;
  case Role::LastResort:
    break;
  }
  return !Host.Relays;
}

std::map<HostName, RelayAssignment::Reporter>::iterator
RelayAssignment::leastLoaded(const Report &Received, Role RequiredRole) {
  const auto LoadOf = [](const Reporter &Host) {
    return Host.Below + Host.Assigned;
  };
  auto Best = Reporters.end();
  for (auto It = Reporters.begin(); It != Reporters.end(); ++It) {
    if (!isUsable(It->first, It->second, Received, RequiredRole))
      continue;
    if (Best == Reporters.end() || LoadOf(It->second) < LoadOf(Best->second))
      Best = It;
  }
  return Best;
}

bool RelayAssignment::needsLastResort(const DataCentreName &DataCentre) const {
  std::size_t WeakHosts = 0;
  for (const auto &[Name, Entry] : Reporters) {
    if (Entry.DataCentre != DataCentre)
      continue;
    if (Entry.CanRelay)
      return false;
    ++WeakHosts;
  }
  return WeakHosts >= MostReportersOfWeakHost;
}

std::map<HostName, RelayAssignment::Reporter>::iterator
RelayAssignment::findRelay(const Report &Received) {
  auto Relay = leastLoaded(Received, Role::Relay);
  if (Relay == Reporters.end())
    Relay = leastLoaded(Received, Role::Candidate);
  if (Relay == Reporters.end() && needsLastResort(Received.DataCentre))
    Relay = leastLoaded(Received, Role::LastResort);
  return Relay;
}

bool RelayAssignment::staysDirect(const Report &Received) const {
  if (!Received.CanRelay)
    return false;
  std::size_t Candidates = 0;
  for (const auto &[Name, Entry] : Reporters)
    if (Entry.DataCentre == Received.DataCentre && Entry.CanRelay &&
        !Entry.Relays)
      ++Candidates;
  return Candidates <= DirectCandidates;
}

std::optional<HostName> RelayAssignment::assign(const Report &Received,
                                                std::size_t FleetSize,
                                                TimePoint Now) {
  record(Received, Now);
  if (!needsRelays(FleetSize) || Reporters.at(Received.Host).Relays ||
      staysDirect(Received))
    return std::nullopt;
  const auto Relay = findRelay(Received);
  if (Relay == Reporters.end())
    return std::nullopt;
  Relay->second.Relays = true;
  if (Relay->first == Received.Host)
    return std::nullopt;
  ++Relay->second.Assigned;
  Reporters.erase(Received.Host);
  return Relay->first;
}

} // namespace coltsfoottrail
