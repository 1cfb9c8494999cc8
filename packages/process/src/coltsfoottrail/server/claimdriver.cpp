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

ClaimDesk::ClaimDesk(asio::io_context &Where, Log &Platform,
                     ClaimOptions Limits, Sender Send)
    : Control(Where), Service(Platform), Decides(std::move(Limits)),
      ToPeer(std::move(Send)), Wake(Where) {}

ClaimTime ClaimDesk::now() {
  const auto Wall = std::chrono::duration_cast<seconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return {BootClock::now(), static_cast<std::uint64_t>(Wall.count())};
}

struct ClaimDesk::Asked {
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
Awaitable<DeliverDecision> ClaimDesk::ask(Starter Start) {
  const auto Mine = std::make_shared<Asked>(co_await asio::this_coro::executor);
  asio::post(Control, [this, Mine, Begin = std::move(Start)] {
    if (Stopped) {
      Mine->Answer->give(unavailable());
      return;
    }
    ClaimCommands Due;
    Mine->Id = Begin(Due);
    Open[Mine->Id] = Mine;
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

void ClaimDesk::abandon(const AskedPtr &Gone) {
  if (Stopped)
    return;
  ClaimCommands Due;
  if (Open.erase(Gone->Id) > 0)
    Decides.giveUp(Gone->Id, now(), Due);
  else if (Gone->Granted)
    Decides.settle(Gone->Id, ReleaseClaim{}, now(), Due);
  perform(std::move(Due));
}

Awaitable<DeliverDecision> ClaimDesk::claim(const ClaimRequest &Request,
                                            TimePoint Deadline) {
  return ask([this, Deadline, What = Request](ClaimCommands &Due) {
    return Decides.claim(What, Deadline, now(), Due);
  });
}

Awaitable<DeliverDecision> ClaimDesk::query(const ClaimKey &What,
                                            TimePoint Deadline) {
  return ask([this, Deadline, Key = What](ClaimCommands &Due) {
    return Decides.query(Key, Deadline, now(), Due);
  });
}

void ClaimDesk::settle(ClaimId Id, Settlement How) {
  ++Posted;
  asio::post(Control, [this, Id, Ended = std::move(How)] {
    if (Stopped)
      return;
    ClaimCommands Due;
    Decides.settle(Id, Ended, now(), Due);
    perform(std::move(Due));
    --Posted;
  });
}

void ClaimDesk::received(const HostName &From, const ClaimMessage &Message) {
  ClaimCommands Due;
  Decides.received(From, Message, now(), Due);
  perform(std::move(Due));
}

void ClaimDesk::members(const std::vector<ClaimMember> &Joined) {
  ClaimCommands Due;
  Decides.setMembers(Joined, now(), Due);
  perform(std::move(Due));
}

void ClaimDesk::stop() {
  Stopped = true;
  Wake.cancel();
  for (auto &[Id, Waits] : Open)
    Waits->Answer->give(unavailable());
  Open.clear();
}

void ClaimDesk::perform(ClaimCommands Due) {
  for (ClaimCommand &One : Due)
    std::visit([this](auto &Command) { perform(std::move(Command)); }, One);
  arm();
}

void ClaimDesk::perform(ClaimAppend Command) {
  Service.append(claimStream(Command.Partition), std::move(Command.Payload),
                 LogTimeout,
                 [this, Partition = Command.Partition,
                  Token = Command.Token](AppendResult Result) {
                   asio::post(Control, [this, Partition, Token, Result] {
                     if (Stopped)
                       return;
                     ClaimCommands Next;
                     Decides.appended(Partition, Token, Result, now(), Next);
                     perform(std::move(Next));
                   });
                 });
}

void ClaimDesk::perform(ClaimRead Command) {
  Service.read(claimStream(Command.Partition), Command.From, MaxEntriesPerRead,
               milliseconds(0),
               [this, Partition = Command.Partition,
                Token = Command.Token](ReadResult Result) {
                 asio::post(Control,
                            [this, Partition, Token, Got = std::move(Result)] {
                              if (Stopped)
                                return;
                              ClaimCommands Next;
                              Decides.read(Partition, Token, Got, now(), Next);
                              perform(std::move(Next));
                            });
               });
}

void ClaimDesk::perform(ClaimSend Command) {
  ToPeer(Command.To, Command.Message);
}

void ClaimDesk::perform(DeliverDecision Command) {
  const auto Found = Open.find(Command.Id);
  if (Found == Open.end())
    return;
  const AskedPtr Waits = std::move(Found->second);
  Open.erase(Found);
  Waits->Granted = std::holds_alternative<ClaimGranted>(Command.Decision);
  Waits->Answer->give(std::move(Command));
}

void ClaimDesk::arm() {
  Settling = Decides.settling();
  const std::optional<TimePoint> At = Decides.nextWake();
  if (!At || Stopped)
    return;
  Wake.expires_after(std::max<Duration>(*At - BootClock::now(), LeastWake));
  Wake.async_wait([this](const boost::system::error_code &Problem) {
    if (Problem)
      return;
    ClaimCommands Due;
    Decides.advance(now(), Due);
    perform(std::move(Due));
  });
}

ClaimGuard::~ClaimGuard() {
  if (Done)
    return;
  if (Left)
    Home->settle(Id, OutcomeUnknown{});
  else
    Home->settle(Id, ReleaseClaim{});
}

void ClaimGuard::settle(StoredOutcome Outcome) {
  Done = true;
  Home->settle(Id, std::move(Outcome));
}

} // namespace coltsfoottrail
