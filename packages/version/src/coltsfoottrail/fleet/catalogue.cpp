#include "coltsfoottrail/fleet/catalogue.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

bool sameForRouting(const EndpointRecord &Old, const EndpointRecord &New) {
  return Old.Address == New.Address && Old.DataCentre == New.DataCentre &&
         Old.Service == New.Service && Old.State == New.State &&
         Old.StartedAtMs == New.StartedAtMs && Old.Seat == New.Seat &&
         Old.Staged == New.Staged && Old.Loaded == New.Loaded &&
         Old.Slots == New.Slots;
}

/// Failure guarded against: a record of an earlier life, or one that was
/// overtaken, comes late and brings back a seat or a state that is over.
bool isOlder(const EndpointRecord &Record, const EndpointRecord &Known) {
  return Record.StartedAtMs < Known.StartedAtMs ||
         (Record.StartedAtMs == Known.StartedAtMs &&
          Record.Sequence < Known.Sequence);
}

} // namespace

bool EndpointCatalogue::publish(EndpointRecord Record, TimePoint Now) {
  const EndpointName Name = Record.Name;
  KnownEndpoint &Its = Known[Name];
  if (Its.Record.Name == Name && isOlder(Record, Its.Record))
    return false;
  const bool Changed = Its.Record.Name != Name || Its.RemovalDeferredUntil ||
                       !sameForRouting(Its.Record, Record) ||
                       (Record.ColdFor.count() > 0) != Its.Cold;
  Its.Cold = Record.ColdFor.count() > 0;
  Its.ColdUntil = Now + Record.ColdFor;
  Its.LastPublishedAt = Now;
  Its.RemovalDeferredUntil.reset();
  Its.Record = std::move(Record);
  if (Changed)
    ++Changes;
  return Changed;
}

bool EndpointCatalogue::remove(const EndpointName &Name, TimePoint Now) {
  const auto Found = Known.find(Name);
  if (Found == Known.end())
    return false;
  const bool MayReturn = Now < SettledAt &&
                         Found->second.LastPublishedAt <= ReturnedAt &&
                         Found->second.Record.State == EndpointState::Serving;
  if (MayReturn) {
    if (!Found->second.RemovalDeferredUntil)
      Found->second.RemovalDeferredUntil = SettledAt;
    return false;
  }
  Known.erase(Found);
  ++Changes;
  return true;
}

void EndpointCatalogue::retain(const std::set<EndpointName> &Present,
                               TimePoint Now) {
  std::vector<EndpointName> Absent;
  for (const auto &[Name, Its] : Known)
    if (!Present.contains(Name))
      Absent.push_back(Name);
  for (const EndpointName &Name : Absent)
    remove(Name, Now);
}

std::vector<EndpointName> EndpointCatalogue::advance(TimePoint Now) {
  std::vector<EndpointName> Gone;
  for (auto &[Name, Its] : Known) {
    if (Its.RemovalDeferredUntil && *Its.RemovalDeferredUntil <= Now)
      Gone.push_back(Name);
    if (Its.Cold && Its.ColdUntil <= Now) {
      Its.Cold = false;
      ++Changes;
    }
  }
  for (const EndpointName &Name : Gone)
    Known.erase(Name);
  Changes += Gone.size();
  return Gone;
}

const KnownEndpoint *EndpointCatalogue::find(const EndpointName &Name) const {
  const auto Found = Known.find(Name);
  return Found == Known.end() ? nullptr : &Found->second;
}

} // namespace coltsfoottrail
