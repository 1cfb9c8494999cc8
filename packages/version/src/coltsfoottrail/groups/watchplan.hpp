/// @file
/// Which entry hosts watch over which group.
#ifndef COLTSFOOTTRAIL_GROUPS_WATCHPLAN_HPP
#define COLTSFOOTTRAIL_GROUPS_WATCHPLAN_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <map>
#include <set>
#include <vector>

namespace coltsfoottrail {

/// @brief Spreads the watch over groups by rendezvous hash: a few watchers for
/// each group, the first one in the group's data centre, each further one in
/// another data centre while there are any, so that the loss of one leaves a
/// watcher. Every host that knows the same entry hosts and groups works out the
/// same. Not thread-safe.
class WatchPlan {
public:
  /// Watchers of one group.
  static constexpr std::size_t WatchersPerGroup = 3;

  /// @brief Starts without groups.
  /// @param Joined The entry hosts.
  explicit WatchPlan(const std::map<HostName, EntryHost> &Joined);

  /// @brief Digest of the entry hosts and their data centres. Thread-safe.
  [[nodiscard]] static std::uint64_t
  digestOf(const std::map<HostName, EntryHost> &Joined);

  /// @brief Takes in the serving groups of a state and lets go the others.
  void follow(const State &Now);

  /// @brief Digest of the entry hosts that it was made for.
  [[nodiscard]] std::uint64_t digest() const { return Digest; }

  /// @brief The watchers of a group; empty for an unknown one.
  [[nodiscard]] const std::vector<HostName> &
  watchersOf(const GroupId &Group) const;

  /// @brief The groups that an entry host watches over.
  [[nodiscard]] const std::set<GroupId> &watchedBy(const HostName &Host) const;

private:
  [[nodiscard]] std::vector<HostName> choose(const GroupId &Group,
                                             const DataCentreName &Where) const;
  [[nodiscard]] std::vector<const std::vector<HostName> *>
  orderCentres(const std::string &Key, const DataCentreName &Where) const;

  std::uint64_t Digest = 0;
  std::map<DataCentreName, std::vector<HostName>> Centres;
  std::map<GroupId, std::vector<HostName>> Watchers;
  std::map<HostName, std::set<GroupId>> Watched;
};

} // namespace coltsfoottrail

#endif
