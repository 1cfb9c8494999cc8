#include "coltsfoottrail/fleet/catalogue.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

bool equalForRouting(const EndpointRecord &Old, const EndpointRecord &New) {
  return Old.Address == New.Address && Old.DataCentre == New.DataCentre &&
         Old.Service == New.Service && Old.State == New.State &&
         Old.StartedAtMs == New.StartedAtMs && Old.Seat == New.Seat &&
         Old.Staged == New.Staged && Old.Loaded == New.Loaded &&
         Old.Slots == New.Slots;
}

/// Failure guarded against: a record from before a restart, or one that a newer
/// record has overtaken, arrives late and restores an outdated seat or state.
bool isOlder(const EndpointRecord &Record, const EndpointRecord &Current) {
  return Record.StartedAtMs < Current.StartedAtMs ||
         (Record.StartedAtMs == Current.StartedAtMs &&
          Record.Sequence < Current.Sequence);
}

/// Failure guarded against: the record of another writer under the name of an
/// endpoint replaces its own, a member of a group that serves counts as an
/// engine without a seat or as an endpoint of another service, and is given to
/// another group or gets the requests of another service.
bool isOfAnother(const EndpointRecord &Record, const EndpointRecord &Current) {
  return Record.StartedAtMs == Current.StartedAtMs &&
         (Record.Service != Current.Service || Record.Domain != Current.Domain);
}

} // namespace

bool EndpointCatalogue::publish(EndpointRecord Record, TimePoint Now) {
  const EndpointName Name = Record.Name;
  KnownEndpoint &Entry = Endpoints[Name];
  if (Entry.Record.Name == Name &&
      (isOlder(Record, Entry.Record) || isOfAnother(Record, Entry.Record)))
    return false;
  const bool IsRepeated = Entry.Record.Name == Name &&
                          Entry.Record.StartedAtMs == Record.StartedAtMs &&
                          Entry.Record.Sequence == Record.Sequence;
  const bool Changed = Entry.Record.Name != Name ||
                       Entry.RemovalDeferredUntil ||
                       !equalForRouting(Entry.Record, Record) ||
                       (Record.ColdFor.count() > 0) != Entry.Cold;
  Entry.Cold = Record.ColdFor.count() > 0;
  Entry.ColdUntil = Now + Record.ColdFor;
  Entry.LastPublishedAt = Now;
  if (!IsRepeated)
    Entry.LastWrittenAt = Now;
  Entry.RemovalDeferredUntil.reset();
  Entry.Record = std::move(Record);
  if (Changed)
    ++Version;
  return Changed;
}

bool EndpointCatalogue::remove(const EndpointName &Name, TimePoint Now) {
  const auto Entry = Endpoints.find(Name);
  if (Entry == Endpoints.end())
    return false;
  const bool MayReturn = Now < SettlesAt &&
                         Entry->second.LastPublishedAt <= StoreReturnedAt &&
                         Entry->second.Record.State == EndpointState::Serving;
  if (MayReturn) {
    if (!Entry->second.RemovalDeferredUntil)
      Entry->second.RemovalDeferredUntil = SettlesAt;
    return false;
  }
  Endpoints.erase(Entry);
  ++Version;
  return true;
}

void EndpointCatalogue::retain(const std::set<EndpointName> &Present,
                               TimePoint Now) {
  std::vector<EndpointName> Absent;
  for (const auto &[Name, Entry] : Endpoints)
    if (!Present.contains(Name))
      Absent.push_back(Name);
  for (const EndpointName &Name : Absent)
    remove(Name, Now);
}

std::vector<EndpointName> EndpointCatalogue::advance(TimePoint Now) {
  std::vector<EndpointName> Dropped;
  for (auto &[Name, Entry] : Endpoints) {
    if (Entry.RemovalDeferredUntil && *Entry.RemovalDeferredUntil <= Now)
      Dropped.push_back(Name);
    if (Entry.Cold && Entry.ColdUntil <= Now) {
      Entry.Cold = false;
      ++Version;
    }
  }
  for (const EndpointName &Name : Dropped)
    Endpoints.erase(Name);
  Version += Dropped.size();
  return Dropped;
}

const KnownEndpoint *EndpointCatalogue::find(const EndpointName &Name) const {
  const auto Entry = Endpoints.find(Name);
  return Entry == Endpoints.end() ? nullptr : &Entry->second;
}

} // namespace coltsfoottrail
