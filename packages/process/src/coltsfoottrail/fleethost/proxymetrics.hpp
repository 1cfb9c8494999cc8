/// @file
/// Counters and latencies of callers' requests.
#ifndef COLTSFOOTTRAIL_FLEETHOST_PROXYMETRICS_HPP
#define COLTSFOOTTRAIL_FLEETHOST_PROXYMETRICS_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/fleet/config.hpp"
#include "coltsfoottrail/telemetry/histogram.hpp"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace coltsfoottrail {

/// @brief Counts how requests end and how long they take, as Prometheus text.
/// Not thread-safe.
///
/// Series are bounded: services come from the operators' configuration and
/// outcomes and reasons from lists of this program, never from callers.
class ProxyMetrics {
public:
  /// @brief A request waited so long for a place before it was sent first.
  void recordWait(RunPolicy Kind, Duration Elapsed) {
    latenciesOf(Kind).Wait.record(Elapsed);
  }
  /// @brief The first event of a stream, or a whole answer, left for the caller
  /// so long after the request came.
  void recordResponseStart(RunPolicy Kind, Duration Elapsed) {
    latenciesOf(Kind).First.record(Elapsed);
  }
  /// @brief So long passed between two events of a stream.
  void recordEventGap(Duration Elapsed) { EventGap.record(Elapsed); }
  /// @brief A request ended.
  /// @param Service Empty where it was turned away before one was chosen.
  /// @param Outcome One of the program's words.
  /// @param Why One of the program's words.
  void recordEnd(const ServiceName &Service, RunPolicy Kind,
                 std::string_view Outcome, std::string_view ReasonText,
                 Duration Elapsed);

  /// @brief Appends all series in the Prometheus text format.
  void appendTo(std::string &Output) const;

private:
  /// Latencies of one kind of request.
  struct Latencies {
    LatencyHistogram Wait;
    LatencyHistogram First;
    LatencyHistogram Total;
  };
  using EndLabels =
      std::tuple<std::string, std::string, std::string, std::string>;

  [[nodiscard]] Latencies &latenciesOf(RunPolicy Kind) {
    return LatenciesByKind[static_cast<std::size_t>(Kind)];
  }

  std::array<Latencies, 4> LatenciesByKind;
  LatencyHistogram EventGap;
  std::map<EndLabels, std::uint64_t> EndCounts;
};

} // namespace coltsfoottrail

#endif
