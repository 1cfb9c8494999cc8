#include "coltsfoottrail/fleethost/notices.hpp"

#include <charconv>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::string_view SilentPath = "/silent/";
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotFound = 404;
/// A driver is believed to stay for so long: each question to the store is paid
/// for, and a crash takes several groups within this time.
constexpr Duration DriverKnownFor = seconds(2);
constexpr Duration NoticeWithin = milliseconds(500);
/// Names of endpoints are much shorter; more is no name.
constexpr std::size_t LongestName = 256;

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

SilenceNotices::SilenceNotices(IoPool &Pool, const SocketAddress &Listen,
                               FleetStore &Where,
                               std::function<void(std::string)> Told)
    : Store(Where), Heard(std::move(Told)),
      Client(Pool.context(0), ClientOptions{}) {
  Server.emplace(
      Pool, Listen.Address, Listen.Port, ServerLimits{},
      ServerHooks{[this](Exchange &Call) { return take(Call); }, {}, {}});
}

void SilenceNotices::close() {
  Server.reset();
  Client.closeIdle();
}

Awaitable<void> SilenceNotices::take(Exchange &Call) {
  const std::string &Target = Call.request().Target;
  HttpResponse Out;
  Out.Status = StatusNotFound;
  if (Target.starts_with(SilentPath) && Target.size() < LongestName) {
    Out.Status = StatusNoContent;
    Heard(Target.substr(SilentPath.size()));
  }
  co_await Call.respond(std::move(Out));
}

Awaitable<std::optional<EngineAddress>> SilenceNotices::driver() {
  if (Known && BootClock::now() < KnownUntil)
    co_return Known;
  const auto Answer = co_await Store.dutyHolder();
  if (const auto *const Member = std::get_if<std::string>(&Answer)) {
    Known = reachOfMember(*Member);
    KnownUntil = BootClock::now() + DriverKnownFor;
  }
  co_return Known;
}

Awaitable<void> SilenceNotices::tell(std::string Endpoint) {
  const std::optional<EngineAddress> To = co_await driver();
  if (!To)
    co_return;
  HttpRequest Notice;
  Notice.Method = "POST";
  Notice.Target = std::string(SilentPath) + Endpoint;
  const auto Outcome = co_await Client.fetch(*To, std::move(Notice),
                                             BootClock::now() + NoticeWithin);
  if (std::holds_alternative<CallFailure>(Outcome))
    KnownUntil = TimePoint{};
}

} // namespace coltsfoottrail
