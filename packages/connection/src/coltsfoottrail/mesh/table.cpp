#include "coltsfoottrail/mesh/table.hpp"

#include <algorithm>
#include <set>

namespace coltsfoottrail::internal {

namespace {

/// Keeps the shift below from overflowing; MaxDelay is reached with far fewer
/// doublings.
constexpr unsigned MaxDoublings = 20;

} // namespace

Duration PeerTable::delayAfter(unsigned Failures) {
  const unsigned Doublings = std::min(Failures, MaxDoublings);
  const Duration Mean =
      std::min(Policy.FirstDelay * (1U << Doublings), Policy.MaxDelay);
  const double Jitter = 0.5 + JitterSource.fraction();
  return std::chrono::duration_cast<Duration>(Mean * Jitter);
}

void PeerTable::retire(HostRecord &Record, Incarnation Run) {
  if (isRetired(Record, Run))
    return;
  Record.RetiredRuns.push_back(Run);
  if (Record.RetiredRuns.size() > MaxRetired)
    Record.RetiredRuns.pop_front();
}

bool PeerTable::isRetired(const HostRecord &Record, Incarnation Run) {
  return std::find(Record.RetiredRuns.begin(), Record.RetiredRuns.end(), Run) !=
         Record.RetiredRuns.end();
}

bool PeerTable::isConnected(const HostName &Host) const {
  const auto Entry = Hosts.find(Host);
  return Entry != Hosts.end() && Entry->second.Active;
}

void PeerTable::updateTarget(const MeshPeer &Peer, bool NewRun, TimePoint Now) {
  const DialTarget Address{Peer.Address, Peer.Port};
  const auto [Entry, Inserted] = Targets.try_emplace(Address);
  TargetStatus &Status = Entry->second;
  const bool SameHost = Status.Host == Peer.Host;
  Status.Host = Peer.Host;
  Status.IsOwnAddress = false;
  Status.Neighbour = Peer.Neighbour;
  if (!Inserted && SameHost && !NewRun)
    return;
  Status.Failures = 0;
  // The host with the lower name dials at once and the other one after a delay,
  // so that usually only one connection is opened.
  Status.NextDial = Self < Peer.Host ? Now : Now + delayAfter(0);
}

std::vector<LinkId> PeerTable::setPeers(std::span<const MeshPeer> Peers,
                                        TimePoint Now) {
  std::vector<LinkId> LinksToCut;
  removeUnlisted(Peers, LinksToCut);
  for (const MeshPeer &Peer : Peers) {
    if (Peer.Host == Self)
      continue;
    HostRecord &Record = Hosts[Peer.Host];
    const bool NewRun = Record.ListedRun != Peer.Run;
    if (Record.ListedRun && NewRun)
      retire(Record, *Record.ListedRun);
    if (Record.Active && Record.Active->Run != Peer.Run) {
      retire(Record, Record.Active->Run);
      LinksToCut.push_back(Record.Active->Link);
      Record.Active.reset();
    }
    std::erase(Record.RetiredRuns, Peer.Run);
    Record.ListedRun = Peer.Run;
    Record.ListedAddress = {Peer.Address, Peer.Port};
    updateTarget(Peer, NewRun, Now);
  }
  forgetFormerHosts();
  return LinksToCut;
}

void PeerTable::removeUnlisted(std::span<const MeshPeer> Peers,
                               std::vector<LinkId> &LinksToCut) {
  std::set<HostName> ListedHosts;
  std::set<DialTarget> Addresses;
  for (const MeshPeer &Peer : Peers) {
    ListedHosts.insert(Peer.Host);
    Addresses.insert(DialTarget{Peer.Address, Peer.Port});
  }
  std::erase_if(Targets, [&](const auto &Entry) {
    return !Entry.second.FromSeed && !Addresses.contains(Entry.first);
  });
  for (auto &[Host, Record] : Hosts) {
    if (ListedHosts.contains(Host) || !Record.ListedRun)
      continue;
    Record.ListedRun.reset();
    if (!Record.Active || !Record.Active->DialledHere)
      continue;
    LinksToCut.push_back(Record.Active->Link);
    Record.Active.reset();
  }
}

bool PeerTable::isFormer(const HostRecord &Record) {
  return !Record.ListedRun && !Record.Active;
}

void PeerTable::forgetFormerHosts() {
  std::erase_if(Hosts, [](const auto &Entry) {
    return isFormer(Entry.second) && Entry.second.RetiredRuns.empty();
  });
  auto Former =
      std::count_if(Hosts.begin(), Hosts.end(),
                    [](const auto &Entry) { return isFormer(Entry.second); });
  std::erase_if(Hosts, [&Former](const auto &Entry) {
    if (static_cast<std::size_t>(Former) <= MaxFormerHosts ||
        !isFormer(Entry.second))
      return false;
    --Former;
    return true;
  });
}

void PeerTable::setSeeds(std::span<const MeshSeed> Seeds, TimePoint Now) {
  for (auto &[Address, Status] : Targets)
    Status.FromSeed = false;
  for (const MeshSeed &Seed : Seeds) {
    const auto [Entry, Inserted] =
        Targets.try_emplace(DialTarget{Seed.Address, Seed.Port});
    Entry->second.FromSeed = true;
    if (Inserted)
      Entry->second.NextDial = Now;
  }
}

Admission PeerTable::admit(const AuthenticatedLink &NewLink, TimePoint Now) {
  const auto TargetEntry =
      NewLink.Dialled ? Targets.find(*NewLink.Dialled) : Targets.end();
  if (TargetEntry != Targets.end()) {
    TargetEntry->second.Dialling = false;
    TargetEntry->second.Host = NewLink.Host;
  }
  Admission Result = decide(NewLink, Now);
  if (Result.Refused && TargetEntry != Targets.end()) {
    TargetEntry->second.NextDial =
        Now + delayAfter(TargetEntry->second.Failures);
    ++TargetEntry->second.Failures;
  }
  return Result;
}

Admission PeerTable::decide(const AuthenticatedLink &NewLink, TimePoint Now) {
  Admission Result;
  if (NewLink.Host == Self) {
    Result.Refused = PeerRefusal::RunConflict;
    return Result;
  }
  HostRecord &Record = Hosts[NewLink.Host];
  if (isRetired(Record, NewLink.Run)) {
    Result.Refused = PeerRefusal::RetiredRun;
    return Result;
  }
  if (Record.Active && Record.Active->Run != NewLink.Run) {
    if (Record.ListedRun == Record.Active->Run) {
      Result.Refused = PeerRefusal::RunConflict;
      return Result;
    }
    retire(Record, Record.Active->Run);
    Result.SupersededLink = Record.Active->Link;
    Record.Active.reset();
  }
  const bool DialledHere = NewLink.Dialled.has_value();
  if (Record.Active) {
    const bool OwnNameIsLower = Self < NewLink.Host;
    Result.Redundant = DialledHere != Record.Active->DialledHere &&
                       DialledHere != OwnNameIsLower;
    if (Result.Redundant)
      return Result;
    Result.ReplacedLink = Record.Active->Link;
  }
  Record.Active = ActiveLink{NewLink.Link, NewLink.Run, DialledHere, Now};
  return Result;
}

bool PeerTable::linkClosed(LinkId Link, TimePoint Now) {
  const auto HostEntry =
      std::find_if(Hosts.begin(), Hosts.end(), [Link](const auto &Entry) {
        return Entry.second.Active && Entry.second.Active->Link == Link;
      });
  if (HostEntry == Hosts.end())
    return false;
  const bool Stable =
      Now - HostEntry->second.Active->Since >= Policy.StableAfter;
  HostEntry->second.Active.reset();
  for (auto &[Address, Status] : Targets) {
    if (Status.Host != HostEntry->first)
      continue;
    Status.Failures = Stable ? 0 : Status.Failures;
    Status.NextDial = Now + delayAfter(Status.Failures);
    Status.Failures += Stable ? 0 : 1;
  }
  return true;
}

void PeerTable::release(LinkId Link) {
  for (auto &[Host, Record] : Hosts)
    if (Record.Active && Record.Active->Link == Link)
      Record.Active.reset();
}

void PeerTable::dialFailed(const DialTarget &Target,
                           std::optional<PeerRefusal> Refusal, TimePoint Now) {
  const auto Entry = Targets.find(Target);
  if (Entry == Targets.end())
    return;
  TargetStatus &Status = Entry->second;
  Status.Dialling = false;
  Status.IsOwnAddress = Refusal == PeerRefusal::Self;
  Status.NextDial = Now + delayAfter(Status.Failures);
  ++Status.Failures;
}

const PeerTable::TargetStatus *
PeerTable::findTarget(const HostName &Host) const {
  const auto HostEntry = Hosts.find(Host);
  if (HostEntry == Hosts.end() || !HostEntry->second.ListedRun)
    return nullptr;
  const auto TargetEntry = Targets.find(HostEntry->second.ListedAddress);
  return TargetEntry == Targets.end() ? nullptr : &TargetEntry->second;
}

bool PeerTable::demand(const HostName &Host, TimePoint Now) {
  if (findTarget(Host) == nullptr)
    return false;
  TargetStatus &Status = Targets.at(Hosts.at(Host).ListedAddress);
  if (!Status.Neighbour) {
    if (Status.Failures == 0 && Status.DemandedUntil <= Now)
      Status.NextDial = Now;
    Status.DemandedUntil = Now + Policy.DemandDuration;
  }
  return expects(Host, Now);
}

bool PeerTable::expects(const HostName &Host, TimePoint Now) const {
  const TargetStatus *const Status = findTarget(Host);
  return Status != nullptr && (Status->Dialling || (Status->NextDial <= Now &&
                                                    !Status->IsOwnAddress));
}

bool PeerTable::isUnused(const HostName &Host, TimePoint LastUsed,
                         TimePoint Now) const {
  if (Now - LastUsed < Policy.UnusedAfter)
    return false;
  const TargetStatus *const Status = findTarget(Host);
  if (Status == nullptr || Status->Neighbour || Status->FromSeed)
    return false;
  const auto &Active = Hosts.at(Host).Active;
  return Active && Active->DialledHere;
}

bool PeerTable::isWanted(const TargetStatus &Status, TimePoint Now) {
  return Status.FromSeed || Status.Neighbour || Status.DemandedUntil > Now;
}

std::vector<DialTarget> PeerTable::due(TimePoint Now) {
  std::vector<DialTarget> DueTargets;
  for (auto &[Address, Status] : Targets) {
    if (Status.Dialling || Status.IsOwnAddress || Status.NextDial > Now ||
        !isWanted(Status, Now))
      continue;
    if (!Status.Host.empty() && isConnected(Status.Host))
      continue;
    Status.Dialling = true;
    DueTargets.push_back(Address);
  }
  return DueTargets;
}

std::optional<HostName> PeerTable::expectedAt(const DialTarget &Target) const {
  const auto Entry = Targets.find(Target);
  if (Entry == Targets.end() || Entry->second.Host.empty() ||
      Entry->second.FromSeed)
    return std::nullopt;
  return Entry->second.Host;
}

} // namespace coltsfoottrail::internal
