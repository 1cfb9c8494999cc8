/// @file
/// Assigns watchers to groups.
#ifndef COLTSFOOTTRAIL_GROUPS_WATCHPLAN_HPP
#define COLTSFOOTTRAIL_GROUPS_WATCHPLAN_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <map>
#include <set>
#include <vector>

namespace coltsfoottrail {

/// @brief Assigns a few entry hosts as watchers to each group by rendezvous
/// hash: the first one in the data centre of the group, each further one in
/// another data centre while there are any, so that the loss of one data centre
/// leaves a watcher. Every host that knows the same entry hosts and groups
/// computes the same assignment. Not thread-safe.
class WatchPlan {
public:
  /// Number of watchers of one group.
  static constexpr std::size_t WatchersPerGroup = 3;

  /// @brief Makes a plan without groups.
  /// @param EntryHosts The entry hosts.
  explicit WatchPlan(const std::map<HostName, EntryHost> &EntryHosts);

  /// @brief Digest of the entry hosts and their data centres. Thread-safe.
  [[nodiscard]] static std::uint64_t
  digestOf(const std::map<HostName, EntryHost> &EntryHosts);

  /// @brief Adds the serving groups of a state and drops all others.
  void follow(const State &Agreed);

  /// @brief Digest of the entry hosts that the plan was made for.
  [[nodiscard]] std::uint64_t digest() const { return Digest; }

  /// @brief The watchers of a group; empty if the group is unknown.
  [[nodiscard]] const std::vector<HostName> &
  watchersOf(const GroupId &Group) const;

  /// @brief The groups that an entry host watches.
  [[nodiscard]] const std::set<GroupId> &watchedBy(const HostName &Host) const;

private:
  [[nodiscard]] std::vector<HostName>
  chooseWatchers(const GroupId &Group, const DataCentreName &Home) const;
  [[nodiscard]] std::vector<const std::vector<HostName> *>
  rankDataCentres(const std::string &Key, const DataCentreName &Home) const;

  std::uint64_t Digest = 0;
  std::map<DataCentreName, std::vector<HostName>> HostsByDataCentre;
  std::map<GroupId, std::vector<HostName>> Watchers;
  std::map<HostName, std::set<GroupId>> Watched;
};

} // namespace coltsfoottrail

#endif
