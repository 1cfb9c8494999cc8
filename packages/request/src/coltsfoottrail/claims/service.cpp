#include "coltsfoottrail/claims/service.hpp"

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Number of highest-ranked hosts that requests for a partition are sent to.
constexpr std::size_t RankedCandidates = 3;
constexpr std::size_t SettlingItemBytes = 256;
constexpr milliseconds MaxSettleDelay{10'000};
constexpr seconds PeerWallLifetime{600};
constexpr std::size_t MaxDigestBytes = 4096;

std::vector<HostName> rankHosts(ClaimPartition Partition,
                                std::span<const ClaimMember> Joined,
                                const HostName &Self) {
  const std::string Key = claimStream(Partition).Text;
  std::vector<std::pair<std::uint64_t, HostName>> Weights;
  for (const ClaimMember &Member : Joined)
    Weights.emplace_back(rendezvousWeight(Key, Member.Host.Text), Member.Host);
  std::sort(Weights.rbegin(), Weights.rend());
  std::vector<HostName> Ranked;
  for (const auto &[Weight, Host] : Weights) {
    if (Ranked.size() == RankedCandidates)
      break;
    Ranked.push_back(Host);
  }
  if (std::find(Ranked.begin(), Ranked.end(), Self) == Ranked.end())
    Ranked.push_back(Self);
  return Ranked;
}

milliseconds remaining(TimePoint Deadline, TimePoint Now) {
  const Duration Remaining = std::max(Duration::zero(), Deadline - Now);
  return std::chrono::duration_cast<milliseconds>(Remaining);
}

bool isPrintable(std::string_view Text) {
  constexpr char First = ' ';
  constexpr char Last = '~';
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return Character >= First && Character <= Last;
  });
}

Settlement limitOutcome(Settlement Result, bool KeepBody) {
  auto *const Outcome = std::get_if<StoredOutcome>(&Result);
  if (Outcome == nullptr)
    return Result;
  if (!isPrintable(Outcome->ContentType))
    Outcome->ContentType.clear();
  if (KeepBody && Outcome->Body.size() <= MaxOutcomeBytes)
    return Result;
  Outcome->Body.clear();
  Outcome->BodyKept = false;
  return Result;
}

std::size_t bodyBytes(const Settlement &Result) {
  const auto *const Outcome = std::get_if<StoredOutcome>(&Result);
  return Outcome == nullptr ? 0 : Outcome->Body.size();
}

} // namespace

ClaimService::ClaimService(ClaimOptions Configured)
    : Options(std::move(Configured)), Watch(Options.UnknownClaimantGrace) {
  const ClaimMember Self{Options.Self, Options.Run};
  Watch.setMembers(std::span(&Self, 1));
  for (ClaimPartition Partition = 0; Partition < ClaimPartitions; ++Partition) {
    Owners.emplace_back(Partition, Options, Watch);
    Candidates.push_back({Options.Self});
  }
}

void ClaimService::checkKey(const ClaimKey &Key) const {
  if (Key.Team.empty())
    throw Error("claims: a key needs a team");
  if (Key.Key.empty() || Key.Key.size() > MaxClaimKeyBytes)
    throw Error("claims: a key has 1 to " + std::to_string(MaxClaimKeyBytes) +
                " bytes, not " + std::to_string(Key.Key.size()));
  if (!isPrintable(Key.Key))
    throw Error("claims: a key holds printable ASCII characters only");
}

