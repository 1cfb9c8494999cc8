#include "coltsfoottrail/hub/link.hpp"

#include "coltsfoottrail/hub/pace.hpp"
#include "coltsfoottrail/logging/log.hpp"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr std::string_view ReportPath = "/report";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
/// An exchange that takes longer beyond the pace is lost, with the hub or on
/// the way: hosts are a few milliseconds apart.
constexpr milliseconds ExchangeSlack{230};
/// Pause after a lost exchange.
constexpr milliseconds RetryPause{100};
/// Exchanges lost in a row before the hub counts as gone: one may be lost on
/// the way, and to ask the store who the hub is costs a call on every host.
constexpr int LostToAsk = 2;
/// While the hub is not known or does not drive the groups any more, the store
/// is asked so often, and less and less often while that changes nothing: each
/// question is paid for. With the store down for eight seconds, 71 hosts asked
/// it 780 times.
constexpr milliseconds AskEvery{700};
constexpr milliseconds LongestAskPause{2'800};
/// Hosts start together: the duty is nobody's at first.
constexpr milliseconds FirstAskAfter{400};
/// The largest count of hosts of so long a time is the one to go by: hosts that
/// are cut off for a while still send.
constexpr Duration HostsLife = seconds(30);

} // namespace

std::string dutyMemberName(const SocketAddress &Reach, std::string_view Run) {
  return Reach.Address + ":" + std::to_string(Reach.Port) + "/" +
         std::string(Run);
}

std::optional<EngineAddress> reachOfMember(std::string_view Member) {
  const std::string_view Reach = Member.substr(0, Member.find('/'));
  const std::size_t Colon = Reach.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  EngineAddress Out;
  Out.Address = Reach.substr(0, Colon);
  const char *const End = Reach.data() + Reach.size();
  const auto Parsed = std::from_chars(Reach.data() + Colon + 1, End, Out.Port);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End)
    return std::nullopt;
  return Out;
}

HubLink::HubLink(IoPool &Pool, const SocketAddress &Listen, std::string Member,
                 FleetStore &Where, HubLinkHooks Told)
    : Store(Where), Hooks(std::move(Told)), Self(std::move(Member)),
      Client(Pool.context(0), ClientOptions{}),
      News(Pool.context(0), asio::steady_timer::time_point::max()),
      AskPause(AskEvery), AskAgainAt(BootClock::now() + FirstAskAfter) {
  Server.emplace(
      Pool, Listen.Address, Listen.Port, ServerLimits{},
      ServerHooks{[this](Exchange &Call) { return serve(Call); }, {}, {}});
}

void HubLink::close() {
  Server.reset();
  Client.closeIdle();
}

void HubLink::took(Feed Which, const FeedPage &Page,
                   const std::vector<bool> &Changed, TimePoint AskedAt) {
  Here.took(Which, Page, Changed, AskedAt);
  if (std::find(Changed.begin(), Changed.end(), true) != Changed.end())
    News.cancel();
}

Awaitable<void> HubLink::awaitNews(const HostReport &Told) {
  const milliseconds Pace = reportPace(hosts(BootClock::now()));
  const TimePoint Until = BootClock::now() + Pace;
  asio::steady_timer Over(co_await asio::this_coro::executor);
  Over.expires_after(Pace);
  while (!Here.hasNews(Told) && BootClock::now() < Until) {
    boost::system::error_code Woken;
    co_await (
        News.async_wait(asio::redirect_error(asio::use_awaitable, Woken)) ||
        Over.async_wait(asio::use_awaitable));
  }
}

Awaitable<void> HubLink::serve(Exchange &Call) {
  HttpResponse Out;
  if (Call.request().Target != ReportPath) {
    Out.Status = StatusNotFound;
    co_await Call.respond(std::move(Out));
    co_return;
  }
  HostReport Told;
  try {
    Told = decodeHostReport(Call.request().Body);
  } catch (const Error &Problem) {
    logEvent(Event::PeerRefused, {{"problem", Problem.what()}});
    Out.Status = StatusBadRequest;
  }
  if (Out.Status == StatusOk) {
    Here.report(Told, BootClock::now());
    for (const std::string &Each : Told.Silent)
      Hooks.Silent(Each);
    if (Told.Silent.empty())
      co_await awaitNews(Told);
    Out.Fields.push_back({"Content-Type", "application/cbor"});
    HubAnswer Said = Here.answer(Told, Hooks.Drives(), BootClock::now());
    if (!Said.Drives && Heard && Known)
      Said.Successor = Known->Address + ":" + std::to_string(Known->Port);
    Out.Body = encode(Said);
  }
  co_await Call.respond(std::move(Out));
}

