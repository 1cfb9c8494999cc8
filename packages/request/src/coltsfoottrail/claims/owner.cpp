#include "coltsfoottrail/claims/owner.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace coltsfoottrail {

namespace {

/// A read from this offset returns no entries but the horizon.
constexpr Offset ProbeOffset = std::numeric_limits<std::int64_t>::max();
constexpr milliseconds MaxRetryDelay{1000};
constexpr std::size_t MaxTrackedRuns = 100'000;
constexpr std::size_t ItemBytes = 160;
/// Largest number of appends of one claim that end without a decision, for
/// example because another claim of the key was given up just after it.
constexpr std::uint32_t MaxAppends = 5;

std::size_t sizeOf(const AcquireClaim &Message) {
  return ItemBytes + Message.Request.ScopedKey.Key.size() +
         Message.Request.BodyDigest.size();
}

std::size_t sizeOf(const ClaimSettle &Message) {
  const auto *const Outcome = std::get_if<StoredOutcome>(&Message.Result);
  return ItemBytes + Message.ScopedKey.Key.size() +
         (Outcome == nullptr ? 0 : Outcome->Body.size());
}

milliseconds nextDelay(milliseconds Last, milliseconds First) {
  return std::min(MaxRetryDelay, std::max(First, Last * 2));
}

void answer(const HostName &To, const AcquireClaim &Message,
            ClaimDecision Decision, ClaimCommands &Commands) {
  Commands.emplace_back(
      ClaimSend{To, ClaimAnswer{Message.Id, Message.Request.ScopedKey,
                                std::move(Decision)}});
}

void answer(const HostName &To, const ClaimQuery &Message,
            ClaimDecision Decision, ClaimCommands &Commands) {
  Commands.emplace_back(ClaimSend{
      To, ClaimAnswer{Message.Id, Message.ScopedKey, std::move(Decision)}});
}

/// Whether no later record can change a decision. While a key is held or its
/// outcome is unknown, its claimant may still settle it.
bool isFinal(const ClaimDecision &Decision) {
  return !std::holds_alternative<ClaimInProgress>(Decision) &&
         !std::holds_alternative<ClaimMayHaveRun>(Decision);
}

struct StandingVisitor {
  const LedgerEntry &Entry;
  bool ClaimantGone;
  Offset ReadUpTo;

  ClaimDecision operator()(const ClaimHeld &) const {
    if (ClaimantGone)
      return ClaimMayHaveRun{};
    return ClaimInProgress{Entry.Claimant, Entry.Fence, ReadUpTo};
  }
  ClaimDecision operator()(const ReleaseClaim &) const { return ClaimNotRun{}; }
  ClaimDecision operator()(const OutcomeUnknown &) const {
    return ClaimMayHaveRun{};
  }
  ClaimDecision operator()(const StoredOutcome &Outcome) const {
    return ClaimReplay{Outcome};
  }
};

} // namespace

void ClaimantWatch::setMembers(std::span<const ClaimMember> Joined) {
  std::set<Incarnation> Now;
  for (const ClaimMember &Member : Joined)
    Now.insert(Member.Run);
  for (const Incarnation Run : Present)
    if (!Now.contains(Run))
      DepartedHosts.insert(Run);
  while (DepartedHosts.size() > MaxTrackedRuns)
    DepartedHosts.erase(DepartedHosts.begin());
  Present = std::move(Now);
}

bool ClaimantWatch::isGone(Incarnation Run, TimePoint Now) {
  if (Present.contains(Run))
    return false;
  if (DepartedHosts.contains(Run))
    return true;
  // Failure guarded against: this host's view of the members is stale, and a
  // claimant that has just joined would be considered gone while it is running.
  // The grace period allows the view to catch up.
  if (UnknownSince.size() > MaxTrackedRuns)
    UnknownSince.clear();
  const TimePoint Since = UnknownSince.try_emplace(Run, Now).first->second;
  return Now - Since >= Grace;
}

ClaimOwner::ClaimOwner(ClaimPartition OwnedPartition,
                       const ClaimOptions &Configured, ClaimantWatch &Claimants)
    : Partition(OwnedPartition), Options(Configured), Watch(Claimants) {}

bool ClaimOwner::idle() const noexcept {
  return Claims.empty() && Settlements.empty() && Queries.empty() &&
         Contended.empty() && !InProgress && !ReadToken;
}

