/// @file
/// What requests may be sent to under one version of the agreed state.
#ifndef COLTSFOOTTRAIL_ROUTE_TABLE_HPP
#define COLTSFOOTTRAIL_ROUTE_TABLE_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/route/enginepace.hpp"
#include "coltsfoottrail/route/fwd.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief An endpoint: the leader of a serving group, or an instance of a plain
/// service.
struct EndpointSpec {
  /// The same on every entry host and never used again: group and generation,
  /// or service and address.
  std::string Key;
  EngineAddress Address;
  HostName Host;
  DataCentreName DataCentre;
  /// Requests that it bears at once when warm.
  std::uint32_t WarmBound = 1;
  /// Requests that it bears at once just after its start.
  std::uint32_t ColdBound = 1;
  /// Addresses of all members, the leader first; what has to be alive for it to
  /// answer.
  std::vector<EngineAddress> Members;
  /// Engine run of each member that was confirmed; empty for plain services.
  std::vector<Incarnation> MemberRuns;
  EngineRole Role = EngineRole::Mixed;
  VersionName Version;

  [[nodiscard]] friend bool operator==(const EndpointSpec &,
                                       const EndpointSpec &) = default;
};

/// @brief The endpoints that can answer for one model or service, ordered by
/// key.
struct Pool {
  /// "model/NAME" or "service/NAME".
  std::string Name;
  std::vector<EndpointSpec> Endpoints;
  /// Pace of its engines, where one is declared.
  EnginePace Pace;
  /// Pools of the same group share the bound on retries; empty for a bound of
  /// its own.
  std::string RetryGroup;
  /// For services: paths whose calls may be repeated.
  std::vector<std::string> RepeatablePaths;
};

/// @brief All pools under one version of the agreed state.
struct RouteTable {
  /// The state's Next.
  Offset Version = 0;
  std::map<std::string, Pool, std::less<>> Pools;
  /// Teams by the digest of their credential.
  std::map<std::string, TeamSpec, std::less<>> TeamsByCredential;
};

/// @brief Works out the routes of a state: Serving groups and service instances
/// outside drained data centres and hosts. Pure; thread-safe.
/// @param Of The agreed state.
[[nodiscard]] RouteTable buildRoutes(const State &Of);

/// @brief Name of a model's pool. Thread-safe.
[[nodiscard]] std::string modelPoolName(std::string_view Model);
/// @brief Name of a service's pool. Thread-safe.
[[nodiscard]] std::string servicePoolName(std::string_view Service);

} // namespace coltsfoottrail

#endif
