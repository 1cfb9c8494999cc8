#include "coltsfoottrail/server/claimdriver.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds LogTimeout{2'000};
constexpr std::size_t MaxEntriesPerRead = 1024;
/// Keeps a wake time in the past from turning into a busy loop.
constexpr milliseconds MinWakeDelay{1};

/// Decision for claims and queries that are open when the driver stops, or come
/// after.
DeliverDecision unavailable() { return {{}, ClaimUnavailable{}, {}}; }

} // namespace

ClaimDriver::ClaimDriver(asio::io_context &Where, Log &Platform,
                         ClaimOptions Limits, Sender Send)
    : Control(Where), LogService(Platform), Claims(std::move(Limits)),
      SendToPeer(std::move(Send)), WakeTimer(Where) {}

ClaimTime ClaimDriver::now() {
  const auto Wall = std::chrono::duration_cast<seconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return {BootClock::now(), static_cast<std::uint64_t>(Wall.count())};
}

struct ClaimDriver::PendingDecision {
  explicit PendingDecision(const asio::any_io_executor &Executor)
      : Answer(std::make_shared<Reply<DeliverDecision>>(Executor)) {}

  std::shared_ptr<Reply<DeliverDecision>> Answer;
  ClaimId Id;
  bool Granted = false;
};

// Guards against a granted claim that nobody holds: the caller disconnects
// while its claim is being decided, and the key would stay "in progress" until
// it expires. An undecided claim is given up; a granted one is released, which
// is safe because the coroutine never saw the grant and so sent nothing.
Awaitable<DeliverDecision> ClaimDriver::awaitDecision(Starter Start) {
  const auto Pending =
      std::make_shared<PendingDecision>(co_await asio::this_coro::executor);
  asio::post(Control, [this, Pending, Begin = std::move(Start)] {
    if (Stopped) {
      Pending->Answer->set(unavailable());
      return;
    }
    ClaimCommands Commands;
    Pending->Id = Begin(Commands);
    OpenRequests[Pending->Id] = Pending;
    perform(std::move(Commands));
  });
  bool Abandoned = false;
  DeliverDecision Decided;
  try {
    Decided = co_await Pending->Answer->wait();
  } catch (const boost::system::system_error &) {
    Abandoned = true;
  }
  if (Abandoned) {
    asio::post(Control, [this, Pending] { abandon(Pending); });
    throw boost::system::system_error(asio::error::operation_aborted);
  }
  co_return Decided;
}

void ClaimDriver::abandon(const PendingDecisionPtr &Pending) {
  if (Stopped)
    return;
  ClaimCommands Commands;
  if (OpenRequests.erase(Pending->Id) > 0)
    Claims.giveUp(Pending->Id, now(), Commands);
  else if (Pending->Granted)
    Claims.settle(Pending->Id, ReleaseClaim{}, now(), Commands);
  perform(std::move(Commands));
}

Awaitable<DeliverDecision> ClaimDriver::claim(const ClaimRequest &Request,
                                              TimePoint Deadline) {
  return awaitDecision(
      [this, Deadline, What = Request](ClaimCommands &Commands) {
        return Claims.claim(What, Deadline, now(), Commands);
      });
}

Awaitable<DeliverDecision> ClaimDriver::query(const ClaimKey &What,
                                              TimePoint Deadline) {
  return awaitDecision([this, Deadline, Key = What](ClaimCommands &Commands) {
    return Claims.query(Key, Deadline, now(), Commands);
  });
}

void ClaimDriver::settle(ClaimId Id, Settlement Result) {
  ++PostedSettlements;
  asio::post(Control, [this, Id, Ended = std::move(Result)] {
    if (Stopped)
      return;
    ClaimCommands Commands;
    Claims.settle(Id, Ended, now(), Commands);
    perform(std::move(Commands));
    --PostedSettlements;
  });
}

void ClaimDriver::receive(const HostName &From, const ClaimMessage &Message) {
  ClaimCommands Commands;
  Claims.received(From, Message, now(), Commands);
  perform(std::move(Commands));
}

void ClaimDriver::setMembers(const std::vector<ClaimMember> &Joined) {
  ClaimCommands Commands;
  Claims.setMembers(Joined, now(), Commands);
  perform(std::move(Commands));
}

void ClaimDriver::stop() {
  Stopped = true;
  WakeTimer.cancel();
  for (auto &[Id, Pending] : OpenRequests)
    Pending->Answer->set(unavailable());
  OpenRequests.clear();
}

void ClaimDriver::perform(ClaimCommands Commands) {
  for (ClaimCommand &Next : Commands)
    std::visit([this](auto &Command) { perform(std::move(Command)); }, Next);
  armTimer();
}

void ClaimDriver::perform(ClaimAppend Command) {
  LogService.append(
      claimStream(Command.Partition), std::move(Command.Payload), LogTimeout,
      [this, Partition = Command.Partition,
       Token = Command.Token](AppendResult Result) {
        asio::post(Control, [this, Partition, Token, Result] {
          if (Stopped)
            return;
          ClaimCommands Commands;
          Claims.appended(Partition, Token, Result, now(), Commands);
          perform(std::move(Commands));
        });
      });
}

void ClaimDriver::perform(ClaimRead Command) {
  LogService.read(
      claimStream(Command.Partition), Command.From, MaxEntriesPerRead,
      milliseconds(0),
      [this, Partition = Command.Partition,
       Token = Command.Token](ReadResult Result) {
        asio::post(Control, [this, Partition, Token, Got = std::move(Result)] {
          if (Stopped)
            return;
          ClaimCommands Commands;
          Claims.read(Partition, Token, Got, now(), Commands);
          perform(std::move(Commands));
        });
      });
}

void ClaimDriver::perform(ClaimSend Command) {
  SendToPeer(Command.To, Command.Message);
}

void ClaimDriver::perform(DeliverDecision Command) {
  const auto Found = OpenRequests.find(Command.Id);
  if (Found == OpenRequests.end())
    return;
  const PendingDecisionPtr Pending = std::move(Found->second);
  OpenRequests.erase(Found);
  Pending->Granted = std::holds_alternative<ClaimGranted>(Command.Decision);
  Pending->Answer->set(std::move(Command));
}

void ClaimDriver::armTimer() {
  PendingSettlements = Claims.settling();
  const std::optional<TimePoint> At = Claims.nextWake();
  if (!At || Stopped)
    return;
  WakeTimer.expires_after(
      std::max<Duration>(*At - BootClock::now(), MinWakeDelay));
  WakeTimer.async_wait([this](const boost::system::error_code &Problem) {
    if (Problem)
      return;
    ClaimCommands Commands;
    Claims.advance(now(), Commands);
    perform(std::move(Commands));
  });
}

ClaimGuard::~ClaimGuard() {
  if (Settled)
    return;
  if (Sent)
    Driver->settle(Id, OutcomeUnknown{});
  else
    Driver->settle(Id, ReleaseClaim{});
}

void ClaimGuard::settle(StoredOutcome Outcome) {
  Settled = true;
  Driver->settle(Id, std::move(Outcome));
}

} // namespace coltsfoottrail
