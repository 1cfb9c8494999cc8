/// @file
/// Paces the loads of weights from the shared store.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_LOADPACER_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_LOADPACER_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/fleet/catalogue.hpp"

#include <deque>
#include <map>

namespace coltsfoottrail {

/// @brief Lets loads begin within the store's rate and number at once. Pure;
/// not thread-safe.
///
/// Failure guarded against: after the loss of a fabric domain dozens of engines
/// load at once, the store slows all of them down, and no group serves until
/// the last has its weights.
class LoadPacer {
public:
  /// Span over which the rate is kept. The platform measures spans of the same
  /// length.
  static constexpr Duration Window = seconds(5);

  /// @brief Sets the store's bounds.
  /// @param PerSecond Loads that may begin in a second.
  /// @param AtOnce Loads that run at once.
  void bound(double PerSecond, std::uint32_t AtOnce) noexcept;

  /// @brief Tells whether so many more loads may begin now.
  /// @param Counted Whether the bounds are in force already: before the first
  /// caller they are not.
  [[nodiscard]] bool admits(std::uint32_t More, bool Counted,
                            TimePoint Now) const;
  /// @brief Notes that a load begins.
  /// @param Where The endpoint that loads.
  /// @param Expected How long it takes at most.
  void begin(const EndpointName &Where, Duration Expected, TimePoint Now);
  /// @brief Notes that a load has ended, or never began.
  void end(const EndpointName &Where) { UnderWay.erase(Where); }
  /// @brief Tells whether an endpoint loads.
  [[nodiscard]] bool loads(const EndpointName &Where) const {
    return UnderWay.contains(Where);
  }
  /// @brief Forgets loads that must have ended, and those of endpoints that are
  /// gone.
  /// @param Endpoints Those that are there.
  void advance(const EndpointCatalogue &Endpoints, TimePoint Now);

private:
  double Rate = 1.0;
  std::uint32_t Most = 1;
  std::deque<TimePoint> Begun;
  std::map<EndpointName, TimePoint> UnderWay;
};

} // namespace coltsfoottrail

#endif
