#include "coltsfoottrail/config/follower.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::size_t EntriesPerRead = 256;
constexpr std::size_t MaxSentQueries = 256;
constexpr std::size_t MaxPendingReads = 8;
constexpr std::uint32_t MaxDoublings = 16;
/// Minimum time between two wakes. Added to deadlines, as an age equal to a
/// limit does not exceed it yet.
constexpr Duration ClockStep = milliseconds(1);

std::vector<RecordPtr> shareEntries(const LogBatch &Batch) {
  std::vector<RecordPtr> Result;
  Result.reserve(Batch.Entries.size());
  for (const LogEntry &Entry : Batch.Entries)
    Result.push_back(std::make_shared<const LogEntry>(Entry));
  return Result;
}

} // namespace

const char *freshnessText(Freshness Value) noexcept {
  switch (Value) {
  case Freshness::Starting:
    return "starting";
  case Freshness::Fresh:
    return "fresh";
  case Freshness::LogDownForAll:
    return "log-down-for-all";
  case Freshness::LeftBehind:
    return "left-behind";
  }
  return "";
}

Follower::Follower(FollowerOptions InitialOptions, Offset Next, TimePoint Now)
    : Options(std::move(InitialOptions)), Rng(Options.Seed), Tail(Next),
      StartTime(Now), NextRead(Now), NextQuery(Now) {
  Proof.setOwnNext(Next);
  FallbackDelay = randomFallbackDelay();
}

void Follower::setMembers(std::span<const Member> Members) {
  Tree = RelayTree(Members, Options.Self);
  OtherMembers.clear();
  for (const Member &Entry : Members)
    if (Entry.Name != Options.Self.Name)
      OtherMembers.push_back(Entry.Name);
  std::ranges::sort(OtherMembers);
  std::erase_if(Peers, [&](const auto &Entry) {
    return !std::ranges::binary_search(OtherMembers, Entry.first);
  });
  Survey.clear();
}

void Follower::restart(Offset Next) {
  if (Next > Tail.next())
    Tail = RecordTail(Next);
  Proof.setOwnNext(Tail.next());
  Halted = false;
}

void Follower::onRead(std::uint64_t Number, const ReadResult &Result,
                      TimePoint Now, FollowCommands &Commands) {
  const auto It = PendingReads.find(Number);
  if (It == PendingReads.end())
    return;
  const PendingRead Request = It->second;
  PendingReads.erase(It);
  if (const auto *const Failure = std::get_if<LogFailure>(&Result))
    processFailure(*Failure, Now, Commands);
  else
    processBatch(std::get<LogBatch>(Result), Request, Now, Commands);
  advance(Now, Commands);
}

void Follower::processBatch(const LogBatch &Batch, const PendingRead &Request,
                            TimePoint Now, FollowCommands &Commands) {
  Failures = 0;
  FallbackDelay = randomFallbackDelay();
  processRecords(shareEntries(Batch), Now, Commands);
  const bool More = Batch.End > Tail.next();
  if (PendingReads.empty())
    NextRead =
        Tree.isRelay() || More ? Now : Now + jittered(Options.QueryInterval);
  if (Batch.End >= Request.KnownEnd)
    Proof.addProof(Batch.End, Request.SentAt);
}

void Follower::processFailure(LogFailure Failure, TimePoint Now,
                              FollowCommands &Commands) {
  if (Failure == LogFailure::Trimmed && !Halted) {
    Halted = true;
    Commands.emplace_back(RecoverState{Tail.next()});
  }
  ++Failures;
  delayNextRead(Now);
}

void Follower::delayNextRead(TimePoint Now) {
  const Duration Longest =
      Tree.isRelay() ? Options.MaxRetryDelay : Options.MaxFallbackRetryDelay;
  const std::uint32_t Doublings = std::min(Failures, MaxDoublings);
  const Duration Wait = Options.MinRetryDelay * (std::int64_t{1} << Doublings);
  NextRead = Now + jittered(std::min(Wait, Longest) / 2);
}

