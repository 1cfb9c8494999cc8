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
  Random Draw(PromptHash + Index);
  return std::string(Words[Draw.below(Words.size())]) + " ";
}

std::string wordEvent(bool Chat, const std::string &Word, bool Last) {
  Json Choice{{"index", 0}};
  if (Chat)
    Choice["delta"] = {{"content", Word}};
  else
    Choice["text"] = Word;
  Choice["finish_reason"] = Last ? Json("length") : Json();
  return "data: " + Json{{"choices", {Choice}}}.dump() + "\n\n";
}

HttpResponse wholeAnswer(bool Chat, const std::string &Text,
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

HttpResponse streamHead() {
  return HttpResponse{200, {{"Content-Type", "text/event-stream"}}, ""};
}

std::string groupKey(const GroupId &Group) {
  return std::to_string(Group.Plan) + "." + std::to_string(Group.Number);
}

HttpResponse notRun(unsigned Status, std::string_view Why) {
  HttpResponse Out =
      jsonResponse(Status, Json{{"error", std::string(Why)}}.dump());
  Out.Fields.push_back({"Coltsfoottrail-Verdict", "not-run"});
  return Out;
}

std::string draftFor(std::uint64_t PromptHash, std::uint64_t Tokens) {
  std::string Out;
  for (std::uint64_t Index = 0; Index < Tokens; ++Index)
    Out += wordAt(PromptHash, Index);
  return Out;
}

} // namespace

std::string completionText(std::string_view Prompt, std::uint64_t Tokens) {
  return draftFor(hashText(Prompt), Tokens);
}

struct EngineStandin::Work {
  std::string Prompt;
  std::uint64_t Hash = 0;
  std::uint64_t Tokens = DefaultTokens;
  std::uint64_t From = 0;
  bool Stream = false;
  bool Chat = false;
};

/// Counts a request while it is worked on.
struct EngineStandin::Running {
  explicit Running(EngineStandin &Of) : Owner(Of) {
    const std::lock_guard Hold(Owner.Lock);
    ++Owner.Started;
    ++Owner.Now.Running;
    Owner.Most = std::max(Owner.Most, Owner.Now.Running);
  }
  Running(const Running &) = delete;
  Running &operator=(const Running &) = delete;
  ~Running() {
    const std::lock_guard Hold(Owner.Lock);
    --Owner.Now.Running;
    if (!Whole)
      ++Owner.Cancelled;
  }
  EngineStandin &Owner;
  bool Whole = false;
};

EngineStandin::EngineStandin(IoPool &Threads, const std::string &Address,
                             std::uint16_t Port, EngineTraits Traits)
    : Can(Traits),
      Server(Threads, Address, Port,
             ServerLimits{.MaxBodyBytes = std::uint64_t{8} << 20U},
             ServerHooks{
                 [this](Exchange &Call) { return handle(Call); }, {}, {}}) {
  Now.Run = drawRun();
}

std::uint16_t EngineStandin::port() const noexcept { return Server.port(); }

void EngineStandin::setFaults(EngineFaults Wanted) {
  const std::lock_guard Hold(Lock);
  Faults = std::move(Wanted);
}

void EngineStandin::restart() {
  const std::lock_guard Hold(Lock);
  const std::uint32_t InProgress = Now.Running;
  Now = EngineReport{};
  Now.Run = drawRun();
  Now.Running = InProgress;
  Server.cutAll();
}

EngineReport EngineStandin::report() const {
  const std::lock_guard Hold(Lock);
  settlePhase();
  return Now;
}

std::uint32_t EngineStandin::peakConcurrency() const {
  const std::lock_guard Hold(Lock);
  return Most;
}

std::uint64_t EngineStandin::started() const {
  const std::lock_guard Hold(Lock);
  return Started;
}

std::uint64_t EngineStandin::cancelled() const {
  const std::lock_guard Hold(Lock);
  return Cancelled;
}

void EngineStandin::settlePhase() const {
  if (Now.Phase == EnginePhase::Loading && BootClock::now() >= LoadedAt)
    Now.Phase = EnginePhase::Ready;
  if (Now.Phase == EnginePhase::Leaving && Now.Running == 0) {
    Now.Phase = EnginePhase::Idle;
    Now.Group.reset();
  }
}

Awaitable<void> EngineStandin::handle(Exchange &Call) {
  const HttpRequest &Asked = Call.request();
  const std::string_view Path = pathOf(Asked.Target);
  if (Path == "/report")
    co_await Call.respond(jsonResponse(200, writeReport(report()).dump()));
  else if (Path == "/orders" && Asked.Method == "POST")
    co_await Call.respond(obey(Asked.Body));
  else if (Path == "/faults" && Asked.Method == "POST")
    co_await Call.respond(setFaultsFrom(Asked.Body));
  else if (Path == "/restart" && Asked.Method == "POST") {
    restart();
    co_await Call.respond(jsonResponse(200, "{}"));
  } else if (Path == "/v1/completions" || Path == "/v1/chat/completions")
    co_await complete(Call);
  else
    co_await Call.respond(notRun(404, "unknown path"));
}