ClaimId ClaimService::claim(ClaimRequest Request, TimePoint Deadline,
                            ClaimTime Time, ClaimCommands &Commands) {
  checkKey(Request.ScopedKey);
  if (Request.BodyDigest.empty() || Request.BodyDigest.size() > MaxDigestBytes)
    throw Error("claims: a claim needs the digest of its body");
  const ClaimId Id{Options.Run, NextSequence++};
  PendingRequest Pending;
  Pending.Partition = partitionOf(Request.ScopedKey);
  // Failure guarded against: a claimant that gets its grant after the ledgers
  // have erased the claim would run concurrently with its own retry. So the
  // grant ends long before the claim's record can expire.
  Pending.Deadline =
      std::min<TimePoint>(Deadline, Time.Now + Options.KeyLife / 2);
  Pending.StartWall = Time.Wall;
  Pending.Message =
      AcquireClaim{Id, Options.Self, std::move(Request), Time.Wall, {}};
  send(PendingRequests.emplace(Id, std::move(Pending)).first->second, Time,
       Commands);
  deliverLocal(Time, Commands);
  return Id;
}

ClaimId ClaimService::query(ClaimKey Key, TimePoint Deadline, ClaimTime Time,
                            ClaimCommands &Commands) {
  checkKey(Key);
  const ClaimId Id{Options.Run, NextSequence++};
  PendingRequest Pending;
  Pending.Partition = partitionOf(Key);
  Pending.Deadline = Deadline;
  Pending.StartWall = Time.Wall;
  Pending.Message = ClaimQuery{Id, std::move(Key)};
  send(PendingRequests.emplace(Id, std::move(Pending)).first->second, Time,
       Commands);
  deliverLocal(Time, Commands);
  return Id;
}

void ClaimService::giveUp(ClaimId Id, ClaimTime Time, ClaimCommands &Commands) {
  const auto Found = PendingRequests.find(Id);
  if (Found == PendingRequests.end())
    return;
  const ClaimMessage Message = std::move(Found->second.Message);
  PendingRequests.erase(Found);
  if (const auto *const Acquire = std::get_if<AcquireClaim>(&Message))
    startSettlement(ClaimSettle{Id, Acquire->Request.ScopedKey, ReleaseClaim{}},
                    Time, Commands);
  deliverLocal(Time, Commands);
}

void ClaimService::settle(ClaimId Id, Settlement Result, ClaimTime Time,
                          ClaimCommands &Commands) {
  const auto Found = Granted.find(Id);
  if (Found == Granted.end())
    return;
  ClaimSettle Message{Id, std::move(Found->second), std::move(Result)};
  Granted.erase(Found);
  startSettlement(std::move(Message), Time, Commands);
  deliverLocal(Time, Commands);
}

void ClaimService::startSettlement(ClaimSettle Message, ClaimTime Time,
                                   ClaimCommands &Commands) {
  // Bounds memory while the log is down: first bodies are dropped, then
  // settlements. A key whose settlement was dropped is reported as in progress
  // until this run ends, and as "may have run" afterwards.
  if (SettlingBytes >= 2 * Options.MaxSettlingBytes) {
    SettlementDropped = true;
    return;
  }
  const bool KeepBody =
      SettlingBytes + bodyBytes(Message.Result) <= Options.MaxSettlingBytes;
  Message.Result = limitOutcome(std::move(Message.Result), KeepBody);
  PendingSettlement Pending;
  Pending.Partition = partitionOf(Message.ScopedKey);
  Pending.DropAt = Time.Now + Options.KeyLife / 2;
  Pending.Bytes = SettlingItemBytes + bodyBytes(Message.Result);
  const ClaimId Id = Message.Id;
  Pending.Message = std::move(Message);
  const auto [Slot, Added] = PendingSettlements.emplace(Id, std::move(Pending));
  if (!Added)
    return;
  SettlingBytes += Slot->second.Bytes;
  send(Slot->second, Time, Commands);
}

const HostName &ClaimService::candidate(ClaimPartition Partition,
                                        std::size_t Index) const {
  const std::vector<HostName> &Ranked = Candidates[Partition];
  return Ranked[Index % Ranked.size()];
}

void ClaimService::send(PendingRequest &Pending, ClaimTime Time,
                        ClaimCommands &Commands) {
  if (auto *const Acquire = std::get_if<AcquireClaim>(&Pending.Message)) {
    Acquire->Wall = Time.Wall;
    Acquire->Budget = remaining(Pending.Deadline, Time.Now);
  }
  Pending.RetryAt = Time.Now + Options.AskTimeout;
  ++Pending.Sends;
  Commands.emplace_back(ClaimSend{
      candidate(Pending.Partition, Pending.Candidate), Pending.Message});
}

