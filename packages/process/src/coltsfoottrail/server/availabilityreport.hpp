/// @file
/// Log lines and metrics about endpoints that want no requests.
#ifndef COLTSFOOTTRAIL_SERVER_AVAILABILITYREPORT_HPP
#define COLTSFOOTTRAIL_SERVER_AVAILABILITYREPORT_HPP

#include "coltsfoottrail/availability/availability.hpp"
#include "coltsfoottrail/logging/log.hpp"

#include <span>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Logs back-offs and leaving endpoints; the number of lines per second
/// is bounded. Thread-safe.
class AvailabilityReport {
public:
  /// @brief Logs changes.
  void logChanges(std::span<const AvailabilityChange> Changes, TimePoint Now);
  /// @brief Logs that an endpoint asks for a back-off that cannot be read.
  void logInvalid(std::string_view Endpoint, TimePoint Now);

  /// @brief Appends the state in the Prometheus text format.
  static void appendTo(std::string &Output, const AvailabilityTally &Tally);

private:
  /// Of each kind.
  static constexpr std::uint32_t MaxLinesPerSecond = 32;

  EventSampler Sampler{MaxLinesPerSecond, seconds(1)};
};

} // namespace coltsfoottrail

#endif
