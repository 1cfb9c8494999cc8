#include "coltsfoottrail/claims/service.hpp"

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Hosts in the order of their weights that are asked for a partition.
constexpr std::size_t RankedCandidates = 3;
constexpr std::size_t SettlingItemBytes = 256;
constexpr milliseconds MaxSettleDelay{10'000};
constexpr seconds PeerWallLife{600};
constexpr std::size_t MaxDigestBytes = 4096;

std::vector<HostName> rank(ClaimPartition Partition,
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
  const Duration Left = std::max(Duration::zero(), Deadline - Now);
  return std::chrono::duration_cast<milliseconds>(Left);
}

bool isPrintable(std::string_view Text) {
  constexpr char First = ' ';
  constexpr char Last = '~';
  return std::all_of(Text.begin(), Text.end(), [](char Letter) {
    return Letter >= First && Letter <= Last;
  });
}

Settlement trimmed(Settlement How, bool KeepBody) {
  auto *const Outcome = std::get_if<StoredOutcome>(&How);
  if (Outcome == nullptr)
    return How;
  if (!isPrintable(Outcome->ContentType))
    Outcome->ContentType.clear();
  if (KeepBody && Outcome->Body.size() <= MaxOutcomeBytes)
    return How;
  Outcome->Body.clear();
  Outcome->BodyKept = false;
  return How;
}

std::size_t bodyBytes(const Settlement &How) {
  const auto *const Outcome = std::get_if<StoredOutcome>(&How);
  return Outcome == nullptr ? 0 : Outcome->Body.size();
}

} // namespace

ClaimService::ClaimService(ClaimOptions Limits)
    : Options(std::move(Limits)), Watch(Options.UnknownClaimantGrace) {
  const ClaimMember Self{Options.Self, Options.Run};
  Watch.members(std::span(&Self, 1));
  for (ClaimPartition Which = 0; Which < ClaimPartitions; ++Which) {
    Owners.emplace_back(Which, Options, Watch);
    Candidates.push_back({Options.Self});
  }
}

void ClaimService::checkKey(const ClaimKey &What) const {
  if (What.Team.empty())
    throw Error("claims: a key needs a team");
  if (What.Key.empty() || What.Key.size() > MaxClaimKeyBytes)
    throw Error("claims: a key has 1 to " + std::to_string(MaxClaimKeyBytes) +
                " bytes, not " + std::to_string(What.Key.size()));
  if (!isPrintable(What.Key))
    throw Error("claims: a key holds printable ASCII characters only");
}

ClaimId ClaimService::claim(ClaimRequest Request, TimePoint Deadline,
                            ClaimTime Time, ClaimCommands &Out) {
  checkKey(Request.ScopedKey);
  if (Request.BodyDigest.empty() || Request.BodyDigest.size() > MaxDigestBytes)
    throw Error("claims: a claim needs the digest of its body");
  const ClaimId Id{Options.Run, NextSequence++};
  OpenAsk Asked;
  Asked.Partition = partitionOf(Request.ScopedKey);
  // Failure guarded against: a claimant that gets its grant when the ledgers
  // have forgotten the claim would run beside its own retry. The grant ends
  // long before the claim's record can expire.
  Asked.Deadline =
      std::min<TimePoint>(Deadline, Time.Now + Options.KeyLife / 2);
  Asked.SinceWall = Time.Wall;
  Asked.Message =
      AcquireClaim{Id, Options.Self, std::move(Request), Time.Wall, {}};
  send(Open.emplace(Id, std::move(Asked)).first->second, Time, Out);
  deliverLocal(Time, Out);
  return Id;
}

ClaimId ClaimService::query(ClaimKey What, TimePoint Deadline, ClaimTime Time,
                            ClaimCommands &Out) {
  checkKey(What);
  const ClaimId Id{Options.Run, NextSequence++};
  OpenAsk Asked;
  Asked.Partition = partitionOf(What);
  Asked.Deadline = Deadline;
  Asked.SinceWall = Time.Wall;
  Asked.Message = ClaimQuery{Id, std::move(What)};
  send(Open.emplace(Id, std::move(Asked)).first->second, Time, Out);
  deliverLocal(Time, Out);
  return Id;
}

