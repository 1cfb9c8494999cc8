#include "checkers.hpp"
#include "report.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/fold/fold.hpp"
#include "coltsfoottrail/server/fixture.hpp"

#include <atomic>
#include <iostream>
#include <shared_mutex>

namespace coltsfoottrail::testing {
namespace {

enum class Fault : std::uint8_t {
  None,
  LogDown,
  LogSlow,
  LogLosesAnswers,
  EntryHostDies,
  EngineRestarts,
  EngineCrashes,
  StreamCut,
  ServiceLosesAnswers
};

enum class Step : std::uint8_t { Orders, Drafts, Drain, PlannedStop, Plan };

struct Cell {
  Fault Wrong = Fault::None;
  Step During = Step::Orders;
};

constexpr std::size_t CallerCount = 4;
/// Requests of one caller in each of the three parts of the load: before the
/// fault, while it holds, and when the step has come to its end.
constexpr unsigned TurnsPerPart = 4;
constexpr unsigned Parts = 3;
constexpr std::uint32_t WarmBound = 3;
constexpr unsigned DraftTokens = 20;
constexpr std::uint32_t LostAppendAnswers = 6;
constexpr std::uint64_t Seed = 20'261'203;
constexpr std::string_view PoisonWord = "poison";
constexpr std::size_t DyingHost = 1;
constexpr std::size_t StoppingHost = 0;

Report &report() {
  static Report Only;
  return Only;
}

class PrintAtTheEnd : public ::testing::Environment {
public:
  void TearDown() override { std::cout << report().text() << std::flush; }
};

const ::testing::Environment *const Printer =
    ::testing::AddGlobalTestEnvironment(new PrintAtTheEnd);

/// What a caller got, before it is told apart.
struct Heard {
  unsigned Status = 0;
  std::string Body;
  bool Whole = false;
  bool NothingSent = false;
};

std::string textOfStream(std::string_view Raw) {
  std::string Out;
  while (!Raw.empty()) {
    const std::string_view Event = Raw.substr(0, Raw.find("\n\n"));
    Raw.remove_prefix(std::min(Raw.size(), Event.size() + 2));
    if (!Event.starts_with("data: {"))
      continue;
    const Json Data = Json::parse(Event.substr(6), nullptr, false);
    if (Data.is_object() && Data.contains("choices"))
      Out += Data.at("choices").at(0).at("text").get<std::string>();
  }
  return Out;
}

std::string textOfWhole(const std::string &Body) {
  const Json Data = Json::parse(Body, nullptr, false);
  return Data.is_object() && Data.contains("choices")
             ? Data.at("choices").at(0).at("text").get<std::string>()
             : "not a draft: " + Body;
}

void judge(const Heard &Got, CallEnded &Call) {
  const Json Body = Json::parse(Got.Body, nullptr, false);
  const std::string Verdict = Body.is_object() ? Body.value("verdict", "") : "";
  if (Got.NothingSent)
    Call.End = CallEnd::Unreachable;
  else if (Got.Whole && Got.Status == 200)
    Call.End = CallEnd::Answered;
  else if (Verdict == "not-run")
    Call.End = CallEnd::NotRun;
  else if (Verdict == "may-have-run")
    Call.End = CallEnd::MayHaveRun;
  else
    Call.End = CallEnd::Cut;
  if (Call.End != CallEnd::Answered && Body.is_object())
    Call.Reason = Body.value("reason", "");
}

class Matrix : public Bench, public ::testing::WithParamInterface<Cell> {
protected:
  void SetUp() override {
    for (int Index = 0; Index < 4; ++Index)
      addEngine(
          {.LoadTime = milliseconds(20), .TimePerToken = milliseconds(2)});
    addHost("entry-1", "east");
    addHost("entry-2", "north");
    addHost("entry-3", "west");
    ASSERT_TRUE(allReady());
    Json Declared = declaration();
    Declared["models"][0]["warm_bound"] = WarmBound;
    Declared["models"][0]["cold_bound"] = WarmBound;
    apply({{"kind", "apply_declaration"}, {"declaration", Declared}});
    for (const auto &Host : Hosts)
      Ports.push_back(Host->callerPort());
    ASSERT_TRUE(eventually([&] {
      for (const std::uint16_t Port : Ports)
        if (call(Port, draft("warm up", false, 1)).Status != 200)
          return false;
      return true;
    }));
  }

