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
constexpr milliseconds TickInterval{20};

} // namespace

AgreedStream::AgreedStream(asio::io_context &Context, Log &Platform,
                           AgreedOptions StreamOptions)
    : Control(Context), LogService(Platform), Options(std::move(StreamOptions)),
      CheckpointStream(Options.Stream.Text + "-checkpoints"),
      Schedule(Options.Host, Options.Checkpoints), StartRetryTimer(Context),
      AppendRetryTimer(Context), TickTimer(Context),
      Published(std::make_shared<const State>()) {}

void AgreedStream::start(AgreedListener NewListener) {
  Listener = std::move(NewListener);
  findStart();
}

void AgreedStream::stop() {
  Stopped = true;
  StartRetryTimer.cancel();
  AppendRetryTimer.cancel();
  TickTimer.cancel();
  PendingAppends.clear();
}

StatePtr AgreedStream::state() const {
  const std::lock_guard Guard(Lock);
  return Published;
}

Freshness AgreedStream::freshness(TimePoint Now) const {
  const std::lock_guard Guard(Lock);
  if (!StreamFollower)
    return Freshness::Starting;
  return DiffersFromCheckpoint ? Freshness::LeftBehind
                               : StreamFollower->freshness(Now);
}

void AgreedStream::findStart() {
  CheckpointStarter = CheckpointRecovery(FoldedState.Next);
  perform(CheckpointStarter.start());
}