void ClaimService::send(PendingSettlement &Pending, ClaimTime Time,
                        ClaimCommands &Commands) {
  Pending.Delay = std::min(MaxSettleDelay,
                           std::max(Options.AskTimeout * 2, Pending.Delay * 2));
  Pending.RetryAt = Time.Now + Pending.Delay;
  Commands.emplace_back(ClaimSend{
      candidate(Pending.Partition, Pending.Candidate), Pending.Message});
}

void ClaimService::received(const HostName &From, const ClaimMessage &Message,
                            ClaimTime Time, ClaimCommands &Commands) {
  dispatch(From, Message, Time, Commands);
  deliverLocal(Time, Commands);
}

void ClaimService::dispatch(const HostName &From, const ClaimMessage &Message,
                            ClaimTime Time, ClaimCommands &Commands) {
  std::visit([&](const auto &Body) { handle(From, Body, Time, Commands); },
             Message);
}

void ClaimService::deliverLocal(ClaimTime Time, ClaimCommands &Commands) {
  // Messages to this host itself are handled here, so that the caller sends
  // only to peers. Handling one may append more commands.
  for (std::size_t Index = 0; Index < Commands.size(); ++Index) {
    auto *const Sent = std::get_if<ClaimSend>(&Commands[Index]);
    if (Sent == nullptr || Sent->To != Options.Self)
      continue;
    const ClaimMessage Message = std::move(Sent->Message);
    Sent->To = HostName();
    dispatch(Options.Self, Message, Time, Commands);
  }
  std::erase_if(Commands, [](const ClaimCommand &Command) {
    const auto *const Sent = std::get_if<ClaimSend>(&Command);
    return Sent != nullptr && Sent->To.empty();
  });
}

void ClaimService::handle(const HostName &From, const AcquireClaim &Message,
                          ClaimTime Time, ClaimCommands &Commands) {
  if (From != Options.Self)
    observePeerWall(Message, Time.Now);
  Owners[partitionOf(Message.Request.ScopedKey)].claim(
      From, Message, withBoundedWall(Time), Commands);
}

void ClaimService::handle(const HostName &From, const ClaimSettle &Message,
                          ClaimTime Time, ClaimCommands &Commands) {
  Owners[partitionOf(Message.ScopedKey)].settle(
      From, Message, withBoundedWall(Time), Commands);
}

void ClaimService::handle(const HostName &From, const ClaimQuery &Message,
                          ClaimTime Time, ClaimCommands &Commands) {
  Owners[partitionOf(Message.ScopedKey)].query(From, Message,
                                               withBoundedWall(Time), Commands);
}

void ClaimService::handle(const HostName &From, const ClaimAnswer &Message,
                          ClaimTime Time, ClaimCommands &Commands) {
  if (Message.Id.Run != Options.Run)
    return;
  const auto Found = PendingRequests.find(Message.Id);
  if (Found == PendingRequests.end()) {
    releaseUnawaitedClaim(Message, Time, Commands);
    return;
  }
  PendingRequest &Pending = Found->second;
  if (!std::holds_alternative<ClaimUnavailable>(Message.Decision)) {
    decide(Message.Id, Message.Decision, Time, Commands);
    return;
  }
  if (candidate(Pending.Partition, Pending.Candidate) != From)
    return;
  ++Pending.Candidate;
  const bool HasUntried =
      Pending.Candidate % Candidates[Pending.Partition].size() != 0;
  if (HasUntried)
    send(Pending, Time, Commands);
}