  [[nodiscard]] Fault wrong() const { return GetParam().Wrong; }
  [[nodiscard]] Step during() const { return GetParam().During; }

  /// The host that the balancer picks: a ready one, or one that has died and
  /// has not been found out yet.
  [[nodiscard]] std::size_t pick(std::uint64_t Wanted) {
    const std::shared_lock Hold(HostsLock);
    for (std::size_t Turn = 0; Turn < Hosts.size(); ++Turn) {
      const std::size_t Index = (Wanted + Turn) % Hosts.size();
      const bool Usable =
          Hosts[Index] ? Hosts[Index]->ready() : !FoundDead.load();
      if (Usable)
        return Index;
    }
    return Wanted % Hosts.size() == DyingHost ? StoppingHost + 2
                                              : Wanted % Hosts.size();
  }

  [[nodiscard]] Heard ask(std::size_t Host, HttpRequest Asked) const {
    Heard Out;
    const auto Got = fetchBlocking({std::string(Loopback), Ports[Host]},
                                   std::move(Asked), CallTimeout);
    if (const auto *const Failed = std::get_if<CallFailure>(&Got)) {
      Out.NothingSent = Failed->State == RunState::NotRun;
      return Out;
    }
    const auto &Answer = std::get<HttpResponse>(Got);
    return Heard{Answer.Status, Answer.Body, true, false};
  }

  [[nodiscard]] Heard askStream(std::size_t Host, HttpRequest Asked) const {
    Heard Out;
    const auto Got = streamBlocking(
        {std::string(Loopback), Ports[Host]}, std::move(Asked), CallTimeout,
        [&Out](std::string_view Part) { Out.Body += Part; });
    if (const auto *const Failed = std::get_if<CallFailure>(&Got)) {
      Out.NothingSent = Failed->State == RunState::NotRun;
      return Out;
    }
    Out.Status = std::get<HttpResponse>(Got).Status;
    Out.Whole = Out.Status != 200 || Out.Body.ends_with("data: [DONE]\n\n");
    return Out;
  }

  void ended(std::size_t Host, CallEnded Call) {
    Call.Through = HostName("entry-" + std::to_string(Host + 1));
    if (Call.End == CallEnd::Unreachable && Host == DyingHost)
      FoundDead = true;
    Past.record(std::move(Call));
  }

  void sendOrder(std::uint64_t Wanted, const std::string &Key,
                 const std::string &Body) {
    const std::size_t Host = pick(Wanted);
    HttpRequest Asked = order(Key, Body);
    const std::string Patience = wrong() == Fault::LogDown ? "200" : "3000";
    Asked.Fields.push_back({"Coltsfoottrail-Deadline-Ms", Patience});
    CallEnded Call;
    Call.Kind = CallKind::Order;
    Call.Body = Body;
    Call.Key = Key;
    Call.Expected = Json{
        {"run", 1},
        {"method", "POST"},
        {"path", "/sign"},
        {"body_bytes",
         Body.size()}}.dump();
    const Heard Got = ask(Host, std::move(Asked));
    Call.Got = Got.Body;
    judge(Got, Call);
    ended(Host, std::move(Call));
  }

