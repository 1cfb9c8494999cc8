/// @file
/// Limits the rate and concurrency of weight loads from the shared store.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_LOADPACER_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_LOADPACER_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/fleet/catalogue.hpp"

#include <deque>
#include <map>

namespace coltsfoottrail {

/// @brief Admits loads within the rate and concurrency limits of the shared
/// store. Pure; not thread-safe.
///
/// Failure guarded against: after the loss of a fabric domain dozens of engines
/// load at once, the store slows all of them down, and no group serves until
/// the last engine has its weights.
class LoadPacer {
public:
  /// Sliding window over which the rate is limited. The platform measures the
  /// rate over windows of the same length.
  static constexpr Duration Window = seconds(5);

  /// @brief Sets the limits of the store.
  /// @param MaxPerSecond Loads that may start per second.
  /// @param MaxConcurrent Loads that may run at the same time.
  void setLimits(double MaxPerSecond, std::uint32_t MaxConcurrent) noexcept;

  /// @brief Whether a number of further loads may start now.
  /// @param Count Number of further loads.
  /// @param LimitsApply Whether the limits are in force; they are not before
  /// the first request.
  [[nodiscard]] bool admits(std::uint32_t Count, bool LimitsApply,
                            TimePoint Now) const;
  /// @brief Records that a load starts.
  /// @param Endpoint The endpoint that loads.
  /// @param Expected Longest time that the load takes.
  void start(const EndpointName &Endpoint, Duration Expected, TimePoint Now);
  /// @brief Records that a load has ended, or never started.
  void finish(const EndpointName &Endpoint) { Deadlines.erase(Endpoint); }
  /// @brief Whether an endpoint is loading weights.
  [[nodiscard]] bool isLoading(const EndpointName &Endpoint) const {
    return Deadlines.contains(Endpoint);
  }
  /// @brief Drops loads that must have ended, and loads of endpoints that are
  /// gone.
  /// @param Endpoints The endpoints that are present.
  void advance(const EndpointCatalogue &Endpoints, TimePoint Now);

private:
  double RateLimit = 1.0;
  std::uint32_t ConcurrentLimit = 1;
  /// Start times of the loads within the window, oldest first.
  std::deque<TimePoint> StartTimes;
  /// When each running load must have ended.
  std::map<EndpointName, TimePoint> Deadlines;
};

} // namespace coltsfoottrail

#endif
