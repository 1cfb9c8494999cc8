/// @file
/// Adaptive limit of requests in progress at an endpoint.
#ifndef COLTSFOOTTRAIL_ADMISSION_RAMP_HPP
#define COLTSFOOTTRAIL_ADMISSION_RAMP_HPP

#include "coltsfoottrail/core/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <cstdint>

namespace coltsfoottrail {

/// @brief Counts of requests completed at an endpoint.
struct CompletedRequests {
  std::uint32_t Successes = 0;
  std::uint32_t Failures = 0;
  /// Sum over the successes.
  std::uint64_t TotalLatencyMicros = 0;
};

/// @brief The limit (bound) of requests in progress at one endpoint, between
/// ColdBound and WarmBound. It is raised only while load near the bound is
/// served at a steady latency. Pure.
///
/// Not thread-safe.
class Ramp {
public:
  /// @brief Starts at the cold bound.
  /// @param ColdBound Limit just after the endpoint's start, above zero.
  /// @param WarmBound Limit when warm, not below ColdBound.
  Ramp(std::uint32_t ColdBound, std::uint32_t WarmBound);

  /// @brief Applies a changed declaration of the endpoint.
  void declare(std::uint32_t ColdBound, std::uint32_t WarmBound);
  /// @brief Adopts a bound determined by another host, clamped to the limits.
  void adopt(std::uint32_t Bound);
  /// @brief Counts completed requests; each full window may change the bound.
  /// @param Ended Requests completed since the last call.
  /// @param InFlight Requests in progress there, of all hosts.
  void ended(const CompletedRequests &Ended, std::uint32_t InFlight);
  /// @brief Resets to the cold bound: the endpoint has restarted or behaves as
  /// if it had.
  void restart();

  /// @brief Current limit of requests in progress.
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
  /// Moving average of the latency; zero before the first window.
  double BaselineMicros = 0;
};

} // namespace coltsfoottrail

#endif
