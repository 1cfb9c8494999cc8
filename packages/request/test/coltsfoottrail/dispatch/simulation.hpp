/// @file
/// Several entry hosts before one pool of engines, in simulated time.
#ifndef COLTSFOOTTRAIL_DISPATCH_SIMULATION_HPP
#define COLTSFOOTTRAIL_DISPATCH_SIMULATION_HPP

#include "coltsfoottrail/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>

namespace coltsfoottrail {

/// @brief A data centre that is lost and comes back with cold engines.
struct SimulatedOutage {
  std::size_t DataCentre = 1;
  Duration From = seconds(20);
  Duration Until = seconds(40);
  /// When routes follow its loss and its return.
  Duration RoutesAfter = seconds(2);
  /// Whether shares follow what a cold engine bears.
  bool Ramp = true;
};

/// @brief What is simulated.
struct SimulationOptions {
  std::size_t Endpoints = 50;
  std::size_t DataCentres = 3;
  std::size_t Hosts = 9;
  std::uint32_t Bound = 18;
  std::uint32_t ColdBound = 2;
  Duration WarmUp = seconds(20);
  double MeanSeconds = 1.0;
  std::size_t Stragglers = 0;
  double SlowFactor = 5.0;
  /// Requests a second of each team.
  std::vector<double> TeamRates;
  std::size_t PrefixesPerTeam = 40;
  std::size_t CachedPrefixes = 24;
  double CacheSaving = 0.5;
  double CacheLoss = 0.05;
  /// Limit of each team at one host.
  std::uint32_t MaxInFlight = 1024;
  double RepeatablePart = 0.9;
  Duration Patience = seconds(8);
  Duration Length = seconds(60);
  /// Requests before this are not counted.
  Duration CountFrom = seconds(10);
  std::optional<SimulatedOutage> Outage;
  /// Part of the attempts that every engine fails before it runs them.
  double FailPart = 0.0;
  DispatcherOptions Dispatch;
  std::uint64_t Seed = 1;

  /// @brief Requests a second that the warm pool serves at full load.
  [[nodiscard]] double capacity() const {
    return static_cast<double>(Endpoints * Bound) / (MeanSeconds * 1.5);
  }
};

/// @brief What came of the requests.
struct SimulationResult {
  struct Share {
    std::uint64_t Asked = 0;
    std::uint64_t InTime = 0;
    [[nodiscard]] double part() const {
      return Asked == 0
                 ? 1.0
                 : static_cast<double>(InTime) / static_cast<double>(Asked);
    }
  };
  Share All;
  /// By second of asking.
  std::vector<Share> Seconds;
  std::vector<Share> Teams;
  /// Seconds to the answer, by team.
  std::vector<std::vector<double>> Times;
  std::uint64_t Sends = 0;
  std::uint64_t Resends = 0;
  std::uint64_t CacheHits = 0;
  std::uint64_t Served = 0;
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t RefusedMayHaveRun = 0;
  /// Engines that fell over under more than they bear cold.
  std::uint64_t ColdCrashes = 0;
  /// Most requests at a cold engine, as a part of what it bore then.
  double ColdPeak = 0.0;

  /// @brief A quantile of the times of some teams.
  [[nodiscard]] double quantile(double Part, std::size_t FirstTeam = 0) const {
    std::vector<double> Sorted;
    for (std::size_t Team = FirstTeam; Team < Times.size(); ++Team)
      Sorted.insert(Sorted.end(), Times[Team].begin(), Times[Team].end());
    if (Sorted.empty())
      return 0.0;
    std::ranges::sort(Sorted);
    const double Last = static_cast<double>(Sorted.size() - 1);
    return Sorted[static_cast<std::size_t>(Part * Last)];
  }
};

/// @brief Event simulation of one pool; the same result for the same options.
class Simulation {
public:
  explicit Simulation(SimulationOptions Wanted)
      : Options(std::move(Wanted)), Draw(Options.Seed) {
    makeEngines();
    makeHosts();
    Result.Seconds.resize(
        static_cast<std::size_t>(Options.Length / seconds(1)) + 1);
    Result.Teams.resize(Options.TeamRates.size());
    Result.Times.resize(Options.TeamRates.size());
  }