void ClaimOwner::close() {
  if (!idle())
    return;
  Ledger.restart(0);
  CaughtUp = false;
  ProbingHorizon = false;
  ReadRequested = false;
  ReadRetryAt.reset();
}

ClaimDecision ClaimOwner::decisionFor(const LedgerEntry &Entry, TimePoint Now) {
  const bool IsHeld = std::holds_alternative<ClaimHeld>(Entry.Standing);
  const bool IsGone = IsHeld && Watch.isGone(Entry.Holder.Run, Now);
  return std::visit(StandingVisitor{Entry, IsGone, Ledger.next()},
                    Entry.Standing);
}

std::optional<ClaimDecision> ClaimOwner::decide(const AcquireClaim &Message,
                                                TimePoint Now) {
  if (Ledger.expired(Message.Request.Birth))
    return ClaimKeyExpired{};
  const LedgerEntry *const Entry = Ledger.find(Message.Request.ScopedKey);
  if (Entry == nullptr)
    return std::nullopt;
  if (std::holds_alternative<ReleaseClaim>(Entry->Standing)) {
    const auto &GivenUp = Entry->GivenUp;
    if (std::find(GivenUp.begin(), GivenUp.end(), Message.Id) != GivenUp.end())
      return ClaimNotRun{};
    return std::nullopt;
  }
  if (Entry->BodyDigest != Message.Request.BodyDigest)
    return ClaimBodyDiffers{};
  if (Entry->Holder == Message.Id &&
      std::holds_alternative<ClaimHeld>(Entry->Standing))
    return ClaimGranted{Entry->Fence};
  return decisionFor(*Entry, Now);
}

ClaimDecision ClaimOwner::decideQuery(const ClaimQuery &Message,
                                      TimePoint Now) {
  const LedgerEntry *const Entry = Ledger.find(Message.ScopedKey);
  if (Entry != nullptr)
    return decisionFor(*Entry, Now);
  if (Ledger.expired(birthOfKey(Message.ScopedKey.Key)))
    return ClaimKeyExpired{};
  return ClaimNotKnown{};
}

bool ClaimOwner::isSettled(const ClaimSettle &Message) const {
  const LedgerEntry *const Entry = Ledger.find(Message.ScopedKey);
  if (Entry == nullptr)
    return false;
  if (std::holds_alternative<ReleaseClaim>(Message.Result))
    return std::find(Entry->GivenUp.begin(), Entry->GivenUp.end(),
                     Message.Id) != Entry->GivenUp.end();
  if (Entry->Holder != Message.Id)
    return false;
  if (std::holds_alternative<StoredOutcome>(Message.Result))
    return std::holds_alternative<StoredOutcome>(Entry->Standing);
  return !std::holds_alternative<ClaimHeld>(Entry->Standing);
}

void ClaimOwner::enqueue(Queued Item, ClaimTime Time) {
  if (Queue.empty())
    FirstQueued = Time.Now;
  QueueBytes += Item.Bytes;
  Queue.push_back(Item);
}

void ClaimOwner::claim(const HostName &From, const AcquireClaim &Message,
                       ClaimTime Time, ClaimCommands &Commands) {
  LastUsed = Time.Now;
  open(Time, Commands);
  const TimePoint Deadline = Time.Now + Message.Budget;
  const auto Existing = Claims.find(Message.Id);
  if (Existing != Claims.end()) {
    Existing->second.From = From;
    Existing->second.Deadline = std::max(Existing->second.Deadline, Deadline);
    return;
  }
  if (CaughtUp) {
    if (std::optional<ClaimDecision> Decision = decide(Message, Time.Now)) {
      if (isFinal(*Decision) || Contended.size() >= Options.MaxWaiting)
        answer(From, Message, *std::move(Decision), Commands);
      else
        awaitRead(From, Message, Time, Commands);
      return;
    }
  }
  if (Claims.size() >= Options.MaxWaiting ||
      Ledger.bytes() >= Options.MaxLedgerBytes) {
    answer(From, Message, ClaimUnavailable{}, Commands);
    return;
  }
  Claims.emplace(Message.Id, WaitingClaim{From, Message, Deadline});
  enqueue(Queued{false, Message.Id, sizeOf(Message)}, Time);
  appendIfDue(Time, Commands);
}

