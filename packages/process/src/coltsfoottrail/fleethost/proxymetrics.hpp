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

/// @brief Counts how requests end and how long they take, and writes this as
/// Prometheus text. Not thread-safe.
///
/// The number of series is bounded: services come from the operators'
/// configuration, outcomes and reasons from fixed lists in this program, and
/// none of them from callers.
class ProxyMetrics {
public:
  /// @brief Records the time from a request's arrival until it was first sent.
  void recordWait(RunPolicy Kind, Duration Elapsed) {
    latenciesOf(Kind).Wait.record(Elapsed);
  }
  /// @brief Records the time from a request's arrival until the first event of
  /// its stream, or its whole response, was sent to the caller.
  void recordResponseStart(RunPolicy Kind, Duration Elapsed) {
    latenciesOf(Kind).First.record(Elapsed);
  }
  /// @brief Records the time between two events of a stream.
  void recordEventGap(Duration Elapsed) { EventGap.record(Elapsed); }
  /// @brief Records the end of a request.
  /// @param Service Empty if the request was rejected before a service was
  /// chosen.
  /// @param Outcome One of the outcomes defined by this program.
  /// @param ReasonText One of the reasons defined by this program, or a status
  /// code.
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
