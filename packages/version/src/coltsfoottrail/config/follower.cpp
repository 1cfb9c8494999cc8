#include "coltsfoottrail/config/follower.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::size_t EntriesAtOnce = 256;
constexpr std::size_t MostStamps = 256;
constexpr std::size_t MostOutstanding = 8;
constexpr std::uint32_t MostDoublings = 16;
/// Least time between two wakes: a limit that is met exactly is not exceeded
/// yet.
constexpr Duration ClockStep = milliseconds(1);

std::vector<RecordPtr> shareEntries(const LogBatch &Batch) {
  std::vector<RecordPtr> Out;
  Out.reserve(Batch.Entries.size());
  for (const LogEntry &Each : Batch.Entries)
    Out.push_back(std::make_shared<const LogEntry>(Each));
  return Out;
}

} // namespace

const char *freshnessText(Freshness Which) noexcept {
  switch (Which) {
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

Follower::Follower(FollowerOptions Wanted, Offset Next, TimePoint Now)
    : Options(std::move(Wanted)), Draw(Options.Seed), Tail(Next), Began(Now),
      NextRead(Now), NextQuery(Now) {
  Proof.reach(Next);
  FallbackDelay = drawFallback();
}

void Follower::setMembers(std::span<const Member> Members) {
  Tree = RelayTree(Members, Options.Self);
  Others.clear();
  for (const Member &Each : Members)
    if (Each.Name != Options.Self.Name)
      Others.push_back(Each.Name);
  std::ranges::sort(Others);
  std::erase_if(Seen, [&](const auto &Entry) {
    return !std::ranges::binary_search(Others, Entry.first);
  });
  Survey.clear();
}

void Follower::restart(Offset Next) {
  if (Next > Tail.next())
    Tail = RecordTail(Next);
  Proof.reach(Tail.next());
  Halted = false;
}

void Follower::onRead(std::uint64_t Number, const ReadResult &Result,
                      TimePoint Now, FollowCommands &Out) {
  const auto Found = Outstanding.find(Number);
  if (Found == Outstanding.end())
    return;
  const Reading Sent = Found->second;
  Outstanding.erase(Found);
  if (const auto *const Why = std::get_if<LogFailure>(&Result))
    takeFailure(*Why, Now, Out);
  else
    takeBatch(std::get<LogBatch>(Result), Sent, Now, Out);
  advance(Now, Out);
}

void Follower::takeBatch(const LogBatch &Batch, const Reading &Sent,
                         TimePoint Now, FollowCommands &Out) {
  Failures = 0;
  FallbackDelay = drawFallback();
  takeRecords(shareEntries(Batch), Now, Out);
  const bool More = Batch.End > Tail.next();
  if (Outstanding.empty())
    NextRead =
        Tree.isRelay() || More ? Now : Now + jittered(Options.QueryEvery);
  if (Batch.End >= Sent.Known)
    Proof.learn(Batch.End, Sent.Sent);
}

void Follower::takeFailure(LogFailure Why, TimePoint Now, FollowCommands &Out) {
  if (Why == LogFailure::Trimmed && !Halted) {
    Halted = true;
    Out.emplace_back(RecoverState{Tail.next()});
  }
  ++Failures;
  delayNextRead(Now);
}

void Follower::delayNextRead(TimePoint Now) {
  const Duration Longest =
      Tree.isRelay() ? Options.RetryLongest : Options.FallbackRetryLongest;
  const std::uint32_t Doublings = std::min(Failures, MostDoublings);
  const Duration Wait = Options.RetryFirst * (std::int64_t{1} << Doublings);
  NextRead = Now + jittered(std::min(Wait, Longest) / 2);
}

void Follower::onRecords(const HostName & /*From*/,
                         const std::vector<RecordPtr> &Records, TimePoint Now,
                         FollowCommands &Out) {
  const Offset Before = Tail.next();
  takeRecords(Records, Now, Out);
  if (Tail.next() > Before) {
    Asked.reset();
    Unable.clear();
  }
  advance(Now, Out);
}

void Follower::takeRecords(const std::vector<RecordPtr> &Records, TimePoint Now,
                           FollowCommands &Out) {
  if (Halted || Records.empty())
    return;
  std::vector<RecordPtr> Ready = Tail.take(Records);
  Offset Highest = 0;
  for (const RecordPtr &Each : Records)
    Highest = std::max(Highest, Each->At + 1);
  if (!Ready.empty()) {
    relay(Ready, Out);
    Proof.reach(Tail.next());
    Out.emplace_back(FoldRecords{std::move(Ready)});
  }
  Proof.hear(Highest, Now);
}

void Follower::relay(const std::vector<RecordPtr> &Records,
                     FollowCommands &Out) {
  // A host that catches up would send its children what they have long had.
  const bool AtFront =
      Verdict == Freshness::Fresh || Verdict == Freshness::LogDownForAll;
  if (AtFront && !Tree.children().empty())
    Out.emplace_back(RelayRecords{Tree.children(), Records});
}

void Follower::onQuery(const HostName &From, const FollowQuery &Query,
                       TimePoint Now, FollowCommands &Out) {
  if (std::ranges::binary_search(Others, From)) {
    PeerSeen &Peer = Seen[From];
    Peer.Next = std::max(Peer.Next, Query.Next);
    Proof.hear(Query.Next, Now);
  }
  FollowAnswer Answer;
  Answer.Stamp = Query.Stamp;
  Answer.Next = Tail.next();
  Answer.ProofAge = proofAge(Now);
  Out.emplace_back(SendAnswer{From, Answer});
}

void Follower::onAnswer(const HostName &From, const FollowAnswer &Answer,
                        TimePoint Now, FollowCommands &Out) {
  const auto Sent = Stamps.find(Answer.Stamp);
  if (Sent == Stamps.end())
    return;
  const TimePoint Left = Sent->second;
  Stamps.erase(Sent);
  Seen[From] = PeerSeen{Answer.Next, Now};
  Introduced = true;
  Proof.hear(Answer.Next, Now);
  // The answer was given no earlier than the query left, so what it proves
  // holds as of then at the least, however long it was on its way.
  if (Answer.ProofAge)
    Proof.learn(Answer.Next, Left - *Answer.ProofAge);
  advance(Now, Out);
}

void Follower::onRecordsRequested(const HostName &From, Offset First,
                                  TimePoint /*Now*/, FollowCommands &Out) {
  std::optional<std::vector<RecordPtr>> Found = Tail.read(First);
  if (Found)
    Out.emplace_back(RelayRecords{{From}, *std::move(Found)});
  else
    Out.emplace_back(ReportRecordsGone{From, First});
}

void Follower::onRecordsGone(const HostName &From, Offset First, TimePoint Now,
                             FollowCommands &Out) {
  if (!Asked || Asked->Peer != From || First != Tail.next())
    return;
  Unable.insert(From);
  Asked.reset();
  advance(Now, Out);
}

void Follower::advance(TimePoint Now, FollowCommands &Out) {
  LastAdvance = Now;
  if (Halted)
    return judge(Now, Out);
  expireReading(Now);
  if (wantsToRead(Now))
    readLog(Now, Out);
  closeGap(Now, Out);
  query(Now, Out);
  judge(Now, Out);
}

void Follower::expireReading(TimePoint Now) {
  // A read without an answer counts as failed, but its answer is still taken
  // when it comes: its proof counts from when it left.
  if (!awaitsRead() || Now < Outstanding.rbegin()->second.Sent +
                                 Options.ReadWait + Options.ReadTimeout)
    return;
  ++Failures;
  delayNextRead(Now);
}

bool Follower::wantsToRead(TimePoint Now) const {
  if (Now < NextRead || awaitsRead())
    return false;
  // Without peers there is nobody else to follow.
  return Tree.isRelay() || Others.empty() || ageExceeds(FallbackDelay, Now);
}

void Follower::readLog(TimePoint Now, FollowCommands &Out) {
  ++LastRead;
  Outstanding[LastRead] = Reading{Now, std::max(Proof.highest(), Tail.next())};
  if (Outstanding.size() > MostOutstanding)
    Outstanding.erase(Outstanding.begin());
  NextRead = Now;
  const milliseconds Wait = Tree.isRelay() ? Options.ReadWait : milliseconds(0);
  Out.emplace_back(ReadAgreed{LastRead, Tail.next(), EntriesAtOnce, Wait});
}

void Follower::closeGap(TimePoint Now, FollowCommands &Out) {
  const std::optional<TimePoint> Since = Proof.behindSince();
  if (!Since) {
    Asked.reset();
    Unable.clear();
    return;
  }
  const Duration Patience = logFails() ? Duration{} : Options.GapDelay;
  if (Now < std::max(*Since + Patience, NextGap) ||
      (Asked && Now < Asked->Until))
    return;
  if (Asked)
    Unable.insert(std::exchange(Asked, std::nullopt)->Peer);
  const HostName *Best = nullptr;
  std::optional<TimePoint> Latest;
  for (const auto &[Name, Peer] : Seen)
    if (Peer.Next > Tail.next() && !Unable.contains(Name) &&
        (Best == nullptr || Peer.Answered > Latest)) {
      Best = &Name;
      Latest = Peer.Answered;
    }
  if (Best == nullptr) {
    // Nobody who is heard keeps them: the log has them, or else it says that
    // they are trimmed. All peers are asked again with the next round.
    Unable.clear();
    NextGap = Now + Options.AskTimeout;
    if (!Tree.isRelay())
      FallbackDelay = Duration{};
    return;
  }
  Asked = Asking{*Best, Now + Options.AskTimeout};
  Out.emplace_back(RequestRecords{*Best, Tail.next()});
}

void Follower::query(TimePoint Now, FollowCommands &Out) {
  if (Now < NextQuery)
    return;
  // A host that is cut off from the log but not from its peers gets all
  // records through them, so it asks more often; not so when the log is down
  // for all, which may last for hours.
  const bool Cut = logFails() && !ageExceeds(Options.StaleAfter, Now);
  Duration Every = Cut ? Options.QueryEveryWhenCut : Options.QueryEvery;
  if (Verdict == Freshness::LogDownForAll)
    Every = Options.QueryEveryWhenDown;
  NextQuery = Now + jittered(Every * 2 / 3);
  drawSurvey(Now);
  for (const HostName &Peer : Tree.parents())
    queryPeer(Peer, Now, Out);
  for (const HostName &Peer : Survey)
    if (std::ranges::find(Tree.parents(), Peer) == Tree.parents().end())
      queryPeer(Peer, Now, Out);
}

void Follower::queryPeer(const HostName &Peer, TimePoint Now,
                         FollowCommands &Out) {
  ++LastStamp;
  Stamps[LastStamp] = Now;
  if (Stamps.size() > MostStamps)
    Stamps.erase(Stamps.begin());
  Out.emplace_back(SendQuery{Peer, FollowQuery{LastStamp, Tail.next()}});
}

void Follower::drawSurvey(TimePoint Now) {
  if (!ageExceeds(Options.SurveyAfter, Now)) {
    Survey.clear();
    return;
  }
  if (!Survey.empty())
    return;
  Survey = Others;
  const std::size_t Size = std::min(Survey.size(), Options.SurveySize);
  for (std::size_t Index = 0; Index < Size; ++Index)
    std::swap(Survey[Index], Survey[Index + Draw.below(Survey.size() - Index)]);
  Survey.resize(Size);
}

bool Follower::hearsMajority(TimePoint Now) const {
  const std::size_t Heard = static_cast<std::size_t>(
      std::ranges::count_if(Survey, [&](const HostName &Peer) {
        const auto Found = Seen.find(Peer);
        return Found != Seen.end() && Found->second.Answered &&
               Now - *Found->second.Answered <= Options.StaleAfter / 2;
      }));
  // The only member is the majority, but not before it has once known the end.
  if (Others.empty())
    return Proof.asOf().has_value();
  if (Survey.empty())
    return false;
  // Half of a sample may be heard by chance where less than half of the members
  // is; two thirds hardly ever are.
  if (Survey.size() < Others.size())
    return (Heard + 1) * 3 >= (Survey.size() + 1) * 2;
  return (Heard + 1) * 2 > Survey.size() + 1;
}

Freshness Follower::freshness(TimePoint Now) const {
  const bool Behind = Proof.behindSince().has_value() || Halted;
  if (Verdict == Freshness::Starting && (Behind || !isIntroduced(Now)))
    return Freshness::Starting;
  if (!ageExceeds(Options.StaleAfter, Now))
    return Freshness::Fresh;
  if (Tail.next() > 0 && !Behind && hearsMajority(Now))
    return Freshness::LogDownForAll;
  return Verdict == Freshness::Starting ? Freshness::Starting
                                        : Freshness::LeftBehind;
}

void Follower::judge(TimePoint Now, FollowCommands &Out) {
  const Freshness Before = std::exchange(Verdict, freshness(Now));
  if (Verdict != Before)
    Out.emplace_back(FreshnessChanged{Verdict});
}

bool Follower::isIntroduced(TimePoint Now) const {
  return Introduced || Others.empty() || Now - Began >= Options.StaleAfter / 2;
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
    return LastAdvance + Options.AskTimeout;
  TimePoint Wake = std::min(NextQuery, readWake());
  if (Asked)
    Wake = std::min(Wake, Asked->Until);
  else if (const auto Since = Proof.behindSince())
    Wake = std::min(Wake, std::max(*Since + Options.GapDelay, NextGap));
  const auto AsOf = Proof.asOf();
  if (AsOf && Verdict == Freshness::Fresh)
    Wake = std::min(Wake, *AsOf + Options.StaleAfter + ClockStep);
  return std::max(Wake, LastAdvance + ClockStep);
}

TimePoint Follower::readWake() const {
  if (awaitsRead())
    return Outstanding.rbegin()->second.Sent + Options.ReadWait +
           Options.ReadTimeout;
  const auto AsOf = Proof.asOf();
  if (Tree.isRelay() || Others.empty() || !AsOf)
    return NextRead;
  return std::max(NextRead, *AsOf + FallbackDelay + ClockStep);
}

bool Follower::awaitsRead() const {
  return !Outstanding.empty() && Outstanding.rbegin()->first == LastRead &&
         NextRead <= Outstanding.rbegin()->second.Sent;
}

Duration Follower::drawFallback() {
  return Options.FallbackAfter + std::chrono::duration_cast<Duration>(
                                     Options.FallbackSpread * Draw.fraction());
}

Duration Follower::jittered(Duration Base) {
  return Base + std::chrono::duration_cast<Duration>(Base * Draw.fraction());
}

} // namespace coltsfoottrail
