/// @file
/// This host's part of the requests that all entry hosts get for a pool.
#ifndef COLTSFOOTTRAIL_RATELIMIT_TRAFFICSHARE_HPP
#define COLTSFOOTTRAIL_RATELIMIT_TRAFFICSHARE_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/ratelimit/fwd.hpp"

#include <cstddef>
#include <optional>

namespace coltsfoottrail {

/// @brief A part of a rate, at present and over time.
struct RateShare {
  /// Above zero and at most one.
  double Part = 1.0;
  /// Sum of the part over the time so far, in seconds; only differences count.
  double Earned = 0.0;
};

/// @brief Estimates which part of a pool's requests arrives at this entry host,
/// by which a rate over all hosts is divided. Pure; not thread-safe; times must
/// not go back.
///
/// The parts of all hosts add up to one at most, except for a moment after the
/// traffic has moved. A part grows slowly from an even one, so that hosts that
/// all get requests at the same moment hear of each other before each of them
/// takes the whole.
class TrafficShare {
public:
  /// How soon requests of the past count half.
  static constexpr Duration HalfLife = milliseconds(1'500);
  /// How soon the part may double.
  static constexpr Duration Doubling = milliseconds(500);
  /// How long what the other hosts have reported is used.
  static constexpr Duration OthersLife = seconds(1);
  /// Number of hosts among which rates are divided while it is not known.
  static constexpr std::size_t UnknownHosts = 64;

  /// @brief Counts a request for the pool.
  void recordRequest(TimePoint Now);
  /// @brief Sets the number of entry hosts; zero if it is not known.
  void setHosts(std::size_t Count) noexcept {
    Hosts = Count > 0 ? Count : UnknownHosts;
  }
  /// @brief Sets the requests per second that the other hosts get.
  void setOthers(double PerSecond, TimePoint Now) noexcept;

  /// @brief Requests per second that this host gets.
  [[nodiscard]] double own(TimePoint Now) const;
  /// @brief The part of this host.
  [[nodiscard]] RateShare value(TimePoint Now);

private:
  [[nodiscard]] bool knowsOthers(TimePoint Now) const noexcept;
  [[nodiscard]] double target(TimePoint Now) const;
  [[nodiscard]] double meanTarget(TimePoint Now) const;

  std::size_t Hosts = UnknownHosts;
  double OwnPerSecond = 0.0;
  TimePoint OwnAt{};
  double OthersPerSecond = 0.0;
  std::optional<TimePoint> OthersAt;
  RateShare Current{0.0, 0.0};
  TimePoint CurrentAt{};
};

} // namespace coltsfoottrail

#endif
