#include "coltsfoottrail/choice/candidates.hpp"

#include <algorithm>

namespace coltsfoottrail {

std::vector<CandidateId> CandidateTable::configure(const Pool &NewPool) {
  const Ids Previous = std::move(All);
  All.clear();
  for (const CandidateId Id : Previous)
    Candidates.find(Id)->Current = false;
  for (const EndpointSpec &Spec : NewPool.Endpoints)
    add(Spec);
  std::vector<CandidateId> Removed;
  for (const CandidateId Id : Previous) {
    Candidate &Endpoint = *Candidates.find(Id);
    if (Endpoint.Current)
      continue;
    Endpoint.Share = 0;
    relist(Id);
    Removed.push_back(Id);
  }
  return Removed;
}

void CandidateTable::add(const EndpointSpec &Spec) {
  const auto [Entry, Added] = ByKey.try_emplace(Spec.Key);
  if (Added)
    Entry->second = Candidates.insert(Candidate{});
  Candidate &Endpoint = *Candidates.find(Entry->second);
  Endpoint.Spec = Spec;
  Endpoint.Bound = std::max(1U, Spec.WarmBound);
  Endpoint.DataCentre = dataCentre(Spec.DataCentre);
  Endpoint.IsNear = Spec.DataCentre == Self;
  Endpoint.Current = true;
  All.push_back(Entry->second);
  relist(Entry->second);
}

void CandidateTable::drop(CandidateId Id) {
  const Candidate *const Endpoint = Candidates.find(Id);
  if (Endpoint->Current || Endpoint->Load.own() > 0)
    return;
  ByKey.erase(Endpoint->Spec.Key);
  Candidates.erase(Id);
}

std::optional<CandidateId> CandidateTable::find(std::string_view Key) const {
  const auto Entry = ByKey.find(std::string(Key));
  if (Entry == ByKey.end())
    return std::nullopt;
  return Entry->second;
}

std::span<const CandidateId> CandidateTable::listed(Listing List) const {
  switch (List) {
  case Listing::Near:
    return Near;
  case Listing::Far:
    return Far;
  case Listing::Probe:
    return Probes;
  case Listing::None:
    break;
  }
  return {};
}

CandidateTable::Ids &CandidateTable::list(Listing List) {
  if (List == Listing::Probe)
    return Probes;
  return List == Listing::Near ? Near : Far;
}

std::uint32_t CandidateTable::dataCentre(const DataCentreName &Name) {
  const auto Number = static_cast<std::uint32_t>(DataCentreNumbers.size());
  return DataCentreNumbers.try_emplace(Name, Number).first->second;
}

Listing CandidateTable::listingOf(const Candidate &Endpoint) {
  if (!Endpoint.Current || Endpoint.Load.own() >= Endpoint.Share ||
      Endpoint.HeldUntil || Endpoint.isUnwilling())
    return Listing::None;
  switch (Endpoint.Condition.state()) {
  case Health::State::Ejected:
    return Listing::None;
  case Health::State::Probing:
    return Endpoint.Load.own() == 0 ? Listing::Probe : Listing::None;
  case Health::State::Serving:
    break;
  }
  return Endpoint.IsNear ? Listing::Near : Listing::Far;
}

/// Updates the sums.
void CandidateTable::count(Candidate &Endpoint) {
  const bool Serving = Endpoint.Condition.state() == Health::State::Serving;
  const bool Counts = Serving && Endpoint.Current && !Endpoint.isUnwilling();
  const std::uint32_t Counted = Counts ? Endpoint.Share : 0;
  const std::uint32_t Room = Counted - std::min(Counted, Endpoint.Load.own());
  Slots += Counted;
  Slots -= Endpoint.CountedSlots;
  Free += Room;
  Free -= Endpoint.CountedFree;
  Usable += Counted > 0 ? 1U : 0U;
  Usable -= Endpoint.CountedSlots > 0 ? 1U : 0U;
  const bool CountsNear = Counted > 0 && Endpoint.IsNear;
  UsableNear += CountsNear ? 1U : 0U;
  UsableNear -= Endpoint.CountedNear ? 1U : 0U;
  Endpoint.CountedNear = CountsNear;
  Endpoint.CountedSlots = Counted;
  Endpoint.CountedFree = Room;
}

void CandidateTable::relist(CandidateId Id) {
  Candidate &Endpoint = *Candidates.find(Id);
  count(Endpoint);
  const Listing NewListing = listingOf(Endpoint);
  if (NewListing == Endpoint.Listed)
    return;
  unlist(Endpoint);
  Endpoint.Listed = NewListing;
  if (NewListing == Listing::None)
    return;
  Ids &NewList = list(NewListing);
  Endpoint.Position = static_cast<std::uint32_t>(NewList.size());
  NewList.push_back(Id);
}

void CandidateTable::unlist(Candidate &Endpoint) {
  if (Endpoint.Listed == Listing::None)
    return;
  Ids &OldList = list(Endpoint.Listed);
  const CandidateId Moved = OldList.back();
  OldList[Endpoint.Position] = Moved;
  Candidates.find(Moved)->Position = Endpoint.Position;
  OldList.pop_back();
  Endpoint.Listed = Listing::None;
}

} // namespace coltsfoottrail
