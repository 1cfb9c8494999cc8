#include "coltsfoottrail/assembly/loadpacer.hpp"

#include <algorithm>
#include <cmath>

namespace coltsfoottrail {

void LoadPacer::bound(double PerSecond, std::uint32_t AtOnce) noexcept {
  Rate = PerSecond;
  Most = AtOnce;
}

bool LoadPacer::admits(std::uint32_t More, bool Counted, TimePoint Now) const {
  if (!Counted)
    return true;
  if (!UnderWay.empty() && UnderWay.size() + More > Most)
    return false;
  const auto Recent = static_cast<std::uint32_t>(
      std::count_if(Begun.begin(), Begun.end(),
                    [&](TimePoint When) { return Now - When < Window; }));
  const double Allowed =
      std::floor(Rate * std::chrono::duration<double>(Window).count());
  return Recent + More <= static_cast<std::uint32_t>(std::max(Allowed, 1.0));
}

void LoadPacer::begin(const EndpointName &Where, Duration Expected,
                      TimePoint Now) {
  Begun.push_back(Now);
  UnderWay[Where] = Now + Expected;
}

void LoadPacer::advance(const EndpointCatalogue &Endpoints, TimePoint Now) {
  while (!Begun.empty() && Now - Begun.front() >= Window)
    Begun.pop_front();
  // Failure guarded against: engines that die while they load keep the places
  // of loads that would replace them.
  std::erase_if(UnderWay, [&](const auto &Entry) {
    return Entry.second <= Now || Endpoints.find(Entry.first) == nullptr;
  });
}

} // namespace coltsfoottrail
