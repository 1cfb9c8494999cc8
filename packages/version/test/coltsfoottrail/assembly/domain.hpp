/// @file
/// Fleets of one fabric domain whose orders are late or lost, for tests of the
/// assembly.
#ifndef COLTSFOOTTRAIL_TEST_ASSEMBLY_DOMAIN_HPP
#define COLTSFOOTTRAIL_TEST_ASSEMBLY_DOMAIN_HPP

#include "engines.hpp"

namespace coltsfoottrail::test {

inline constexpr Duration SettlingTime = seconds(2);
/// An order without an answer may be carried out up to this much later.
inline constexpr Duration LatestOrder = seconds(12);

/// Whether an order is a join of a group that is to serve.
[[nodiscard]] inline bool isGroupJoin(const SeatCommand &Command) {
  const auto *const Join = std::get_if<JoinSeat>(&Command.Order);
  return Join != nullptr && Join->Members.size() > 1;
}

/// Whether an order is a join of an engine's own standby group.
[[nodiscard]] inline bool isStandbyJoin(const SeatCommand &Command) {
  return std::holds_alternative<JoinSeat>(Command.Order) &&
         !isGroupJoin(Command);
}

/// Adds a domain to a fleet that serves the large model alone.
inline void addLargeDomain(FakeEngines &Fleet, int Count) {
  Fleet.Service.Engine->Models.resize(1);
  Fleet.addDomain("north", "n0", Count);
}

/// Adds an engine with the weights of the large model on its host.
inline void addSpare(FakeEngines &Fleet, const std::string &Name) {
  Fleet.add(Name, "north", "n0");
  Fleet.Records.at(EndpointName(Name)).Staged = {ModelName("big")};
  Fleet.publish(EndpointName(Name));
}

} // namespace coltsfoottrail::test

#endif
