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

std::vector<HostName> without(const std::vector<HostName> &From,
                              const std::vector<HostName> &These) {
  std::vector<HostName> Left;
  std::set_difference(From.begin(), From.end(), These.begin(), These.end(),
                      std::back_inserter(Left), isBefore);
  return Left;
}

} // namespace

void WatcherRanks::insert(const HostName &Host, Ranked &Into,
                          const HostName &Watcher) {
  if (Watcher == Host)
    return;
  const std::pair<std::uint64_t, HostName> Entry(weightOf(Host, Watcher),
                                                 Watcher);
  Into.insert(std::lower_bound(Into.begin(), Into.end(), Entry, isHigher),
              Entry);
  if (Into.size() > Count)
    Into.pop_back();
}

WatcherRanks::Ranked WatcherRanks::rankAll(const HostName &Host) const {
  const std::string Key = "watch/" + Host.Text;
  std::vector<std::pair<std::uint64_t, const HostName *>> Weights;
  Weights.reserve(All.size());
  for (const HostName &Watcher : All)
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
  Ranked Best;
  for (std::size_t Index = 0; Index < Kept; ++Index)
    Best.emplace_back(Weights[Index].first, *Weights[Index].second);
  return Best;
}

void WatcherRanks::setMembers(const std::vector<HostName> &Members) {
  const std::vector<HostName> Gone = without(All, Members);
  const std::vector<HostName> Come = without(Members, All);
  All = Members;
  for (const HostName &Host : Gone)
    Ranks.erase(Host);
  for (auto &[Host, Known] : Ranks) {
    const bool Lost =
        std::any_of(Known.begin(), Known.end(), [&](const auto &Entry) {
          return std::binary_search(Gone.begin(), Gone.end(), Entry.second,
                                    isBefore);
        });
    if (Lost) {
      Known = rankAll(Host);
      continue;
    }
    for (const HostName &Watcher : Come)
      insert(Host, Known, Watcher);
  }
  for (const HostName &Host : Come)
    Ranks.emplace(Host, rankAll(Host));
}

std::vector<HostName> WatcherRanks::watchersOf(const HostName &Host) const {
  std::vector<HostName> Watchers;
  const auto Found = Ranks.find(Host);
  if (Found == Ranks.end())
    return Watchers;
  for (const auto &[Weight, Watcher] : Found->second)
    Watchers.push_back(Watcher);
  return Watchers;
}

bool WatcherRanks::watches(const HostName &Watcher,
                           const HostName &Host) const {
  const auto Found = Ranks.find(Host);
  return Found != Ranks.end() &&
         std::any_of(
             Found->second.begin(), Found->second.end(),
             [&](const auto &Entry) { return Entry.second == Watcher; });
}

} // namespace coltsfoottrail
