#include "coltsfoottrail/standin/load.hpp"

#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/http/iopool.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr seconds CallTimeout{60};
constexpr milliseconds PauseAfterRefusal{20};
constexpr unsigned StatusOk = 200;

/// What all clients of a run share.
struct Shared {
  Shared(const LoadOptions &Asked, const std::atomic<bool> &Ending)
      : Wanted(Asked), Stop(Ending), Until(BootClock::now() + Asked.Time) {}

  [[nodiscard]] bool takeTurn() {
    if (Stop || BootClock::now() >= Until)
      return false;
    const std::uint64_t Number = Next++;
    return Wanted.Requests == 0 || Number < Wanted.Requests;
  }

  const LoadOptions &Wanted;
  const std::atomic<bool> &Stop;
  TimePoint Until;
  std::atomic<std::uint64_t> Next{0};
  std::mutex Lock;
  LoadResult Result;
};

HttpRequest requestOf(const LoadOptions &Wanted, std::uint32_t Client,
                      std::uint64_t Turn) {
  HttpRequest Out;
  Out.Method = "POST";
  Out.Target = Wanted.Path;
  Out.Fields = {{"Authorization", "Bearer " + Wanted.Credential},
                {"Content-Type", "application/json"}};
  if (!Wanted.Body.empty()) {
    Out.Body = Wanted.Body;
    return Out;
  }
  const std::string Prompt = "detour plan " + std::to_string(Turn) +
                             " of client " + std::to_string(Client);
  Out.Body = Json{{"model", Wanted.Model},
                  {"prompt", Prompt},
                  {"max_tokens", Wanted.Tokens},
                  {"stream", Wanted.Stream}}
                 .dump();
  return Out;
}

std::string refusalCode(const HttpResponse &Refusal) {
  const Json Body = Json::parse(Refusal.Body, nullptr, false);
  if (!Body.is_object())
    return "status " + std::to_string(Refusal.Status);
  return Body.value("verdict", "?") + " " + Body.value("reason", "?");
}

/// One answer as it came.
struct Outcome {
  HttpResponse Got;
  bool Lost = false;
  bool Cut = false;
  Duration FirstByte{};
  Duration Total{};
};

void note(Shared &Run, const Outcome &Ended) {
  const std::lock_guard Hold(Run.Lock);
  LoadResult &Result = Run.Result;
  const bool Unfinished = Run.Wanted.Stream && Ended.Got.Status == StatusOk &&
                          !Ended.Got.Body.ends_with("data: [DONE]\n\n");
  if (Ended.Lost)
    ++Result.Lost;
  else if (Ended.Cut || Unfinished)
    ++Result.Cut;
  else if (Ended.Got.Status != StatusOk)
    ++Result.Refused[refusalCode(Ended.Got)];
  else {
    ++Result.Answered;
    Result.Latencies.push_back(Ended.Total);
    Result.FirstBytes.push_back(Ended.FirstByte);
  }
}

Awaitable<Outcome> callOnce(HttpClient &Client, EngineAddress To,
                            HttpRequest Request) {
  Outcome Out;
  const TimePoint Start = BootClock::now();
  const TimePoint Deadline = Start + CallTimeout;
  auto Started =
      co_await Client.start(std::move(To), std::move(Request), Deadline);
  if (!std::holds_alternative<HttpCall>(Started)) {
    Out.Lost = true;
    co_return Out;
  }
  HttpCall &Call = std::get<HttpCall>(Started);
  Out.Got = Call.head();
  bool Open = true;
  while (Open) {
    auto Next = co_await Call.next(Deadline);
    if (std::holds_alternative<CallFailure>(Next)) {
      Out.Cut = true;
      co_return Out;
    }
    if (Out.FirstByte == Duration{})
      Out.FirstByte = BootClock::now() - Start;
    auto &Part = std::get<std::optional<std::string>>(Next);
    Open = Part.has_value();
    if (Open)
      Out.Got.Body += *Part;
  }
  Out.Total = BootClock::now() - Start;
  co_return Out;
}

Awaitable<void> runClient(Shared &Run, HttpClient &Client,
                          std::uint32_t Number) {
  boost::asio::steady_timer Pause(co_await boost::asio::this_coro::executor);
  std::uint64_t Turn = 0;
  while (Run.takeTurn()) {
    const std::size_t Where = (Number + Turn) % Run.Wanted.Targets.size();
    HttpRequest Request = requestOf(Run.Wanted, Number, Turn++);
    const Outcome Ended = co_await callOnce(Client, Run.Wanted.Targets[Where],
                                            std::move(Request));
    note(Run, Ended);
    if (Ended.Lost || Ended.Got.Status != StatusOk) {
      Pause.expires_after(PauseAfterRefusal);
      co_await Pause.async_wait(boost::asio::use_awaitable);
    }
  }
}

Json millis(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace

Duration LoadResult::quantile(const std::vector<Duration> &Sorted,
                              double Share) {
  if (Sorted.empty())
    return {};
  const auto Rank =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Rank, Sorted.size() - 1)];
}

LoadResult runLoad(const LoadOptions &Wanted, const std::atomic<bool> &Stop) {
  Shared Run(Wanted, Stop);
  IoPool Threads(Wanted.Threads);
  std::vector<std::unique_ptr<HttpClient>> Clients;
  ClientOptions Limits;
  Limits.MaxIdlePerEndpoint = Wanted.Clients;
  for (std::size_t Index = 0; Index < Threads.size(); ++Index)
    Clients.push_back(
        std::make_unique<HttpClient>(Threads.context(Index), Limits));
  std::vector<std::promise<void>> Ends(Wanted.Clients);
  const TimePoint Start = BootClock::now();
  for (std::uint32_t Number = 0; Number < Wanted.Clients; ++Number) {
    const std::size_t Thread = Number % Threads.size();
    boost::asio::co_spawn(
        Threads.context(Thread),
        [&Run, &Client = *Clients[Thread], Number] {
          return runClient(Run, Client, Number);
        },
        [&End = Ends[Number]](const std::exception_ptr &) { End.set_value(); });
  }
  for (std::promise<void> &End : Ends)
    End.get_future().wait();
  Run.Result.Elapsed = BootClock::now() - Start;
  Threads.stop();
  Clients.clear();
  std::sort(Run.Result.Latencies.begin(), Run.Result.Latencies.end());
  std::sort(Run.Result.FirstBytes.begin(), Run.Result.FirstBytes.end());
  return std::move(Run.Result);
}

Json describeLoad(const LoadResult &Result) {
  const double Seconds = std::chrono::duration<double>(Result.Elapsed).count();
  return {{"answered", Result.Answered},
          {"cut", Result.Cut},
          {"lost", Result.Lost},
          {"refused", Result.Refused},
          {"seconds", Seconds},
          {"requests_per_second",
           Seconds > 0 ? static_cast<double>(Result.Answered) / Seconds : 0.0},
          {"p50_ms", millis(LoadResult::quantile(Result.Latencies, 0.50))},
          {"p99_ms", millis(LoadResult::quantile(Result.Latencies, 0.99))},
          {"first_byte_p50_ms",
           millis(LoadResult::quantile(Result.FirstBytes, 0.50))},
          {"first_byte_p99_ms",
           millis(LoadResult::quantile(Result.FirstBytes, 0.99))}};
}

} // namespace coltsfoottrail
