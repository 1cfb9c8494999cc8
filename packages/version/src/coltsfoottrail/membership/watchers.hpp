/// @file
/// Assigns the watchers of each entry host.
#ifndef COLTSFOOTTRAIL_MEMBERSHIP_WATCHERS_HPP
#define COLTSFOOTTRAIL_MEMBERSHIP_WATCHERS_HPP

#include "coltsfoottrail/core/name.hpp"

#include <map>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief The watchers of each host: the hosts with the highest rendezvous
/// weights for it. Keeps the rankings, so that a change of one member among a
/// thousand costs some thousand hashes rather than a million.
///
/// Not thread-safe.
class WatcherRanks {
public:
  /// @brief Makes an object without hosts.
  /// @param Count Number of watchers of each host.
  explicit WatcherRanks(std::size_t Count) : Count(Count) {}

  /// @brief Sets the members.
  /// @param Members Sorted and without duplicates.
  void setMembers(const std::vector<HostName> &Members);
  /// @brief Watchers of a member, the highest ranked first.
  /// @param Host A member.
  [[nodiscard]] std::vector<HostName> watchersOf(const HostName &Host) const;
  /// @brief Whether one host watches another.
  [[nodiscard]] bool watches(const HostName &Watcher,
                             const HostName &Host) const;

private:
  using HostRanking = std::vector<std::pair<std::uint64_t, HostName>>;

  [[nodiscard]] HostRanking rankAll(const HostName &Host) const;
  void insert(const HostName &Host, HostRanking &Ranking,
              const HostName &Watcher);

  std::size_t Count;
  std::vector<HostName> Hosts;
  std::map<HostName, HostRanking> Rankings;
};

} // namespace coltsfoottrail

#endif
