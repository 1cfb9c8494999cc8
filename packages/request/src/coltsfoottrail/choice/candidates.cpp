#include "coltsfoottrail/choice/candidates.hpp"

#include <algorithm>

namespace coltsfoottrail {

std::vector<CandidateId> CandidateTable::configure(const Pool &Wanted) {
  const Ids Before = std::move(All);
  All.clear();
  for (const CandidateId Which : Before)
    Known.find(Which)->Current = false;
  for (const EndpointSpec &Spec : Wanted.Endpoints)
    add(Spec);
  std::vector<CandidateId> Left;
  for (const CandidateId Which : Before) {
    Candidate &Endpoint = *Known.find(Which);
    if (Endpoint.Current)
      continue;
    Endpoint.Share = 0;
    relist(Which);
    Left.push_back(Which);
  }
  return Left;
}

void CandidateTable::add(const EndpointSpec &Spec) {
  const auto [Entry, Added] = ByKey.try_emplace(Spec.Key);
  if (Added)
    Entry->second = Known.insert(Candidate{});
  Candidate &Endpoint = *Known.find(Entry->second);
  Endpoint.Spec = Spec;
  Endpoint.Bound = std::max(1U, Spec.WarmBound);
  Endpoint.DataCentre = dataCentre(Spec.DataCentre);
  Endpoint.IsNear = Spec.DataCentre == Self;
  Endpoint.Current = true;
  All.push_back(Entry->second);
  relist(Entry->second);
}

void CandidateTable::drop(CandidateId Which) {
  const Candidate *const Endpoint = Known.find(Which);
  if (Endpoint->Current || Endpoint->Load.own() > 0)
    return;
  ByKey.erase(Endpoint->Spec.Key);
  Known.erase(Which);
}

std::optional<CandidateId> CandidateTable::find(std::string_view Key) const {
  const auto Entry = ByKey.find(std::string(Key));
  if (Entry == ByKey.end())
    return std::nullopt;
  return Entry->second;
}

std::span<const CandidateId> CandidateTable::listed(Listing Where) const {
  switch (Where) {
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

CandidateTable::Ids &CandidateTable::list(Listing Where) {
  if (Where == Listing::Probe)
    return Probes;
  return Where == Listing::Near ? Near : Far;
}

std::uint32_t CandidateTable::dataCentre(const DataCentreName &Name) {
  const auto Number = static_cast<std::uint32_t>(DataCentreNumbers.size());
  return DataCentreNumbers.try_emplace(Name, Number).first->second;
}

Listing CandidateTable::listingOf(const Candidate &Endpoint) {
  if (!Endpoint.Current || Endpoint.Load.own() >= Endpoint.Share)
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

/// Brings the sums up to date.
void CandidateTable::count(Candidate &Endpoint) {
  const bool Serving = Endpoint.Condition.state() == Health::State::Serving;
  const std::uint32_t Counted =
      Serving && Endpoint.Current ? Endpoint.Share : 0;
  const std::uint32_t Room = Counted - std::min(Counted, Endpoint.Load.own());
  Slots += Counted;
  Slots -= Endpoint.CountedSlots;
  Free += Room;
  Free -= Endpoint.CountedFree;
  Usable += Counted > 0 ? 1U : 0U;
  Usable -= Endpoint.CountedSlots > 0 ? 1U : 0U;
  Endpoint.CountedSlots = Counted;
  Endpoint.CountedFree = Room;
}

void CandidateTable::relist(CandidateId Which) {
  Candidate &Endpoint = *Known.find(Which);
  count(Endpoint);
  const Listing Wanted = listingOf(Endpoint);
  if (Wanted == Endpoint.Listed)
    return;
  unlist(Endpoint);
  Endpoint.Listed = Wanted;
  if (Wanted == Listing::None)
    return;
  Ids &Joined = list(Wanted);
  Endpoint.Position = static_cast<std::uint32_t>(Joined.size());
  Joined.push_back(Which);
}

void CandidateTable::unlist(Candidate &Endpoint) {
  if (Endpoint.Listed == Listing::None)
    return;
  Ids &Left = list(Endpoint.Listed);
  const CandidateId Moved = Left.back();
  Left[Endpoint.Position] = Moved;
  Known.find(Moved)->Position = Endpoint.Position;
  Left.pop_back();
  Endpoint.Listed = Listing::None;
}

} // namespace coltsfoottrail
