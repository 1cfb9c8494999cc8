/// @file
/// Tells operators how the engines are divided, in the log and as metrics.
#ifndef COLTSFOOTTRAIL_FLEETHOST_DIVISIONREPORT_HPP
#define COLTSFOOTTRAIL_FLEETHOST_DIVISIONREPORT_HPP

#include "coltsfoottrail/fleethost/servicedivisions.hpp"

#include <map>
#include <string>

namespace coltsfoottrail {

/// @brief Logs the division of each service when it changes and at an interval,
/// and writes it as Prometheus text. Not thread-safe.
///
/// Services and models come from the operators' configuration; at most
/// MaxModels have series.
class DivisionReport {
public:
  /// Interval between two log lines for a model whose share does not change.
  static constexpr Duration Interval = seconds(5);
  /// Maximum number of models with series, over all services.
  static constexpr std::size_t MaxModels = 64;

  /// @brief Logs the division of a service if it is new, has changed or
  /// Interval has passed. Thread-compatible.
  void log(const ServiceName &Service, const DivisionRecord &Division,
           TimePoint Now);

  /// @brief Appends all series in the Prometheus text format; nothing if there
  /// is no division.
  static void appendTo(std::string &Output, const ServiceDivisions &Divisions);

private:
  struct Logged {
    std::uint64_t Changes = 0;
    TimePoint NextAt;
  };

  std::map<ServiceName, Logged> LastLogged;
};

} // namespace coltsfoottrail

#endif
