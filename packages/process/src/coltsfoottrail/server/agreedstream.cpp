#include "coltsfoottrail/server/agreedstream.hpp"

#include "coltsfoottrail/checkpoint/parts.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/record/codec.hpp"
#include "coltsfoottrail/server/followwire.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds RetryDelay{100};
constexpr milliseconds StartRetryDelay{500};
constexpr milliseconds TickEvery{20};

} // namespace

AgreedStream::AgreedStream(asio::io_context &Where, Log &Platform,
                           AgreedOptions Wanted)
    : Control(Where), Service(Platform), Options(std::move(Wanted)),
      CheckpointStream(Options.Stream.Text + "-checkpoints"),
      Schedule(Options.Host, Options.Checkpoints), StartRetryTimer(Where),
      AppendRetry(Where), Tick(Where),
      Published(std::make_shared<const State>()) {}

void AgreedStream::start(AgreedListener Told) {
  Listener = std::move(Told);
  findStart();
}

void AgreedStream::stop() {
  Stopped = true;
  StartRetryTimer.cancel();
  AppendRetry.cancel();
  Tick.cancel();
  Waiting.clear();
}

StatePtr AgreedStream::state() const {
  const std::lock_guard Hold(Lock);
  return Published;
}

Freshness AgreedStream::freshness(TimePoint Now) const {
  const std::lock_guard Hold(Lock);
  if (!Follows)
    return Freshness::Starting;
  return Differs ? Freshness::LeftBehind : Follows->freshness(Now);
}

void AgreedStream::findStart() {
  Start = CheckpointRecovery(Folded.Next);
  perform(Start.start());
}

void AgreedStream::perform(StartCommand Next) {
  if (Stopped)
    return;
  if (const auto *const Read = std::get_if<StartRead>(&Next)) {
    Service.read(Read->Checkpoints ? CheckpointStream : Options.Stream,
                 Read->From, Read->MaxEntries, milliseconds(0),
                 [this](ReadResult Result) {
                   asio::post(Control, [this, Got = std::move(Result)] {
                     if (!Stopped)
                       perform(Start.onRead(Got));
                   });
                 });
    return;
  }
  if (auto *const From = std::get_if<StartFrom>(&Next)) {
    for (const std::string &Problem : Start.problems())
      logEvent(Event::CheckpointRefused, {{"why", Problem}});
    begin(std::move(From->InitialState));
    return;
  }
  if (const auto *const Lost = std::get_if<HistoryLost>(&Next))
    logEvent(Event::Trimmed, {{"horizon", Lost->Horizon}});
  else if (!std::exchange(Unreachable, true))
    logEvent(Event::LogUnreachable, {{"stream", Options.Stream}});
  retryStart();
}

void AgreedStream::retryStart() {
  StartRetryTimer.expires_after(StartRetryDelay);
  StartRetryTimer.async_wait([this](const boost::system::error_code &Problem) {
    if (!Problem)
      findStart();
  });
}

void AgreedStream::begin(State Found) {
  if (std::exchange(Unreachable, false))
    logEvent(Event::LogBack, {{"stream", Options.Stream}});
  Folded = std::move(Found);
  {
    const std::lock_guard Hold(Lock);
    if (Follows) {
      Follows->restart(Folded.Next);
    } else {
      FollowerOptions Wanted;
      Wanted.Self = Member{Options.Host, Options.DataCentre};
      Wanted.Seed = Options.Run;
      Follows.emplace(Wanted, Folded.Next, BootClock::now());
    }
  }
  publish();
  if (!std::exchange(Started, true))
    tick();
}

void AgreedStream::tick() {
  const TimePoint Now = BootClock::now();
  expire(Now);
  FollowCommands Due;
  {
    const std::lock_guard Hold(Lock);
    if (Follows->nextWake() <= Now)
      Follows->advance(Now, Due);
  }
  perform(std::move(Due));
  checkpointIfDue(Now);
  Tick.expires_after(TickEvery);
  Tick.async_wait([this](const boost::system::error_code &Problem) {
    if (!Problem)
      tick();
  });
}

void AgreedStream::perform(FollowCommands Due) {
  for (const FollowCommand &One : Due)
    std::visit([this](const auto &Command) { perform(Command); }, One);
}

void AgreedStream::perform(const ReadAgreed &Command) {
  const TimePoint Left = BootClock::now();
  Service.read(Options.Stream, Command.From, Command.MaxEntries, Command.Wait,
               [this, Left, Number = Command.Number](ReadResult Result) {
                 asio::post(Control,
                            [this, Left, Number, Got = std::move(Result)] {
                              taken(Number, Got, Left);
                            });
               });
}