  [[nodiscard]] SimulationResult run() {
    for (std::size_t Team = 0; Team < Options.TeamRates.size(); ++Team)
      if (Options.TeamRates[Team] > 0.0)
        scheduleArrival(Team);
    for (std::size_t Index = 0; Index < Engines.size(); ++Index)
      at(Now + upTo(ReportEvery), [this, Index] { report(Index); });
    if (Options.Outage)
      scheduleOutage(*Options.Outage);
    const TimePoint End = Start + Options.Length + 2 * Options.Patience;
    while (!Events.empty() && Events.top().When <= End) {
      const Event Next = Events.top();
      Events.pop();
      Now = Next.When;
      Next.Do();
    }
    for (const Host &Each : Hosts)
      Result.Resends += Each.Decides.counts().Resends;
    return Result;
  }

private:
  using Action = std::function<void()>;
  struct Event {
    TimePoint When;
    std::uint64_t Order = 0;
    Action Do;
    [[nodiscard]] bool operator<(const Event &Other) const {
      return When != Other.When ? When > Other.When : Order > Other.Order;
    }
  };
  struct Engine {
    EndpointSpec Spec;
    double Slow = 1.0;
    bool Up = true;
    bool Dark = false;
    Incarnation Run = 1;
    TimePoint StartedAt;
    std::set<std::uint64_t> Running;
    std::deque<std::uint64_t> Queue;
    std::deque<std::uint64_t> Cache;
    std::uint64_t Sequence = 0;
  };
  struct Host {
    explicit Host(DispatcherOptions Limits) : Decides(std::move(Limits)) {}
    Dispatcher Decides;
    std::optional<TimePoint> Wake;
  };
  struct Asked {
    std::size_t Team = 0;
    std::size_t Host = 0;
    WorkItem Item;
    TimePoint At;
    double Work = 0.0;
    Ticket Which;
  };
  struct Attempt {
    std::uint64_t Request = 0;
    std::size_t Engine = 0;
    TimePoint SentAt;
  };

  static constexpr TimePoint Start{seconds(1000)};
  static constexpr Duration ReportEvery = milliseconds(500);
  static constexpr Duration ReportLag = milliseconds(300);
  static constexpr Duration ConnectFailure = milliseconds(20);
  static constexpr Duration FailureTime = milliseconds(100);
  static constexpr Duration RestartTime = seconds(10);
  static constexpr double BatchSlowdown = 0.5;

  void at(TimePoint When, Action Do) {
    Events.push(Event{When, EventCount++, std::move(Do)});
  }
  static Duration span(double Seconds) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
  }
  [[nodiscard]] Duration upTo(Duration Most) {
    return std::chrono::duration_cast<Duration>(Most * Draw.fraction());
  }
  [[nodiscard]] double exponential() {
    return -std::log(1.0 - Draw.fraction());
  }

  void makeEngines() {
    for (std::size_t Index = 0; Index < Options.Endpoints; ++Index) {
      Engine Made;
      Made.Spec.Key = "runner-" + std::to_string(10000 + Index);
      Made.Spec.DataCentre =
          DataCentreName("dc-" + std::to_string(Index % Options.DataCentres));
      Made.Spec.WarmBound = Options.Bound;
      Made.Spec.ColdBound = Options.ColdBound;
      Made.StartedAt = Start - Options.WarmUp;
      Made.Slow = Index < Options.Stragglers ? Options.SlowFactor : 1.0;
      ByKey[Made.Spec.Key] = Index;
      Engines.push_back(std::move(Made));
    }
  }

  void makeHosts() {
    for (std::size_t Index = 0; Index < Options.Hosts; ++Index) {
      DispatcherOptions Limits = Options.Dispatch;
      Limits.LocalDataCentre =
          DataCentreName("dc-" + std::to_string(Index % Options.DataCentres));
      Limits.Seed = Options.Seed * 1000 + Index;
      Hosts.emplace_back(std::move(Limits));
    }
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      for (std::size_t Team = 0; Team < Options.TeamRates.size(); ++Team)
        act(Index, [&](Dispatcher &Decides, Commands &Out) {
          Decides.setTeam(teamName(Team), TeamShare{1.0, Options.MaxInFlight},
                          Now, Out);
        });
    configure();
  }

  [[nodiscard]] static TeamName teamName(std::size_t Team) {
    return TeamName("team-" + std::to_string(Team));
  }

  [[nodiscard]] Pool routes() const {
    Pool Wanted;
    for (const Engine &Each : Engines)
      if (!Unrouted.contains(Each.Spec.DataCentre.Text))
        Wanted.Endpoints.push_back(Each.Spec);
    return Wanted;
  }

  void configure() {
    const Pool Wanted = routes();
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      act(Index, [&](Dispatcher &Decides, Commands &Out) {
        Decides.configure(Wanted, Now, Out);
      });
    setShares();
  }

