/// @file
/// What all entry hosts have at the endpoints, gathered at one of them.
#ifndef COLTSFOOTTRAIL_LOADSHARE_BOARD_HPP
#define COLTSFOOTTRAIL_LOADSHARE_BOARD_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/loadshare/loads.hpp"

#include <map>
#include <vector>

namespace coltsfoottrail {

/// @brief Sums up hosts' own loads. Pure; not thread-safe; times must not go
/// back.
///
/// Load answered: seven to nine hosts place requests on the same few leaders,
/// and each knows of the others only by an endpoint's report with its last
/// answer, half a second old and missing where a host has no answer. Under
/// overload leaders stand at 15 of 26 places while callers are refused.
class LoadBoard {
public:
  /// A host that has not told its loads for so long is not counted: it is gone,
  /// or frozen, and its requests end. Several times the pace of the reports.
  static constexpr Duration ReportLife = milliseconds(1'000);

  /// @brief Takes a host's own loads in place of its last ones.
  /// @param Host Tells one run of a host from another.
  void report(const HostName &Host, std::vector<EndpointLoad> Loads,
              TimePoint Now);

  /// @brief What all hosts but one have at the endpoints.
  [[nodiscard]] std::vector<EndpointLoad> others(const HostName &Asking,
                                                 TimePoint Now) const;

  /// @brief Hosts that told their loads lately.
  [[nodiscard]] std::size_t hosts(TimePoint Now) const;

  /// @brief Forgets hosts that have fallen silent.
  void advance(TimePoint Now);

private:
  struct Told {
    std::vector<EndpointLoad> Loads;
    TimePoint At;
  };

  std::map<HostName, Told> Hosts;
};

} // namespace coltsfoottrail

#endif
