/// @file
/// Sums up the demand that entry hosts report.
#ifndef COLTSFOOTTRAIL_DEMAND_AGGREGATOR_HPP
#define COLTSFOOTTRAIL_DEMAND_AGGREGATOR_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/demand/rates.hpp"
#include "coltsfoottrail/loadshare/reporters.hpp"

namespace coltsfoottrail {

/// @brief Sums of the demand that hosts report, each for itself and the hosts
/// below it. Does no I/O and reads no clock. Not thread-safe; times must not go
/// back.
///
/// A reporter is known by the address in the name of its run, so that a host
/// that restarts replaces its former run.
class DemandAggregator {
public:
  /// A reporter whose demand was not reported for this long is no longer
  /// counted. Several times the interval between two reports of the demand.
  static constexpr Duration ReportLife = seconds(2);
  /// Demand that is this old when it is reported is not counted: it has waited
  /// longer than at a reporter of a relay and at the relay.
  static constexpr Duration MaxAge = 2 * ReportLife;

  /// @brief Replaces a reporter's demand.
  /// @param Run Name of the reporter's run: its address, or its address, a
  /// slash and what tells runs apart.
  /// @param Demand Sum over the hosts that the reporter stands for.
  /// @param Scope Relayed for reporters that a relayed sum includes.
  void report(const HostName &Run, DemandSum Demand, TimePoint Now,
              ReporterScope Scope = ReporterScope::Relayed);
  /// @brief Removes a reporter that reports to another host from now on.
  void forget(const HostName &Run);

  /// @brief Sums over the reporters of a scope.
  [[nodiscard]] DemandSum
  total(TimePoint Now, ReporterScope Included = ReporterScope::All) const;

  /// @brief Removes reporters whose last report is older than ReportLife.
  void advance(TimePoint Now) {
    Reports.eraseExpired(Now, [](const auto &) {});
  }

private:
  struct Demand {
    std::vector<DemandRow> Rows;
    /// Age of the oldest of them when they were reported.
    Duration Age{};
  };

  ReporterTable<Demand> Reports{ReportLife};
};

} // namespace coltsfoottrail

#endif