void ClaimOwner::settle(const HostName &From, const ClaimSettle &Message,
                        ClaimTime Time, ClaimCommands &Commands) {
  LastUsed = Time.Now;
  open(Time, Commands);
  const auto Existing = Settlements.find(Message.Id);
  if (Existing != Settlements.end()) {
    Existing->second.From = From;
    return;
  }
  if (CaughtUp && isSettled(Message)) {
    Commands.emplace_back(ClaimSend{From, ClaimSettled{Message.Id}});
    return;
  }
  // Dropped if the queue is full: the claimant sends it again.
  if (Settlements.size() >= Options.MaxWaiting)
    return;
  Settlements.emplace(Message.Id, WaitingSettlement{From, Message});
  enqueue(Queued{true, Message.Id, sizeOf(Message)}, Time);
  appendIfDue(Time, Commands);
}

void ClaimOwner::query(const HostName &From, const ClaimQuery &Message,
                       ClaimTime Time, ClaimCommands &Commands) {
  LastUsed = Time.Now;
  for (const WaitingQuery &Waiting : Queries)
    if (Waiting.Message.Id == Message.Id)
      return;
  if (Queries.size() >= Options.MaxWaiting) {
    answer(From, Message, ClaimUnavailable{}, Commands);
    return;
  }
  // Failure guarded against: a query answered from a stale ledger would say
  // "not known" of a running request. Only reads sent from now on are used.
  Queries.push_back(WaitingQuery{From, Message, NextToken});
  readAgain(Commands);
}

void ClaimOwner::readAgain(ClaimCommands &Commands) {
  if (ReadToken)
    ReadRequested = true;
  else if (!ReadRetryAt)
    startRead(Ledger.next(), Commands);
}

// Failure guarded against: this ledger was read while a claim was held, another
// owner has appended the claim's outcome, and nothing here reads again. A
// repeated request would be refused as in progress although its outcome is
// stored.
void ClaimOwner::awaitRead(const HostName &From, const AcquireClaim &Message,
                           ClaimTime Time, ClaimCommands &Commands) {
  for (ContendedClaim &Existing : Contended)
    if (Existing.Message.Id == Message.Id) {
      Existing.From = From;
      return;
    }
  Contended.push_back(
      ContendedClaim{From, Message, Time.Now + Message.Budget, NextToken});
  readAgain(Commands);
}

/// Decides the contended claims that waited for this read.
void ClaimOwner::decideContended(std::uint64_t Token, ClaimTime Time,
                                 ClaimCommands &Commands) {
  const auto FirstDue = std::stable_partition(
      Contended.begin(), Contended.end(), [Token](const ContendedClaim &Claim) {
        return Claim.MinReadToken > Token;
      });
  std::vector<ContendedClaim> Due(std::make_move_iterator(FirstDue),
                                  std::make_move_iterator(Contended.end()));
  Contended.erase(FirstDue, Contended.end());
  for (ContendedClaim &Claim : Due) {
    if (std::optional<ClaimDecision> Decision =
            decide(Claim.Message, Time.Now)) {
      answer(Claim.From, Claim.Message, *std::move(Decision), Commands);
      continue;
    }
    Claim.Message.Budget = std::chrono::duration_cast<milliseconds>(
        std::max(Duration::zero(), Claim.Deadline - Time.Now));
    claim(Claim.From, Claim.Message, Time, Commands);
  }
}

void ClaimOwner::open(ClaimTime Time, ClaimCommands &Commands) {
  LastUsed = std::max(LastUsed, Time.Now);
  if (!CaughtUp && !ReadToken && !ReadRetryAt)
    startRead(Ledger.next(), Commands);
}

std::optional<TimePoint> ClaimOwner::batchDue() const {
  if (!CaughtUp || InProgress || Queue.empty())
    return std::nullopt;
  TimePoint Due = FirstQueued;
  if (QueueBytes < Options.MaxBatchBytes)
    Due += Options.BatchDelay;
  return std::max(Due, LastAppend + Options.MinAppendInterval);
}

