#include "coltsfoottrail/membership/watchers.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <iterator>

namespace coltsfoottrail {

namespace {

std::uint64_t weightOf(const HostName &Host, const HostName &Watcher) {
  return rendezvousWeight("watch/" + Host.Text, Watcher.Text);
}

bool isHigher(const std::pair<std::uint64_t, HostName> &Left,
              const std::pair<std::uint64_t, HostName> &Right) {
  return Left.first != Right.first ? Left.first > Right.first
                                   : Left.second.Text < Right.second.Text;
}

bool isBefore(const HostName &Left, const HostName &Right) {
  return Left.Text < Right.Text;
}

std::vector<HostName> without(const std::vector<HostName> &Names,
                              const std::vector<HostName> &Excluded) {
  std::vector<HostName> Remaining;
  std::set_difference(Names.begin(), Names.end(), Excluded.begin(),
                      Excluded.end(), std::back_inserter(Remaining), isBefore);
  return Remaining;
}

} // namespace

void WatcherRanks::insert(const HostName &Host, HostRanking &Ranking,
                          const HostName &Watcher) {
  if (Watcher == Host)
    return;
  const std::pair<std::uint64_t, HostName> Entry(weightOf(Host, Watcher),
                                                 Watcher);
  Ranking.insert(
      std::lower_bound(Ranking.begin(), Ranking.end(), Entry, isHigher), Entry);
  if (Ranking.size() > Count)
    Ranking.pop_back();
}

WatcherRanks::HostRanking WatcherRanks::rankAll(const HostName &Host) const {
  const std::string Key = "watch/" + Host.Text;
  std::vector<std::pair<std::uint64_t, const HostName *>> Weights;
  Weights.reserve(Hosts.size());
  for (const HostName &Watcher : Hosts)
    if (Watcher != Host)
      Weights.emplace_back(rendezvousWeight(Key, Watcher.Text), &Watcher);
  const std::size_t Kept = std::min(Count, Weights.size());
  const auto Middle = Weights.begin() + static_cast<std::ptrdiff_t>(Kept);
  std::partial_sort(Weights.begin(), Middle, Weights.end(),
                    [](const auto &Left, const auto &Right) {
                      return Left.first != Right.first
                                 ? Left.first > Right.first
                                 : Left.second->Text < Right.second->Text;
                    });
  HostRanking Best;
  for (std::size_t Index = 0; Index < Kept; ++Index)
    Best.emplace_back(Weights[Index].first, *Weights[Index].second);
  return Best;
}

void WatcherRanks::setMembers(const std::vector<HostName> &Members) {
  const std::vector<HostName> Removed = without(Hosts, Members);
  const std::vector<HostName> Added = without(Members, Hosts);
  Hosts = Members;
  for (const HostName &Host : Removed)
    Rankings.erase(Host);
  for (auto &[Host, Ranking] : Rankings) {
    const bool LostWatcher =
        std::any_of(Ranking.begin(), Ranking.end(), [&](const auto &Entry) {
          return std::binary_search(Removed.begin(), Removed.end(),
                                    Entry.second, isBefore);
        });
    if (LostWatcher) {
      Ranking = rankAll(Host);
      continue;
    }
    for (const HostName &Watcher : Added)
      insert(Host, Ranking, Watcher);
  }
  for (const HostName &Host : Added)
    Rankings.emplace(Host, rankAll(Host));
}

std::vector<HostName> WatcherRanks::watchersOf(const HostName &Host) const {
  std::vector<HostName> Watchers;
  const auto Entry = Rankings.find(Host);
  if (Entry == Rankings.end())
    return Watchers;
  for (const auto &[Weight, Watcher] : Entry->second)
    Watchers.push_back(Watcher);
  return Watchers;
}

bool WatcherRanks::watches(const HostName &Watcher,
                           const HostName &Host) const {
  const auto Entry = Rankings.find(Host);
  return Entry != Rankings.end() &&
         std::any_of(Entry->second.begin(), Entry->second.end(),
                     [&](const auto &Candidate) {
                       return Candidate.second == Watcher;
                     });
}

} // namespace coltsfoottrail
