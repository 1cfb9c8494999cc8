/// @file
/// Who watches whom among the entry hosts.
#ifndef COLTSFOOTTRAIL_MEMBERSHIP_WATCHERS_HPP
#define COLTSFOOTTRAIL_MEMBERSHIP_WATCHERS_HPP

#include "coltsfoottrail/core/name.hpp"

#include <map>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief The watchers of each host: those with the highest rendezvous weights
/// for it. Keeps the ranks, so that a change of one member among a thousand
/// costs some thousand hashes and not a million.
///
/// Not thread-safe.
class WatcherRanks {
public:
  /// @brief Starts without hosts.
  /// @param Count Watchers of each host.
  explicit WatcherRanks(std::size_t Count) : Count(Count) {}

  /// @brief Takes the members.
  /// @param Members In order, each once.
  void setMembers(const std::vector<HostName> &Members);
  /// @brief Watchers of a member, the highest first.
  /// @param Host A member.
  [[nodiscard]] std::vector<HostName> watchersOf(const HostName &Host) const;
  /// @brief Tells whether one host watches another.
  [[nodiscard]] bool watches(const HostName &Watcher,
                             const HostName &Host) const;

private:
  using Ranked = std::vector<std::pair<std::uint64_t, HostName>>;

  [[nodiscard]] Ranked rankAll(const HostName &Host) const;
  void insert(const HostName &Host, Ranked &Into, const HostName &Watcher);

  std::size_t Count;
  std::vector<HostName> All;
  std::map<HostName, Ranked> Ranks;
};

} // namespace coltsfoottrail

#endif
