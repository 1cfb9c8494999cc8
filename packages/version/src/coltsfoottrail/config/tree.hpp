/// @file
/// Who reads the log and who relays its records to whom.
#ifndef COLTSFOOTTRAIL_CONFIG_TREE_HPP
#define COLTSFOOTTRAIL_CONFIG_TREE_HPP

#include "coltsfoottrail/config/messages.hpp"

#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief Place of one host in the relay tree. Pure: all hosts that know the
/// same members work out the same tree. Thread-safe once made.
///
/// Each data centre has its own tree. Its roots are the relays, which tail the
/// log; rendezvous hashing picks them, so no host is set aside. A host gets
/// records from one parent and watches a second one.
class RelayTree {
public:
  /// Hosts of each data centre that tail the log.
  static constexpr std::size_t RelaysPerDataCentre = 2;
  /// Most hosts that one host relays to.
  static constexpr std::size_t FanOut = 32;
  /// Relays of other data centres that a relay watches.
  static constexpr std::size_t Uplinks = 2;

  /// @brief Makes an empty tree: nobody to follow, so the host reads the log
  /// itself.
  RelayTree() = default;
  /// @brief Works out a host's place.
  /// @param Members The agreed membership; the host itself may be missing.
  /// @param Self The host.
  RelayTree(std::span<const Member> Members, const Member &Self);

  /// @brief Whether the host tails the log.
  [[nodiscard]] bool isRelay() const noexcept { return Relay; }
  /// @brief Hosts that it watches; the first one relays to it, unless it is a
  /// relay itself.
  [[nodiscard]] const std::vector<HostName> &parents() const noexcept {
    return Parents;
  }
  /// @brief Hosts that it relays to.
  [[nodiscard]] const std::vector<HostName> &children() const noexcept {
    return Children;
  }

private:
  using Ordered = std::vector<HostName>;

  [[nodiscard]] static Ordered order(std::span<const Member> Members,
                                     const DataCentreName &In);
  [[nodiscard]] static std::size_t parentOf(std::size_t Index);
  void placeBelow(const Ordered &Hosts, std::size_t Index);
  void placeUplinks(std::span<const Member> Members, const Member &Self);

  bool Relay = true;
  std::vector<HostName> Parents;
  std::vector<HostName> Children;
};

} // namespace coltsfoottrail

#endif
