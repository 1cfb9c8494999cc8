/// @file
/// The endpoints that requests may be sent to under one version of the agreed
/// state.
#ifndef COLTSFOOTTRAIL_ROUTE_TABLE_HPP
#define COLTSFOOTTRAIL_ROUTE_TABLE_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/route/enginepace.hpp"
#include "coltsfoottrail/route/fwd.hpp"
#include "coltsfoottrail/route/poolrank.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief An endpoint: the leader of a serving group, or an instance of a plain
/// service.
struct EndpointSpec {
  /// Identical on every entry host and never reused: group and generation, or
  /// service and address.
  std::string Key;
  /// Identifies one life of the process that answers, under whatever key; the
  /// key where a process has only one.
  std::string Process;
  EngineAddress Address;
  HostName Host;
  DataCentreName DataCentre;
  /// Maximum number of concurrent requests when warm.
  std::uint32_t WarmBound = 1;
  /// Maximum number of concurrent requests just after its start.
  std::uint32_t ColdBound = 1;
  /// Addresses of all members, the leader first; all of them must be alive for
  /// the endpoint to answer.
  std::vector<EngineAddress> Members;
  /// Confirmed engine run of each member; empty for plain services.
  std::vector<Incarnation> MemberRuns;
  EngineRole Role = EngineRole::Mixed;
  VersionName Version;

  [[nodiscard]] friend bool operator==(const EndpointSpec &,
                                       const EndpointSpec &) = default;
};

/// @brief The endpoints of one model or service, ordered by key.
struct Pool {
  /// "model/NAME" or "service/NAME".
  std::string Name;
  std::vector<EndpointSpec> Endpoints;
  /// Speed of its engines, if declared.
  EnginePace Pace;
  /// Ranks that its requests can have, the most urgent first. With fewer than
  /// two all requests are treated alike.
  std::vector<PoolRank> Ranks;
  /// Pools of the same retry group share one limit on retries; empty for a
  /// limit of its own.
  std::string RetryGroup;
  /// For services: paths whose requests may be executed more than once.
  std::vector<std::string> RepeatablePaths;
};

/// @brief All pools under one version of the agreed state.
struct RouteTable {
  /// State::Next of the state that the table was built from.
  Offset Version = 0;
  std::map<std::string, Pool, std::less<>> Pools;
  /// Teams by the SHA-256 digest of their credential.
  std::map<std::string, TeamSpec, std::less<>> TeamsByCredential;
};

/// @brief Builds the routes of a state from its serving groups and service
/// instances outside drained data centres and hosts. Pure; thread-safe.
/// @param Agreed The agreed state.
[[nodiscard]] RouteTable buildRoutes(const State &Agreed);

/// @brief Name of the pool of a model. Thread-safe.
[[nodiscard]] std::string modelPoolName(std::string_view Model);
/// @brief Name of the pool of a service. Thread-safe.
[[nodiscard]] std::string servicePoolName(std::string_view Service);

} // namespace coltsfoottrail

#endif
