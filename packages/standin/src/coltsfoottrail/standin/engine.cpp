#include "coltsfoottrail/standin/engine.hpp"

#include "coltsfoottrail/adapter/engines.hpp"
#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/standin/query.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t MaxTokens = 100'000;
constexpr std::uint64_t DefaultTokens = 24;

Awaitable<void> pause(Duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

Incarnation drawRun() {
  std::random_device Source;
  return (std::uint64_t{Source()} << 20U) ^ Source();
}

std::string wordAt(std::uint64_t PromptHash, std::uint64_t Index) {
  static constexpr std::array<std::string_view, 16> Words{
      "close",  "lane", "at",   "the", "bridge", "place", "sign",    "before",
      "detour", "via",  "road", "and", "keep",   "the",   "barrier", "lit"};
  Random Generator(PromptHash + Index);
  return std::string(Words[Generator.below(Words.size())]) + " ";
}

std::string tokenEvent(bool Chat, const std::string &Word, bool Last) {
  Json Choice{{"index", 0}};
  if (Chat)
    Choice["delta"] = {{"content", Word}};
  else
    Choice["text"] = Word;
  Choice["finish_reason"] = Last ? Json("length") : Json();
  return "data: " + Json{{"choices", {Choice}}}.dump() + "\n\n";
}

HttpResponse completionResponse(bool Chat, const std::string &Text,
                                std::uint64_t Tokens) {
  Json Choice{{"index", 0}, {"finish_reason", "length"}};
  if (Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  return jsonResponse(200, Json{{"choices", {Choice}},
                                {"usage", {{"completion_tokens", Tokens}}}}
                               .dump());
}

HttpResponse streamResponseHead() {
  return HttpResponse{200, {{"Content-Type", "text/event-stream"}}, ""};
}

std::string groupKey(const GroupId &Group) {
  return std::to_string(Group.Plan) + "." + std::to_string(Group.Number);
}

HttpResponse notRunResponse(unsigned Status, std::string_view Why) {
  HttpResponse Result =
      jsonResponse(Status, Json{{"error", std::string(Why)}}.dump());
  Result.Fields.push_back({"Coltsfoottrail-Verdict", "not-run"});
  return Result;
}

std::string generateText(std::uint64_t PromptHash, std::uint64_t Tokens) {
  std::string Result;
  for (std::uint64_t Index = 0; Index < Tokens; ++Index)
    Result += wordAt(PromptHash, Index);
  return Result;
}

} // namespace

std::string completionText(std::string_view Prompt, std::uint64_t Tokens) {
  return generateText(hashText(Prompt), Tokens);
}

struct EngineStandin::CompletionRequest {
  std::string Prompt;
  std::uint64_t Hash = 0;
  std::uint64_t Tokens = DefaultTokens;
  std::uint64_t From = 0;
  bool Stream = false;
  bool Chat = false;
};

/// Counts a request while it is processed.
struct EngineStandin::InProgressGuard {
  explicit InProgressGuard(EngineStandin &Engine) : Owner(Engine) {
    const std::lock_guard Hold(Owner.Lock);
    ++Owner.Started;
    ++Owner.Status.Running;
    Owner.PeakConcurrency =
        std::max(Owner.PeakConcurrency, Owner.Status.Running);
  }
  InProgressGuard(const InProgressGuard &) = delete;
  InProgressGuard &operator=(const InProgressGuard &) = delete;
  ~InProgressGuard() {
    if (Completed)
      return;
    const std::lock_guard Hold(Owner.Lock);
    --Owner.Status.Running;
    ++Owner.Cancelled;
  }
  /// Ends the count. Called before the last bytes of the response are sent: the
  /// caller may have them, and send the next request, before this coroutine
  /// goes on.
  void complete() {
    const std::lock_guard Hold(Owner.Lock);
    --Owner.Status.Running;
    Completed = true;
  }

private:
  EngineStandin &Owner;
  bool Completed = false;
};

EngineStandin::EngineStandin(IoPool &Threads, const std::string &Address,
                             std::uint16_t Port, EngineTraits Traits)
    : Capabilities(Traits),
      Server(Threads, Address, Port,
             ServerLimits{.MaxBodyBytes = std::uint64_t{8} << 20U},
             ServerHooks{
                 [this](Exchange &Call) { return handle(Call); }, {}, {}}) {
  Status.Run = drawRun();
}

std::uint16_t EngineStandin::port() const noexcept { return Server.port(); }

void EngineStandin::setFaults(EngineFaults NewFaults) {
  const std::lock_guard Hold(Lock);
  Faults = std::move(NewFaults);
}

void EngineStandin::restart() {
  const std::lock_guard Hold(Lock);
  const std::uint32_t InProgress = Status.Running;
  Status = EngineReport{};
  Status.Run = drawRun();
  Status.Running = InProgress;
  Server.cutAll();
}

EngineReport EngineStandin::report() const {
  const std::lock_guard Hold(Lock);
  updatePhase();
  return Status;
}

std::uint32_t EngineStandin::peakConcurrency() const {
  const std::lock_guard Hold(Lock);
  return PeakConcurrency;
}

std::uint64_t EngineStandin::started() const {
  const std::lock_guard Hold(Lock);
  return Started;
}

std::uint64_t EngineStandin::cancelled() const {
  const std::lock_guard Hold(Lock);
  return Cancelled;
}

void EngineStandin::updatePhase() const {
  if (Status.Phase == EnginePhase::Loading && BootClock::now() >= LoadedAt)
    Status.Phase = EnginePhase::Ready;
  if (Status.Phase == EnginePhase::Leaving && Status.Running == 0) {
    Status.Phase = EnginePhase::Idle;
    Status.Group.reset();
  }
}

Awaitable<void> EngineStandin::handle(Exchange &Call) {
  const HttpRequest &Request = Call.request();
  const std::string_view Path = pathOf(Request.Target);
  if (Path == "/report")
    co_await Call.respond(jsonResponse(200, writeReport(report()).dump()));
  else if (Path == "/orders" && Request.Method == "POST")
    co_await Call.respond(handleOrder(Request.Body));
  else if (Path == "/faults" && Request.Method == "POST")
    co_await Call.respond(setFaultsFrom(Request.Body));
  else if (Path == "/restart" && Request.Method == "POST") {
    restart();
    co_await Call.respond(jsonResponse(200, "{}"));
  } else if (Path == "/v1/completions" || Path == "/v1/chat/completions")
    co_await complete(Call);
  else
    co_await Call.respond(notRunResponse(404, "unknown path"));
}

HttpResponse EngineStandin::setFaultsFrom(const std::string &Body) {
  try {
    const Json Value = parseJson(Body, "faults");
    ObjectReader Reader(Value, "faults");
    EngineFaults NewFaults;
    NewFaults.CrashOn = Reader.textOr("crash_on", "");
    NewFaults.CutAfterTokens = static_cast<std::uint32_t>(
        Reader.numberOr("cut_after_tokens", 0, 0, MaxTokens));
    NewFaults.Delay = milliseconds(Reader.numberOr("delay_ms", 0, 0, 60'000));
    Reader.finish();
    setFaults(std::move(NewFaults));
    return jsonResponse(200, "{}");
  } catch (const InputError &Problem) {
    return jsonResponse(400, Json{{"error", Problem.what()}}.dump());
  }
}

HttpResponse EngineStandin::handleOrder(const std::string &Body) {
  try {
    const EngineOrder Order = readOrder(parseJson(Body, "order"));
    const std::lock_guard Hold(Lock);
    updatePhase();
    if (Capabilities.RefusesOldFences && Order.Fence < Status.Fence)
      return jsonResponse(412, Json{{"fence", Status.Fence}}.dump());
    Status.Fence = std::max(Status.Fence, Order.Fence);
    if (const auto *const Join = std::get_if<JoinGroup>(&Order.What)) {
      const bool Same = Status.Group == Join->Group &&
                        Status.Version == Join->Version &&
                        Status.Phase != EnginePhase::Leaving;
      if (!Same && Status.Running > 0)
        return jsonResponse(409, R"({"error":"requests in progress"})");
      if (!Same) {
        Status.Group = Join->Group;
        Status.Version = Join->Version;
        Status.Adapters = Join->Adapters;
        Status.Phase = EnginePhase::Loading;
        LoadedAt = BootClock::now() + Capabilities.LoadTime;
      }
    } else if (const auto *const Leave = std::get_if<LeaveGroup>(&Order.What)) {
      if (Status.Group == Leave->Group)
        Status.Phase = EnginePhase::Leaving;
      updatePhase();
    } else if (const auto *const Load =
                   std::get_if<LoadAdapters>(&Order.What)) {
      if (Status.Group != Load->Group)
        return jsonResponse(409, R"({"error":"not a member of that group"})");
      Status.Adapters = Load->Adapters;
    }
    return jsonResponse(200, "{}");
  } catch (const InputError &Problem) {
    return jsonResponse(400, Json{{"error", Problem.what()}}.dump());
  }
}

std::optional<HttpResponse> EngineStandin::refuse(const HttpRequest &Request) {
  const std::lock_guard Hold(Lock);
  updatePhase();
  if (Status.Phase != EnginePhase::Ready || !Status.Group)
    return notRunResponse(409, "not serving");
  const std::string_view RequestedGroup =
      fieldOf(Request.Fields, "Coltsfoottrail-Group");
  if (!RequestedGroup.empty() && RequestedGroup != groupKey(*Status.Group))
    return notRunResponse(409, "serves another group");
  if (Status.Running >= Capabilities.MaxConcurrentRequests)
    return notRunResponse(503, "too many requests in progress");
  return std::nullopt;
}

Awaitable<void> EngineStandin::complete(Exchange &Call) {
  if (std::optional<HttpResponse> Refusal = refuse(Call.request())) {
    co_await Call.respond(std::move(*Refusal));
    co_return;
  }
  CompletionRequest Request;
  std::string Problem;
  try {
    const Json Body = parseJson(Call.request().Body, "request");
    ObjectReader Reader(Body, "request", "", UnknownKeys::Ignore);
    Request.Chat = Reader.has("messages");
    Request.Prompt = Request.Chat ? Reader.raw("messages").dump()
                                  : Reader.text("prompt", 1U << 20U);
    Request.Tokens = Reader.numberOr("max_tokens", DefaultTokens, 1, MaxTokens);
    Request.Stream = Reader.flagOr("stream", false);
    if (Reader.has("coltsfoottrail_resume"))
      Request.From = Reader.object("coltsfoottrail_resume").number("tokens");
    Request.Hash = hashText(Request.Prompt);
  } catch (const InputError &Wrong) {
    Problem = Wrong.what();
  }
  if (!Problem.empty()) {
    co_await Call.respond(notRunResponse(400, Problem));
    co_return;
  }
  InProgressGuard Mark(*this);
  EngineFaults CurrentFaults;
  {
    const std::lock_guard Hold(Lock);
    CurrentFaults = Faults;
  }
  if (!CurrentFaults.CrashOn.empty() &&
      Request.Prompt.find(CurrentFaults.CrashOn) != std::string::npos) {
    restart();
    co_return;
  }
  if (CurrentFaults.Delay.count() > 0)
    co_await pause(CurrentFaults.Delay);
  if (Request.Stream)
    co_await streamCompletion(Call, Request, Mark);
  else
    co_await respondComplete(Call, Request, Mark);
}

Awaitable<void> EngineStandin::streamCompletion(
    Exchange &Call, const CompletionRequest &Request, InProgressGuard &Mark) {
  std::uint32_t CutAfter = 0;
  std::string Endless;
  {
    const std::lock_guard Hold(Lock);
    CutAfter = Faults.CutAfterTokens;
    Endless = Faults.EndlessBytes;
  }
  co_await Call.begin(streamResponseHead());
  while (!Endless.empty())
    co_await Call.write(Endless);
  for (std::uint64_t Index = Request.From; Index < Request.Tokens; ++Index) {
    co_await pause(Capabilities.TimePerToken);
    co_await Call.write(tokenEvent(Request.Chat, wordAt(Request.Hash, Index),
                                   Index + 1 == Request.Tokens));
    if (CutAfter != 0 && Index + 1 - Request.From >= CutAfter) {
      Mark.complete();
      Call.cut();
      co_return;
    }
  }
  Mark.complete();
  co_await Call.write("data: [DONE]\n\n");
  co_await Call.end();
}

Awaitable<void> EngineStandin::respondComplete(Exchange &Call,
                                               const CompletionRequest &Request,
                                               InProgressGuard &Mark) {
  const std::string Text = generateText(Request.Hash, Request.Tokens);
  co_await pause(Capabilities.TimePerToken * static_cast<int>(Request.Tokens));
  Mark.complete();
  co_await Call.respond(completionResponse(Request.Chat, Text, Request.Tokens));
}

} // namespace coltsfoottrail
