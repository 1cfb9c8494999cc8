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
  void waited(RunPolicy Kind, Duration Span) { of(Kind).Wait.record(Span); }
  /// @brief The first event of a stream, or a whole answer, left for the caller
  /// so long after the request came.
  void begun(RunPolicy Kind, Duration Span) { of(Kind).First.record(Span); }
  /// @brief So long passed between two events of a stream.
  void paused(Duration Span) { Gap.record(Span); }
  /// @brief A request ended.
  /// @param Service Empty where it was turned away before one was chosen.
  /// @param Outcome One of the program's words.
  /// @param Why One of the program's words.
  void ended(const ServiceName &Service, RunPolicy Kind,
             std::string_view Outcome, std::string_view Why, Duration Span);

  /// @brief Appends all series in the Prometheus text format.
  void appendTo(std::string &Out) const;

private:
  /// Latencies of one kind of request.
  struct Latencies {
    LatencyHistogram Wait;
    LatencyHistogram First;
    LatencyHistogram Whole;
  };
  using End = std::tuple<std::string, std::string, std::string, std::string>;

  [[nodiscard]] Latencies &of(RunPolicy Kind) {
    return Kinds[static_cast<std::size_t>(Kind)];
  }

  std::array<Latencies, 4> Kinds;
  LatencyHistogram Gap;
  std::map<End, std::uint64_t> Ends;
};

} // namespace coltsfoottrail

#endif
