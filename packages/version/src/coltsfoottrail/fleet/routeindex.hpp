/// @file
/// Finds the route and the team of a request in the published configuration.
#ifndef COLTSFOOTTRAIL_FLEET_ROUTEINDEX_HPP
#define COLTSFOOTTRAIL_FLEET_ROUTEINDEX_HPP

#include "coltsfoottrail/fleet/config.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfoottrail {

/// @brief One version of the configuration, ready for look-ups. Immutable once
/// made, so requests in progress keep the version that they began under.
/// Thread-safe.
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
  /// @brief Whether callers need a credential at all.
  [[nodiscard]] bool hasTeams() const noexcept { return !Config.Teams.empty(); }

  /// @brief Finds the route with the longest prefix of a path.
  /// @param HostHeader The request's host, without a port.
  /// @param Path The path, without a query.
  /// @return Null when no route matches.
  [[nodiscard]] const RouteSpec *route(std::string_view HostHeader,
                                       std::string_view Path) const;
  /// @brief Finds the team that a credential belongs to; null when none does.
  [[nodiscard]] const TeamKeys *team(std::string_view Credential) const;
  /// @brief Finds a service; null when it is not in the configuration.
  [[nodiscard]] const ServiceProfile *service(const ServiceName &Name) const;

private:
  PublishedConfig Config;
  /// Routes of a host by prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      ByHost;
  std::unordered_map<std::string, std::size_t> ByCredential;
  std::map<ServiceName, std::size_t> ByService;
};

} // namespace coltsfoottrail

#endif
