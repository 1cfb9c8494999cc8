#include "coltsfoottrail/quarantine/runtally.hpp"

#include <algorithm>

namespace coltsfoottrail {

RunTally::Slot &RunTally::slotAt(TimePoint Time) {
  const Duration::rep Number = numberOf(Time);
  Slot &Found = Slots[static_cast<std::size_t>(Number) % SlotCount];
  if (Found.Number < Number)
    Found = Slot{Number, 0, 0};
  return Found;
}

RunCounts RunTally::between(TimePoint From, TimePoint To) const {
  const Duration::rep Newest =
      std::ranges::max(Slots, {}, &Slot::Number).Number;
  const Duration::rep First =
      std::max(numberOf(From), Newest - Duration::rep(SlotCount) + 1);
  RunCounts Sum;
  for (const Slot &Each : Slots) {
    if (Each.Number < First)
      continue;
    Sum.Lost += Each.Lost;
    if (Each.Number > numberOf(From) && Each.Number <= numberOf(To))
      Sum.Sound += Each.Sound;
  }
  return Sum;
}

} // namespace coltsfoottrail