void AgreedStream::taken(std::uint64_t Number, const ReadResult &Result,
                         TimePoint Left) {
  if (Stopped)
    return;
  const auto *const Batch = std::get_if<LogBatch>(&Result);
  if (Batch != nullptr)
    Horizon = std::max(Horizon, Batch->Horizon);
  const bool Failed = Batch == nullptr;
  if (Failed != std::exchange(Unreachable, Failed))
    logEvent(Failed ? Event::LogUnreachable : Event::LogBack,
             {{"stream", Options.Stream}});
  FollowCommands Due;
  {
    const std::lock_guard Hold(Lock);
    Follows->onRead(Number, Result, BootClock::now(), Due);
  }
  perform(std::move(Due));
  if (Failed)
    Listener.OnLogFailure();
  else if (Folded.Next >= Batch->End)
    Listener.OnProof(Left);
}

void AgreedStream::perform(const FoldRecords &Command) {
  for (const RecordPtr &Record : Command.Records)
    fold(*Record);
  publish();
}

void AgreedStream::perform(const RelayRecords &Command) {
  const Json Message = writeFollowMessage(FollowRecords{Command.Records});
  for (const HostName &Peer : Command.Receivers)
    Listener.ToPeer(Peer, Message);
}

void AgreedStream::perform(const RequestRecords &Command) {
  Listener.ToPeer(Command.Peer, writeFollowMessage(FollowAsk{Command.From}));
}

void AgreedStream::perform(const ReportRecordsGone &Command) {
  Listener.ToPeer(Command.Peer, writeFollowMessage(FollowGone{Command.From}));
}

void AgreedStream::perform(const SendQuery &Command) {
  Listener.ToPeer(Command.Peer, writeFollowMessage(Command.Query));
}

void AgreedStream::perform(const SendAnswer &Command) {
  Listener.ToPeer(Command.Peer, writeFollowMessage(Command.Answer));
}

void AgreedStream::perform(const FreshnessChanged &Command) {
  const bool Stale = Command.Now == Freshness::LeftBehind;
  if (Stale == std::exchange(WasStale, Stale))
    return;
  logEvent(Stale ? Event::Stale : Event::FreshAgain,
           {{"now", freshnessText(Command.Now)}, {"next", Folded.Next}});
}

void AgreedStream::perform(const RecoverState &Command) {
  logEvent(Event::Trimmed, {{"floor", Command.Floor}});
  findStart();
}

