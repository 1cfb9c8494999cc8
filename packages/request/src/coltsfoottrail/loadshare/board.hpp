/// @file
/// Sums of the requests that entry hosts have at the endpoints.
#ifndef COLTSFOOTTRAIL_LOADSHARE_BOARD_HPP
#define COLTSFOOTTRAIL_LOADSHARE_BOARD_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/loadshare/loads.hpp"

#include <map>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief Sums of the loads that hosts report, kept up to date with each
/// report. Pure; not thread-safe; times must not go back.
///
/// A reporter may stand for several hosts: then its loads are the sums of
/// theirs. Reading a sum costs time in proportion to the endpoints, whatever
/// the number of reporters.
class LoadAggregator {
public:
  /// A reporter that has been silent for so long is not counted: it is gone or
  /// frozen, and its requests end. Several times the pace of the reports.
  static constexpr Duration ReportLife = milliseconds(1'000);

  /// @brief Replaces a reporter's loads.
  /// @param Host Identifies one run of a host.
  /// @param Loads Requests at endpoints.
  /// @param HostCount Hosts that the loads stand for.
  void report(const HostName &Host, std::vector<EndpointLoad> Loads,
              TimePoint Now, std::size_t HostCount = 1);

  /// @brief Removes a reporter, which reports elsewhere from now on.
  void forget(const HostName &Host);

  /// @brief Sums over all reporters.
  [[nodiscard]] std::vector<EndpointLoad> total(TimePoint Now) const;
  /// @brief Sums over all reporters but one.
  [[nodiscard]] std::vector<EndpointLoad> others(const HostName &Asking,
                                                 TimePoint Now) const;

  /// @brief Hosts that the current reports stand for.
  [[nodiscard]] std::size_t hosts(TimePoint Now) const;
  /// @brief Current reporters.
  [[nodiscard]] std::size_t reporters(TimePoint Now) const;

  /// @brief Removes reporters that have been silent for too long.
  void advance(TimePoint Now);

private:
  struct Entry {
    std::vector<EndpointLoad> Loads;
    std::size_t HostCount = 1;
    TimePoint At;
  };

  [[nodiscard]] static bool isCurrent(const Entry &Of, TimePoint Now) noexcept {
    return Now - Of.At < ReportLife;
  }
  void add(std::span<const EndpointLoad> Loads);
  void subtract(std::span<const EndpointLoad> Loads);
  [[nodiscard]] std::vector<EndpointLoad> sumWithout(const HostName *Left,
                                                     TimePoint Now) const;

  std::map<HostName, Entry> Entries;
  std::map<std::uint64_t, RequestLoad> Sums;
};

} // namespace coltsfoottrail

#endif
