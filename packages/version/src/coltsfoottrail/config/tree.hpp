/// @file
/// Relay tree: which hosts read the log and to which hosts they relay its
/// records.
#ifndef COLTSFOOTTRAIL_CONFIG_TREE_HPP
#define COLTSFOOTTRAIL_CONFIG_TREE_HPP

#include "coltsfoottrail/config/messages.hpp"

#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief Place of one host in the relay tree. Pure: all hosts with the same
/// membership compute the same tree. Thread-safe once constructed.
///
/// Each data centre has its own tree. Its roots are the relays, which tail the
/// log; they are selected by rendezvous hashing, so that no dedicated hosts are
/// needed. A host gets records from one parent and queries a second one as
/// well.
class RelayTree {
public:
  /// Number of hosts of each data centre that tail the log.
  static constexpr std::size_t RelaysPerDataCentre = 2;
  /// Maximum number of hosts to which one host relays.
  static constexpr std::size_t FanOut = 32;
  /// Number of relays of other data centres that a relay queries.
  static constexpr std::size_t Uplinks = 2;

  /// @brief Creates an empty tree: without parents, the host reads the log
  /// itself.
  RelayTree() = default;
  /// @brief Computes a host's place.
  /// @param Members The agreed membership; the host itself may be missing.
  /// @param Self The host.
  RelayTree(std::span<const Member> Members, const Member &Self);

  /// @brief Returns whether the host tails the log.
  [[nodiscard]] bool isRelay() const noexcept { return Relay; }
  /// @brief Hosts that it queries; the first one relays to it, unless it is a
  /// relay itself.
  [[nodiscard]] const std::vector<HostName> &parents() const noexcept {
    return Parents;
  }
  /// @brief Hosts to which it relays.
  [[nodiscard]] const std::vector<HostName> &children() const noexcept {
    return Children;
  }

private:
  using HostOrder = std::vector<HostName>;

  [[nodiscard]] static HostOrder orderedHosts(std::span<const Member> Members,
                                              const DataCentreName &DataCentre);
  [[nodiscard]] static std::size_t parentOf(std::size_t Index);
  void assignParents(const HostOrder &Hosts, std::size_t Index);
  void assignUplinks(std::span<const Member> Members, const Member &Self);

  bool Relay = true;
  std::vector<HostName> Parents;
  std::vector<HostName> Children;
};

} // namespace coltsfoottrail

#endif