// Failure guarded against: the store does not answer, and nobody knows a new
// hub. The old one still sums up loads; its feeds grow old and are not used.
Awaitable<std::optional<EngineAddress>> HubLink::hub() {
  if (Heard || BootClock::now() < AskAgainAt)
    co_return Known;
  AskAgainAt = BootClock::now() + AskPause;
  AskPause = std::min(2 * AskPause, LongestAskPause);
  const auto Answer = co_await Store.dutyHolder();
  const auto *const Member = std::get_if<std::string>(&Answer);
  if (Member != nullptr && *Member != Self && !Member->empty())
    Known = reachOfMember(*Member);
  co_return Known;
}

Awaitable<bool> HubLink::exchange(EngineAddress To, HostReport Told) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = ReportPath;
  Request.Fields = {{"Content-Type", "application/cbor"}};
  Request.Body = encode(Told);
  const TimePoint SentAt = BootClock::now();
  const auto Outcome =
      co_await Client.fetch(std::move(To), std::move(Request),
                            SentAt + reportPace(hosts(SentAt)) + ExchangeSlack);
  const auto *const Answer = std::get_if<HttpResponse>(&Outcome);
  if (Answer == nullptr || Answer->Status != StatusOk)
    co_return false;
  try {
    HubAnswer Said = decodeHubAnswer(Answer->Body);
    Heard = Said.Drives;
    if (Heard)
      AskPause = AskEvery;
    else if (Said.Successor)
      follow(*Said.Successor);
    note(Said, BootClock::now());
    Hooks.Take(Told, std::move(Said), SentAt);
  } catch (const Error &Problem) {
    logEvent(Event::PeerRefused, {{"problem", Problem.what()}});
    co_return false;
  }
  co_return true;
}

// Load answered: hosts are stopped in turn, the duty moves once a second, and
// each of seventy hosts asks the store who has it now. Only the host that had
// it asks; the others are told by it.
void HubLink::follow(const std::string &Successor) {
  const auto To = reachOfMember(Successor);
  if (!To)
    return;
  Known = To;
  Heard = true;
}

void HubLink::note(const HubAnswer &Answer, TimePoint Now) {
  if (Answer.Hosts < Hosts && Now - HostsAt < HostsLife)
    return;
  Hosts = Answer.Hosts;
  HostsAt = Now;
}

std::size_t HubLink::hosts(TimePoint Now) const noexcept {
  return Now - HostsAt < HostsLife ? Hosts : 0;
}

/// The hub is a host like the others: it tells itself its loads.
void HubLink::reportToSelf() {
  HostReport Told = Hooks.Report();
  Told.Next.clear();
  const TimePoint Now = BootClock::now();
  Here.report(Told, Now);
  HubAnswer Answer = Here.answer(Told, true, Now);
  note(Answer, Now);
  Hooks.Take(Told, std::move(Answer), Now);
}

Awaitable<void> HubLink::run() {
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  while (true) {
    bool Done = true;
    if (Hooks.Drives()) {
      reportToSelf();
      Done = false;
    } else if (const auto To = co_await hub()) {
      Done = co_await exchange(*To, Hooks.Report());
      Lost = Done ? 0 : Lost + 1;
      Heard = Heard && Lost < LostToAsk;
    } else {
      Heard = false;
      Done = false;
    }
    if (Done)
      continue;
    Pause.expires_after(Hooks.Drives() ? reportPace(hosts(BootClock::now()))
                                       : RetryPause);
    co_await Pause.async_wait(asio::use_awaitable);
  }
}

Awaitable<void> HubLink::tellSilent(std::string Endpoint) {
  HostReport Told = Hooks.Report();
  Told.Next.clear();
  Told.Silent.push_back(std::move(Endpoint));
  if (Known)
    co_await exchange(*Known, std::move(Told));
}

} // namespace coltsfoottrail