void ClaimService::giveUp(ClaimId Id, ClaimTime Time, ClaimCommands &Out) {
  const auto Found = Open.find(Id);
  if (Found == Open.end())
    return;
  const ClaimMessage Message = std::move(Found->second.Message);
  Open.erase(Found);
  if (const auto *const Ask = std::get_if<AcquireClaim>(&Message))
    startSettling(ClaimSettle{Id, Ask->Request.ScopedKey, ReleaseClaim{}}, Time,
                  Out);
  deliverLocal(Time, Out);
}

void ClaimService::settle(ClaimId Id, Settlement How, ClaimTime Time,
                          ClaimCommands &Out) {
  const auto Found = Granted.find(Id);
  if (Found == Granted.end())
    return;
  ClaimSettle Message{Id, std::move(Found->second), std::move(How)};
  Granted.erase(Found);
  startSettling(std::move(Message), Time, Out);
  deliverLocal(Time, Out);
}

void ClaimService::startSettling(ClaimSettle Message, ClaimTime Time,
                                 ClaimCommands &Out) {
  // Bounded memory while the log is down: first bodies go, then settlements;
  // a key whose settlement was dropped reads as in progress until this run
  // ends, and as "may have run" from then on.
  if (SettlingBytes >= 2 * Options.MaxSettlingBytes) {
    Forgot = true;
    return;
  }
  const bool KeepBody =
      SettlingBytes + bodyBytes(Message.Result) <= Options.MaxSettlingBytes;
  Message.Result = trimmed(std::move(Message.Result), KeepBody);
  Settling Ended;
  Ended.Partition = partitionOf(Message.ScopedKey);
  Ended.ForgetAt = Time.Now + Options.KeyLife / 2;
  Ended.Bytes = SettlingItemBytes + bodyBytes(Message.Result);
  const ClaimId Id = Message.Id;
  Ended.Message = std::move(Message);
  const auto [Place, Added] = Settlings.emplace(Id, std::move(Ended));
  if (!Added)
    return;
  SettlingBytes += Place->second.Bytes;
  send(Place->second, Time, Out);
}

const HostName &ClaimService::candidate(ClaimPartition Partition,
                                        std::size_t Index) const {
  const std::vector<HostName> &Ranked = Candidates[Partition];
  return Ranked[Index % Ranked.size()];
}

void ClaimService::send(OpenAsk &Asked, ClaimTime Time, ClaimCommands &Out) {
  if (auto *const Ask = std::get_if<AcquireClaim>(&Asked.Message)) {
    Ask->Wall = Time.Wall;
    Ask->Budget = remaining(Asked.Deadline, Time.Now);
  }
  Asked.RetryAt = Time.Now + Options.AskTimeout;
  ++Asked.Sends;
  Out.emplace_back(
      ClaimSend{candidate(Asked.Partition, Asked.Candidate), Asked.Message});
}

void ClaimService::send(Settling &Ended, ClaimTime Time, ClaimCommands &Out) {
  Ended.Delay = std::min(MaxSettleDelay,
                         std::max(Options.AskTimeout * 2, Ended.Delay * 2));
  Ended.RetryAt = Time.Now + Ended.Delay;
  Out.emplace_back(
      ClaimSend{candidate(Ended.Partition, Ended.Candidate), Ended.Message});
}

void ClaimService::received(const HostName &From, const ClaimMessage &Message,
                            ClaimTime Time, ClaimCommands &Out) {
  takeIn(From, Message, Time, Out);
  deliverLocal(Time, Out);
}

void ClaimService::takeIn(const HostName &From, const ClaimMessage &Message,
                          ClaimTime Time, ClaimCommands &Out) {
  std::visit([&](const auto &Kind) { handle(From, Kind, Time, Out); }, Message);
}

void ClaimService::deliverLocal(ClaimTime Time, ClaimCommands &Out) {
  // Messages to this host itself are taken in here, so that the wiring sends
  // only to peers. Taking one in may add more behind it.
  for (std::size_t Index = 0; Index < Out.size(); ++Index) {
    auto *const Sent = std::get_if<ClaimSend>(&Out[Index]);
    if (Sent == nullptr || Sent->To != Options.Self)
      continue;
    const ClaimMessage Message = std::move(Sent->Message);
    Sent->To = HostName();
    takeIn(Options.Self, Message, Time, Out);
  }
  std::erase_if(Out, [](const ClaimCommand &Given) {
    const auto *const Sent = std::get_if<ClaimSend>(&Given);
    return Sent != nullptr && Sent->To.empty();
  });
}