  /// What an engine bears now.
  [[nodiscard]] double bears(const Engine &Each) const {
    const double Part =
        std::min(1.0, std::chrono::duration<double>(Now - Each.StartedAt) /
                          std::chrono::duration<double>(Options.WarmUp));
    return Options.ColdBound +
           (Options.Bound - Options.ColdBound) * std::max(0.0, Part);
  }

  void setShares() {
    const bool Ramp = !Options.Outage || Options.Outage->Ramp;
    for (std::size_t Place = 0; Place < Engines.size(); ++Place) {
      const auto Whole = static_cast<std::uint32_t>(Ramp ? bears(Engines[Place])
                                                         : Options.Bound);
      const auto Count = static_cast<std::uint32_t>(Hosts.size());
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
        const bool Extra = (Index + Place) % Count < Whole % Count;
        act(Index, [&](Dispatcher &Decides, Commands &Out) {
          Decides.setShare(Engines[Place].Spec.Key,
                           Whole / Count + (Extra ? 1U : 0U), Now, Out);
        });
      }
    }
  }

  /// Lets a host decide and carries out what it commands.
  template <class Function> void act(std::size_t Index, Function Do) {
    Commands Out;
    Host &Own = Hosts[Index];
    Do(Own.Decides, Out);
    for (const Command &Each : Out) {
      if (const auto *const Send = std::get_if<SendCommand>(&Each))
        carry(Index, *Send);
      else
        refused(Index, std::get<RefuseCommand>(Each));
    }
    for (const QuarantineNotice &Told : Own.Decides.takeNotices(Now))
      for (std::size_t Other = 0; Other < Hosts.size(); ++Other)
        if (Other != Index)
          at(Now + milliseconds(2), [this, Other, Told] {
            Hosts[Other].Decides.observeNotice(Told, Now);
          });
    const std::optional<TimePoint> Wake = Own.Decides.nextWake();
    if (!Wake || (Own.Wake && *Own.Wake <= *Wake))
      return;
    Own.Wake = Wake;
    at(std::max(Now, *Wake), [this, Index] { wake(Index); });
  }

  void wake(std::size_t Index) {
    Hosts[Index].Wake.reset();
    act(Index,
        [&](Dispatcher &Decides, Commands &Out) { Decides.advance(Now, Out); });
  }

  void scheduleArrival(std::size_t Team) {
    const Duration Gap = span(exponential() / Options.TeamRates[Team]);
    if (Now + Gap > Start + Options.Length)
      return;
    at(Now + Gap, [this, Team] {
      arrive(Team);
      scheduleArrival(Team);
    });
  }

  void arrive(std::size_t Team) {
    const std::uint64_t Number = NextRequest++;
    Asked &Made = Requests[Number];
    Made.Team = Team;
    Made.Host = Draw.below(Hosts.size());
    Made.At = Now;
    Made.Work = Options.MeanSeconds * (0.3 + 0.7 * exponential());
    Made.Item.Team = teamName(Team);
    Made.Item.Deadline = Now + Options.Patience;
    Made.Item.Repeatable = Draw.fraction() < Options.RepeatablePart;
    Made.Item.PrefixHash = prefixOf(Team);
    Made.Item.Fingerprint = Number + 1;
    Made.Item.Bytes = 2000;
    if (SimulationResult::Share *const Second = second(Made)) {
      ++Second->Asked;
      ++Result.All.Asked;
      ++Result.Teams[Team].Asked;
    }
    const std::size_t Index = Made.Host;
    act(Index, [&](Dispatcher &Decides, Commands &Out) {
      const Ticket Which = Decides.submit(Made.Item, Now, Out);
      Made.Which = Which;
      ByTicket[key(Index, Which)] = Number;
    });
  }

  [[nodiscard]] std::uint64_t prefixOf(std::size_t Team) {
    const double Skewed = Draw.fraction() * Draw.fraction();
    const auto Index = static_cast<std::uint64_t>(
        Skewed * static_cast<double>(Options.PrefixesPerTeam));
    return Random(Team * 100000 + Index)();
  }

  [[nodiscard]] SimulationResult::Share *second(const Asked &Made) {
    if (Made.At < Start + Options.CountFrom)
      return nullptr;
    return &Result.Seconds[static_cast<std::size_t>((Made.At - Start) /
                                                    seconds(1))];
  }

  [[nodiscard]] static std::uint64_t key(std::size_t Host, Ticket Which) {
    return (std::uint64_t{Which.Generation} << 36U) ^
           (std::uint64_t{Which.Index} << 8U) ^ Host;
  }

  void carry(std::size_t Index, const SendCommand &Send) {
    const std::uint64_t Number = ByTicket.at(key(Index, Send.Id));
    const std::uint64_t Try = NextAttempt++;
    const std::size_t Place = ByKey.at(Send.EndpointKey);
    Attempts[Try] = Attempt{Number, Place, Now};
    ++Result.Sends;
    Engine &To = Engines[Place];
    if (!To.Up) {
      at(Now + ConnectFailure, [this, Try] {
        end(Try, failure(RunState::NotRun, Reason::EndpointFailed, false));
      });
      return;
    }
    To.Queue.push_back(Try);
    at(Requests[Number].Item.Deadline, [this, Try] { timeOut(Try); });
    checkCold(Place);
    startNext(Place);
  }

  void startNext(std::size_t Place) {
    Engine &Own = Engines[Place];
    while (Own.Up && !Own.Queue.empty() && Own.Running.size() < Options.Bound) {
      const std::uint64_t Try = Own.Queue.front();
      Own.Queue.pop_front();
      Own.Running.insert(Try);
      if (Options.FailPart > 0.0 && Draw.fraction() < Options.FailPart) {
        at(Now + FailureTime, [this, Try] {
          end(Try, failure(RunState::NotRun, Reason::EndpointFailed, false));
        });
        continue;
      }
      const Asked &Served = Requests[Attempts[Try].Request];
      const bool Hit = useCache(Place, Served.Item.PrefixHash);
      Result.CacheHits += Hit ? 1U : 0U;
      ++Result.Served;
      const double Load = static_cast<double>(Own.Running.size());
      const double Seconds = Served.Work * Own.Slow *
                             (Hit ? 1.0 - Options.CacheSaving : 1.0) *
                             (1.0 + BatchSlowdown * Load / Options.Bound);
      at(Now + span(Seconds), [this, Try] { answer(Try); });
    }
  }

  bool useCache(std::size_t Place, std::uint64_t Prefix) {
    Engine &Own = Engines[Place];
    const auto Found = std::ranges::find(Own.Cache, Prefix);
    const bool Hit = Found != Own.Cache.end();
    if (Hit)
      Own.Cache.erase(Found);
    Own.Cache.push_front(Prefix);
    if (!Hit)
      publish(Place, Prefix, true);
    if (Own.Cache.size() > Options.CachedPrefixes) {
      publish(Place, Own.Cache.back(), false);
      Own.Cache.pop_back();
    }
    return Hit;
  }

  void publish(std::size_t Place, std::uint64_t Prefix, bool Added) {
    Engine &Own = Engines[Place];
    const CacheChange Change{Prefix, Added, ++Own.Sequence};
    if (Draw.fraction() < Options.CacheLoss)
      return;
    at(Now + milliseconds(200) + upTo(milliseconds(600)),
       [this, Place, Change] {
         for (Host &Each : Hosts)
           Each.Decides.observeCache(Engines[Place].Spec.Key, Change, Now);
       });
  }

  static AttemptResult failure(RunState State, Reason Why, bool Lost) {
    AttemptResult Out;
    Out.State = State;
    Out.FailureReason = Why;
    Out.ConnectionLost = Lost;
    return Out;
  }

  void answer(std::uint64_t Try) {
    const auto Found = Attempts.find(Try);
    if (Found == Attempts.end())
      return;
    const Asked &Done = Requests[Found->second.Request];
    if (SimulationResult::Share *const Second = second(Done)) {
      ++Second->InTime;
      ++Result.All.InTime;
      ++Result.Teams[Done.Team].InTime;
      Result.Times[Done.Team].push_back(
          std::chrono::duration<double>(Now - Done.At).count());
    }
    AttemptResult Out;
    Out.State = RunState::Ran;
    Out.Answered = true;
    end(Try, Out);
  }

  void timeOut(std::uint64_t Try) {
    if (Attempts.contains(Try))
      end(Try, failure(RunState::MayHaveRun, Reason::EndpointTimedOut, false));
  }

  /// Ends an attempt, whichever way.
  void end(std::uint64_t Try, AttemptResult Out) {
    const auto Found = Attempts.find(Try);
    if (Found == Attempts.end())
      return;
    const Attempt Gone = Found->second;
    Attempts.erase(Found);
    Engine &Own = Engines[Gone.Engine];
    Own.Running.erase(Try);
    std::erase(Own.Queue, Try);
    startNext(Gone.Engine);
    Out.Total = Now - Gone.SentAt;
    const Asked &Of = Requests[Gone.Request];
    act(Of.Host, [&](Dispatcher &Decides, Commands &Given) {
      Decides.attemptEnded(Of.Which, Out, Now, Given);
    });
  }

  void refused(std::size_t /*Index*/, const RefuseCommand &Refusal) {
    if (Refusal.FinalVerdict.State == RunState::NotRun)
      ++Result.RefusedNotRun;
    else
      ++Result.RefusedMayHaveRun;
  }

  void report(std::size_t Place) {
    const Engine &Own = Engines[Place];
    at(Now + ReportEvery, [this, Place] { report(Place); });
    if (!Own.Up || Unrouted.contains(Own.Spec.DataCentre.Text))
      return;
    const LoadReport Report{
        Own.Spec.Key, Own.Run, static_cast<std::uint32_t>(Own.Running.size()),
        static_cast<std::uint32_t>(Own.Queue.size()), ReportLag};
    at(Now + ReportLag, [this, Report] {
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        act(Index, [&](Dispatcher &Decides, Commands &Out) {
          Decides.observe(Report, Now, Out);
        });
    });
  }

  /// A cold engine falls over under much more than it bears.
  void checkCold(std::size_t Place) {
    const Engine &Own = Engines[Place];
    const double Bears = bears(Own);
    if (Bears >= Options.Bound)
      return;
    const double Load =
        static_cast<double>(Own.Running.size() + Own.Queue.size()) / Bears;
    Result.ColdPeak = std::max(Result.ColdPeak, Load);
    if (Load <= 2.0)
      return;
    ++Result.ColdCrashes;
    stop(Place);
    at(Now + RestartTime, [this, Place] {
      if (!Engines[Place].Dark)
        startUp(Place);
    });
  }

  void stop(std::size_t Place) {
    Engine &Own = Engines[Place];
    Own.Up = false;
    std::vector<std::uint64_t> Lost(Own.Running.begin(), Own.Running.end());
    Lost.insert(Lost.end(), Own.Queue.begin(), Own.Queue.end());
    for (const std::uint64_t Try : Lost)
      at(Now + upTo(milliseconds(5)), [this, Try] {
        end(Try, failure(RunState::MayHaveRun, Reason::EndpointCut, true));
      });
    Own.Cache.clear();
  }

  void startUp(std::size_t Place) {
    Engine &Own = Engines[Place];
    Own.Up = true;
    ++Own.Run;
    Own.Sequence = 0;
    Own.StartedAt = Now;
  }

  void scheduleOutage(const SimulatedOutage &Lost) {
    const std::string Name = "dc-" + std::to_string(Lost.DataCentre);
    const auto Each = [this, Name](auto Do) {
      for (std::size_t Place = 0; Place < Engines.size(); ++Place)
        if (Engines[Place].Spec.DataCentre.Text == Name)
          Do(Place);
    };
    at(Start + Lost.From, [this, Each] {
      Each([this](std::size_t Place) {
        Engines[Place].Dark = true;
        stop(Place);
      });
    });
    at(Start + Lost.From + Lost.RoutesAfter, [this, Name] {
      Unrouted.insert(Name);
      configure();
    });
    at(Start + Lost.Until, [this, Each] {
      Each([this](std::size_t Place) {
        Engines[Place].Dark = false;
        startUp(Place);
      });
    });
    at(Start + Lost.Until + Lost.RoutesAfter, [this, Name] {
      Unrouted.erase(Name);
      configure();
    });
    for (Duration When = Lost.Until; When < Options.Length; When += seconds(1))
      at(Start + When, [this] { setShares(); });
  }

  SimulationOptions Options;
  Random Draw;
  TimePoint Now = Start;
  std::priority_queue<Event> Events;
  std::uint64_t EventCount = 0;
  std::vector<Engine> Engines;
  std::deque<Host> Hosts;
  std::unordered_map<std::string, std::size_t> ByKey;
  std::set<std::string> Unrouted;
  std::unordered_map<std::uint64_t, Asked> Requests;
  std::unordered_map<std::uint64_t, Attempt> Attempts;
  std::unordered_map<std::uint64_t, std::uint64_t> ByTicket;
  std::uint64_t NextRequest = 0;
  std::uint64_t NextAttempt = 0;
  SimulationResult Result;
};

} // namespace coltsfoottrail

#endif
