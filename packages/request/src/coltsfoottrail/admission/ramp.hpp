/// @file
/// How many requests an endpoint bears at once, by what it has shown.
#ifndef COLTSFOOTTRAIL_ADMISSION_RAMP_HPP
#define COLTSFOOTTRAIL_ADMISSION_RAMP_HPP

#include "coltsfoottrail/core/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <cstdint>

namespace coltsfoottrail {

/// @brief Requests that ended at an endpoint.
struct CompletedRequests {
  std::uint32_t Successes = 0;
  std::uint32_t Failures = 0;
  /// Of the successes, in all.
  std::uint64_t TotalLatencyMicros = 0;
};

/// @brief The bound of one endpoint: from ColdBound to WarmBound, raised only
/// by work done near the bound with a latency that holds. Pure.
///
/// Not thread-safe.
class Ramp {
public:
  /// @brief Starts cold.
  /// @param ColdBound Requests at once just after its start, above zero.
  /// @param WarmBound Requests at once when warm, not below ColdBound.
  Ramp(std::uint32_t ColdBound, std::uint32_t WarmBound);

  /// @brief Takes over another declaration of the same endpoint.
  void declare(std::uint32_t ColdBound, std::uint32_t WarmBound);
  /// @brief Takes over a bound that another host found.
  void adopt(std::uint32_t Bound);
  /// @brief Counts work that ended.
  /// @param Ended What ended since the last call.
  /// @param InFlight Requests in progress there, of all hosts.
  void ended(const CompletedRequests &Ended, std::uint32_t InFlight);
  /// @brief The endpoint has just started, or behaves so.
  void restart();

  /// @brief Requests that it bears at once.
  [[nodiscard]] std::uint32_t bound() const noexcept { return Bound; }

private:
  void raise();
  void cut();
  void closeWindow();
  [[nodiscard]] std::uint32_t windowSize() const;

  std::uint32_t Cold;
  std::uint32_t Warm;
  std::uint32_t Bound;
  CompletedRequests Window;
  /// Highest number in progress in the window.
  std::uint32_t Peak = 0;
  /// Latency that the endpoint has shown to hold; zero before the first window.
  double UsualMicros = 0;
};

} // namespace coltsfoottrail

#endif
