/// @file
/// Counters and latencies of callers' requests.
#ifndef COLTSFOOTTRAIL_FLEETHOST_PROXYMETRICS_HPP
#define COLTSFOOTTRAIL_FLEETHOST_PROXYMETRICS_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/fleet/config.hpp"
#include "coltsfoottrail/telemetry/histogram.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace coltsfoottrail {

/// What happened to a request of a rank.
enum class RankEvent : std::uint8_t {
  /// It arrived and has a pool.
  Offered,
  Served,
  /// It was refused without having run.
  Refused,
  /// It found no slot early enough to be on time.
  Demoted
};

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

  /// @brief Counts an event of a request.
  /// @param Rank See rankOf(); large ones are counted as one.
  void recordRank(std::uint32_t Rank, RankEvent Event) {
    ++RankCounts[std::min(Rank, MaxRank)].at(static_cast<std::size_t>(Event));
  }

  /// @brief Appends all series in the Prometheus text format.
  void appendTo(std::string &Output) const;

private:
  /// Ranks from this one on share their series.
  static constexpr std::uint32_t MaxRank = 10;
  static constexpr std::size_t RankEventCount = 4;

  void appendRanks(std::string &Output) const;

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
  std::map<std::uint32_t, std::array<std::uint64_t, RankEventCount>> RankCounts;
};

} // namespace coltsfoottrail

#endif
