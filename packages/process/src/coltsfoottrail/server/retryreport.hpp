/// @file
/// Log lines and metrics about the retry budgets of a host.
#ifndef COLTSFOOTTRAIL_SERVER_RETRYREPORT_HPP
#define COLTSFOOTTRAIL_SERVER_RETRYREPORT_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/retries/budget.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace coltsfoottrail {

/// Retry budgets by name.
using RetryTallies = std::map<std::string, RetryTally>;

/// @brief Logs the retry budgets of a host while they are in use. Not
/// thread-safe.
class RetryReport {
public:
  /// Minimum interval between two lines about the same budget.
  static constexpr Duration Interval = seconds(1);

  /// @brief Logs the budgets from which retries were taken, or for which
  /// retries have waited, since their last line.
  /// @param Tallies All budgets of this host.
  /// @param EntryHosts Number of entry hosts among which the bound on retries
  /// is divided; zero if it is not known.
  /// @param Now The time; must not go back.
  void log(const RetryTallies &Tallies, std::size_t EntryHosts, TimePoint Now);

  /// @brief Appends the budgets in the Prometheus text format. Thread-safe.
  static void appendTo(std::string &Output, const RetryTallies &Tallies);

private:
  RetryTallies Logged;
  TimePoint NextAt{};
};

} // namespace coltsfoottrail

#endif
