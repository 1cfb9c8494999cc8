/// @file
/// Aggregates the requests that entry hosts have at the endpoints.
#ifndef COLTSFOOTTRAIL_LOADSHARE_BOARD_HPP
#define COLTSFOOTTRAIL_LOADSHARE_BOARD_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/loadshare/loads.hpp"
#include "coltsfoottrail/loadshare/reporters.hpp"

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
  using Scope = ReporterScope;

  /// A reporter that has not reported for this long is no longer counted: it is
  /// gone or frozen, and its requests end. Several times the report interval.
  static constexpr Duration ReportLife = milliseconds(1'000);

  /// @brief Replaces a reporter's loads.
  /// @param Host Identifies one run of a host.
  /// @param Loads Requests at endpoints.
  /// @param HostCount Number of hosts that the loads represent.
  /// @param ReporterScope Relayed for reporters that a relayed sum includes.
  void report(const HostName &Host, std::vector<EndpointLoad> Loads,
              TimePoint Now, std::size_t HostCount = 1,
              Scope ReporterScope = Scope::Relayed);

  /// @brief Removes a reporter that reports to another aggregator from now on.
  void forget(const HostName &Host);

  /// @brief Sums over the reporters of a scope.
  [[nodiscard]] std::vector<EndpointLoad>
  total(TimePoint Now, Scope Included = Scope::All) const;
  /// @brief Sums over the reporters of a scope but one.
  [[nodiscard]] std::vector<EndpointLoad>
  others(const HostName &ExcludedHost, TimePoint Now,
         Scope Included = Scope::All) const;

  /// @brief Number of hosts that the current reports of a scope represent.
  [[nodiscard]] std::size_t hosts(TimePoint Now,
                                  Scope Included = Scope::All) const {
    return Reports.hosts(Now, Included);
  }
  /// @brief Number of current reporters.
  [[nodiscard]] std::size_t reporters(TimePoint Now) const {
    return Reports.reporters(Now);
  }

  /// @brief Removes reporters whose last report is older than ReportLife.
  void advance(TimePoint Now);

private:
  void add(std::span<const EndpointLoad> Loads);
  void subtract(std::span<const EndpointLoad> Loads);
  [[nodiscard]] std::vector<EndpointLoad>
  sum(const HostName *ExcludedHost, Scope Included, TimePoint Now) const;

  ReporterTable<std::vector<EndpointLoad>> Reports{ReportLife};
  std::map<std::uint64_t, RequestLoad> Sums;
};

} // namespace coltsfoottrail

#endif
