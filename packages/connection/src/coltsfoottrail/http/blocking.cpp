#include "coltsfoottrail/http/blocking.hpp"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

namespace coltsfoottrail {

namespace {

using Result = std::variant<HttpResponse, CallFailure>;

Awaitable<Result>
streamResponse(HttpClient &Client, EngineAddress Address, HttpRequest Request,
               TimePoint Deadline,
               const std::function<void(std::string_view)> &OnPart) {
  auto Started = co_await Client.start(std::move(Address), std::move(Request),
                                       Deadline, SingleUseConnection);
  if (const auto *const Failed = std::get_if<CallFailure>(&Started))
    co_return *Failed;
  HttpCall &Call = std::get<HttpCall>(Started);
  while (true) {
    auto Next = co_await Call.next(Deadline);
    if (const auto *const Failed = std::get_if<CallFailure>(&Next))
      co_return *Failed;
    const auto &Part = std::get<std::optional<std::string>>(Next);
    if (!Part)
      co_return Call.head();
    OnPart(*Part);
  }
}

} // namespace

Result streamBlocking(const EngineAddress &Address, HttpRequest Request,
                      milliseconds Timeout,
                      const std::function<void(std::string_view)> &OnPart) {
  boost::asio::io_context Context(1);
  HttpClient Client(Context, largeResponses());
  Result Outcome = CallFailure{};
  std::exception_ptr Problem;
  const TimePoint Deadline = BootClock::now() + Timeout;
  boost::asio::co_spawn(
      Context,
      [&]() -> Awaitable<void> {
        Outcome = co_await streamResponse(Client, Address, std::move(Request),
                                          Deadline, OnPart);
      },
      [&Problem](const std::exception_ptr &Exception) { Problem = Exception; });
  Context.run();
  if (Problem)
    std::rethrow_exception(Problem);
  return Outcome;
}

Result fetchBlocking(const EngineAddress &Address, HttpRequest Request,
                     milliseconds Timeout) {
  std::string Body;
  Result Outcome =
      streamBlocking(Address, std::move(Request), Timeout,
                     [&Body](std::string_view Part) { Body += Part; });
  if (auto *const Response = std::get_if<HttpResponse>(&Outcome))
    Response->Body = std::move(Body);
  return Outcome;
}

} // namespace coltsfoottrail
