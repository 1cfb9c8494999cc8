#include "coltsfoottrail/http/blocking.hpp"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

namespace coltsfoottrail {

namespace {

using Answer = std::variant<HttpResponse, CallFailure>;

Awaitable<Answer>
streamOne(HttpClient &Client, EngineAddress To, HttpRequest Request,
          TimePoint Deadline,
          const std::function<void(std::string_view)> &OnPart) {
  auto Started = co_await Client.start(std::move(To), std::move(Request),
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

Answer streamBlocking(const EngineAddress &To, HttpRequest Request,
                      milliseconds Timeout,
                      const std::function<void(std::string_view)> &OnPart) {
  boost::asio::io_context Context(1);
  HttpClient Client(Context, ClientOptions{});
  Answer Out = CallFailure{};
  std::exception_ptr Problem;
  const TimePoint Deadline = BootClock::now() + Timeout;
  boost::asio::co_spawn(
      Context,
      [&]() -> Awaitable<void> {
        Out = co_await streamOne(Client, To, std::move(Request), Deadline,
                                 OnPart);
      },
      [&Problem](const std::exception_ptr &Thrown) { Problem = Thrown; });
  Context.run();
  if (Problem)
    std::rethrow_exception(Problem);
  return Out;
}

Answer fetchBlocking(const EngineAddress &To, HttpRequest Request,
                     milliseconds Timeout) {
  std::string Body;
  Answer Out = streamBlocking(To, std::move(Request), Timeout,
                              [&Body](std::string_view Part) { Body += Part; });
  if (auto *const Whole = std::get_if<HttpResponse>(&Out))
    Whole->Body = std::move(Body);
  return Out;
}

} // namespace coltsfoottrail
