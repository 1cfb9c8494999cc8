/// @file
/// Chooses free hosts for new serving groups.
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
/// Best fit: a group is placed in the domain with the fewest free hosts that
/// are enough for it, so that domains with many free hosts are kept for large
/// groups. Not thread-safe.
class FreeHosts {
public:
  /// @brief Adds a host. Adding it twice changes nothing.
  /// @param Host Must not be occupied or drained.
  void add(const HostSpec &Host);

  /// @brief Takes hosts for one group, all in one fabric domain.
  /// @param DataCentre Where the group is to be formed.
  /// @param Members Number of hosts; at least one.
  /// @return The hosts ordered by name, or nothing when no domain has enough.
  [[nodiscard]] std::optional<std::vector<HostName>>
  take(const DataCentreName &DataCentre, std::uint32_t Members);

  /// @brief Takes hosts from one fabric domain, preferred hosts first.
  /// @param DataCentre The domain's data centre.
  /// @param Domain The fabric domain.
  /// @param Members Number of hosts; at least one.
  /// @param Preferred Hosts to take first if they are free.
  /// @return The hosts, preferred ones first, or nothing when the domain has
  /// too few.
  [[nodiscard]] std::optional<std::vector<HostName>>
  takeFrom(const DataCentreName &DataCentre, const FabricDomainName &Domain,
           std::uint32_t Members, std::span<const HostName> Preferred);

  /// @brief Counts the free hosts of a domain.
  [[nodiscard]] std::size_t countInDomain(const DataCentreName &DataCentre,
                                          const FabricDomainName &Domain) const;

  /// @brief Counts the free hosts of the domain that has the most of them.
  [[nodiscard]] std::size_t
  largestDomain(const DataCentreName &DataCentre) const;

private:
  using DomainsBySize = std::set<std::pair<std::size_t, FabricDomainName>>;
  struct DataCentreHosts {
    std::map<FabricDomainName, std::set<HostName>> Domains;
    /// The domains that have free hosts, ordered by their number.
    DomainsBySize BySize;
  };

  static void resize(DataCentreHosts &Centre, const FabricDomainName &Domain,
                     std::size_t OldSize, std::size_t NewSize);

  std::map<DataCentreName, DataCentreHosts> DataCentres;
};

} // namespace coltsfoottrail

#endif
