#include "coltsfoottrail/claims/owner.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace coltsfoottrail {

namespace {

/// A read from here finds nothing, but tells the horizon.
constexpr Offset ProbeOffset = std::numeric_limits<std::int64_t>::max();
constexpr milliseconds MaxRetryDelay{1000};
constexpr std::size_t MaxLeftRuns = 100'000;
constexpr std::size_t ItemBytes = 160;
/// Appends of one ask that may end without a decision, as when another claim
/// of the key was given up just after it.
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

void answer(const HostName &To, const AcquireClaim &Asked,
            ClaimDecision Decision, ClaimCommands &Out) {
  Out.emplace_back(ClaimSend{
      To, ClaimAnswer{Asked.Id, Asked.Request.ScopedKey, std::move(Decision)}});
}

void answer(const HostName &To, const ClaimQuery &Asked, ClaimDecision Decision,
            ClaimCommands &Out) {
  Out.emplace_back(ClaimSend{
      To, ClaimAnswer{Asked.Id, Asked.ScopedKey, std::move(Decision)}});
}

/// Whether no later record changes a decision. While a key is held, or its
/// outcome is not known, its claimant may still settle it.
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

void ClaimantWatch::members(std::span<const ClaimMember> Joined) {
  std::set<Incarnation> Now;
  for (const ClaimMember &Member : Joined)
    Now.insert(Member.Run);
  for (const Incarnation Run : Live)
    if (!Now.contains(Run))
      Left.insert(Run);
  while (Left.size() > MaxLeftRuns)
    Left.erase(Left.begin());
  Live = std::move(Now);
}

bool ClaimantWatch::gone(Incarnation Run, TimePoint Now) {
  if (Live.contains(Run))
    return false;
  if (Left.contains(Run))
    return true;
  // Failure guarded against: this host's view of the members is behind, and a
  // claimant that has just joined would be called gone while it works. It is
  // given the time that the view takes to catch up.
  if (Unseen.size() > MaxLeftRuns)
    Unseen.clear();
  const TimePoint Since = Unseen.try_emplace(Run, Now).first->second;
  return Now - Since >= Grace;
}

ClaimOwner::ClaimOwner(ClaimPartition Which, const ClaimOptions &Limits,
                       ClaimantWatch &Claimants)
    : Partition(Which), Options(Limits), Watch(Claimants) {}

bool ClaimOwner::idle() const noexcept {
  return Asks.empty() && Settles.empty() && Queries.empty() &&
         Contended.empty() && !UnderWay && !Reading;
}

void ClaimOwner::close() {
  if (!idle())
    return;
  Ledger.restart(0);
  CaughtUp = false;
  Probing = false;
  ReadAgain = false;
  ReadRetryAt.reset();
}

ClaimDecision ClaimOwner::standingOf(const LedgerEntry &Entry, TimePoint Now) {
  const bool Held = std::holds_alternative<ClaimHeld>(Entry.Standing);
  const bool Gone = Held && Watch.gone(Entry.Holder.Run, Now);
  return std::visit(StandingVisitor{Entry, Gone, Ledger.next()},
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
  return standingOf(*Entry, Now);
}

ClaimDecision ClaimOwner::decideQuery(const ClaimQuery &Message,
                                      TimePoint Now) {
  const LedgerEntry *const Entry = Ledger.find(Message.ScopedKey);
  if (Entry != nullptr)
    return standingOf(*Entry, Now);
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

void ClaimOwner::ask(const HostName &From, const AcquireClaim &Message,
                     ClaimTime Time, ClaimCommands &Out) {
  LastUsed = Time.Now;
  open(Time, Out);
  const TimePoint Until = Time.Now + Message.Budget;
  const auto Known = Asks.find(Message.Id);
  if (Known != Asks.end()) {
    Known->second.From = From;
    Known->second.Until = std::max(Known->second.Until, Until);
    return;
  }
  if (CaughtUp) {
    if (std::optional<ClaimDecision> Decision = decide(Message, Time.Now)) {
      if (isFinal(*Decision) || Contended.size() >= Options.MaxWaiting)
        answer(From, Message, *std::move(Decision), Out);
      else
        confirm(From, Message, Time, Out);
      return;
    }
  }
  if (Asks.size() >= Options.MaxWaiting ||
      Ledger.bytes() >= Options.MaxLedgerBytes) {
    answer(From, Message, ClaimUnavailable{}, Out);
    return;
  }
  Asks.emplace(Message.Id, WaitingAsk{From, Message, Until});
  enqueue(Queued{false, Message.Id, sizeOf(Message)}, Time);
  pump(Time, Out);
}

void ClaimOwner::settle(const HostName &From, const ClaimSettle &Message,
                        ClaimTime Time, ClaimCommands &Out) {
  LastUsed = Time.Now;
  open(Time, Out);
  const auto Known = Settles.find(Message.Id);
  if (Known != Settles.end()) {
    Known->second.From = From;
    return;
  }
  if (CaughtUp && isSettled(Message)) {
    Out.emplace_back(ClaimSend{From, ClaimSettled{Message.Id}});
    return;
  }
  // A full queue drops it: the claimant sends it again.
  if (Settles.size() >= Options.MaxWaiting)
    return;
  Settles.emplace(Message.Id, WaitingSettle{From, Message});
  enqueue(Queued{true, Message.Id, sizeOf(Message)}, Time);
  pump(Time, Out);
}

void ClaimOwner::query(const HostName &From, const ClaimQuery &Message,
                       ClaimTime Time, ClaimCommands &Out) {
  LastUsed = Time.Now;
  for (const WaitingQuery &Waiting : Queries)
    if (Waiting.Message.Id == Message.Id)
      return;
  if (Queries.size() >= Options.MaxWaiting) {
    answer(From, Message, ClaimUnavailable{}, Out);
    return;
  }
  // Failure guarded against: a query answered from an old reading says "not
  // known" of a request that runs. Only a read that leaves from now on counts.
  Queries.push_back(WaitingQuery{From, Message, NextToken});
  readAfresh(Out);
}

void ClaimOwner::readAfresh(ClaimCommands &Out) {
  if (Reading)
    ReadAgain = true;
  else if (!ReadRetryAt)
    startRead(Ledger.next(), Out);
}

// Failure guarded against: this ledger was read while a claim was held, another
// owner appended the claim's outcome, and nothing here reads again: a repeated
// request is refused as in progress although its answer is stored.
void ClaimOwner::confirm(const HostName &From, const AcquireClaim &Message,
                         ClaimTime Time, ClaimCommands &Out) {
  for (ContendedAsk &Known : Contended)
    if (Known.Message.Id == Message.Id) {
      Known.From = From;
      return;
    }
  Contended.push_back(
      ContendedAsk{From, Message, Time.Now + Message.Budget, NextToken});
  readAfresh(Out);
}

/// Decides the asks that a read was started for.
void ClaimOwner::decideContended(std::uint64_t Token, ClaimTime Time,
                                 ClaimCommands &Out) {
  const auto FirstDue = std::stable_partition(
      Contended.begin(), Contended.end(),
      [Token](const ContendedAsk &Ask) { return Ask.FromToken > Token; });
  std::vector<ContendedAsk> Due(std::make_move_iterator(FirstDue),
                                std::make_move_iterator(Contended.end()));
  Contended.erase(FirstDue, Contended.end());
  for (ContendedAsk &Ask : Due) {
    if (std::optional<ClaimDecision> Decision = decide(Ask.Message, Time.Now)) {
      answer(Ask.From, Ask.Message, *std::move(Decision), Out);
      continue;
    }
    Ask.Message.Budget = std::chrono::duration_cast<milliseconds>(
        std::max(Duration::zero(), Ask.Until - Time.Now));
    ask(Ask.From, Ask.Message, Time, Out);
  }
}

void ClaimOwner::open(ClaimTime Time, ClaimCommands &Out) {
  LastUsed = std::max(LastUsed, Time.Now);
  if (!CaughtUp && !Reading && !ReadRetryAt)
    startRead(Ledger.next(), Out);
}

std::optional<TimePoint> ClaimOwner::batchDue() const {
  if (!CaughtUp || UnderWay || Queue.empty())
    return std::nullopt;
  TimePoint Due = FirstQueued;
  if (QueueBytes < Options.MaxBatchBytes)
    Due += Options.BatchDelay;
  return std::max(Due, LastAppend + Options.MinAppendInterval);
}

std::vector<ClaimItem> ClaimOwner::takeItems(ClaimTime Time,
                                             std::vector<Queued> &Taken,
                                             ClaimCommands &Out) {
  std::vector<ClaimItem> Items;
  std::size_t Bytes = 0;
  while (!Queue.empty() && Bytes < Options.MaxBatchBytes) {
    const Queued Item = Queue.front();
    Queue.pop_front();
    QueueBytes -= Item.Bytes;
    if (Item.Settles) {
      const ClaimSettle &Message = Settles.at(Item.Id).Message;
      Items.emplace_back(
          ClaimEnded{Message.Id, Message.ScopedKey, Message.Result});
      Taken.push_back(Item);
      Bytes += Item.Bytes;
      continue;
    }
    const auto Found = Asks.find(Item.Id);
    if (Found == Asks.end())
      continue;
    WaitingAsk &Waiting = Found->second;
    std::optional<ClaimDecision> Decision = decide(Waiting.Message, Time.Now);
    if (!Decision && Waiting.Appends >= MaxAppends)
      Decision = ClaimUnavailable{};
    if (Decision) {
      answer(Waiting.From, Waiting.Message, *std::move(Decision), Out);
      Asks.erase(Found);
      continue;
    }
    if (Waiting.Until < Time.Now) {
      Asks.erase(Found);
      continue;
    }
    ++Waiting.Appends;
    Items.emplace_back(
        ClaimMade{Item.Id, Waiting.Message.Claimant, Waiting.Message.Request});
    Taken.push_back(Item);
    Bytes += Item.Bytes;
  }
  FirstQueued = Time.Now;
  return Items;
}

void ClaimOwner::pump(ClaimTime Time, ClaimCommands &Out) {
  const std::optional<TimePoint> Due = batchDue();
  if (!Due || *Due > Time.Now)
    return;
  Append Next;
  ClaimBatch Batch;
  Batch.Items = takeItems(Time, Next.Items, Out);
  if (Batch.Items.empty())
    return;
  Batch.Writer = WriterId{Options.Run, NextSequence++};
  Batch.Stamp = Time.Wall;
  Batch.Life = static_cast<std::uint64_t>(Options.KeyLife.count());
  Next.Payload = encodeBatch(Batch);
  Next.Token = NextToken++;
  LastAppend = Time.Now;
  Out.emplace_back(ClaimAppend{Partition, Next.Payload, Next.Token});
  UnderWay = std::move(Next);
}

void ClaimOwner::appended(std::uint64_t Token, const AppendResult &Result,
                          ClaimTime Time, ClaimCommands &Out) {
  if (!UnderWay || UnderWay->Token != Token || UnderWay->RetryAt ||
      UnderWay->At)
    return;
  const auto *const At = std::get_if<Offset>(&Result);
  if (At == nullptr) {
    appendFailed(Time, Out);
    return;
  }
  if (*At == Ledger.next())
    Ledger.fold(*At, UnderWay->Payload);
  if (*At < Ledger.next()) {
    resolve(Time, Out);
    return;
  }
  UnderWay->At = *At;
  if (!Reading && !ReadRetryAt)
    startRead(Ledger.next(), Out);
}

void ClaimOwner::appendFailed(ClaimTime Time, ClaimCommands &Out) {
  // Failure guarded against: the append took effect and its answer was lost.
  // The same bytes with the same writer id go again, so every ledger drops the
  // copy. The askers are told, so that they can try a host that reaches the
  // log.
  UnderWay->Delay = nextDelay(UnderWay->Delay, Options.RetryDelay);
  UnderWay->RetryAt = Time.Now + UnderWay->Delay;
  for (const Queued &Item : UnderWay->Items) {
    const auto Found = Asks.find(Item.Id);
    if (!Item.Settles && Found != Asks.end())
      answer(Found->second.From, Found->second.Message, ClaimUnavailable{},
             Out);
  }
}

void ClaimOwner::resolve(ClaimTime Time, ClaimCommands &Out) {
  const std::vector<Queued> Items = std::move(UnderWay->Items);
  UnderWay.reset();
  for (const Queued &Item : Items) {
    if (Item.Settles) {
      const auto Found = Settles.find(Item.Id);
      Out.emplace_back(ClaimSend{Found->second.From, ClaimSettled{Item.Id}});
      Settles.erase(Found);
      continue;
    }
    const auto Found = Asks.find(Item.Id);
    if (Found == Asks.end())
      continue;
    WaitingAsk &Waiting = Found->second;
    if (std::optional<ClaimDecision> Decision =
            decide(Waiting.Message, Time.Now)) {
      answer(Waiting.From, Waiting.Message, *std::move(Decision), Out);
      Asks.erase(Found);
    } else {
      enqueue(Item, Time);
    }
  }
  pump(Time, Out);
}

void ClaimOwner::startRead(Offset From, ClaimCommands &Out) {
  ReadRetryAt.reset();
  ReadAgain = false;
  Reading = NextToken++;
  Out.emplace_back(
      ClaimRead{Partition, Probing ? ProbeOffset : From, *Reading});
}

void ClaimOwner::read(std::uint64_t Token, const ReadResult &Result,
                      ClaimTime Time, ClaimCommands &Out) {
  if (Reading != Token)
    return;
  Reading.reset();
  if (const auto *const Why = std::get_if<LogFailure>(&Result)) {
    readFailed(*Why, Time, Out);
    return;
  }
  const LogBatch &Batch = std::get<LogBatch>(Result);
  ReadDelay = milliseconds{0};
  if (Probing) {
    Probing = false;
    Ledger.restart(Batch.Horizon);
    startRead(Batch.Horizon, Out);
    return;
  }
  foldEntries(Batch, Time, Out);
  // Failure guarded against: a lagging replica of the log answers with an end
  // that lies before what was read already. It proves nothing; read again.
  if (Batch.End < Ledger.next() && Batch.Entries.empty()) {
    readFailed(LogFailure::NotDone, Time, Out);
    return;
  }
  if (Ledger.next() < Batch.End) {
    startRead(Ledger.next(), Out);
    return;
  }
  caught(Token, Time, Out);
}

void ClaimOwner::foldEntries(const LogBatch &Batch, ClaimTime Time,
                             ClaimCommands &Out) {
  for (const LogEntry &Entry : Batch.Entries)
    if (Entry.At == Ledger.next())
      Ledger.fold(Entry.At, Entry.Payload);
  if (UnderWay && UnderWay->At && *UnderWay->At < Ledger.next())
    resolve(Time, Out);
}

void ClaimOwner::caught(std::uint64_t Token, ClaimTime Time,
                        ClaimCommands &Out) {
  CaughtUp = true;
  std::vector<WaitingQuery> Later;
  for (WaitingQuery &Waiting : Queries) {
    if (Waiting.FromToken > Token) {
      Later.push_back(std::move(Waiting));
      continue;
    }
    answer(Waiting.From, Waiting.Message,
           decideQuery(Waiting.Message, Time.Now), Out);
  }
  Queries = std::move(Later);
  decideContended(Token, Time, Out);
  if (!Queries.empty() || !Contended.empty() || ReadAgain)
    startRead(Ledger.next(), Out);
  pump(Time, Out);
}

void ClaimOwner::readFailed(LogFailure Why, ClaimTime Time,
                            ClaimCommands &Out) {
  if (Why == LogFailure::Trimmed) {
    // Failure guarded against: this host slept, or was cut off, for longer than
    // the log keeps records, so its ledger has a gap. All that stood in the gap
    // is older than the life of a key: start again at the horizon.
    CaughtUp = false;
    Probing = true;
    startRead(ProbeOffset, Out);
    return;
  }
  ReadDelay = nextDelay(ReadDelay, Options.RetryDelay);
  ReadRetryAt = Time.Now + ReadDelay;
  for (const WaitingQuery &Waiting : Queries)
    answer(Waiting.From, Waiting.Message, ClaimUnavailable{}, Out);
  Queries.clear();
  // By the last reading the key is held; that is all that can be said now.
  decideContended(NextToken, Time, Out);
  if (CaughtUp)
    return;
  for (const auto &[Id, Waiting] : Asks)
    answer(Waiting.From, Waiting.Message, ClaimUnavailable{}, Out);
}

void ClaimOwner::advance(ClaimTime Time, ClaimCommands &Out) {
  if (ReadRetryAt && *ReadRetryAt <= Time.Now)
    startRead(Ledger.next(), Out);
  if (UnderWay && UnderWay->RetryAt && *UnderWay->RetryAt <= Time.Now) {
    UnderWay->RetryAt.reset();
    UnderWay->Token = NextToken++;
    LastAppend = Time.Now;
    Out.emplace_back(
        ClaimAppend{Partition, UnderWay->Payload, UnderWay->Token});
  }
  pump(Time, Out);
}

std::optional<TimePoint> ClaimOwner::nextWake() const {
  std::optional<TimePoint> Wake = batchDue();
  const auto Consider = [&Wake](const std::optional<TimePoint> &At) {
    if (At && (!Wake || *At < *Wake))
      Wake = At;
  };
  Consider(ReadRetryAt);
  if (UnderWay)
    Consider(UnderWay->RetryAt);
  return Wake;
}

} // namespace coltsfoottrail
