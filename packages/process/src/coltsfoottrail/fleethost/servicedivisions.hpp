/// @file
/// The divisions of the engines of all services, as the coordinator keeps them
/// during a term.
#ifndef COLTSFOOTTRAIL_FLEETHOST_SERVICEDIVISIONS_HPP
#define COLTSFOOTTRAIL_FLEETHOST_SERVICEDIVISIONS_HPP

#include "coltsfoottrail/assembly/assembler.hpp"
#include "coltsfoottrail/demand/rates.hpp"
#include "coltsfoottrail/division/division.hpp"
#include "coltsfoottrail/fleethost/modeldemand.hpp"
#include "coltsfoottrail/fleethost/settings.hpp"

#include <map>

namespace coltsfoottrail {

/// @brief The division of a service's engines and what it was made of.
struct DivisionRecord {
  EngineTargets Targets;
  DivisionAccount Account;
  EngineTally Engines;
  /// Number of times that the targets have changed.
  std::uint64_t Changes = 0;
};

/// @brief Keeps a division for each service with engines and passes its targets
/// to the assembly. Pure; not thread-safe; times must not go back.
///
/// Its state lives as long as a term of the coordinator: a new one starts with
/// the shares of the configuration, and converts no group before it has heard
/// from all hosts for long enough to follow the demand itself.
class ServiceDivisions {
public:
  /// Interval between two updates of a division.
  static constexpr Duration UpdateInterval = milliseconds(500);
  /// Time that a new coordinator needs to hear from all entry hosts.
  static constexpr Duration HearingTime = seconds(2);

  /// @brief Sets what operators want; the state of the divisions is kept.
  void set(const EngineSettings &Chosen) { Settings = Chosen; }
  /// @brief Starts a term as coordinator and drops the state of any earlier
  /// one.
  void begin(TimePoint Now);

  /// @brief Whether the division of a service is to be updated now; never if it
  /// does not follow the demand.
  [[nodiscard]] bool isDue(const ServiceName &Service, TimePoint Now) const;
  /// @brief Updates the division of a service. Precondition: isDue().
  /// @param View Of the service, whose Engine is set and has models.
  /// @param Sum Demand over all entry hosts.
  /// @param KnownHosts Number of entry hosts; zero if unknown.
  /// @return The division.
  const DivisionRecord &update(const AssemblyView &View, const DemandSum &Sum,
                               std::size_t KnownHosts, TimePoint Now);
  /// @brief Sets what the assembly is to follow. The targets stay valid until
  /// the next call of update() or begin(). Without FollowDemand only
  /// StagesAhead is set.
  void applyTo(AssemblyView &View) const;

  /// @brief The divisions by service.
  [[nodiscard]] std::map<ServiceName, const DivisionRecord *> records() const;

private:
  struct Entry {
    EngineDivision Division;
    DivisionRecord Record;
    TimePoint DueAt;
  };

  EngineSettings Settings;
  TimePoint TermStartedAt{};
  std::map<ServiceName, Entry> Entries;
};

} // namespace coltsfoottrail

#endif
