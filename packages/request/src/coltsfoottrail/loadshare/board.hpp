/// @file
/// Aggregates the requests that entry hosts have at the endpoints.
#ifndef COLTSFOOTTRAIL_LOADSHARE_BOARD_HPP
#define COLTSFOOTTRAIL_LOADSHARE_BOARD_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/loadshare/loads.hpp"

#include <map>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief Sums of the loads that hosts report, updated with each report. Does
/// no I/O and reads no clock. Not thread-safe; times must not go back.
///
/// A reporter may represent several hosts; its loads are then the sums of
/// theirs. Reading a sum takes time in proportion to the number of endpoints,
/// independent of the number of reporters.
class LoadAggregator {
public:
  /// A reporter that has not reported for this long is no longer counted: it is
  /// gone or frozen, and its requests end. Several times the report interval.
  static constexpr Duration ReportLife = milliseconds(1'000);

  /// @brief Replaces a reporter's loads.
  /// @param Host Identifies one run of a host.
  /// @param Loads Requests at endpoints.
  /// @param HostCount Number of hosts that the loads represent.
  void report(const HostName &Host, std::vector<EndpointLoad> Loads,
              TimePoint Now, std::size_t HostCount = 1);

  /// @brief Removes a reporter that reports to another aggregator from now on.
  void forget(const HostName &Host);

  /// @brief Sums over all reporters.
  [[nodiscard]] std::vector<EndpointLoad> total(TimePoint Now) const;
  /// @brief Sums over all reporters but one.
  [[nodiscard]] std::vector<EndpointLoad> others(const HostName &ExcludedHost,
                                                 TimePoint Now) const;

  /// @brief Number of hosts that the current reports represent.
  [[nodiscard]] std::size_t hosts(TimePoint Now) const;
  /// @brief Number of current reporters.
  [[nodiscard]] std::size_t reporters(TimePoint Now) const;

  /// @brief Removes reporters whose last report is older than ReportLife.
  void advance(TimePoint Now);

private:
  struct Entry {
    std::vector<EndpointLoad> Loads;
    std::size_t HostCount = 1;
    TimePoint ReportedAt;
  };

  [[nodiscard]] static bool isCurrent(const Entry &Report,
                                      TimePoint Now) noexcept {
    return Now - Report.ReportedAt < ReportLife;
  }
  void add(std::span<const EndpointLoad> Loads);
  void subtract(std::span<const EndpointLoad> Loads);
  [[nodiscard]] std::vector<EndpointLoad>
  sumExcept(const HostName *ExcludedHost, TimePoint Now) const;

  std::map<HostName, Entry> Entries;
  std::map<std::uint64_t, RequestLoad> Sums;
};

} // namespace coltsfoottrail

#endif