  void sendDraft(std::uint64_t Wanted, const std::string &Prompt, bool Stream) {
    const std::size_t Host = pick(Wanted);
    HttpRequest Asked = draft(Prompt, Stream, DraftTokens);
    Asked.Fields.push_back({"Coltsfoottrail-Deadline-Ms", "5000"});
    CallEnded Call;
    Call.Kind = CallKind::Draft;
    Call.Body = Prompt;
    Call.Expected = completionText(Prompt, DraftTokens);
    const Heard Got = Stream ? askStream(Host, std::move(Asked))
                             : ask(Host, std::move(Asked));
    Call.Got = Stream ? textOfStream(Got.Body) : textOfWhole(Got.Body);
    judge(Got, Call);
    ended(Host, std::move(Call));
  }

  /// An order of which no other has the length, so that its answer can be told
  /// from all others; sent again, with its key, through another host.
  void orderTwice(std::size_t Caller, unsigned Turn, std::uint64_t Wanted) {
    const std::size_t Number = Caller * TurnsPerPart * Parts + Turn;
    const std::string Body =
        "sign " + std::to_string(Number) + std::string(Number, '.');
    {
      const std::lock_guard Hold(BodiesLock);
      Bodies.push_back(Body);
    }
    const bool HasKey = Number % 4 != 3;
    sendOrder(Wanted, HasKey ? "key-" + std::to_string(Number) : "", Body);
    if (HasKey)
      sendOrder(Wanted + 1, "key-" + std::to_string(Number), Body);
  }