std::vector<ClaimItem> ClaimOwner::dequeueItems(ClaimTime Time,
                                                std::vector<Queued> &Batched,
                                                ClaimCommands &Commands) {
  std::vector<ClaimItem> Items;
  std::size_t Bytes = 0;
  while (!Queue.empty() && Bytes < Options.MaxBatchBytes) {
    const Queued Item = Queue.front();
    Queue.pop_front();
    QueueBytes -= Item.Bytes;
    if (Item.IsSettlement) {
      const ClaimSettle &Message = Settlements.at(Item.Id).Message;
      Items.emplace_back(
          ClaimEnded{Message.Id, Message.ScopedKey, Message.Result});
      Batched.push_back(Item);
      Bytes += Item.Bytes;
      continue;
    }
    const auto Found = Claims.find(Item.Id);
    if (Found == Claims.end())
      continue;
    WaitingClaim &Waiting = Found->second;
    std::optional<ClaimDecision> Decision = decide(Waiting.Message, Time.Now);
    if (!Decision && Waiting.Appends >= MaxAppends)
      Decision = ClaimUnavailable{};
    if (Decision) {
      answer(Waiting.From, Waiting.Message, *std::move(Decision), Commands);
      Claims.erase(Found);
      continue;
    }
    if (Waiting.Deadline < Time.Now) {
      Claims.erase(Found);
      continue;
    }
    ++Waiting.Appends;
    Items.emplace_back(
        ClaimMade{Item.Id, Waiting.Message.Claimant, Waiting.Message.Request});
    Batched.push_back(Item);
    Bytes += Item.Bytes;
  }
  FirstQueued = Time.Now;
  return Items;
}

void ClaimOwner::appendIfDue(ClaimTime Time, ClaimCommands &Commands) {
  const std::optional<TimePoint> Due = batchDue();
  if (!Due || *Due > Time.Now)
    return;
  Append Next;
  ClaimBatch Batch;
  Batch.Items = dequeueItems(Time, Next.Items, Commands);
  if (Batch.Items.empty())
    return;
  Batch.Writer = WriterId{Options.Run, NextSequence++};
  Batch.Stamp = Time.Wall;
  Batch.Life = static_cast<std::uint64_t>(Options.KeyLife.count());
  Next.Payload = encodeBatch(Batch);
  Next.Token = NextToken++;
  LastAppend = Time.Now;
  Commands.emplace_back(ClaimAppend{Partition, Next.Payload, Next.Token});
  InProgress = std::move(Next);
}

void ClaimOwner::appended(std::uint64_t Token, const AppendResult &Result,
                          ClaimTime Time, ClaimCommands &Commands) {
  if (!InProgress || InProgress->Token != Token || InProgress->RetryAt ||
      InProgress->At)
    return;
  const auto *const At = std::get_if<Offset>(&Result);
  if (At == nullptr) {
    handleAppendFailure(Time, Commands);
    return;
  }
  if (*At == Ledger.next())
    Ledger.fold(*At, InProgress->Payload);
  if (*At < Ledger.next()) {
    completeAppend(Time, Commands);
    return;
  }
  InProgress->At = *At;
  if (!ReadToken && !ReadRetryAt)
    startRead(Ledger.next(), Commands);
}

void ClaimOwner::handleAppendFailure(ClaimTime Time, ClaimCommands &Commands) {
  // Failure guarded against: the append took effect and its result was lost.
  // The same bytes with the same writer id are appended again, so every ledger
  // ignores the copy. The claimants are notified, so that they can try a host
  // that reaches the log.
  InProgress->Delay = nextDelay(InProgress->Delay, Options.RetryDelay);
  InProgress->RetryAt = Time.Now + InProgress->Delay;
  for (const Queued &Item : InProgress->Items) {
    const auto Found = Claims.find(Item.Id);
    if (!Item.IsSettlement && Found != Claims.end())
      answer(Found->second.From, Found->second.Message, ClaimUnavailable{},
             Commands);
  }
}

void ClaimOwner::completeAppend(ClaimTime Time, ClaimCommands &Commands) {
  const std::vector<Queued> Items = std::move(InProgress->Items);
  InProgress.reset();
  for (const Queued &Item : Items) {
    if (Item.IsSettlement) {
      const auto Found = Settlements.find(Item.Id);
      Commands.emplace_back(
          ClaimSend{Found->second.From, ClaimSettled{Item.Id}});
      Settlements.erase(Found);
      continue;
    }
    const auto Found = Claims.find(Item.Id);
    if (Found == Claims.end())
      continue;
    WaitingClaim &Waiting = Found->second;
    if (std::optional<ClaimDecision> Decision =
            decide(Waiting.Message, Time.Now)) {
      answer(Waiting.From, Waiting.Message, *std::move(Decision), Commands);
      Claims.erase(Found);
    } else {
      enqueue(Item, Time);
    }
  }
  appendIfDue(Time, Commands);
}

void ClaimOwner::startRead(Offset From, ClaimCommands &Commands) {
  ReadRetryAt.reset();
  ReadRequested = false;
  ReadToken = NextToken++;
  Commands.emplace_back(
      ClaimRead{Partition, ProbingHorizon ? ProbeOffset : From, *ReadToken});
}