void ClaimService::handle(const HostName &From, const AcquireClaim &Message,
                          ClaimTime Time, ClaimCommands &Out) {
  if (From != Options.Self)
    takeWall(Message, Time.Now);
  Owners[partitionOf(Message.Request.ScopedKey)].ask(From, Message,
                                                     bounded(Time), Out);
}

void ClaimService::handle(const HostName &From, const ClaimSettle &Message,
                          ClaimTime Time, ClaimCommands &Out) {
  Owners[partitionOf(Message.ScopedKey)].settle(From, Message, bounded(Time),
                                                Out);
}

void ClaimService::handle(const HostName &From, const ClaimQuery &Message,
                          ClaimTime Time, ClaimCommands &Out) {
  Owners[partitionOf(Message.ScopedKey)].query(From, Message, bounded(Time),
                                               Out);
}

void ClaimService::handle(const HostName &From, const ClaimAnswer &Message,
                          ClaimTime Time, ClaimCommands &Out) {
  if (Message.Id.Run != Options.Run)
    return;
  const auto Found = Open.find(Message.Id);
  if (Found == Open.end()) {
    releaseOrphan(Message, Time, Out);
    return;
  }
  OpenAsk &Asked = Found->second;
  if (!std::holds_alternative<ClaimUnavailable>(Message.Decision)) {
    decide(Message.Id, Message.Decision, Time, Out);
    return;
  }
  if (candidate(Asked.Partition, Asked.Candidate) != From)
    return;
  ++Asked.Candidate;
  const bool Fresh = Asked.Candidate % Candidates[Asked.Partition].size() != 0;
  if (Fresh)
    send(Asked, Time, Out);
}

void ClaimService::releaseOrphan(const ClaimAnswer &Message, ClaimTime Time,
                                 ClaimCommands &Out) {
  // Failure guarded against: an ask that was refused comes to an owner once
  // more when the key has become free. Its claim then holds the key and nobody
  // waits for it. It was not sent, as it is not among the granted, so it is
  // given up; a claim that has ended keeps its end, whatever is released. Once
  // a settlement has been dropped, that is no longer sure.
  const bool Orphan = std::holds_alternative<ClaimGranted>(Message.Decision) &&
                      !Forgot && !Granted.contains(Message.Id) &&
                      !Settlings.contains(Message.Id);
  if (Orphan)
    startSettling(ClaimSettle{Message.Id, Message.ScopedKey, ReleaseClaim{}},
                  Time, Out);
}

void ClaimService::handle(const HostName & /*From*/,
                          const ClaimSettled &Message, ClaimTime /*Time*/,
                          ClaimCommands & /*Out*/) {
  const auto Found = Settlings.find(Message.Id);
  if (Found == Settlings.end())
    return;
  SettlingBytes -= Found->second.Bytes;
  Settlings.erase(Found);
}

void ClaimService::decide(ClaimId Id, ClaimDecision Decision, ClaimTime Time,
                          ClaimCommands &Out) {
  const auto Found = Open.find(Id);
  const OpenAsk Asked = std::move(Found->second);
  if (Time.Now >= Asked.Deadline &&
      !std::holds_alternative<ClaimUnavailable>(Decision)) {
    Found->second = Asked;
    refuseLate(Id, Time, Out);
    return;
  }
  Open.erase(Found);
  if (const auto *const Ask = std::get_if<AcquireClaim>(&Asked.Message)) {
    if (std::holds_alternative<ClaimGranted>(Decision))
      Granted.emplace(Id, Ask->Request.ScopedKey);
    else if (Asked.Sends > 1 ||
             std::holds_alternative<ClaimUnavailable>(Decision))
      // Failure guarded against: the ask also lies with another owner, which
      // appends it when the key is free again; the key would then be held by a
      // claim that nobody waits for. The release stands on the log and voids
      // it, whether it comes before or after.
      startSettling(ClaimSettle{Id, Ask->Request.ScopedKey, ReleaseClaim{}},
                    Time, Out);
  }
  Out.emplace_back(DeliverDecision{Id, std::move(Decision), Asked.Deadline});
}