  void oneTurn(std::size_t Caller, unsigned Turn, Random &Draw) {
    const std::uint64_t Wanted = Draw.below(Hosts.size());
    const bool Stream = Draw.below(2) == 0;
    const std::string Prompt = std::to_string(Turn) + " plan of caller " +
                               std::to_string(Caller) + " " +
                               std::to_string(Draw.below(1'000));
    const bool Poisoned = wrong() == Fault::EngineCrashes && Caller == 0 &&
                          (Turn == TurnsPerPart || Turn == TurnsPerPart + 1);
    if (during() != Step::Orders)
      sendDraft(Wanted, Poisoned ? std::string(PoisonWord) : Prompt, Stream);
    if (during() != Step::Drafts)
      orderTwice(Caller, Turn, Wanted);
    ++TurnsDone;
  }

  void runCaller(std::size_t Caller) {
    Random Draw(Seed + Caller);
    for (unsigned Turn = 0; Turn < TurnsPerPart * Parts; ++Turn) {
      if (Turn == TurnsPerPart * 2)
        LastPart.wait(false);
      oneTurn(Caller, Turn, Draw);
    }
  }

  void setFault() {
    switch (wrong()) {
    case Fault::LogDown:
      LogService.setFaults({.Down = true});
      break;
    case Fault::LogSlow:
      LogService.setFaults({.Delay = milliseconds(150)});
      break;
    case Fault::LogLosesAnswers:
      LogService.setFaults({.LoseAnswers = LostAppendAnswers});
      break;
    case Fault::EngineRestarts:
      Engines[0]->restart();
      break;
    case Fault::EngineCrashes:
      for (const auto &Engine : Engines)
        Engine->setFaults({.CrashOn = std::string(PoisonWord)});
      break;
    case Fault::StreamCut:
      Engines[0]->setFaults({.CrashOn = {}, .CutAfterTokens = 5});
      break;
    case Fault::ServiceLosesAnswers:
      Orders.setLoseAnswers(true);
      break;
    case Fault::None:
    case Fault::EntryHostDies:
      break;
    }
  }

  void killHost() {
    std::unique_ptr<EntryHostProcess> Dead;
    {
      const std::unique_lock Hold(HostsLock);
      Dead = std::move(Hosts[DyingHost]);
    }
    Dead.reset();
  }

  void clearLastingFaults() {
    LogService.setFaults({});
    Orders.setLoseAnswers(false);
  }

  [[nodiscard]] bool alive(std::size_t Index) const {
    return Hosts[Index] != nullptr &&
           !(during() == Step::PlannedStop && Index == StoppingHost);
  }

  /// Asks until the plan is accepted: while the log is down it is refused. A
  /// plan whose answer was lost may have been confirmed; then nothing is left
  /// to plan or to confirm.
  [[nodiscard]] bool accept(std::size_t Host, const Json &Intent) const {
    const HttpResponse Planned = operate(Host, "/v1/plans", Intent.dump());
    if (Planned.Status != 200)
      return false;
    const Offset Id = Json::parse(Planned.Body).at("id").get<Offset>();
    const std::string At = "/v1/plans/" + std::to_string(Id) + "/confirm";
    return operate(Host, At, "{}").Status == 200;
  }

  [[nodiscard]] bool inForceEverywhere() const {
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      if (!alive(Index))
        continue;
      const StatePtr Now = Hosts[Index]->state();
      const auto &Last = *Now->Plans.rbegin();
      const bool Drained =
          Now->DrainedDataCentres.contains(DataCentreName("west"));
      if (Last.second.Phase != PlanPhase::Done ||
          (during() == Step::Drain && !Drained))
        return false;
    }
    return true;
  }

  void changeConfiguration() {
    const Json Drain{{"kind", "drain_data_centre"}, {"data_centre", "west"}};
    const Json Capacity{{"kind", "set_capacity"},
                        {"model", "plan"},
                        {"data_centre", "west"},
                        {"groups", 1}};
    const Json Wanted = during() == Step::Drain ? Drain : Capacity;
    if (wrong() == Fault::LogDown) {
      EXPECT_FALSE(accept(DyingHost, Wanted));
      LogService.setFaults({});
    }
    EXPECT_TRUE(eventually([&] { return accept(DyingHost, Wanted); }));
    if (wrong() == Fault::EntryHostDies)
      killHost();
    EXPECT_TRUE(eventually([&] { return inForceEverywhere(); }));
  }

  void act() {
    if (during() == Step::PlannedStop) {
      if (wrong() == Fault::EntryHostDies)
        killHost();
      Past.record(
          PlannedStop{HostName("entry-1"), Hosts[StoppingHost]->stop()});
    } else if (during() == Step::Drain || during() == Step::Plan) {
      changeConfiguration();
    } else if (wrong() == Fault::EntryHostDies) {
      killHost();
    }
    if (during() == Step::Drain)
      for (const std::size_t West : {1, 3})
        Past.record(DrainInForce{"engine-" + std::to_string(West),
                                 Engines[West]->started()});
  }

  void sample() {
    const std::shared_lock Hold(HostsLock);
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      if (!Hosts[Index])
        continue;
      const StatePtr Now = Hosts[Index]->state();
      if (Seen[Index] && Seen[Index]->Next == Now->Next)
        continue;
      Seen[Index] = Now;
      const HostName Name("entry-" + std::to_string(Index + 1));
      Past.record(StateSeen{Name, Now->Next});
      Past.record(DigestSeen{Name, Now->Next, digestOf(*Now)});
      GroupsSeen Groups;
      Groups.Next = Now->Next;
      for (const auto &[Id, Grouped] : Now->Groups)
        Groups.Members[Id].assign(Grouped.Held.begin(), Grouped.Held.end());
      Past.record(std::move(Groups));
    }
  }

  /// All that are left have the same state at the end.
  [[nodiscard]] bool converged() {
    std::optional<Offset> Common;
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      if (!alive(Index))
        continue;
      const Offset Next = Hosts[Index]->state()->Next;
      if (Common.value_or(Next) != Next)
        return false;
      Common = Next;
    }
    return true;
  }

  void recordCounts() {
    for (const std::string &Body : Bodies)
      Past.record(OrderRuns{Body, Orders.executionsOf(Body)});
    for (std::size_t Index = 0; Index < Engines.size(); ++Index)
      Past.record(EnginePeak{"engine-" + std::to_string(Index),
                             Engines[Index]->peakConcurrency(), WarmBound});
    if (during() == Step::Drain)
      for (const std::size_t West : {1, 3})
        Past.record(DrainObserved{"engine-" + std::to_string(West),
                                  Engines[West]->started()});
  }

