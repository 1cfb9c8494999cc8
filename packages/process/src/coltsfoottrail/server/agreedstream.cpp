#include "coltsfoottrail/server/agreedstream.hpp"

#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/record/codec.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxEntriesPerRead = 512;
constexpr milliseconds ReadWait{1'000};
constexpr milliseconds RetryDelay{100};
constexpr milliseconds AppendTimeout{2'000};

} // namespace

AgreedStream::AgreedStream(asio::io_context &Where, Log &Platform,
                           StreamName Name, Incarnation OwnRun)
    : Control(Where), Service(Platform), Stream(std::move(Name)), Run(OwnRun),
      ReadRetry(Where), AppendRetry(Where),
      Published(std::make_shared<const State>()),
      ProvedAt(TimePoint::min().time_since_epoch().count()) {}

void AgreedStream::start(Listener Told) {
  OnState = std::move(Told);
  readOn();
}

void AgreedStream::stop() {
  Stopped = true;
  ReadRetry.cancel();
  AppendRetry.cancel();
  Waiting.clear();
}

StatePtr AgreedStream::state() const {
  const std::lock_guard Hold(Lock);
  return Published;
}

Duration AgreedStream::proofAge(TimePoint Now) const {
  const TimePoint At{Duration(ProvedAt.load())};
  return At == TimePoint::min() ? Duration::max() : Now - At;
}

void AgreedStream::readOn() {
  if (Stopped)
    return;
  const TimePoint Left = BootClock::now();
  Service.read(Stream, Folded.Next, MaxEntriesPerRead, ReadWait,
               [this, Left](ReadResult Result) {
                 asio::post(Control, [this, Left, Got = std::move(Result)] {
                   taken(Got, Left);
                 });
               });
}

void AgreedStream::taken(const ReadResult &Result, TimePoint Left) {
  if (Stopped)
    return;
  expire(BootClock::now());
  const auto *const Batch = std::get_if<LogBatch>(&Result);
  if (Batch == nullptr) {
    if (!std::exchange(Unreachable, true))
      logEvent(Event::LogUnreachable, {{"stream", Stream}});
    retryRead();
    return;
  }
  if (std::exchange(Unreachable, false))
    logEvent(Event::LogBack, {{"stream", Stream}});
  for (const LogEntry &Entry : Batch->Entries)
    fold(Entry);
  if (Folded.Next >= Batch->End)
    ProvedAt = Left.time_since_epoch().count();
  if (!Batch->Entries.empty())
    publish();
  readOn();
}

void AgreedStream::retryRead() {
  ReadRetry.expires_after(RetryDelay);
  ReadRetry.async_wait([this](const boost::system::error_code &Problem) {
    if (!Problem)
      readOn();
  });
}

void AgreedStream::fold(const LogEntry &Entry) {
  if (Entry.At < Folded.Next)
    return;
  const FoldResult Effect = foldRecord(Folded, Entry.At, Entry.Payload);
  if (Effect.Effect == FoldEffect::Void)
    logEvent(Event::RecordVoid, {{"offset", Entry.At}, {"why", Effect.Why}});
  answerFolded(Entry, Effect);
}

void AgreedStream::answerFolded(const LogEntry &Entry,
                                const FoldResult &Effect) {
  if (Waiting.empty() || Effect.Effect == FoldEffect::Twin)
    return;
  WriterId Writer;
  try {
    Writer = decodeRecord(Entry.Payload).Writer;
  } catch (const InputError &) {
    return;
  }
  if (Waiting.front().Writer != Writer)
    return;
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
  {
    const std::lock_guard Hold(Lock);
    if (Published->Next >= Copy->Next)
      return;
    Published = Copy;
  }
  if (OnState)
    OnState(Copy);
}

void AgreedStream::append(Record Body, milliseconds Timeout, Outcome Done) {
  asio::post(Control, [this, Said = std::move(Body),
                       Deadline = BootClock::now() + Timeout,
                       Then = std::move(Done)]() mutable {
    if (Stopped)
      return;
    const WriterId Writer{Run, NextSequence++};
    std::vector<std::byte> Bytes;
    try {
      Bytes = encodeRecord(Envelope{Writer, std::move(Said)});
    } catch (const Error &Problem) {
      Then(AppendOutcome{
          true, 0, FoldResult{FoldEffect::Unreadable, Problem.what(), {}}});
      return;
    }
    Waiting.push_back(
        {Writer, std::move(Bytes), Deadline, std::move(Then), std::nullopt});
    appendFirst();
  });
}

void AgreedStream::appendFirst() {
  if (Stopped || Appending || Waiting.empty())
    return;
  Appending = true;
  const Pending &First = Waiting.front();
  Service.append(Stream, First.Bytes, AppendTimeout,
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

} // namespace coltsfoottrail
