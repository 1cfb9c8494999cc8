#include "coltsfoottrail/quarantine/recentparts.hpp"

#include <algorithm>

namespace coltsfoottrail {

std::array<std::size_t, 2> RecentParts::bitsOf(PromptPartId Part) {
  // Identifiers come from callers and may differ in a few bits only.
  constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15U;
  const std::uint64_t Mixed = (Part ^ (Part >> 32U)) * Multiplier;
  return {(Mixed >> 32U) % Bits, (Mixed >> 49U) % Bits};
}

void RecentParts::add(std::span<const PromptPartId> Parts, TimePoint Now) {
  if (Now - Generations[0].Begin >= Period) {
    Generations[1] = Generations[0];
    Generations[0] = Generation{Now, 0, {}};
  }
  Generation &Current = Generations[0];
  ++Current.Requests;
  for (const PromptPartId Part : Parts)
    for (const std::size_t Bit : bitsOf(Part))
      Current.Set.set(Bit);
}

std::size_t RecentParts::requests(TimePoint Now) const {
  std::size_t Count = 0;
  for (const Generation &Each : Generations)
    Count += Now - Each.Begin < MaxLife ? Each.Requests : 0;
  return Count;
}

bool RecentParts::contains(PromptPartId Part, TimePoint Now) const {
  return std::ranges::any_of(Generations, [&](const Generation &Each) {
    return Now - Each.Begin < MaxLife &&
           std::ranges::all_of(bitsOf(Part), [&](std::size_t Bit) {
             return Each.Set.test(Bit);
           });
  });
}

} // namespace coltsfoottrail