void ClaimOwner::read(std::uint64_t Token, const ReadResult &Result,
                      ClaimTime Time, ClaimCommands &Commands) {
  if (ReadToken != Token)
    return;
  ReadToken.reset();
  if (const auto *const Failure = std::get_if<LogFailure>(&Result)) {
    handleReadFailure(*Failure, Time, Commands);
    return;
  }
  const LogBatch &Batch = std::get<LogBatch>(Result);
  ReadDelay = milliseconds{0};
  if (ProbingHorizon) {
    ProbingHorizon = false;
    Ledger.restart(Batch.Horizon);
    startRead(Batch.Horizon, Commands);
    return;
  }
  foldEntries(Batch, Time, Commands);
  // Failure guarded against: a lagging replica of the log returns an end before
  // what was already read. Such a read proves nothing and is repeated.
  if (Batch.End < Ledger.next() && Batch.Entries.empty()) {
    handleReadFailure(LogFailure::NotDone, Time, Commands);
    return;
  }
  if (Ledger.next() < Batch.End) {
    startRead(Ledger.next(), Commands);
    return;
  }
  handleCaughtUp(Token, Time, Commands);
}

void ClaimOwner::foldEntries(const LogBatch &Batch, ClaimTime Time,
                             ClaimCommands &Commands) {
  for (const LogEntry &Entry : Batch.Entries)
    if (Entry.At == Ledger.next())
      Ledger.fold(Entry.At, Entry.Payload);
  if (InProgress && InProgress->At && *InProgress->At < Ledger.next())
    completeAppend(Time, Commands);
}

void ClaimOwner::handleCaughtUp(std::uint64_t Token, ClaimTime Time,
                                ClaimCommands &Commands) {
  CaughtUp = true;
  std::vector<WaitingQuery> StillWaiting;
  for (WaitingQuery &Waiting : Queries) {
    if (Waiting.MinReadToken > Token) {
      StillWaiting.push_back(std::move(Waiting));
      continue;
    }
    answer(Waiting.From, Waiting.Message,
           decideQuery(Waiting.Message, Time.Now), Commands);
  }
  Queries = std::move(StillWaiting);
  decideContended(Token, Time, Commands);
  if (!Queries.empty() || !Contended.empty() || ReadRequested)
    startRead(Ledger.next(), Commands);
  appendIfDue(Time, Commands);
}

void ClaimOwner::handleReadFailure(LogFailure Failure, ClaimTime Time,
                                   ClaimCommands &Commands) {
  if (Failure == LogFailure::Trimmed) {
    // Failure guarded against: this host was suspended or cut off for longer
    // than the log's retention, so its ledger has a gap. All records in the gap
    // are older than the lifetime of a key: restart at the horizon.
    CaughtUp = false;
    ProbingHorizon = true;
    startRead(ProbeOffset, Commands);
    return;
  }
  ReadDelay = nextDelay(ReadDelay, Options.RetryDelay);
  ReadRetryAt = Time.Now + ReadDelay;
  for (const WaitingQuery &Waiting : Queries)
    answer(Waiting.From, Waiting.Message, ClaimUnavailable{}, Commands);
  Queries.clear();
  // The last successful read shows the key as held; answer from that.
  decideContended(NextToken, Time, Commands);
  if (CaughtUp)
    return;
  for (const auto &[Id, Waiting] : Claims)
    answer(Waiting.From, Waiting.Message, ClaimUnavailable{}, Commands);
}

void ClaimOwner::advance(ClaimTime Time, ClaimCommands &Commands) {
  if (ReadRetryAt && *ReadRetryAt <= Time.Now)
    startRead(Ledger.next(), Commands);
  if (InProgress && InProgress->RetryAt && *InProgress->RetryAt <= Time.Now) {
    InProgress->RetryAt.reset();
    InProgress->Token = NextToken++;
    LastAppend = Time.Now;
    Commands.emplace_back(
        ClaimAppend{Partition, InProgress->Payload, InProgress->Token});
  }
  appendIfDue(Time, Commands);
}

std::optional<TimePoint> ClaimOwner::nextWake() const {
  std::optional<TimePoint> Wake = batchDue();
  const auto Consider = [&Wake](const std::optional<TimePoint> &At) {
    if (At && (!Wake || *At < *Wake))
      Wake = At;
  };
  Consider(ReadRetryAt);
  if (InProgress)
    Consider(InProgress->RetryAt);
  return Wake;
}

} // namespace coltsfoottrail
