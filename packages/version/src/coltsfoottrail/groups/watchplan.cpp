#include "coltsfoottrail/groups/watchplan.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/intents/describe.hpp"

#include <algorithm>
#include <functional>

namespace coltsfoottrail {

WatchPlan::WatchPlan(const std::map<HostName, EntryHost> &Joined)
    : Digest(digestOf(Joined)) {
  for (const auto &[Name, Host] : Joined)
    Centres[Host.JoinRecord.DataCentre].push_back(Name);
}

std::uint64_t WatchPlan::digestOf(const std::map<HostName, EntryHost> &Joined) {
  std::uint64_t Digest = Joined.size();
  for (const auto &[Name, Host] : Joined) {
    Digest = hashText(Name.Text, Digest);
    Digest = hashText(Host.JoinRecord.DataCentre.Text, Digest);
  }
  return Digest;
}

void WatchPlan::follow(const State &Now) {
  std::erase_if(Watchers, [&](const auto &Entry) {
    const auto Found = Now.Groups.find(Entry.first);
    if (Found != Now.Groups.end() && Found->second.Phase == GroupPhase::Serving)
      return false;
    for (const HostName &Name : Entry.second)
      Watched[Name].erase(Entry.first);
    return true;
  });
  for (const auto &[Id, Known] : Now.Groups) {
    if (Known.Phase != GroupPhase::Serving || Watchers.contains(Id))
      continue;
    std::vector<HostName> Chosen = choose(Id, Known.Spec.DataCentre);
    for (const HostName &Name : Chosen)
      Watched[Name].insert(Id);
    Watchers.emplace(Id, std::move(Chosen));
  }
}

const std::vector<HostName> &WatchPlan::watchersOf(const GroupId &Group) const {
  static const std::vector<HostName> None;
  const auto Found = Watchers.find(Group);
  return Found == Watchers.end() ? None : Found->second;
}

const std::set<GroupId> &WatchPlan::watchedBy(const HostName &Host) const {
  static const std::set<GroupId> None;
  const auto Found = Watched.find(Host);
  return Found == Watched.end() ? None : Found->second;
}

std::vector<HostName> WatchPlan::choose(const GroupId &Group,
                                        const DataCentreName &Where) const {
  const std::string Key = "watch/" + textOf(Group);
  struct Candidate {
    std::size_t Round;
    std::size_t Centre;
    const HostName *Name;
  };
  std::vector<Candidate> Candidates;
  std::size_t Centre = 0;
  for (const std::vector<HostName> *Hosts : orderCentres(Key, Where)) {
    std::vector<std::pair<std::uint64_t, const HostName *>> Ranked;
    for (const HostName &Name : *Hosts)
      Ranked.emplace_back(rendezvousWeight(Key, Name.Text), &Name);
    const std::size_t Count = std::min(Ranked.size(), WatchersPerGroup);
    std::partial_sort(Ranked.begin(),
                      Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                      Ranked.end(), std::greater<>());
    for (std::size_t Round = 0; Round < Count; ++Round)
      Candidates.push_back({Round, Centre, Ranked[Round].second});
    ++Centre;
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::pair(Left.Round, Left.Centre) <
                     std::pair(Right.Round, Right.Centre);
            });
  std::vector<HostName> Chosen;
  for (const Candidate &Each : Candidates)
    if (Chosen.size() < WatchersPerGroup)
      Chosen.push_back(*Each.Name);
  return Chosen;
}

std::vector<const std::vector<HostName> *>
WatchPlan::orderCentres(const std::string &Key,
                        const DataCentreName &Where) const {
  std::vector<std::pair<std::uint64_t, const std::vector<HostName> *>> Ranked;
  for (const auto &[Name, Hosts] : Centres) {
    const std::uint64_t Weight = Name == Where
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
