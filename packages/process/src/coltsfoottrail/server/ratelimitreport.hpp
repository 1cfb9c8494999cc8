/// @file
/// Log lines and metrics about the rate limits of endpoints.
#ifndef COLTSFOOTTRAIL_SERVER_RATELIMITREPORT_HPP
#define COLTSFOOTTRAIL_SERVER_RATELIMITREPORT_HPP

#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/ratelimit/limiter.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Logs the rate limits of endpoints; the number of lines per second is
/// bounded. Belongs to one thread except where stated.
class RateLimitReport {
public:
  /// Minimum interval between two lines about the use of the same limit.
  static constexpr Duration Interval = seconds(2);

  /// @brief Logs changes.
  void logChanges(std::span<const RateLimitChange> Changes, TimePoint Now);
  /// @brief Logs what was sent under the limits that are in use.
  void logUse(std::span<const RateLimitTally> Tallies, TimePoint Now);
  /// @brief Logs that an endpoint names a limit that cannot be read.
  /// Thread-safe.
  void logInvalid(std::string_view Endpoint, TimePoint Now);

  /// @brief Appends the limits in the Prometheus text format. Thread-safe.
  static void appendTo(std::string &Output,
                       std::span<const RateLimitTally> Tallies);

private:
  /// Of each kind.
  static constexpr std::uint32_t MaxLinesPerSecond = 32;

  EventSampler Sampler{MaxLinesPerSecond, seconds(1)};
  /// By process, what was sent and withheld at the last line.
  std::map<std::string, std::uint64_t> LoggedUse;
  TimePoint NextUseAt{};
};

} // namespace coltsfoottrail

#endif