void Follower::onRecords(const HostName & /*From*/,
                         const std::vector<RecordPtr> &Records, TimePoint Now,
                         FollowCommands &Commands) {
  const Offset Before = Tail.next();
  processRecords(Records, Now, Commands);
  if (Tail.next() > Before) {
    ActiveRequest.reset();
    ExcludedPeers.clear();
  }
  advance(Now, Commands);
}

void Follower::processRecords(const std::vector<RecordPtr> &Records,
                              TimePoint Now, FollowCommands &Commands) {
  if (Halted || Records.empty())
    return;
  std::vector<RecordPtr> Ready = Tail.insert(Records);
  Offset HighestNext = 0;
  for (const RecordPtr &Record : Records)
    HighestNext = std::max(HighestNext, Record->At + 1);
  if (!Ready.empty()) {
    relay(Ready, Commands);
    Proof.setOwnNext(Tail.next());
    Commands.emplace_back(FoldRecords{std::move(Ready)});
  }
  Proof.noteNext(HighestNext, Now);
}

void Follower::relay(const std::vector<RecordPtr> &Records,
                     FollowCommands &Commands) {
  // A host that is catching up would send its children records that they
  // already have.
  const bool IsCaughtUp = LastFreshness == Freshness::Fresh ||
                          LastFreshness == Freshness::LogDownForAll;
  if (IsCaughtUp && !Tree.children().empty())
    Commands.emplace_back(RelayRecords{Tree.children(), Records});
}

void Follower::onQuery(const HostName &From, const FollowQuery &Query,
                       TimePoint Now, FollowCommands &Commands) {
  if (std::ranges::binary_search(OtherMembers, From)) {
    PeerStatus &Peer = Peers[From];
    Peer.Next = std::max(Peer.Next, Query.Next);
    Proof.noteNext(Query.Next, Now);
  }
  FollowAnswer Answer;
  Answer.Stamp = Query.Stamp;
  Answer.Next = Tail.next();
  Answer.ProofAge = proofAge(Now);
  Commands.emplace_back(SendAnswer{From, Answer});
}

void Follower::onAnswer(const HostName &From, const FollowAnswer &Answer,
                        TimePoint Now, FollowCommands &Commands) {
  const auto It = SentQueries.find(Answer.Stamp);
  if (It == SentQueries.end())
    return;
  const TimePoint SentAt = It->second;
  SentQueries.erase(It);
  Peers[From] = PeerStatus{Answer.Next, Now};
  ReceivedAnswer = true;
  Proof.noteNext(Answer.Next, Now);
  // The answer was created no earlier than the query was sent, so its proof
  // holds at least as of then, regardless of the network delay.
  if (Answer.ProofAge)
    Proof.addProof(Answer.Next, SentAt - *Answer.ProofAge);
  advance(Now, Commands);
}

void Follower::onRecordsRequested(const HostName &From, Offset First,
                                  TimePoint /*Now*/, FollowCommands &Commands) {
  std::optional<std::vector<RecordPtr>> Records = Tail.read(First);
  if (Records)
    Commands.emplace_back(RelayRecords{{From}, *std::move(Records)});
  else
    Commands.emplace_back(ReportRecordsGone{From, First});
}

void Follower::onRecordsGone(const HostName &From, Offset First, TimePoint Now,
                             FollowCommands &Commands) {
  if (!ActiveRequest || ActiveRequest->Peer != From || First != Tail.next())
    return;
  ExcludedPeers.insert(From);
  ActiveRequest.reset();
  advance(Now, Commands);
}

void Follower::advance(TimePoint Now, FollowCommands &Commands) {
  LastAdvance = Now;
  if (Halted)
    return updateFreshness(Now, Commands);
  expirePendingRead(Now);
  if (shouldRead(Now))
    readLog(Now, Commands);
  requestMissingRecords(Now, Commands);
  queryPeers(Now, Commands);
  updateFreshness(Now, Commands);
}

void Follower::expirePendingRead(TimePoint Now) {
  // A read without a response counts as failed, but a late response is still
  // processed: its proof is dated from when the read was sent.
  if (!hasPendingRead() || Now < PendingReads.rbegin()->second.SentAt +
                                     Options.ReadWait + Options.ReadTimeout)
    return;
  ++Failures;
  delayNextRead(Now);
}