HttpResponse EngineStandin::setFaultsFrom(const std::string &Body) {
  try {
    const Json Value = parseJson(Body, "faults");
    ObjectReader Reader(Value, "faults");
    EngineFaults Wanted;
    Wanted.CrashOn = Reader.textOr("crash_on", "");
    Wanted.CutAfterTokens = static_cast<std::uint32_t>(
        Reader.numberOr("cut_after_tokens", 0, 0, MaxTokens));
    Wanted.Delay = milliseconds(Reader.numberOr("delay_ms", 0, 0, 60'000));
    Reader.finish();
    setFaults(std::move(Wanted));
    return jsonResponse(200, "{}");
  } catch (const InputError &Problem) {
    return jsonResponse(400, Json{{"error", Problem.what()}}.dump());
  }
}

HttpResponse EngineStandin::obey(const std::string &Body) {
  try {
    const EngineOrder Order = readOrder(parseJson(Body, "order"));
    const std::lock_guard Hold(Lock);
    settlePhase();
    if (Can.RefusesOldFences && Order.Fence < Now.Fence)
      return jsonResponse(412, Json{{"fence", Now.Fence}}.dump());
    Now.Fence = std::max(Now.Fence, Order.Fence);
    if (const auto *const Join = std::get_if<JoinGroup>(&Order.What)) {
      const bool Same = Now.Group == Join->Group &&
                        Now.Version == Join->Version &&
                        Now.Phase != EnginePhase::Leaving;
      if (!Same && Now.Running > 0)
        return jsonResponse(409, R"({"error":"still at work"})");
      if (!Same) {
        Now.Group = Join->Group;
        Now.Version = Join->Version;
        Now.Adapters = Join->Adapters;
        Now.Phase = EnginePhase::Loading;
        LoadedAt = BootClock::now() + Can.LoadTime;
      }
    } else if (const auto *const Leave = std::get_if<LeaveGroup>(&Order.What)) {
      if (Now.Group == Leave->Group)
        Now.Phase = EnginePhase::Leaving;
      settlePhase();
    } else if (const auto *const Load =
                   std::get_if<LoadAdapters>(&Order.What)) {
      if (Now.Group != Load->Group)
        return jsonResponse(409, R"({"error":"another group"})");
      Now.Adapters = Load->Adapters;
    }
    return jsonResponse(200, "{}");
  } catch (const InputError &Problem) {
    return jsonResponse(400, Json{{"error", Problem.what()}}.dump());
  }
}

std::optional<HttpResponse> EngineStandin::refuse(const HttpRequest &Asked) {
  const std::lock_guard Hold(Lock);
  settlePhase();
  if (Now.Phase != EnginePhase::Ready || !Now.Group)
    return notRun(409, "not serving");
  const std::string_view Wanted = fieldOf(Asked.Fields, "Coltsfoottrail-Group");
  if (!Wanted.empty() && Wanted != groupKey(*Now.Group))
    return notRun(409, "serves another group");
  if (Now.Running >= Can.MaxConcurrentRequests)
    return notRun(503, "more than it bears");
  return std::nullopt;
}

Awaitable<void> EngineStandin::complete(Exchange &Call) {
  if (std::optional<HttpResponse> Refusal = refuse(Call.request())) {
    co_await Call.respond(std::move(*Refusal));
    co_return;
  }
  Work Asked;
  std::string Problem;
  try {
    const Json Body = parseJson(Call.request().Body, "request");
    ObjectReader Reader(Body, "request", "", UnknownKeys::Ignore);
    Asked.Chat = Reader.has("messages");
    Asked.Prompt = Asked.Chat ? Reader.raw("messages").dump()
                              : Reader.text("prompt", 1U << 20U);
    Asked.Tokens = Reader.numberOr("max_tokens", DefaultTokens, 1, MaxTokens);
    Asked.Stream = Reader.flagOr("stream", false);
    if (Reader.has("coltsfoottrail_resume"))
      Asked.From = Reader.object("coltsfoottrail_resume").number("tokens");
    Asked.Hash = hashText(Asked.Prompt);
  } catch (const InputError &Wrong) {
    Problem = Wrong.what();
  }
  if (!Problem.empty()) {
    co_await Call.respond(notRun(400, Problem));
    co_return;
  }
  Running Mark(*this);
  EngineFaults Today;
  {
    const std::lock_guard Hold(Lock);
    Today = Faults;
  }
  if (!Today.CrashOn.empty() &&
      Asked.Prompt.find(Today.CrashOn) != std::string::npos) {
    restart();
    co_return;
  }
  if (Today.Delay.count() > 0)
    co_await pause(Today.Delay);
  if (Asked.Stream)
    co_await streamWords(Call, Asked);
  else
    co_await answerWhole(Call, Asked);
  Mark.Whole = true;
}

Awaitable<void> EngineStandin::streamWords(Exchange &Call, const Work &Asked) {
  std::uint32_t CutAfter = 0;
  {
    const std::lock_guard Hold(Lock);
    CutAfter = Faults.CutAfterTokens;
  }
  co_await Call.begin(streamHead());
  for (std::uint64_t Index = Asked.From; Index < Asked.Tokens; ++Index) {
    co_await pause(Can.TimePerToken);
    co_await Call.write(wordEvent(Asked.Chat, wordAt(Asked.Hash, Index),
                                  Index + 1 == Asked.Tokens));
    if (CutAfter != 0 && Index + 1 - Asked.From >= CutAfter) {
      Call.cut();
      co_return;
    }
  }
  co_await Call.write("data: [DONE]\n\n");
  co_await Call.end();
}

Awaitable<void> EngineStandin::answerWhole(Exchange &Call, const Work &Asked) {
  const std::string Text = draftFor(Asked.Hash, Asked.Tokens);
  co_await pause(Can.TimePerToken * static_cast<int>(Asked.Tokens));
  co_await Call.respond(wholeAnswer(Asked.Chat, Text, Asked.Tokens));
}

} // namespace coltsfoottrail
