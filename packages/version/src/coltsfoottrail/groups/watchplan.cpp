#include "coltsfoottrail/groups/watchplan.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/intents/describe.hpp"

#include <algorithm>
#include <functional>

namespace coltsfoottrail {

WatchPlan::WatchPlan(const std::map<HostName, EntryHost> &EntryHosts)
    : Digest(digestOf(EntryHosts)) {
  for (const auto &[Name, Host] : EntryHosts)
    HostsByDataCentre[Host.JoinRecord.DataCentre].push_back(Name);
}

std::uint64_t
WatchPlan::digestOf(const std::map<HostName, EntryHost> &EntryHosts) {
  std::uint64_t Digest = EntryHosts.size();
  for (const auto &[Name, Host] : EntryHosts) {
    Digest = hashText(Name.Text, Digest);
    Digest = hashText(Host.JoinRecord.DataCentre.Text, Digest);
  }
  return Digest;
}

void WatchPlan::follow(const State &Agreed) {
  std::erase_if(Watchers, [&](const auto &Entry) {
    const auto Group = Agreed.Groups.find(Entry.first);
    if (Group != Agreed.Groups.end() &&
        Group->second.Phase == GroupPhase::Serving)
      return false;
    for (const HostName &Name : Entry.second)
      Watched[Name].erase(Entry.first);
    return true;
  });
  for (const auto &[Id, Serving] : Agreed.Groups) {
    if (Serving.Phase != GroupPhase::Serving || Watchers.contains(Id))
      continue;
    std::vector<HostName> Chosen = chooseWatchers(Id, Serving.Spec.DataCentre);
    for (const HostName &Name : Chosen)
      Watched[Name].insert(Id);
    Watchers.emplace(Id, std::move(Chosen));
  }
}

const std::vector<HostName> &WatchPlan::watchersOf(const GroupId &Group) const {
  static const std::vector<HostName> None;
  const auto Entry = Watchers.find(Group);
  return Entry == Watchers.end() ? None : Entry->second;
}

const std::set<GroupId> &WatchPlan::watchedBy(const HostName &Host) const {
  static const std::set<GroupId> None;
  const auto Entry = Watched.find(Host);
  return Entry == Watched.end() ? None : Entry->second;
}

std::vector<HostName>
WatchPlan::chooseWatchers(const GroupId &Group,
                          const DataCentreName &Home) const {
  const std::string Key = "watch/" + textOf(Group);
  struct Candidate {
    std::size_t Round;
    std::size_t CentreRank;
    const HostName *Name;
  };
  std::vector<Candidate> Candidates;
  std::size_t CentreRank = 0;
  for (const std::vector<HostName> *Hosts : rankDataCentres(Key, Home)) {
    std::vector<std::pair<std::uint64_t, const HostName *>> Ranked;
    for (const HostName &Name : *Hosts)
      Ranked.emplace_back(rendezvousWeight(Key, Name.Text), &Name);
    const std::size_t Count = std::min(Ranked.size(), WatchersPerGroup);
    std::partial_sort(Ranked.begin(),
                      Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                      Ranked.end(), std::greater<>());
    for (std::size_t Round = 0; Round < Count; ++Round)
      Candidates.push_back({Round, CentreRank, Ranked[Round].second});
    ++CentreRank;
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::pair(Left.Round, Left.CentreRank) <
                     std::pair(Right.Round, Right.CentreRank);
            });
  std::vector<HostName> Chosen;
  for (const Candidate &Option : Candidates)
    if (Chosen.size() < WatchersPerGroup)
      Chosen.push_back(*Option.Name);
  return Chosen;
}

std::vector<const std::vector<HostName> *>
WatchPlan::rankDataCentres(const std::string &Key,
                           const DataCentreName &Home) const {
  std::vector<std::pair<std::uint64_t, const std::vector<HostName> *>> Ranked;
  for (const auto &[Name, Hosts] : HostsByDataCentre) {
    const std::uint64_t Weight = Name == Home
                                     ? std::numeric_limits<std::uint64_t>::max()
                                     : rendezvousWeight(Key, Name.Text);
    Ranked.emplace_back(Weight, &Hosts);
  }
  std::sort(Ranked.begin(), Ranked.end(), std::greater<>());
  if (Ranked.size() > WatchersPerGroup)
    Ranked.resize(WatchersPerGroup);
  std::vector<const std::vector<HostName> *> Ordered;
  for (const auto &[Weight, Hosts] : Ranked)
    Ordered.push_back(Hosts);
  return Ordered;
}

} // namespace coltsfoottrail
