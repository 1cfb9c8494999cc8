#include "coltsfoottrail/choice/hints.hpp"

namespace coltsfoottrail {

std::size_t PrefixHints::firstOf(std::uint64_t PrefixHash) const noexcept {
  return (PrefixHash & (Sets - 1U)) * Ways;
}

void PrefixHints::add(const Hint &Fresh) {
  if (Table.empty())
    Table.resize(std::size_t{Sets} * Ways);
  const std::size_t First = firstOf(Fresh.PrefixHash);
  std::size_t Place = First;
  for (std::size_t Way = First; Way < First + Ways; ++Way) {
    const Hint &Known = Table[Way];
    if (Known.PrefixHash == Fresh.PrefixHash && Known.Where == Fresh.Where) {
      Place = Way;
      break;
    }
    if (Known.Expires < Table[Place].Expires)
      Place = Way;
  }
  Table[Place] = Fresh;
}

void PrefixHints::remove(std::uint64_t PrefixHash, CandidateId Where) noexcept {
  if (Table.empty())
    return;
  const std::size_t First = firstOf(PrefixHash);
  for (std::size_t Way = First; Way < First + Ways; ++Way)
    if (Table[Way].PrefixHash == PrefixHash && Table[Way].Where == Where)
      Table[Way] = Hint{};
}

std::span<const PrefixHints::Hint>
PrefixHints::setOf(std::uint64_t PrefixHash) const noexcept {
  if (Table.empty())
    return {};
  return std::span(Table).subspan(firstOf(PrefixHash), Ways);
}

} // namespace coltsfoottrail
