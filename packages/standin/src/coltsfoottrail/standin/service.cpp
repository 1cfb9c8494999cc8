#include "coltsfoottrail/standin/service.hpp"

#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/standin/query.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

/// Counts a call while it runs.
struct CountUp {
  explicit CountUp(std::atomic<std::uint32_t> &Counter) : Count(Counter) {
    ++Count;
  }
  CountUp(const CountUp &) = delete;
  CountUp &operator=(const CountUp &) = delete;
  ~CountUp() { --Count; }
  std::atomic<std::uint32_t> &Count;
};

HttpResponse reportAnswer(std::uint32_t InProgress) {
  return jsonResponse(
      200, Json{{"run", 1}, {"running", InProgress}, {"queued", 0}}.dump());
}

HttpResponse countAnswer(std::uint64_t Runs) {
  return jsonResponse(200, Json{{"runs", Runs}}.dump());
}

HttpResponse runAnswer(const HttpRequest &Asked, std::uint64_t Number) {
  return jsonResponse(200, Json{{"run", Number},
                                {"method", Asked.Method},
                                {"path", Asked.Target},
                                {"body_bytes", Asked.Body.size()}}
                               .dump());
}

HttpResponse listAnswer(const std::vector<ListedHost> &Hosts) {
  Json List = Json::array();
  for (const ListedHost &Host : Hosts)
    List.push_back({{"name", Host.Name.Text}, {"leaving", Host.Leaving}});
  return jsonResponse(200, Json{{"hosts", std::move(List)}}.dump());
}

} // namespace

ServiceStandin::ServiceStandin(IoPool &Threads, const std::string &Address,
                               std::uint16_t Port)
    : Server(Threads, Address, Port, ServerLimits{},
             ServerHooks{
                 [this](Exchange &Call) { return handle(Call); }, {}, {}}) {}

std::uint16_t ServiceStandin::port() const noexcept { return Server.port(); }

std::uint64_t ServiceStandin::executionsOf(const std::string &Body) const {
  const std::lock_guard Hold(Lock);
  const auto Found = Runs.find(Body);
  return Found == Runs.end() ? 0 : Found->second;
}

std::uint64_t ServiceStandin::runs() const {
  const std::lock_guard Hold(Lock);
  std::uint64_t All = 0;
  for (const auto &[Body, Count] : Runs)
    All += Count;
  return All;
}

void ServiceStandin::setDelay(milliseconds Wanted) {
  const std::lock_guard Hold(Lock);
  Delay = Wanted;
}

void ServiceStandin::setLoseAnswers(bool Wanted) {
  const std::lock_guard Hold(Lock);
  LoseAnswers = Wanted;
}

Awaitable<void> ServiceStandin::handle(Exchange &Call) {
  const HttpRequest &Asked = Call.request();
  if (pathOf(Asked.Target) == "/count") {
    co_await Call.respond(countAnswer(runs()));
    co_return;
  }
  if (pathOf(Asked.Target) == "/report") {
    co_await Call.respond(reportAnswer(InProgress));
    co_return;
  }
  const CountUp Mark(InProgress);
  std::uint64_t Number = 0;
  milliseconds Wait{0};
  bool Lose = false;
  {
    const std::lock_guard Hold(Lock);
    Number = ++Runs[Asked.Body];
    Wait = Delay;
    Lose = LoseAnswers;
  }
  if (Wait.count() > 0) {
    asio::steady_timer Timer(co_await asio::this_coro::executor, Wait);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  if (Lose)
    Call.cut();
  else
    co_await Call.respond(runAnswer(Asked, Number));
}

HostListStandin::HostListStandin(IoPool &Threads, const std::string &Address,
                                 std::uint16_t Port)
    : Server(Threads, Address, Port, ServerLimits{},
             ServerHooks{
                 [this](Exchange &Call) { return handle(Call); }, {}, {}}) {}

std::uint16_t HostListStandin::port() const noexcept { return Server.port(); }

void HostListStandin::set(std::vector<ListedHost> Wanted) {
  const std::lock_guard Hold(Lock);
  Hosts = std::move(Wanted);
}

Awaitable<void> HostListStandin::handle(Exchange &Call) {
  std::vector<ListedHost> Now;
  {
    const std::lock_guard Hold(Lock);
    Now = Hosts;
  }
  co_await Call.respond(listAnswer(Now));
}

} // namespace coltsfoottrail
