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
/// A wake that lies in the past must not turn into a busy loop.
constexpr milliseconds LeastWake{1};

/// A decision that nobody waits for any more.
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

struct ClaimDriver::Asked {
  explicit Asked(const asio::any_io_executor &Executor)
      : Answer(std::make_shared<Reply<DeliverDecision>>(Executor)) {}

  std::shared_ptr<Reply<DeliverDecision>> Answer;
  ClaimId Id;
  bool Granted = false;
};

// Failure guarded against: the caller goes away while its claim is decided, the
// claim is granted, and nobody holds it: the key would be "in progress" until
// its life ends. The abandoned claim is given up, or released when the grant
// came first; the coroutine has not seen the grant, so nothing was sent.
Awaitable<DeliverDecision> ClaimDriver::awaitDecision(Starter Start) {
  const auto Mine = std::make_shared<Asked>(co_await asio::this_coro::executor);
  asio::post(Control, [this, Mine, Begin = std::move(Start)] {
    if (Stopped) {
      Mine->Answer->set(unavailable());
      return;
    }
    ClaimCommands Due;
    Mine->Id = Begin(Due);
    OpenRequests[Mine->Id] = Mine;
    perform(std::move(Due));
  });
  bool Abandoned = false;
  DeliverDecision Decided;
  try {
    Decided = co_await Mine->Answer->wait();
  } catch (const boost::system::system_error &) {
    Abandoned = true;
  }
  if (Abandoned) {
    asio::post(Control, [this, Mine] { abandon(Mine); });
    throw boost::system::system_error(asio::error::operation_aborted);
  }
  co_return Decided;
}

void ClaimDriver::abandon(const AskedPtr &Gone) {
  if (Stopped)
    return;
  ClaimCommands Due;
  if (OpenRequests.erase(Gone->Id) > 0)
    Claims.giveUp(Gone->Id, now(), Due);
  else if (Gone->Granted)
    Claims.settle(Gone->Id, ReleaseClaim{}, now(), Due);
  perform(std::move(Due));
}

Awaitable<DeliverDecision> ClaimDriver::claim(const ClaimRequest &Request,
                                              TimePoint Deadline) {
  return awaitDecision([this, Deadline, What = Request](ClaimCommands &Due) {
    return Claims.claim(What, Deadline, now(), Due);
  });
}

Awaitable<DeliverDecision> ClaimDriver::query(const ClaimKey &What,
                                              TimePoint Deadline) {
  return awaitDecision([this, Deadline, Key = What](ClaimCommands &Due) {
    return Claims.query(Key, Deadline, now(), Due);
  });
}

void ClaimDriver::settle(ClaimId Id, Settlement How) {
  ++PostedSettlements;
  asio::post(Control, [this, Id, Ended = std::move(How)] {
    if (Stopped)
      return;
    ClaimCommands Due;
    Claims.settle(Id, Ended, now(), Due);
    perform(std::move(Due));
    --PostedSettlements;
  });
}

void ClaimDriver::receive(const HostName &From, const ClaimMessage &Message) {
  ClaimCommands Due;
  Claims.received(From, Message, now(), Due);
  perform(std::move(Due));
}

void ClaimDriver::setMembers(const std::vector<ClaimMember> &Joined) {
  ClaimCommands Due;
  Claims.setMembers(Joined, now(), Due);
  perform(std::move(Due));
}

void ClaimDriver::stop() {
  Stopped = true;
  WakeTimer.cancel();
  for (auto &[Id, Waits] : OpenRequests)
    Waits->Answer->set(unavailable());
  OpenRequests.clear();
}

void ClaimDriver::perform(ClaimCommands Due) {
  for (ClaimCommand &One : Due)
    std::visit([this](auto &Command) { perform(std::move(Command)); }, One);
  armTimer();
}

void ClaimDriver::perform(ClaimAppend Command) {
  LogService.append(claimStream(Command.Partition), std::move(Command.Payload),
                    LogTimeout,
                    [this, Partition = Command.Partition,
                     Token = Command.Token](AppendResult Result) {
                      asio::post(Control, [this, Partition, Token, Result] {
                        if (Stopped)
                          return;
                        ClaimCommands Next;
                        Claims.appended(Partition, Token, Result, now(), Next);
                        perform(std::move(Next));
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
          ClaimCommands Next;
          Claims.read(Partition, Token, Got, now(), Next);
          perform(std::move(Next));
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
  const AskedPtr Waits = std::move(Found->second);
  OpenRequests.erase(Found);
  Waits->Granted = std::holds_alternative<ClaimGranted>(Command.Decision);
  Waits->Answer->set(std::move(Command));
}

void ClaimDriver::armTimer() {
  PendingSettlements = Claims.settling();
  const std::optional<TimePoint> At = Claims.nextWake();
  if (!At || Stopped)
    return;
  WakeTimer.expires_after(
      std::max<Duration>(*At - BootClock::now(), LeastWake));
  WakeTimer.async_wait([this](const boost::system::error_code &Problem) {
    if (Problem)
      return;
    ClaimCommands Due;
    Claims.advance(now(), Due);
    perform(std::move(Due));
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
