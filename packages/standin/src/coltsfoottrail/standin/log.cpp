#include "coltsfoottrail/standin/log.hpp"

#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/standin/query.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstring>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr std::string_view StreamsPrefix = "/v1/streams/";
constexpr std::string_view RecordsSuffix = "/records";
constexpr milliseconds PollInterval{5};
constexpr std::uint64_t MaxWaitMs = 30'000;

Awaitable<void> pause(Duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

HttpResponse unavailableResponse() {
  return HttpResponse{503, {{"Coltsfoottrail-Verdict", "not-run"}}, ""};
}

HttpResponse offsetResponse(Offset Position) {
  return jsonResponse(200, Json{{"offset", Position}}.dump());
}

std::optional<std::string> streamNameOf(std::string_view Path) {
  if (!Path.starts_with(StreamsPrefix) || !Path.ends_with(RecordsSuffix))
    return std::nullopt;
  Path.remove_prefix(StreamsPrefix.size());
  Path.remove_suffix(RecordsSuffix.size());
  return Path.empty() ? std::nullopt : std::optional(std::string(Path));
}

} // namespace

LogStandin::LogStandin(IoPool &Threads, const std::string &Address,
                       std::uint16_t Port, std::size_t KeepEntries)
    : RetainedEntries(KeepEntries),
      Server(Threads, Address, Port,
             ServerLimits{.MaxBodyBytes = std::uint64_t{8} << 20U},
             ServerHooks{
                 [this](Exchange &Call) { return handle(Call); }, {}, {}}) {}

std::uint16_t LogStandin::port() const noexcept { return Server.port(); }

void LogStandin::setFaults(LogFaults NewFaults) {
  const std::lock_guard Hold(Lock);
  Faults = NewFaults;
}

std::uint64_t LogStandin::appends() const {
  const std::lock_guard Hold(Lock);
  return AppendCount;
}

std::uint64_t LogStandin::reads() const {
  const std::lock_guard Hold(Lock);
  return ReadCount;
}

void LogStandin::trim(const StreamName &Name, Offset Horizon) {
  const std::lock_guard Hold(Lock);
  Stream &Records = Streams[Name.Text];
  while (Records.Horizon < Horizon && !Records.Entries.empty()) {
    Records.Entries.pop_front();
    ++Records.Horizon;
  }
}

Awaitable<void> LogStandin::handle(Exchange &Call) {
  const std::string_view Path = pathOf(Call.request().Target);
  if (Path == "/v1/faults" && Call.request().Method == "POST") {
    co_await Call.respond(setFaultsFrom(Call.request().Body));
    co_return;
  }
  const std::optional<std::string> Name = streamNameOf(Path);
  LogFaults CurrentFaults;
  {
    const std::lock_guard Hold(Lock);
    CurrentFaults = Faults;
  }
  if (CurrentFaults.Delay.count() > 0)
    co_await pause(CurrentFaults.Delay);
  if (CurrentFaults.Down)
    co_await Call.respond(unavailableResponse());
  else if (!Name)
    co_await Call.respond(jsonResponse(404, R"({"error":"unknown path"})"));
  else if (Call.request().Method == "POST")
    co_await handleAppend(Call, *Name);
  else
    co_await handleRead(Call, *Name);
}

HttpResponse LogStandin::setFaultsFrom(const std::string &Body) {
  try {
    const Json Value = parseJson(Body, "faults");
    ObjectReader Reader(Value, "faults");
    LogFaults NewFaults;
    NewFaults.Down = Reader.flagOr("down", false);
    NewFaults.Delay = milliseconds(Reader.numberOr("delay_ms", 0, 0, 60'000));
    NewFaults.LoseAnswers = static_cast<std::uint32_t>(
        Reader.numberOr("lose_answers", 0, 0, 1'000'000));
    Reader.finish();
    setFaults(NewFaults);
    return jsonResponse(200, "{}");
  } catch (const InputError &Problem) {
    return jsonResponse(400, Json{{"error", Problem.what()}}.dump());
  }
}

Awaitable<void> LogStandin::handleAppend(Exchange &Call,
                                         const std::string &Name) {
  const std::string &Body = Call.request().Body;
  std::vector<std::byte> Payload(Body.size());
  std::memcpy(Payload.data(), Body.data(), Body.size());
  Offset Position = 0;
  bool DropResponse = false;
  {
    const std::lock_guard Hold(Lock);
    Stream &Records = Streams[Name];
    Position = Records.Horizon + Records.Entries.size();
    Records.Entries.push_back(std::move(Payload));
    if (Records.Entries.size() > RetainedEntries) {
      Records.Entries.pop_front();
      ++Records.Horizon;
    }
    ++AppendCount;
    DropResponse = Faults.LoseAnswers > 0;
    if (DropResponse)
      --Faults.LoseAnswers;
  }
  if (DropResponse)
    Call.cut();
  else
    co_await Call.respond(offsetResponse(Position));
}

Awaitable<void> LogStandin::handleRead(Exchange &Call,
                                       const std::string &Name) {
  const std::string &Target = Call.request().Target;
  const Offset From = numericQueryParameter(Target, "from", 0);
  const auto Max =
      static_cast<std::size_t>(numericQueryParameter(Target, "max", 1024));
  const milliseconds Wait(
      std::min(numericQueryParameter(Target, "wait_ms", 0), MaxWaitMs));
  const TimePoint Until = BootClock::now() + Wait;
  while (true) {
    const bool Final = BootClock::now() >= Until;
    std::optional<HttpResponse> Response = readNow(Name, From, Max, Final);
    if (Response) {
      co_await Call.respond(std::move(*Response));
      co_return;
    }
    co_await pause(PollInterval);
  }
}

std::optional<HttpResponse> LogStandin::readNow(const std::string &Name,
                                                Offset From, std::size_t Max,
                                                bool Final) {
  const std::lock_guard Hold(Lock);
  if (Faults.Down)
    return HttpResponse{503, {}, ""};
  const Stream &Records = Streams[Name];
  const Offset End = Records.Horizon + Records.Entries.size();
  if (From < Records.Horizon) {
    ++ReadCount;
    return jsonResponse(410, Json{{"horizon", Records.Horizon}}.dump());
  }
  if (From >= End && !Final)
    return std::nullopt;
  Json Entries = Json::array();
  for (Offset Position = From; Position < End && Entries.size() < Max;
       ++Position) {
    const auto &Bytes = Records.Entries[Position - Records.Horizon];
    const auto *const Begin =
        reinterpret_cast<const std::uint8_t *>(Bytes.data());
    Entries.push_back({{"at", Position},
                       {"payload", Json::binary(std::vector<std::uint8_t>(
                                       Begin, Begin + Bytes.size()))}});
  }
  ++ReadCount;
  HttpResponse Response{200, {{"Content-Type", "application/cbor"}}, ""};
  Json::to_cbor(Json{{"entries", std::move(Entries)},
                     {"end", End},
                     {"horizon", Records.Horizon}},
                Response.Body);
  return Response;
}

} // namespace coltsfoottrail
