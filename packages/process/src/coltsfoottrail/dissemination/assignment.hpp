/// @file
/// Which hosts relay for which others.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_ASSIGNMENT_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_ASSIGNMENT_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/dissemination/messages.hpp"

#include <map>
#include <optional>

namespace coltsfoottrail {

/// @brief Assigns hosts to relays of their own data centre once they are too
/// many to report to the coordinator directly. Pure; not thread-safe; times
/// must not go back.
///
/// Relays are chosen among the hosts that report, so nothing is stored and a
/// new coordinator learns the tree from the reports that reach it: a host that
/// reports for others is a relay.
class RelayAssignment {
public:
  /// Hosts that one host serves directly.
  static constexpr std::size_t MostReporters = 72;
  /// The same for a host without the processor to relay: used only where a data
  /// centre has many hosts and none that can.
  static constexpr std::size_t MostReportersOfWeak = 18;
  /// Hosts of a data centre that could relay and go on reporting to the
  /// coordinator: one of them replaces a relay that fails.
  static constexpr std::size_t KeptCandidates = 2;
  /// A relay or candidate that has been silent for so long is not assigned.
  static constexpr Duration Life = milliseconds(700);

  /// @brief Takes a report to the coordinator and decides where its sender
  /// reports from now on.
  /// @param From The report.
  /// @param FleetSize Entry hosts in the whole tree.
  /// @return Name of the relay; nothing to go on reporting directly.
  [[nodiscard]] std::optional<HostName>
  assign(const Report &From, std::size_t FleetSize, TimePoint Now);

private:
  struct Reporter {
    DataCentreName DataCentre;
    bool CanRelay = false;
    bool Relays = false;
    TimePoint HeardAt{};
    /// Hosts below it by its last report, and those assigned since.
    std::size_t Below = 0;
    std::size_t Assigned = 0;
  };

  void record(const Report &From, TimePoint Now);
  [[nodiscard]] bool needsRelays(std::size_t FleetSize);
  /// What a host is considered for.
  enum class Role : std::uint8_t {
    /// It relays already.
    Relay,
    /// It could become a relay.
    Candidate,
    /// It could, although it lacks the processor.
    LastResort
  };

  [[nodiscard]] static bool isUsable(const HostName &Name, const Reporter &Of,
                                     const Report &From, Role As);
  [[nodiscard]] std::map<HostName, Reporter>::iterator
  leastLoaded(const Report &From, Role As);
  [[nodiscard]] bool isKept(const Report &From) const;
  [[nodiscard]] bool needsLastResort(const DataCentreName &Where) const;
  [[nodiscard]] std::map<HostName, Reporter>::iterator
  findRelay(const Report &From);

  std::map<HostName, Reporter> Reporters;
  bool Layered = false;
};

} // namespace coltsfoottrail

#endif
