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

/// State shared by all clients of a run.
struct LoadRun {
  LoadRun(const LoadOptions &LoadSettings, const std::atomic<bool> &StopFlag)
      : Options(LoadSettings), Stop(StopFlag),
        EndTime(BootClock::now() + LoadSettings.Time) {}

  [[nodiscard]] bool takeTurn() {
    if (Stop || BootClock::now() >= EndTime)
      return false;
    const std::uint64_t Number = Next++;
    return Options.Requests == 0 || Number < Options.Requests;
  }

  const LoadOptions &Options;
  const std::atomic<bool> &Stop;
  TimePoint EndTime;
  std::atomic<std::uint64_t> Next{0};
  std::mutex Lock;
  LoadResult Result;
};

HttpRequest makeRequest(const LoadOptions &Options, std::uint32_t Client,
                        std::uint64_t Turn) {
  HttpRequest Result;
  Result.Method = "POST";
  Result.Target = Options.Path;
  Result.Fields = {{"Authorization", "Bearer " + Options.Credential},
                   {"Content-Type", "application/json"}};
  if (!Options.Body.empty()) {
    Result.Body = Options.Body;
    return Result;
  }
  const std::string Prompt = "detour plan " + std::to_string(Turn) +
                             " of client " + std::to_string(Client);
  Result.Body = Json{{"model", Options.Model},
                     {"prompt", Prompt},
                     {"max_tokens", Options.Tokens},
                     {"stream", Options.Stream}}
                    .dump();
  return Result;
}

std::string refusalCode(const HttpResponse &Refusal) {
  const Json Body = Json::parse(Refusal.Body, nullptr, false);
  if (!Body.is_object())
    return "status " + std::to_string(Refusal.Status);
  return Body.value("verdict", "?") + " " + Body.value("reason", "?");
}

/// Outcome of one call.
struct Outcome {
  HttpResponse Response;
  bool Lost = false;
  bool Cut = false;
  Duration FirstByte{};
  Duration Total{};
};

void recordOutcome(LoadRun &Run, const Outcome &CallOutcome) {
  const std::lock_guard Hold(Run.Lock);
  LoadResult &Result = Run.Result;
  const bool Unfinished =
      Run.Options.Stream && CallOutcome.Response.Status == StatusOk &&
      !CallOutcome.Response.Body.ends_with("data: [DONE]\n\n");
  if (CallOutcome.Lost)
    ++Result.Lost;
  else if (CallOutcome.Cut || Unfinished)
    ++Result.Cut;
  else if (CallOutcome.Response.Status != StatusOk)
    ++Result.Refused[refusalCode(CallOutcome.Response)];
  else {
    ++Result.Answered;
    Result.Latencies.push_back(CallOutcome.Total);
    Result.FirstBytes.push_back(CallOutcome.FirstByte);
  }
}

Awaitable<Outcome> callOnce(HttpClient &Client, EngineAddress Endpoint,
                            HttpRequest Request) {
  Outcome Result;
  const TimePoint Start = BootClock::now();
  const TimePoint Deadline = Start + CallTimeout;
  auto Started =
      co_await Client.start(std::move(Endpoint), std::move(Request), Deadline);
  if (!std::holds_alternative<HttpCall>(Started)) {
    Result.Lost = true;
    co_return Result;
  }
  HttpCall &Call = std::get<HttpCall>(Started);
  Result.Response = Call.head();
  bool Open = true;
  while (Open) {
    auto Next = co_await Call.next(Deadline);
    if (std::holds_alternative<CallFailure>(Next)) {
      Result.Cut = true;
      co_return Result;
    }
    if (Result.FirstByte == Duration{})
      Result.FirstByte = BootClock::now() - Start;
    auto &Part = std::get<std::optional<std::string>>(Next);
    Open = Part.has_value();
    if (Open)
      Result.Response.Body += *Part;
  }
  Result.Total = BootClock::now() - Start;
  co_return Result;
}

Awaitable<void> runClient(LoadRun &Run, HttpClient &Client,
                          std::uint32_t Number) {
  boost::asio::steady_timer Pause(co_await boost::asio::this_coro::executor);
  std::uint64_t Turn = 0;
  while (Run.takeTurn()) {
    const std::size_t TargetIndex =
        (Number + Turn) % Run.Options.Targets.size();
    HttpRequest Request = makeRequest(Run.Options, Number, Turn++);
    const Outcome CallOutcome = co_await callOnce(
        Client, Run.Options.Targets[TargetIndex], std::move(Request));
    recordOutcome(Run, CallOutcome);
    if (CallOutcome.Lost || CallOutcome.Response.Status != StatusOk) {
      Pause.expires_after(PauseAfterRefusal);
      co_await Pause.async_wait(boost::asio::use_awaitable);
    }
  }
}

Json toMilliseconds(Duration Time) {
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

LoadResult runLoad(const LoadOptions &Options, const std::atomic<bool> &Stop) {
  LoadRun Run(Options, Stop);
  IoPool Threads(Options.Threads);
  std::vector<std::unique_ptr<HttpClient>> Clients;
  ClientOptions Limits;
  Limits.MaxIdlePerEndpoint = Options.Clients;
  for (std::size_t Index = 0; Index < Threads.size(); ++Index)
    Clients.push_back(
        std::make_unique<HttpClient>(Threads.context(Index), Limits));
  std::vector<std::promise<void>> Ends(Options.Clients);
  const TimePoint Start = BootClock::now();
  for (std::uint32_t Number = 0; Number < Options.Clients; ++Number) {
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
  return {
      {"answered", Result.Answered},
      {"cut", Result.Cut},
      {"lost", Result.Lost},
      {"refused", Result.Refused},
      {"seconds", Seconds},
      {"requests_per_second",
       Seconds > 0 ? static_cast<double>(Result.Answered) / Seconds : 0.0},
      {"p50_ms", toMilliseconds(LoadResult::quantile(Result.Latencies, 0.50))},
      {"p99_ms", toMilliseconds(LoadResult::quantile(Result.Latencies, 0.99))},
      {"first_byte_p50_ms",
       toMilliseconds(LoadResult::quantile(Result.FirstBytes, 0.50))},
      {"first_byte_p99_ms",
       toMilliseconds(LoadResult::quantile(Result.FirstBytes, 0.99))}};
}

} // namespace coltsfoottrail
