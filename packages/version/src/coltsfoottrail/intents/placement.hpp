/// @file
/// Which free hosts a new serving group gets.
#ifndef COLTSFOOTTRAIL_INTENTS_PLACEMENT_HPP
#define COLTSFOOTTRAIL_INTENTS_PLACEMENT_HPP

#include "coltsfoottrail/declaration/declaration.hpp"
#include "coltsfoottrail/intents/fwd.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief The hosts that no group occupies, by fabric domain.
///
/// Best fit: a group gets the fullest domain that still holds it, so that wide
/// stretches of free hosts are kept for large groups. Not thread-safe.
class FreeHosts {
public:
  /// @brief Adds a host. Adding it twice changes nothing.
  /// @param Host Must not be occupied or drained.
  void add(const HostSpec &Host);

  /// @brief Takes hosts for one group, all in one fabric domain.
  /// @param Where The data centre.
  /// @param Members How many; at least one.
  /// @return The hosts in the order of names, or nothing when no domain has
  /// enough.
  [[nodiscard]] std::optional<std::vector<HostName>>
  take(const DataCentreName &Where, std::uint32_t Members);

  /// @brief Takes hosts out of one fabric domain, those preferred first.
  /// @param Where The data centre.
  /// @param Domain The fabric domain.
  /// @param Members How many; at least one.
  /// @param Preferred Taken first where they are free.
  /// @return The hosts, the preferred ones in front, or nothing when the domain
  /// has too few.
  [[nodiscard]] std::optional<std::vector<HostName>>
  takeFrom(const DataCentreName &Where, const FabricDomainName &Domain,
           std::uint32_t Members, std::span<const HostName> Preferred);

  /// @brief Counts the free hosts of a domain.
  [[nodiscard]] std::size_t inDomain(const DataCentreName &Where,
                                     const FabricDomainName &Domain) const;

  /// @brief Counts the free hosts of the domain that has most of them.
  [[nodiscard]] std::size_t largest(const DataCentreName &Where) const;

private:
  using Sizes = std::set<std::pair<std::size_t, FabricDomainName>>;
  struct Centre {
    std::map<FabricDomainName, std::set<HostName>> Domains;
    /// The domains with free hosts, ordered by how many.
    Sizes BySize;
  };

  static void resize(Centre &In, const FabricDomainName &Domain,
                     std::size_t Before, std::size_t After);

  std::map<DataCentreName, Centre> Centres;
};

} // namespace coltsfoottrail

#endif
