#include "coltsfoottrail/choice/hints.hpp"

namespace coltsfoottrail {

std::size_t PrefixHints::firstSlot(std::uint64_t PrefixHash) const noexcept {
  return (PrefixHash & (Sets - 1U)) * Ways;
}

void PrefixHints::add(const Hint &NewHint) {
  if (Table.empty())
    Table.resize(std::size_t{Sets} * Ways);
  const std::size_t First = firstSlot(NewHint.PrefixHash);
  std::size_t Slot = First;
  for (std::size_t Way = First; Way < First + Ways; ++Way) {
    const Hint &Existing = Table[Way];
    if (Existing.PrefixHash == NewHint.PrefixHash &&
        Existing.Endpoint == NewHint.Endpoint) {
      Slot = Way;
      break;
    }
    if (Existing.Expires < Table[Slot].Expires)
      Slot = Way;
  }
  Table[Slot] = NewHint;
}

void PrefixHints::remove(std::uint64_t PrefixHash,
                         CandidateId Endpoint) noexcept {
  if (Table.empty())
    return;
  const std::size_t First = firstSlot(PrefixHash);
  for (std::size_t Way = First; Way < First + Ways; ++Way)
    if (Table[Way].PrefixHash == PrefixHash && Table[Way].Endpoint == Endpoint)
      Table[Way] = Hint{};
}

std::span<const PrefixHints::Hint>
PrefixHints::setOf(std::uint64_t PrefixHash) const noexcept {
  if (Table.empty())
    return {};
  return std::span(Table).subspan(firstSlot(PrefixHash), Ways);
}

} // namespace coltsfoottrail