void AgreedStream::received(const HostName &From, const Json &Message) {
  if (Stopped || !Follows)
    return;
  try {
    dispatch(From, Message);
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void AgreedStream::dispatch(const HostName &From, const Json &Message) {
  const FollowMessage Read = readFollowMessage(Message);
  const TimePoint Now = BootClock::now();
  FollowCommands Due;
  {
    const std::lock_guard Hold(Lock);
    if (const auto *const Given = std::get_if<FollowRecords>(&Read))
      Follows->onRecords(From, Given->Records, Now, Due);
    else if (const auto *const Ask = std::get_if<FollowAsk>(&Read))
      Follows->onRecordsRequested(From, Ask->From, Now, Due);
    else if (const auto *const Gone = std::get_if<FollowGone>(&Read))
      Follows->onRecordsGone(From, Gone->From, Now, Due);
    else if (const auto *const Query = std::get_if<FollowQuery>(&Read))
      Follows->onQuery(From, *Query, Now, Due);
    else
      Follows->onAnswer(From, std::get<FollowAnswer>(Read), Now, Due);
  }
  perform(std::move(Due));
}

void AgreedStream::fold(const LogEntry &Entry) {
  if (Entry.At < Folded.Next)
    return;
  const FoldResult Effect = foldRecord(Folded, Entry.At, Entry.Payload);
  if (Folded.Next % SweepInterval == 0)
    noteDigest();
  compareCheckpoint();
  answerFolded(Entry, Effect);
}

void AgreedStream::noteDigest() { Digests.note(Folded.Next, digestOf(Folded)); }

// Failure guarded against: two hosts fold the same records into different
// states. The digest that comes with a checkpoint differs from that of the own
// state at the same offset, and this host then starts no work.
void AgreedStream::compareCheckpoint() {
  if (Folded.Checkpoint.AnnouncedAt == ComparedAt)
    return;
  ComparedAt = Folded.Checkpoint.AnnouncedAt;
  if (Digests.matches(Folded.Checkpoint) != false)
    return;
  logEvent(Event::CheckpointRefused,
           {{"why", "the own state differs from the checkpoint"},
            {"offset", ComparedAt}});
  const std::lock_guard Hold(Lock);
  Differs = true;
}

void AgreedStream::answerFolded(const LogEntry &Entry,
                                const FoldResult &Effect) {
  if (Waiting.empty() || Effect.Effect == FoldEffect::Duplicate)
    return;
  WriterId Writer;
  try {
    Writer = decodeRecord(Entry.Payload).Writer;
  } catch (const InputError &) {
    return;
  }
  if (Waiting.front().Writer != Writer)
    return;
  if (Effect.Effect == FoldEffect::Void)
    logEvent(Event::RecordVoid, {{"offset", Entry.At}, {"why", Effect.Reason}});
  const Outcome Done = std::move(Waiting.front().Done);
  Waiting.pop_front();
  Appending = false;
  AppendRetry.cancel();
  publish();
  Done(AppendOutcome{true, Entry.At, Effect});
  appendFirst();
}

void AgreedStream::publish() {
  auto Copy = std::make_shared<const State>(Folded);
  std::vector<Member> Members;
  for (const auto &[Name, Host] : Folded.EntryHosts)
    Members.push_back({Name, Host.JoinRecord.DataCentre});
  {
    const std::lock_guard Hold(Lock);
    if (Started && Published->Next >= Copy->Next)
      return;
    Published = Copy;
    Follows->setMembers(Members);
  }
  Listener.OnState(Copy);
}

std::vector<std::byte> AgreedStream::encode(Record Body, WriterId Writer) {
  return encodeRecord(Envelope{Writer, std::move(Body)});
}

void AgreedStream::append(Record Body, milliseconds Timeout, Outcome Done) {
  asio::post(Control, [this, Said = std::move(Body),
                       Deadline = BootClock::now() + Timeout,
                       Then = std::move(Done)]() mutable {
    if (Stopped)
      return;
    const WriterId Writer{Options.Run, NextSequence++};
    std::vector<std::byte> Bytes;
    try {
      Bytes = encode(std::move(Said), Writer);
    } catch (const Error &Problem) {
      Then(AppendOutcome{
          true, 0, FoldResult{FoldEffect::Unreadable, Problem.what(), {}}});
      return;
    }
    Waiting.push_back({Writer, std::move(Bytes), Deadline, std::move(Then)});
    appendFirst();
  });
}

void AgreedStream::appendFirst() {
  if (Stopped || Appending || Waiting.empty())
    return;
  Appending = true;
  const Pending &First = Waiting.front();
  Service.append(Options.Stream, First.Bytes, Options.AppendTimeout,
                 [this, Writer = First.Writer](AppendResult Result) {
                   asio::post(Control, [this, Writer, Result] {
                     appended(Writer, Result);
                   });
                 });
}

// Failure guarded against: the answer to an append is lost after it took
// effect. It is appended again under the same writer id; whichever comes first
// counts and the fold drops the twin, so the record takes effect once.
void AgreedStream::appended(const WriterId &Writer,
                            const AppendResult &Result) {
  if (Waiting.empty() || Waiting.front().Writer != Writer ||
      std::holds_alternative<Offset>(Result))
    return;
  AppendRetry.expires_after(RetryDelay);
  AppendRetry.async_wait([this](const boost::system::error_code &Problem) {
    if (Problem)
      return;
    Appending = false;
    expire(BootClock::now());
    appendFirst();
  });
}

void AgreedStream::expire(TimePoint Now) {
  while (!Waiting.empty() && Waiting.front().Deadline <= Now) {
    const Outcome Done = std::move(Waiting.front().Done);
    Waiting.pop_front();
    Appending = false;
    Done(AppendOutcome{});
  }
  appendFirst();
}

void AgreedStream::checkpointIfDue(TimePoint Now) {
  if (Writing || Folded.Next == 0 ||
      !Schedule.shouldWrite(Folded, Horizon, Now))
    return;
  Writing = true;
  noteDigest();
  writePart(
      std::make_shared<std::vector<CheckpointPart>>(splitCheckpoint(Folded)),
      0);
}

void AgreedStream::writePart(std::shared_ptr<std::vector<CheckpointPart>> Parts,
                             std::size_t Index) {
  if (Index == Parts->size()) {
    append(announcementOf(Parts->front()), Options.AppendTimeout,
           [this, At = Parts->front().StateNext](const AppendOutcome &Got) {
             Writing = false;
             if (Got.OnLog)
               logEvent(Event::CheckpointWritten, {{"at", At}});
           });
    return;
  }
  const WriterId Writer{Options.Run, NextPartSequence++};
  Service.append(CheckpointStream, encode((*Parts)[Index], Writer),
                 Options.AppendTimeout,
                 [this, Parts, Index](AppendResult Result) {
                   asio::post(Control, [this, Parts, Index, Result] {
                     if (std::holds_alternative<Offset>(Result))
                       writePart(Parts, Index + 1);
                     else
                       Writing = false;
                   });
                 });
}

} // namespace coltsfoottrail
