/// @file
/// Counters of where requests are sent, and of what crosses data centres.
#ifndef COLTSFOOTTRAIL_FLEETHOST_PLACEMENTMETRICS_HPP
#define COLTSFOOTTRAIL_FLEETHOST_PLACEMENTMETRICS_HPP

#include "coltsfoottrail/choice/locality.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace coltsfoottrail {

/// What bytes between this host and other data centres are for.
enum class DistantTraffic : std::uint8_t {
  /// Bodies of callers' requests, sent to endpoints.
  RequestBody,
  /// Bodies and streams received from endpoints.
  ResponseBody,
  /// Reports received from the hosts that report to this one.
  Report,
  /// Responses sent to them.
  ReportResponse
};

/// @brief Counts sends by why they left this data centre, and bytes exchanged
/// with others, and writes both as Prometheus text. The number of series is
/// fixed. Not thread-safe.
///
/// An exchange between two hosts is counted by the one that answers it, so the
/// sum over all hosts counts each byte once.
class PlacementMetrics {
public:
  /// @brief Records that a request is sent to an endpoint.
  void recordSend(AwayReason Why) noexcept {
    ++Sends.at(static_cast<std::size_t>(Why));
  }
  /// @brief Records bytes of a body exchanged with another data centre, without
  /// header fields.
  void recordBytes(DistantTraffic Purpose, std::size_t Count) noexcept {
    Bytes.at(static_cast<std::size_t>(Purpose)) += Count;
  }

  /// @brief Appends all series in the Prometheus text format.
  void appendTo(std::string &Output) const;

private:
  static constexpr std::size_t Purposes = 4;

  std::array<std::uint64_t, AwayReasons.size()> Sends{};
  std::array<std::uint64_t, Purposes> Bytes{};
};

} // namespace coltsfoottrail

#endif