void ClaimService::refuseLate(ClaimId Id, ClaimTime Time, ClaimCommands &Out) {
  const OpenAsk &Asked = Open.at(Id);
  bool Earlier = false;
  if (const auto *const Ask = std::get_if<AcquireClaim>(&Asked.Message)) {
    const auto Skew = static_cast<std::uint64_t>(MaxClockSkew.count());
    const std::optional<std::uint64_t> &Birth = Ask->Request.Birth;
    Earlier = Birth && *Birth + Skew < Asked.SinceWall;
  }
  decide(Id, ClaimUnavailable{Earlier}, Time, Out);
}

void ClaimService::takeWall(const AcquireClaim &Message, TimePoint Now) {
  const auto Elapsed =
      std::chrono::duration_cast<seconds>(Now - PeerWallAt).count();
  const bool Old = Now - PeerWallAt > PeerWallLife;
  if (!Old && Message.Wall < PeerWall + static_cast<std::uint64_t>(Elapsed))
    return;
  PeerWall = Message.Wall;
  PeerWallAt = Now;
}

ClaimTime ClaimService::bounded(ClaimTime Time) const {
  // Failure guarded against: this host's wall clock is far ahead. Its stamp
  // would make every ledger forget all keys at once, and retries would run
  // again. The peers' clocks bound it.
  if (PeerWall == 0 || Time.Now - PeerWallAt > PeerWallLife)
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
                            ClaimCommands &Out) {
  Owners.at(Partition).appended(Token, Result, bounded(Time), Out);
  deliverLocal(Time, Out);
}

void ClaimService::read(ClaimPartition Partition, std::uint64_t Token,
                        const ReadResult &Result, ClaimTime Time,
                        ClaimCommands &Out) {
  Owners.at(Partition).read(Token, Result, bounded(Time), Out);
  deliverLocal(Time, Out);
}

void ClaimService::setMembers(std::span<const ClaimMember> Joined,
                              ClaimTime Time, ClaimCommands &Out) {
  Watch.members(Joined);
  for (ClaimPartition Which = 0; Which < ClaimPartitions; ++Which) {
    std::vector<HostName> Ranked = rank(Which, Joined, Options.Self);
    if (Ranked.front() == Options.Self)
      Owners[Which].open(Time, Out);
    if (Ranked == Candidates[Which])
      continue;
    Candidates[Which] = std::move(Ranked);
    for (auto &[Id, Asked] : Open)
      if (Asked.Partition == Which) {
        Asked.Candidate = 0;
        send(Asked, Time, Out);
      }
    for (auto &[Id, Ended] : Settlings)
      if (Ended.Partition == Which)
        Ended.Candidate = 0;
  }
  advance(Time, Out);
}

void ClaimService::advance(ClaimTime Time, ClaimCommands &Out) {
  std::vector<ClaimId> Late;
  for (auto &[Id, Asked] : Open) {
    if (Asked.Deadline <= Time.Now) {
      Late.push_back(Id);
    } else if (Asked.RetryAt <= Time.Now) {
      ++Asked.Candidate;
      send(Asked, Time, Out);
    }
  }
  for (const ClaimId Id : Late)
    refuseLate(Id, Time, Out);
  for (auto &[Id, Ended] : Settlings)
    if (Ended.RetryAt <= Time.Now) {
      ++Ended.Candidate;
      send(Ended, Time, Out);
    }
  std::erase_if(Settlings, [&](const auto &Entry) {
    if (Entry.second.ForgetAt > Time.Now)
      return false;
    SettlingBytes -= Entry.second.Bytes;
    Forgot = true;
    return true;
  });
  for (ClaimPartition Which = 0; Which < ClaimPartitions; ++Which) {
    ClaimOwner &Owned = Owners[Which];
    Owned.advance(bounded(Time), Out);
    if (candidate(Which, 0) != Options.Self &&
        Time.Now - Owned.lastUsed() > Options.CloseAfter)
      Owned.close();
  }
  deliverLocal(Time, Out);
}

std::optional<TimePoint> ClaimService::nextWake() const {
  std::optional<TimePoint> Wake;
  const auto Consider = [&Wake](TimePoint At) {
    if (!Wake || At < *Wake)
      Wake = At;
  };
  for (const auto &[Id, Asked] : Open)
    Consider(std::min(Asked.RetryAt, Asked.Deadline));
  for (const auto &[Id, Ended] : Settlings)
    Consider(std::min(Ended.RetryAt, Ended.ForgetAt));
  for (const ClaimOwner &Owned : Owners)
    if (const std::optional<TimePoint> At = Owned.nextWake())
      Consider(*At);
  return Wake;
}

} // namespace coltsfoottrail
