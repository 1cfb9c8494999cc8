#include "coltsfoottrail/mesh/table.hpp"

#include <algorithm>
#include <set>

namespace coltsfoottrail::internal {

namespace {

/// Beyond this the doubling would overflow; MaxDelay is reached long before.
constexpr unsigned MaxDoublings = 20;

} // namespace

Duration PeerTable::delayAfter(unsigned Failures) {
  const unsigned Doublings = std::min(Failures, MaxDoublings);
  const Duration Mean =
      std::min(Policy.FirstDelay * (1U << Doublings), Policy.MaxDelay);
  const double Jitter = 0.5 + Source.fraction();
  return std::chrono::duration_cast<Duration>(Mean * Jitter);
}

void PeerTable::retire(Known &Its, Incarnation Run) {
  if (isRetired(Its, Run))
    return;
  Its.Retired.push_back(Run);
  if (Its.Retired.size() > MaxRetired)
    Its.Retired.pop_front();
}

bool PeerTable::isRetired(const Known &Its, Incarnation Run) {
  return std::find(Its.Retired.begin(), Its.Retired.end(), Run) !=
         Its.Retired.end();
}

bool PeerTable::connected(const HostName &Host) const {
  const auto Found = Hosts.find(Host);
  return Found != Hosts.end() && Found->second.Link;
}

void PeerTable::want(const MeshPeer &Peer, bool NewRun, TimePoint Now) {
  const DialTarget Where{Peer.Address, Peer.Port};
  const auto [Entry, New] = Targets.try_emplace(Where);
  Target &Its = Entry->second;
  const bool SameHost = Its.Host == Peer.Host;
  Its.Host = Peer.Host;
  Its.IsSelf = false;
  Its.Neighbour = Peer.Neighbour;
  if (!New && SameHost && !NewRun)
    return;
  Its.Failures = 0;
  // The host with the lower name dials first, so that usually only one does.
  Its.Next = Self < Peer.Host ? Now : Now + delayAfter(0);
}

std::vector<LinkId> PeerTable::setPeers(std::span<const MeshPeer> Wanted,
                                        TimePoint Now) {
  std::vector<LinkId> Cut;
  unlist(Wanted, Cut);
  for (const MeshPeer &Peer : Wanted) {
    if (Peer.Host == Self)
      continue;
    Known &Its = Hosts[Peer.Host];
    const bool NewRun = Its.Listed != Peer.Run;
    if (Its.Listed && NewRun)
      retire(Its, *Its.Listed);
    if (Its.Link && Its.Link->Run != Peer.Run) {
      retire(Its, Its.Link->Run);
      Cut.push_back(Its.Link->Link);
      Its.Link.reset();
    }
    std::erase(Its.Retired, Peer.Run);
    Its.Listed = Peer.Run;
    Its.At = {Peer.Address, Peer.Port};
    want(Peer, NewRun, Now);
  }
  forgetOldHosts();
  return Cut;
}

void PeerTable::unlist(std::span<const MeshPeer> Wanted,
                       std::vector<LinkId> &Cut) {
  std::set<HostName> Named;
  std::set<DialTarget> Addresses;
  for (const MeshPeer &Peer : Wanted) {
    Named.insert(Peer.Host);
    Addresses.insert(DialTarget{Peer.Address, Peer.Port});
  }
  std::erase_if(Targets, [&](const auto &Entry) {
    return !Entry.second.FromSeed && !Addresses.contains(Entry.first);
  });
  for (auto &[Host, Its] : Hosts) {
    if (Named.contains(Host) || !Its.Listed)
      continue;
    Its.Listed.reset();
    if (!Its.Link || !Its.Link->DialledByUs)
      continue;
    Cut.push_back(Its.Link->Link);
    Its.Link.reset();
  }
}

bool PeerTable::isSpareable(const Known &Its) {
  return !Its.Listed && !Its.Link;
}

void PeerTable::forgetOldHosts() {
  std::erase_if(Hosts, [](const auto &Entry) {
    return isSpareable(Entry.second) && Entry.second.Retired.empty();
  });
  auto Former =
      std::count_if(Hosts.begin(), Hosts.end(), [](const auto &Entry) {
        return isSpareable(Entry.second);
      });
  std::erase_if(Hosts, [&Former](const auto &Entry) {
    if (static_cast<std::size_t>(Former) <= MaxFormerHosts ||
        !isSpareable(Entry.second))
      return false;
    --Former;
    return true;
  });
}

void PeerTable::setSeeds(std::span<const MeshSeed> Wanted, TimePoint Now) {
  for (auto &[Where, Its] : Targets)
    Its.FromSeed = false;
  for (const MeshSeed &Seed : Wanted) {
    const auto [Entry, New] =
        Targets.try_emplace(DialTarget{Seed.Address, Seed.Port});
    Entry->second.FromSeed = true;
    if (New)
      Entry->second.Next = Now;
  }
}

Admission PeerTable::admit(const ProvedLink &Proved, TimePoint Now) {
  const auto Dialled =
      Proved.Dialled ? Targets.find(*Proved.Dialled) : Targets.end();
  if (Dialled != Targets.end()) {
    Dialled->second.Busy = false;
    Dialled->second.Host = Proved.Host;
  }
  Admission Out = decide(Proved, Now);
  if (Out.Refused && Dialled != Targets.end()) {
    Dialled->second.Next = Now + delayAfter(Dialled->second.Failures);
    ++Dialled->second.Failures;
  }
  return Out;
}

Admission PeerTable::decide(const ProvedLink &Proved, TimePoint Now) {
  Admission Out;
  if (Proved.Host == Self) {
    Out.Refused = PeerRefusal::RunConflict;
    return Out;
  }
  Known &Its = Hosts[Proved.Host];
  if (isRetired(Its, Proved.Run)) {
    Out.Refused = PeerRefusal::RetiredRun;
    return Out;
  }
  if (Its.Link && Its.Link->Run != Proved.Run) {
    if (Its.Listed == Its.Link->Run) {
      Out.Refused = PeerRefusal::RunConflict;
      return Out;
    }
    retire(Its, Its.Link->Run);
    Out.SupersededLink = Its.Link->Link;
    Its.Link.reset();
  }
  const bool DialledByUs = Proved.Dialled.has_value();
  if (Its.Link) {
    const bool LowerDials = Self < Proved.Host;
    Out.Redundant =
        DialledByUs != Its.Link->DialledByUs && DialledByUs != LowerDials;
    if (Out.Redundant)
      return Out;
    Out.Replaces = Its.Link->Link;
  }
  Its.Link = Current{Proved.Link, Proved.Run, DialledByUs, Now};
  return Out;
}

bool PeerTable::linkClosed(LinkId Link, TimePoint Now) {
  const auto Found =
      std::find_if(Hosts.begin(), Hosts.end(), [Link](const auto &Entry) {
        return Entry.second.Link && Entry.second.Link->Link == Link;
      });
  if (Found == Hosts.end())
    return false;
  const bool Stable = Now - Found->second.Link->Since >= Policy.StableAfter;
  Found->second.Link.reset();
  for (auto &[Where, Its] : Targets) {
    if (Its.Host != Found->first)
      continue;
    Its.Failures = Stable ? 0 : Its.Failures;
    Its.Next = Now + delayAfter(Its.Failures);
    Its.Failures += Stable ? 0 : 1;
  }
  return true;
}

void PeerTable::release(LinkId Link) {
  for (auto &[Host, Peer] : Hosts)
    if (Peer.Link && Peer.Link->Link == Link)
      Peer.Link.reset();
}

void PeerTable::dialFailed(const DialTarget &Which,
                           std::optional<PeerRefusal> Why, TimePoint Now) {
  const auto Found = Targets.find(Which);
  if (Found == Targets.end())
    return;
  Target &Its = Found->second;
  Its.Busy = false;
  Its.IsSelf = Why == PeerRefusal::Self;
  Its.Next = Now + delayAfter(Its.Failures);
  ++Its.Failures;
}

const PeerTable::Target *PeerTable::targetOf(const HostName &Host) const {
  const auto Found = Hosts.find(Host);
  if (Found == Hosts.end() || !Found->second.Listed)
    return nullptr;
  const auto Entry = Targets.find(Found->second.At);
  return Entry == Targets.end() ? nullptr : &Entry->second;
}

bool PeerTable::demand(const HostName &Host, TimePoint Now) {
  if (targetOf(Host) == nullptr)
    return false;
  Target &Peer = Targets.at(Hosts.at(Host).At);
  if (!Peer.Neighbour) {
    if (Peer.Failures == 0 && Peer.WantedUntil <= Now)
      Peer.Next = Now;
    Peer.WantedUntil = Now + Policy.DemandLife;
  }
  return expects(Host, Now);
}

bool PeerTable::expects(const HostName &Host, TimePoint Now) const {
  const Target *const Peer = targetOf(Host);
  return Peer != nullptr &&
         (Peer->Busy || (Peer->Next <= Now && !Peer->IsSelf));
}

bool PeerTable::isUnused(const HostName &Host, TimePoint LastUsed,
                         TimePoint Now) const {
  if (Now - LastUsed < Policy.UnusedAfter)
    return false;
  const Target *const Peer = targetOf(Host);
  if (Peer == nullptr || Peer->Neighbour || Peer->FromSeed)
    return false;
  const auto &Link = Hosts.at(Host).Link;
  return Link && Link->DialledByUs;
}

bool PeerTable::isWanted(const Target &Peer, TimePoint Now) {
  return Peer.FromSeed || Peer.Neighbour || Peer.WantedUntil > Now;
}

std::vector<DialTarget> PeerTable::due(TimePoint Now) {
  std::vector<DialTarget> Out;
  for (auto &[Where, Its] : Targets) {
    if (Its.Busy || Its.IsSelf || Its.Next > Now || !isWanted(Its, Now))
      continue;
    if (!Its.Host.empty() && connected(Its.Host))
      continue;
    Its.Busy = true;
    Out.push_back(Where);
  }
  return Out;
}

std::optional<HostName> PeerTable::expectedAt(const DialTarget &Which) const {
  const auto Found = Targets.find(Which);
  if (Found == Targets.end() || Found->second.Host.empty() ||
      Found->second.FromSeed)
    return std::nullopt;
  return Found->second.Host;
}

} // namespace coltsfoottrail::internal