  [[nodiscard]] bool turnsReached(unsigned Part) {
    return eventually(
        [&] { return TurnsDone >= CallerCount * TurnsPerPart * Part; });
  }

  void runCell() {
    std::atomic<bool> Sampling{true};
    std::thread Sampler([&] {
      while (Sampling) {
        sample();
        std::this_thread::sleep_for(milliseconds(2));
      }
    });
    std::vector<std::thread> Callers;
    for (std::size_t Index = 0; Index < CallerCount; ++Index)
      Callers.emplace_back([this, Index] { runCaller(Index); });
    EXPECT_TRUE(eventually([&] { return TurnsDone >= CallerCount * 2; }));
    setFault();
    act();
    EXPECT_TRUE(turnsReached(2));
    clearLastingFaults();
    LastPart = true;
    LastPart.notify_all();
    for (std::thread &Caller : Callers)
      Caller.join();
    EXPECT_TRUE(eventually([&] { return converged(); }));
    Sampling = false;
    Sampler.join();
    sample();
    recordCounts();
  }

  History Past;
  std::vector<std::uint16_t> Ports;
  std::shared_mutex HostsLock;
  std::atomic<bool> FoundDead{false};
  std::atomic<bool> LastPart{false};
  std::atomic<std::size_t> TurnsDone{0};
  std::mutex BodiesLock;
  std::vector<std::string> Bodies;
  std::map<std::size_t, StatePtr> Seen;
};

std::vector<Cell> cells() {
  std::vector<Cell> Out;
  for (std::size_t Wrong = 0; Wrong < FaultNames.size(); ++Wrong)
    for (std::size_t During = 0; During < StepNames.size(); ++During) {
      const Cell Each{static_cast<Fault>(Wrong), static_cast<Step>(During)};
      const bool OfEngines = Each.Wrong == Fault::EngineRestarts ||
                             Each.Wrong == Fault::EngineCrashes ||
                             Each.Wrong == Fault::StreamCut;
      const bool Beside =
          (OfEngines && Each.During == Step::Orders) ||
          (Each.Wrong == Fault::ServiceLosesAnswers &&
           Each.During != Step::Orders && Each.During != Step::PlannedStop);
      if (!Beside)
        Out.push_back(Each);
    }
  return Out;
}

std::string nameOf(const Cell &Shown) {
  std::string Out(FaultNames.at(static_cast<std::size_t>(Shown.Wrong)));
  Out += " during ";
  Out += StepNames.at(static_cast<std::size_t>(Shown.During));
  std::replace(Out.begin(), Out.end(), ' ', '_');
  return Out;
}

// Every fault at every step of the table: under load from several callers the
// fault begins, the step is taken, the load goes on, and then all that was
// recorded must satisfy what must always hold.
TEST_P(Matrix, HoldsWhatMustHold) {
  runCell();
  const Events All = Past.events();
  const Violations Found = checkAll(All);
  for (const std::string &Line : Found)
    ADD_FAILURE() << Line;
  report().add(static_cast<std::size_t>(wrong()),
               static_cast<std::size_t>(during()), All, !HasFailure());
}

class StopRepeats : public Matrix {};

// Guards against answering a repeat from a ledger that was read while the first
// order was in progress: its stored answer must come around a planned stop too.
TEST_P(StopRepeats, GetTheStoredAnswer) {
  runCell();
  for (const CallEnded &Ended : eventsOf<CallEnded>(Past.events()))
    EXPECT_EQ(Ended.End, CallEnd::Answered)
        << Ended.Body << " through " << Ended.Through.Text << ": "
        << Ended.Reason;
}

INSTANTIATE_TEST_SUITE_P(Known, StopRepeats,
                         ::testing::Values(Cell{Fault::None,
                                                Step::PlannedStop}));

INSTANTIATE_TEST_SUITE_P(Faults, Matrix, ::testing::ValuesIn(cells()),
                         [](const auto &Info) { return nameOf(Info.param); });

} // namespace
} // namespace coltsfoottrail::testing
