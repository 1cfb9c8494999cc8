#include "coltsfoottrail/assembly/loadpacer.hpp"

#include <algorithm>
#include <cmath>

namespace coltsfoottrail {

void LoadPacer::setLimits(double MaxPerSecond,
                          std::uint32_t MaxConcurrent) noexcept {
  RateLimit = MaxPerSecond;
  ConcurrentLimit = MaxConcurrent;
}

bool LoadPacer::admits(std::uint32_t Count, bool LimitsApply,
                       TimePoint Now) const {
  if (!LimitsApply)
    return true;
  if (!Deadlines.empty() && Deadlines.size() + Count > ConcurrentLimit)
    return false;
  const auto Recent = static_cast<std::uint32_t>(std::count_if(
      StartTimes.begin(), StartTimes.end(),
      [&](TimePoint StartTime) { return Now - StartTime < Window; }));
  const double Allowed =
      std::floor(RateLimit * std::chrono::duration<double>(Window).count());
  return Recent + Count <= static_cast<std::uint32_t>(std::max(Allowed, 1.0));
}

void LoadPacer::start(const EndpointName &Endpoint, Duration Expected,
                      TimePoint Now) {
  StartTimes.push_back(Now);
  Deadlines[Endpoint] = Now + Expected;
}

void LoadPacer::advance(const EndpointCatalogue &Endpoints, TimePoint Now) {
  while (!StartTimes.empty() && Now - StartTimes.front() >= Window)
    StartTimes.pop_front();
  // Failure guarded against: engines that die while they load keep the slots of
  // the loads that would replace them.
  std::erase_if(Deadlines, [&](const auto &Entry) {
    return Entry.second <= Now || Endpoints.find(Entry.first) == nullptr;
  });
}

} // namespace coltsfoottrail