void ClaimService::releaseUnawaitedClaim(const ClaimAnswer &Message,
                                         ClaimTime Time,
                                         ClaimCommands &Commands) {
  // Failure guarded against: a copy of a refused AcquireClaim reaches an owner
  // after the key has become free. Its claim then holds the key, and nobody
  // waits for it. Its request was not sent, as the claim is not among the
  // granted ones, so it is released; a claim that was already settled keeps its
  // settlement. Once a settlement has been dropped, this is no longer certain.
  const bool IsUnawaited =
      std::holds_alternative<ClaimGranted>(Message.Decision) &&
      !SettlementDropped && !Granted.contains(Message.Id) &&
      !PendingSettlements.contains(Message.Id);
  if (IsUnawaited)
    startSettlement(ClaimSettle{Message.Id, Message.ScopedKey, ReleaseClaim{}},
                    Time, Commands);
}

void ClaimService::handle(const HostName & /*From*/,
                          const ClaimSettled &Message, ClaimTime /*Time*/,
                          ClaimCommands & /*Commands*/) {
  const auto Found = PendingSettlements.find(Message.Id);
  if (Found == PendingSettlements.end())
    return;
  SettlingBytes -= Found->second.Bytes;
  PendingSettlements.erase(Found);
}

void ClaimService::decide(ClaimId Id, ClaimDecision Decision, ClaimTime Time,
                          ClaimCommands &Commands) {
  const auto Found = PendingRequests.find(Id);
  const PendingRequest Pending = std::move(Found->second);
  if (Time.Now >= Pending.Deadline &&
      !std::holds_alternative<ClaimUnavailable>(Decision)) {
    Found->second = Pending;
    refuseAtDeadline(Id, Time, Commands);
    return;
  }
  PendingRequests.erase(Found);
  if (const auto *const Acquire = std::get_if<AcquireClaim>(&Pending.Message)) {
    if (std::holds_alternative<ClaimGranted>(Decision))
      Granted.emplace(Id, Acquire->Request.ScopedKey);
    else if (Pending.Sends > 1 ||
             std::holds_alternative<ClaimUnavailable>(Decision))
      // Failure guarded against: the message may also be queued at another
      // owner, which appends the claim when the key is free again. The key
      // would then be held by a claim that nobody waits for. The release on the
      // log invalidates that claim, whether it comes before or after it.
      startSettlement(
          ClaimSettle{Id, Acquire->Request.ScopedKey, ReleaseClaim{}}, Time,
          Commands);
  }
  Commands.emplace_back(
      DeliverDecision{Id, std::move(Decision), Pending.Deadline});
}

void ClaimService::refuseAtDeadline(ClaimId Id, ClaimTime Time,
                                    ClaimCommands &Commands) {
  const PendingRequest &Pending = PendingRequests.at(Id);
  bool EarlierTry = false;
  if (const auto *const Acquire = std::get_if<AcquireClaim>(&Pending.Message)) {
    const auto Skew = static_cast<std::uint64_t>(MaxClockSkew.count());
    const std::optional<std::uint64_t> &Birth = Acquire->Request.Birth;
    EarlierTry = Birth && *Birth + Skew < Pending.StartWall;
  }
  decide(Id, ClaimUnavailable{EarlierTry}, Time, Commands);
}

void ClaimService::observePeerWall(const AcquireClaim &Message, TimePoint Now) {
  const auto Elapsed =
      std::chrono::duration_cast<seconds>(Now - PeerWallAt).count();
  const bool IsStale = Now - PeerWallAt > PeerWallLifetime;
  if (!IsStale && Message.Wall < PeerWall + static_cast<std::uint64_t>(Elapsed))
    return;
  PeerWall = Message.Wall;
  PeerWallAt = Now;
}

ClaimTime ClaimService::withBoundedWall(ClaimTime Time) const {
  // Failure guarded against: this host's wall clock is far ahead. Its timestamp
  // would make every ledger expire all keys at once, and retries would run
  // again. So the wall clock is bounded by those of the peers.
  if (PeerWall == 0 || Time.Now - PeerWallAt > PeerWallLifetime)
    return Time;
  const auto Elapsed =
      std::chrono::duration_cast<seconds>(Time.Now - PeerWallAt);
  const auto Allowed =
      static_cast<std::uint64_t>((Elapsed + MaxClockSkew).count());
  Time.Wall = std::min(Time.Wall, PeerWall + Allowed);
  return Time;
}

