#include "coltsfoottrail/standin/service.hpp"

#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/standin/query.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

/// Counts a call while it is in progress.
struct InProgressGuard {
  explicit InProgressGuard(std::atomic<std::uint32_t> &Counter)
      : Count(Counter) {
    ++Count;
  }
  InProgressGuard(const InProgressGuard &) = delete;
  InProgressGuard &operator=(const InProgressGuard &) = delete;
  ~InProgressGuard() { --Count; }
  std::atomic<std::uint32_t> &Count;
};

HttpResponse reportResponse(std::uint32_t InProgress) {
  return jsonResponse(
      200, Json{{"run", 1}, {"running", InProgress}, {"queued", 0}}.dump());
}

HttpResponse countResponse(std::uint64_t Runs) {
  return jsonResponse(200, Json{{"runs", Runs}}.dump());
}

HttpResponse executionResponse(const HttpRequest &Request,
                               std::uint64_t Number) {
  return jsonResponse(200, Json{{"run", Number},
                                {"method", Request.Method},
                                {"path", Request.Target},
                                {"body_bytes", Request.Body.size()}}
                               .dump());
}

HttpResponse hostListResponse(const std::vector<ListedHost> &Hosts) {
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
  const auto Entry = Runs.find(Body);
  return Entry == Runs.end() ? 0 : Entry->second;
}

std::uint64_t ServiceStandin::runs() const {
  const std::lock_guard Hold(Lock);
  std::uint64_t Total = 0;
  for (const auto &[Body, Count] : Runs)
    Total += Count;
  return Total;
}

void ServiceStandin::setDelay(milliseconds Value) {
  const std::lock_guard Hold(Lock);
  Delay = Value;
}

void ServiceStandin::setLoseAnswers(bool Value) {
  const std::lock_guard Hold(Lock);
  LoseAnswers = Value;
}

Awaitable<void> ServiceStandin::handle(Exchange &Call) {
  const HttpRequest &Request = Call.request();
  if (pathOf(Request.Target) == "/count") {
    co_await Call.respond(countResponse(runs()));
    co_return;
  }
  if (pathOf(Request.Target) == "/report") {
    co_await Call.respond(reportResponse(InProgress));
    co_return;
  }
  const InProgressGuard Mark(InProgress);
  std::uint64_t Number = 0;
  milliseconds Wait{0};
  bool DropResponse = false;
  {
    const std::lock_guard Hold(Lock);
    Number = ++Runs[Request.Body];
    Wait = Delay;
    DropResponse = LoseAnswers;
  }
  if (Wait.count() > 0) {
    asio::steady_timer Timer(co_await asio::this_coro::executor, Wait);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  if (DropResponse)
    Call.cut();
  else
    co_await Call.respond(executionResponse(Request, Number));
}

HostListStandin::HostListStandin(IoPool &Threads, const std::string &Address,
                                 std::uint16_t Port)
    : Server(Threads, Address, Port, ServerLimits{},
             ServerHooks{
                 [this](Exchange &Call) { return handle(Call); }, {}, {}}) {}

std::uint16_t HostListStandin::port() const noexcept { return Server.port(); }

void HostListStandin::set(std::vector<ListedHost> Value) {
  const std::lock_guard Hold(Lock);
  Hosts = std::move(Value);
}

Awaitable<void> HostListStandin::handle(Exchange &Call) {
  std::vector<ListedHost> CurrentHosts;
  {
    const std::lock_guard Hold(Lock);
    CurrentHosts = Hosts;
  }
  co_await Call.respond(hostListResponse(CurrentHosts));
}

} // namespace coltsfoottrail
