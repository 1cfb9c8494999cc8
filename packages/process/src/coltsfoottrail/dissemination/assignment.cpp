#include "coltsfoottrail/dissemination/assignment.hpp"

namespace coltsfoottrail {

namespace {

std::string_view addressOf(const HostName &Host) {
  const std::string_view Text = Host.Text;
  return Text.substr(0, Text.find('/'));
}

} // namespace

void RelayAssignment::record(const Report &From, TimePoint Now) {
  std::erase_if(Reporters, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt >= Life;
  });
  Reporter &Its = Reporters[From.Host];
  Its.DataCentre = From.DataCentre;
  Its.CanRelay = From.CanRelay;
  Its.HeardAt = Now;
  const std::size_t Below = From.Hosts > 0 ? From.Hosts - 1 : 0;
  if (Below != Its.Below)
    Its.Assigned = 0;
  Its.Below = Below;
  Its.Relays = Its.Relays || Below > 0;
}

// Hysteresis: a fleet that shrinks a little does not go back and forth between
// the two layouts.
bool RelayAssignment::needsRelays(std::size_t FleetSize) {
  if (FleetSize > MostReporters)
    Layered = true;
  else if (FleetSize <= MostReporters / 2)
    Layered = false;
  return Layered;
}

bool RelayAssignment::isUsable(const HostName &Name, const Reporter &Of,
                               const Report &From, Role As) {
  const std::size_t Most = Of.CanRelay ? MostReporters : MostReportersOfWeak;
  if (Of.DataCentre != From.DataCentre || Of.Below + Of.Assigned >= Most)
    return false;
  if (From.FailedRelay && *From.FailedRelay == addressOf(Name))
    return false;
  switch (As) {
  case Role::Relay:
    return Of.Relays;
  case Role::Candidate:
    return !Of.Relays && Of.CanRelay;
  case Role::LastResort:
    break;
  }
  return !Of.Relays;
}

std::map<HostName, RelayAssignment::Reporter>::iterator
RelayAssignment::leastLoaded(const Report &From, Role As) {
  const auto LoadOf = [](const Reporter &Of) { return Of.Below + Of.Assigned; };
  auto Found = Reporters.end();
  for (auto Each = Reporters.begin(); Each != Reporters.end(); ++Each) {
    if (!isUsable(Each->first, Each->second, From, As))
      continue;
    if (Found == Reporters.end() ||
        LoadOf(Each->second) < LoadOf(Found->second))
      Found = Each;
  }
  return Found;
}

bool RelayAssignment::needsLastResort(const DataCentreName &Where) const {
  std::size_t Weak = 0;
  for (const auto &[Name, Its] : Reporters) {
    if (Its.DataCentre != Where)
      continue;
    if (Its.CanRelay)
      return false;
    ++Weak;
  }
  return Weak >= MostReportersOfWeak;
}

std::map<HostName, RelayAssignment::Reporter>::iterator
RelayAssignment::findRelay(const Report &From) {
  auto Found = leastLoaded(From, Role::Relay);
  if (Found == Reporters.end())
    Found = leastLoaded(From, Role::Candidate);
  if (Found == Reporters.end() && needsLastResort(From.DataCentre))
    Found = leastLoaded(From, Role::LastResort);
  return Found;
}

bool RelayAssignment::isKept(const Report &From) const {
  if (!From.CanRelay)
    return false;
  std::size_t Candidates = 0;
  for (const auto &[Name, Its] : Reporters)
    if (Its.DataCentre == From.DataCentre && Its.CanRelay && !Its.Relays)
      ++Candidates;
  return Candidates <= KeptCandidates;
}

std::optional<HostName> RelayAssignment::assign(const Report &From,
                                                std::size_t FleetSize,
                                                TimePoint Now) {
  record(From, Now);
  if (!needsRelays(FleetSize) || Reporters.at(From.Host).Relays || isKept(From))
    return std::nullopt;
  const auto Relay = findRelay(From);
  if (Relay == Reporters.end())
    return std::nullopt;
  Relay->second.Relays = true;
  if (Relay->first == From.Host)
    return std::nullopt;
  ++Relay->second.Assigned;
  Reporters.erase(From.Host);
  return Relay->first;
}

} // namespace coltsfoottrail