void AgreedStream::perform(StartCommand NextCommand) {
  if (Stopped)
    return;
  if (const auto *const Read = std::get_if<StartRead>(&NextCommand)) {
    LogService.read(Read->Checkpoints ? CheckpointStream : Options.Stream,
                    Read->From, Read->MaxEntries, milliseconds(0),
                    [this](ReadResult Result) {
                      asio::post(Control, [this, Outcome = std::move(Result)] {
                        if (!Stopped)
                          perform(CheckpointStarter.onRead(Outcome));
                      });
                    });
    return;
  }
  if (auto *const From = std::get_if<StartFrom>(&NextCommand)) {
    for (const std::string &Problem : CheckpointStarter.problems())
      logEvent(Event::CheckpointRefused, {{"why", Problem}});
    followFrom(std::move(From->InitialState));
    return;
  }
  if (const auto *const Lost = std::get_if<HistoryLost>(&NextCommand))
    logEvent(Event::Trimmed, {{"horizon", Lost->Horizon}});
  else if (!std::exchange(LogUnreachable, true))
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

void AgreedStream::followFrom(State InitialState) {
  if (std::exchange(LogUnreachable, false))
    logEvent(Event::LogBack, {{"stream", Options.Stream}});
  FoldedState = std::move(InitialState);
  {
    const std::lock_guard Guard(Lock);
    if (StreamFollower) {
      StreamFollower->restart(FoldedState.Next);
    } else {
      FollowerOptions StreamOptions;
      StreamOptions.Self = Member{Options.Host, Options.DataCentre};
      StreamOptions.Seed = Options.Run;
      StreamFollower.emplace(StreamOptions, FoldedState.Next, BootClock::now());
    }
  }
  publish();
  if (!std::exchange(Started, true))
    tick();
}

void AgreedStream::tick() {
  const TimePoint Now = BootClock::now();
  expire(Now);
  FollowCommands Commands;
  {
    const std::lock_guard Guard(Lock);
    if (StreamFollower->nextWake() <= Now)
      StreamFollower->advance(Now, Commands);
  }
  perform(std::move(Commands));
  checkpointIfDue(Now);
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait([this](const boost::system::error_code &Problem) {
    if (!Problem)
      tick();
  });
}

void AgreedStream::perform(FollowCommands Commands) {
  for (const FollowCommand &Next : Commands)
    std::visit([this](const auto &Command) { perform(Command); }, Next);
}

void AgreedStream::perform(const ReadAgreed &Command) {
  const TimePoint SentAt = BootClock::now();
  LogService.read(Options.Stream, Command.From, Command.MaxEntries,
                  Command.Wait,
                  [this, SentAt, Number = Command.Number](ReadResult Result) {
                    asio::post(Control, [this, SentAt, Number,
                                         Outcome = std::move(Result)] {
                      handleRead(Number, Outcome, SentAt);
                    });
                  });
}

void AgreedStream::handleRead(std::uint64_t Number, const ReadResult &Result,
                              TimePoint SentAt) {
  if (Stopped)
    return;
  const auto *const Batch = std::get_if<LogBatch>(&Result);
  if (Batch != nullptr)
    Horizon = std::max(Horizon, Batch->Horizon);
  const bool Failed = Batch == nullptr;
  if (Failed != std::exchange(LogUnreachable, Failed))
    logEvent(Failed ? Event::LogUnreachable : Event::LogBack,
             {{"stream", Options.Stream}});
  FollowCommands Commands;
  {
    const std::lock_guard Guard(Lock);
    StreamFollower->onRead(Number, Result, BootClock::now(), Commands);
  }
  perform(std::move(Commands));
  if (Failed)
    Listener.OnLogFailure();
  else if (FoldedState.Next >= Batch->End)
    Listener.OnLogRead(SentAt);
}

void AgreedStream::perform(const FoldRecords &Command) {
  for (const RecordPtr &Record : Command.Records)
    fold(*Record);
  publish();
}

void AgreedStream::perform(const RelayRecords &Command) {
  const Json Message = writeFollowMessage(FollowRecords{Command.Records});
  for (const HostName &Peer : Command.Receivers)
    Listener.SendToPeer(Peer, Message);
}

void AgreedStream::perform(const RequestRecords &Command) {
  Listener.SendToPeer(Command.Peer,
                      writeFollowMessage(FollowRequest{Command.From}));
}

void AgreedStream::perform(const ReportRecordsGone &Command) {
  Listener.SendToPeer(Command.Peer,
                      writeFollowMessage(FollowUnavailable{Command.From}));
}

void AgreedStream::perform(const SendQuery &Command) {
  Listener.SendToPeer(Command.Peer, writeFollowMessage(Command.Query));
}

void AgreedStream::perform(const SendAnswer &Command) {
  Listener.SendToPeer(Command.Peer, writeFollowMessage(Command.Answer));
}

void AgreedStream::perform(const FreshnessChanged &Command) {
  const bool Stale = Command.Now == Freshness::LeftBehind;
  if (Stale == std::exchange(WasStale, Stale))
    return;
  logEvent(Stale ? Event::Stale : Event::FreshAgain,
           {{"now", freshnessText(Command.Now)}, {"next", FoldedState.Next}});
}

void AgreedStream::perform(const RecoverState &Command) {
  logEvent(Event::Trimmed, {{"floor", Command.Floor}});
  findStart();
}

void AgreedStream::receive(const HostName &From, const Json &Message) {
  if (Stopped || !StreamFollower)
    return;
  try {
    dispatch(From, Message);
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void AgreedStream::dispatch(const HostName &From, const Json &Message) {
  const FollowMessage Decoded = readFollowMessage(Message);
  const TimePoint Now = BootClock::now();
  FollowCommands Commands;
  {
    const std::lock_guard Guard(Lock);
    if (const auto *const Records = std::get_if<FollowRecords>(&Decoded))
      StreamFollower->onRecords(From, Records->Records, Now, Commands);
    else if (const auto *const Request = std::get_if<FollowRequest>(&Decoded))
      StreamFollower->onRecordsRequested(From, Request->From, Now, Commands);
    else if (const auto *const Unavailable =
                 std::get_if<FollowUnavailable>(&Decoded))
      StreamFollower->onRecordsGone(From, Unavailable->From, Now, Commands);
    else if (const auto *const Query = std::get_if<FollowQuery>(&Decoded))
      StreamFollower->onQuery(From, *Query, Now, Commands);
    else
      StreamFollower->onAnswer(From, std::get<FollowAnswer>(Decoded), Now,
                               Commands);
  }
  perform(std::move(Commands));
}

void AgreedStream::fold(const LogEntry &Entry) {
  if (Entry.At < FoldedState.Next)
    return;
  const FoldResult Effect = foldRecord(FoldedState, Entry.At, Entry.Payload);
  if (FoldedState.Next % SweepInterval == 0)
    recordDigest();
  compareCheckpoint();
  completeAppend(Entry, Effect);
}

void AgreedStream::recordDigest() {
  Digests.note(FoldedState.Next, digestOf(FoldedState));
}

// Guards against hosts that fold the same records into different states: if the
// digest in a checkpoint differs from the digest of the own state at the same
// offset, this host starts no work.
void AgreedStream::compareCheckpoint() {
  if (FoldedState.Checkpoint.AnnouncedAt == ComparedCheckpoint)
    return;
  ComparedCheckpoint = FoldedState.Checkpoint.AnnouncedAt;
  if (Digests.matches(FoldedState.Checkpoint) != false)
    return;
  logEvent(
      Event::CheckpointRefused,
      {{"why", "state digest differs from the checkpoint at the same offset"},
       {"offset", ComparedCheckpoint}});
  const std::lock_guard Guard(Lock);
  DiffersFromCheckpoint = true;
}

void AgreedStream::completeAppend(const LogEntry &Entry,
                                  const FoldResult &Effect) {
  if (PendingAppends.empty() || Effect.Effect == FoldEffect::Duplicate)
    return;
  WriterId Writer;
  try {
    Writer = decodeRecord(Entry.Payload).Writer;
  } catch (const InputError &) {
    return;
  }
  if (PendingAppends.front().Writer != Writer)
    return;
  if (Effect.Effect == FoldEffect::Void)
    logEvent(Event::RecordVoid, {{"offset", Entry.At}, {"why", Effect.Reason}});
  const AppendCallback Callback = std::move(PendingAppends.front().Callback);
  PendingAppends.pop_front();
  Appending = false;
  AppendRetryTimer.cancel();
  publish();
  Callback(AppendOutcome{true, Entry.At, Effect});
  appendNext();
}

void AgreedStream::publish() {
  auto Snapshot = std::make_shared<const State>(FoldedState);
  std::vector<Member> Members;
  for (const auto &[Name, Host] : FoldedState.EntryHosts)
    Members.push_back({Name, Host.JoinRecord.DataCentre});
  {
    const std::lock_guard Guard(Lock);
    if (Started && Published->Next >= Snapshot->Next)
      return;
    Published = Snapshot;
    StreamFollower->setMembers(Members);
  }
  Listener.OnState(Snapshot);
}

std::vector<std::byte> AgreedStream::encode(Record Body, WriterId Writer) {
  return encodeRecord(Envelope{Writer, std::move(Body)});
}

void AgreedStream::append(Record Body, milliseconds Timeout,
                          AppendCallback Callback) {
  asio::post(Control, [this, NewRecord = std::move(Body),
                       Deadline = BootClock::now() + Timeout,
                       OnDone = std::move(Callback)]() mutable {
    if (Stopped)
      return;
    const WriterId Writer{Options.Run, NextSequence++};
    std::vector<std::byte> Bytes;
    try {
      Bytes = encode(std::move(NewRecord), Writer);
    } catch (const Error &Problem) {
      OnDone(AppendOutcome{
          true, 0, FoldResult{FoldEffect::Unreadable, Problem.what(), {}}});
      return;
    }
    PendingAppends.push_back(
        {Writer, std::move(Bytes), Deadline, std::move(OnDone)});
    appendNext();
  });
}

void AgreedStream::appendNext() {
  if (Stopped || Appending || PendingAppends.empty())
    return;
  Appending = true;
  const Pending &First = PendingAppends.front();
  LogService.append(Options.Stream, First.Bytes, Options.AppendTimeout,
                    [this, Writer = First.Writer](AppendResult Result) {
                      asio::post(Control, [this, Writer, Result] {
                        handleAppendResult(Writer, Result);
                      });
                    });
}

// Guards against the loss of the response to an append that took effect. The
// record is appended again under the same writer id; the fold applies the first
// copy and drops the duplicate, so the record takes effect once.
void AgreedStream::handleAppendResult(const WriterId &Writer,
                                      const AppendResult &Result) {
  if (PendingAppends.empty() || PendingAppends.front().Writer != Writer ||
      std::holds_alternative<Offset>(Result))
    return;
  AppendRetryTimer.expires_after(RetryDelay);
  AppendRetryTimer.async_wait([this](const boost::system::error_code &Problem) {
    if (Problem)
      return;
    Appending = false;
    expire(BootClock::now());
    appendNext();
  });
}

void AgreedStream::expire(TimePoint Now) {
  while (!PendingAppends.empty() && PendingAppends.front().Deadline <= Now) {
    const AppendCallback Callback = std::move(PendingAppends.front().Callback);
    PendingAppends.pop_front();
    Appending = false;
    Callback(AppendOutcome{});
  }
  appendNext();
}

void AgreedStream::checkpointIfDue(TimePoint Now) {
  if (WritingCheckpoint || FoldedState.Next == 0 ||
      !Schedule.shouldWrite(FoldedState, Horizon, Now))
    return;
  WritingCheckpoint = true;
  recordDigest();
  writePart(std::make_shared<std::vector<CheckpointPart>>(
                splitCheckpoint(FoldedState)),
            0);
}

void AgreedStream::writePart(std::shared_ptr<std::vector<CheckpointPart>> Parts,
                             std::size_t Index) {
  if (Index == Parts->size()) {
    append(announcementOf(Parts->front()), Options.AppendTimeout,
           [this, At = Parts->front().StateNext](const AppendOutcome &Outcome) {
             WritingCheckpoint = false;
             if (Outcome.Appended)
               logEvent(Event::CheckpointWritten, {{"at", At}});
           });
    return;
  }
  const WriterId Writer{Options.Run, NextPartSequence++};
  LogService.append(CheckpointStream, encode((*Parts)[Index], Writer),
                    Options.AppendTimeout,
                    [this, Parts, Index](AppendResult Result) {
                      asio::post(Control, [this, Parts, Index, Result] {
                        if (std::holds_alternative<Offset>(Result))
                          writePart(Parts, Index + 1);
                        else
                          WritingCheckpoint = false;
                      });
                    });
}

} // namespace coltsfoottrail
