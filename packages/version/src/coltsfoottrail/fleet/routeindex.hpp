/// @file
/// Finds the route and the team of a request in the published configuration.
#ifndef COLTSFOOTTRAIL_FLEET_ROUTEINDEX_HPP
#define COLTSFOOTTRAIL_FLEET_ROUTEINDEX_HPP

#include "coltsfoottrail/fleet/config.hpp"
#include "coltsfoottrail/route/poolrank.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfoottrail {

/// @brief One version of the configuration, indexed for look-ups. Immutable, so
/// requests in progress keep the version that they started with. Thread-safe.
class RouteIndex {
public:
  /// @brief Indexes a configuration.
  explicit RouteIndex(PublishedConfig Published);

  /// @brief Version of the configuration.
  [[nodiscard]] std::uint64_t version() const noexcept {
    return Config.Version;
  }
  /// @brief The whole configuration.
  [[nodiscard]] const PublishedConfig &config() const noexcept {
    return Config;
  }
  /// @brief Whether callers need a credential on routes that are not public.
  [[nodiscard]] bool usesCredentials() const noexcept {
    return Config.Teams.has_value();
  }
  /// @brief Whether the credential of a request to a route is to be checked.
  /// One that is sent although none is needed is checked as well: it may have
  /// been withdrawn together with all others.
  /// @param Credential The request's; empty if it has none.
  [[nodiscard]] bool checksCredential(const RouteSpec &Route,
                                      std::string_view Credential) const {
    return !Route.Public && (usesCredentials() || !Credential.empty());
  }

  /// @brief Finds the route with the longest prefix of a path.
  /// @param HostHeader The request's host, without a port.
  /// @param Path The path, without a query.
  /// @return Null if no route matches.
  [[nodiscard]] const RouteSpec *route(std::string_view HostHeader,
                                       std::string_view Path) const;
  /// @brief Finds the team of a credential; null if there is none.
  [[nodiscard]] const TeamKeys *team(std::string_view Credential) const;
  /// @brief Finds a service; null if it is not in the configuration.
  [[nodiscard]] const ServiceProfile *service(const ServiceName &Name) const;
  /// @brief The result of poolRanks() for a service.
  [[nodiscard]] const std::vector<PoolRank> &
  ranks(const ServiceName &Service) const;

private:
  void indexCredentials(const std::vector<TeamKeys> &Teams);

  PublishedConfig Config;
  /// Indexes into the routes, by host header and path prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      ByHost;
  std::unordered_map<std::string, std::size_t> ByCredential;
  std::map<ServiceName, std::size_t> ByService;
  std::map<ServiceName, std::vector<PoolRank>> RanksByService;
};

} // namespace coltsfoottrail

#endif