void ClaimService::appended(ClaimPartition Partition, std::uint64_t Token,
                            const AppendResult &Result, ClaimTime Time,
                            ClaimCommands &Commands) {
  Owners.at(Partition).appended(Token, Result, withBoundedWall(Time), Commands);
  deliverLocal(Time, Commands);
}

void ClaimService::read(ClaimPartition Partition, std::uint64_t Token,
                        const ReadResult &Result, ClaimTime Time,
                        ClaimCommands &Commands) {
  Owners.at(Partition).read(Token, Result, withBoundedWall(Time), Commands);
  deliverLocal(Time, Commands);
}

void ClaimService::setMembers(std::span<const ClaimMember> Joined,
                              ClaimTime Time, ClaimCommands &Commands) {
  Watch.setMembers(Joined);
  for (ClaimPartition Partition = 0; Partition < ClaimPartitions; ++Partition) {
    std::vector<HostName> Ranked = rankHosts(Partition, Joined, Options.Self);
    if (Ranked.front() == Options.Self)
      Owners[Partition].open(Time, Commands);
    if (Ranked == Candidates[Partition])
      continue;
    Candidates[Partition] = std::move(Ranked);
    for (auto &[Id, Pending] : PendingRequests)
      if (Pending.Partition == Partition) {
        Pending.Candidate = 0;
        send(Pending, Time, Commands);
      }
    for (auto &[Id, Pending] : PendingSettlements)
      if (Pending.Partition == Partition)
        Pending.Candidate = 0;
  }
  advance(Time, Commands);
}

void ClaimService::advance(ClaimTime Time, ClaimCommands &Commands) {
  std::vector<ClaimId> Expired;
  for (auto &[Id, Pending] : PendingRequests) {
    if (Pending.Deadline <= Time.Now) {
      Expired.push_back(Id);
    } else if (Pending.RetryAt <= Time.Now) {
      ++Pending.Candidate;
      send(Pending, Time, Commands);
    }
  }
  for (const ClaimId Id : Expired)
    refuseAtDeadline(Id, Time, Commands);
  for (auto &[Id, Pending] : PendingSettlements)
    if (Pending.RetryAt <= Time.Now) {
      ++Pending.Candidate;
      send(Pending, Time, Commands);
    }
  std::erase_if(PendingSettlements, [&](const auto &Entry) {
    if (Entry.second.DropAt > Time.Now)
      return false;
    SettlingBytes -= Entry.second.Bytes;
    SettlementDropped = true;
    return true;
  });
  for (ClaimPartition Partition = 0; Partition < ClaimPartitions; ++Partition) {
    ClaimOwner &Owner = Owners[Partition];
    Owner.advance(withBoundedWall(Time), Commands);
    if (candidate(Partition, 0) != Options.Self &&
        Time.Now - Owner.lastUsed() > Options.CloseAfter)
      Owner.close();
  }
  deliverLocal(Time, Commands);
}

std::optional<TimePoint> ClaimService::nextWake() const {
  std::optional<TimePoint> Wake;
  const auto Consider = [&Wake](TimePoint At) {
    if (!Wake || At < *Wake)
      Wake = At;
  };
  for (const auto &[Id, Pending] : PendingRequests)
    Consider(std::min(Pending.RetryAt, Pending.Deadline));
  for (const auto &[Id, Pending] : PendingSettlements)
    Consider(std::min(Pending.RetryAt, Pending.DropAt));
  for (const ClaimOwner &Owner : Owners)
    if (const std::optional<TimePoint> At = Owner.nextWake())
      Consider(*At);
  return Wake;
}

} // namespace coltsfoottrail