bool Follower::shouldRead(TimePoint Now) const {
  if (Now < NextRead || hasPendingRead())
    return false;
  // Without peers, the log is the only source.
  return Tree.isRelay() || OtherMembers.empty() ||
         ageExceeds(FallbackDelay, Now);
}

void Follower::readLog(TimePoint Now, FollowCommands &Commands) {
  ++LastReadNumber;
  PendingReads[LastReadNumber] =
      PendingRead{Now, std::max(Proof.highestNext(), Tail.next())};
  if (PendingReads.size() > MaxPendingReads)
    PendingReads.erase(PendingReads.begin());
  NextRead = Now;
  const milliseconds Wait = Tree.isRelay() ? Options.ReadWait : milliseconds(0);
  Commands.emplace_back(
      ReadAgreed{LastReadNumber, Tail.next(), EntriesPerRead, Wait});
}

void Follower::requestMissingRecords(TimePoint Now, FollowCommands &Commands) {
  const std::optional<TimePoint> BehindSince = Proof.behindSince();
  if (!BehindSince) {
    ActiveRequest.reset();
    ExcludedPeers.clear();
    return;
  }
  const Duration Delay = isLogFailing() ? Duration{} : Options.GapDelay;
  if (Now < std::max(*BehindSince + Delay, NextRecordRequest) ||
      (ActiveRequest && Now < ActiveRequest->Deadline))
    return;
  if (ActiveRequest)
    ExcludedPeers.insert(std::exchange(ActiveRequest, std::nullopt)->Peer);
  const HostName *BestPeer = nullptr;
  std::optional<TimePoint> LatestAnswer;
  for (const auto &[Name, Peer] : Peers)
    if (Peer.Next > Tail.next() && !ExcludedPeers.contains(Name) &&
        (BestPeer == nullptr || Peer.LastAnswer > LatestAnswer)) {
      BestPeer = &Name;
      LatestAnswer = Peer.LastAnswer;
    }
  if (BestPeer == nullptr) {
    // No reachable peer keeps the records. The log either has them or responds
    // that they are trimmed. All peers are candidates again in the next round.
    ExcludedPeers.clear();
    NextRecordRequest = Now + Options.RecordRequestTimeout;
    if (!Tree.isRelay())
      FallbackDelay = Duration{};
    return;
  }
  ActiveRequest = RecordRequest{*BestPeer, Now + Options.RecordRequestTimeout};
  Commands.emplace_back(RequestRecords{*BestPeer, Tail.next()});
}

void Follower::queryPeers(TimePoint Now, FollowCommands &Commands) {
  if (Now < NextQuery)
    return;
  // A host that cannot reach the log but can reach its peers gets all records
  // through them, so it queries more often; but not while the log is down for
  // all hosts, which may last for hours.
  const bool WithoutLog =
      isLogFailing() && !ageExceeds(Options.StaleAfter, Now);
  Duration Interval =
      WithoutLog ? Options.QueryIntervalWithoutLog : Options.QueryInterval;
  if (LastFreshness == Freshness::LogDownForAll)
    Interval = Options.QueryIntervalLogDown;
  NextQuery = Now + jittered(Interval * 2 / 3);
  updateSurvey(Now);
  for (const HostName &Peer : Tree.parents())
    queryPeer(Peer, Now, Commands);
  for (const HostName &Peer : Survey)
    if (std::ranges::find(Tree.parents(), Peer) == Tree.parents().end())
      queryPeer(Peer, Now, Commands);
}

void Follower::queryPeer(const HostName &Peer, TimePoint Now,
                         FollowCommands &Commands) {
  ++LastStamp;
  SentQueries[LastStamp] = Now;
  if (SentQueries.size() > MaxSentQueries)
    SentQueries.erase(SentQueries.begin());
  Commands.emplace_back(SendQuery{Peer, FollowQuery{LastStamp, Tail.next()}});
}

void Follower::updateSurvey(TimePoint Now) {
  if (!ageExceeds(Options.SurveyAfter, Now)) {
    Survey.clear();
    return;
  }
  if (!Survey.empty())
    return;
  Survey = OtherMembers;
  const std::size_t Size = std::min(Survey.size(), Options.SurveySize);
  for (std::size_t Index = 0; Index < Size; ++Index)
    std::swap(Survey[Index], Survey[Index + Rng.below(Survey.size() - Index)]);
  Survey.resize(Size);
}

