/// @file
/// Decides which hosts relay for which others.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_ASSIGNMENT_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_ASSIGNMENT_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/dissemination/messages.hpp"

#include <map>
#include <optional>

namespace coltsfoottrail {

/// @brief Assigns hosts to relays in their own data centre once there are too
/// many to report to the coordinator directly. Pure; not thread-safe; times
/// must not go back.
///
/// Relays are chosen among the hosts that report, so nothing is stored and a
/// new coordinator learns the tree from the reports that it receives: a host
/// that reports for others is a relay.
class RelayAssignment {
public:
  /// Maximum number of hosts that report to one host.
  static constexpr std::size_t MostReporters = 72;
  /// The same for a host without the processor capacity to relay. Such hosts
  /// relay only in a data centre that has many hosts and none with that
  /// capacity.
  static constexpr std::size_t MostReportersOfWeakHost = 18;
  /// Number of hosts per data centre that could relay but keep reporting to the
  /// coordinator, so that one of them can replace a failed relay.
  static constexpr std::size_t DirectCandidates = 2;
  /// A relay or candidate that has not reported for this long is not assigned.
  static constexpr Duration ReporterTimeout = milliseconds(700);

  /// @brief Records a report to the coordinator and decides where its sender
  /// reports from now on.
  /// @param Received The report.
  /// @param FleetSize Number of entry hosts in the whole tree.
  /// @return Name of the relay; empty to keep reporting directly.
  [[nodiscard]] std::optional<HostName>
  assign(const Report &Received, std::size_t FleetSize, TimePoint Now);

private:
  struct Reporter {
    DataCentreName DataCentre;
    bool CanRelay = false;
    bool Relays = false;
    TimePoint HeardAt{};
    /// Number of hosts below it according to its last report, and of those
    /// assigned to it since.
    std::size_t Below = 0;
    std::size_t Assigned = 0;
  };

  void record(const Report &Received, TimePoint Now);
  [[nodiscard]] bool needsRelays(std::size_t FleetSize);
  /// Role for which a host is considered.
  enum class Role : std::uint8_t {
    /// It is a relay already.
    Relay,
    /// It has the capacity to become a relay.
    Candidate,
    /// It lacks the processor capacity but can relay for a few hosts.
    LastResort
  };

  [[nodiscard]] static bool isUsable(const HostName &Name, const Reporter &Host,
                                     const Report &Received, Role RequiredRole);
  [[nodiscard]] std::map<HostName, Reporter>::iterator
  leastLoaded(const Report &Received, Role RequiredRole);
  [[nodiscard]] bool staysDirect(const Report &Received) const;
  [[nodiscard]] bool needsLastResort(const DataCentreName &DataCentre) const;
  [[nodiscard]] std::map<HostName, Reporter>::iterator
  findRelay(const Report &Received);

  std::map<HostName, Reporter> Reporters;
  bool UsesRelays = false;
};

} // namespace coltsfoottrail

#endif