bool Follower::reachesMajority(TimePoint Now) const {
  const std::size_t Reached = static_cast<std::size_t>(
      std::ranges::count_if(Survey, [&](const HostName &Peer) {
        const auto It = Peers.find(Peer);
        return It != Peers.end() && It->second.LastAnswer &&
               Now - *It->second.LastAnswer <= Options.StaleAfter / 2;
      }));
  // A single member is the majority, but only after it has once proved its
  // state.
  if (OtherMembers.empty())
    return Proof.asOf().has_value();
  if (Survey.empty())
    return false;
  // With less than half of the members reachable, half of a sample may be
  // reached by chance, but two thirds hardly ever.
  if (Survey.size() < OtherMembers.size())
    return (Reached + 1) * 3 >= (Survey.size() + 1) * 2;
  return (Reached + 1) * 2 > Survey.size() + 1;
}

Freshness Follower::freshness(TimePoint Now) const {
  const bool Behind = Proof.behindSince().has_value() || Halted;
  if (LastFreshness == Freshness::Starting &&
      (Behind || !isStartupWaitOver(Now)))
    return Freshness::Starting;
  if (!ageExceeds(Options.StaleAfter, Now))
    return Freshness::Fresh;
  if (Tail.next() > 0 && !Behind && reachesMajority(Now))
    return Freshness::LogDownForAll;
  return LastFreshness == Freshness::Starting ? Freshness::Starting
                                              : Freshness::LeftBehind;
}

void Follower::updateFreshness(TimePoint Now, FollowCommands &Commands) {
  const Freshness Previous = std::exchange(LastFreshness, freshness(Now));
  if (LastFreshness != Previous)
    Commands.emplace_back(FreshnessChanged{LastFreshness});
}

bool Follower::isStartupWaitOver(TimePoint Now) const {
  return ReceivedAnswer || OtherMembers.empty() ||
         Now - StartTime >= Options.StaleAfter / 2;
}

std::optional<Duration> Follower::proofAge(TimePoint Now) const {
  const std::optional<TimePoint> AsOf = Proof.asOf();
  if (!AsOf)
    return std::nullopt;
  return Now - *AsOf;
}

bool Follower::ageExceeds(Duration Limit, TimePoint Now) const {
  const std::optional<Duration> Age = proofAge(Now);
  return !Age || *Age > Limit;
}

TimePoint Follower::nextWake() const {
  if (Halted)
    return LastAdvance + Options.RecordRequestTimeout;
  TimePoint Wake = std::min(NextQuery, nextReadWake());
  if (ActiveRequest)
    Wake = std::min(Wake, ActiveRequest->Deadline);
  else if (const auto Since = Proof.behindSince())
    Wake =
        std::min(Wake, std::max(*Since + Options.GapDelay, NextRecordRequest));
  const auto AsOf = Proof.asOf();
  if (AsOf && LastFreshness == Freshness::Fresh)
    Wake = std::min(Wake, *AsOf + Options.StaleAfter + ClockStep);
  return std::max(Wake, LastAdvance + ClockStep);
}

TimePoint Follower::nextReadWake() const {
  if (hasPendingRead())
    return PendingReads.rbegin()->second.SentAt + Options.ReadWait +
           Options.ReadTimeout;
  const auto AsOf = Proof.asOf();
  if (Tree.isRelay() || OtherMembers.empty() || !AsOf)
    return NextRead;
  return std::max(NextRead, *AsOf + FallbackDelay + ClockStep);
}

bool Follower::hasPendingRead() const {
  return !PendingReads.empty() &&
         PendingReads.rbegin()->first == LastReadNumber &&
         NextRead <= PendingReads.rbegin()->second.SentAt;
}

Duration Follower::randomFallbackDelay() {
  return Options.FallbackAfter + std::chrono::duration_cast<Duration>(
                                     Options.FallbackSpread * Rng.fraction());
}

Duration Follower::jittered(Duration Base) {
  return Base + std::chrono::duration_cast<Duration>(Base * Rng.fraction());
}

} // namespace coltsfoottrail
