/// @file
/// Discrete-event simulation of several entry hosts in front of one pool of
/// engines.
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

/// @brief Loss of a data centre that later returns with cold engines.
struct SimulatedOutage {
  std::size_t DataCentre = 1;
  Duration From = seconds(20);
  Duration Until = seconds(40);
  /// Delay until the routes follow its loss and its return.
  Duration RoutesAfter = seconds(2);
  /// Whether shares follow the capacity of an engine that warms up.
  bool Ramp = true;
};

/// @brief Parameters of a simulation.
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
  /// Requests per second of each team.
  std::vector<double> TeamRates;
  std::size_t PrefixesPerTeam = 40;
  std::size_t CachedPrefixes = 24;
  double CacheSaving = 0.5;
  double CacheLoss = 0.05;
  /// Limit of each team's requests in progress at one host.
  std::uint32_t MaxInFlight = 1024;
  double RepeatableFraction = 0.9;
  Duration Patience = seconds(8);
  Duration Length = seconds(60);
  /// Requests before this are not counted.
  Duration CountFrom = seconds(10);
  std::optional<SimulatedOutage> Outage;
  /// Fraction of the attempts that an engine fails before it runs them.
  double FailFraction = 0.0;
  DispatcherOptions Dispatch;
  std::uint64_t Seed = 1;

  /// @brief Requests per second that the warm pool serves at full load.
  [[nodiscard]] double capacity() const {
    return static_cast<double>(Endpoints * Bound) / (MeanSeconds * 1.5);
  }
};

/// @brief Outcomes of the simulated requests.
struct SimulationResult {
  struct Share {
    std::uint64_t Submitted = 0;
    std::uint64_t InTime = 0;
    [[nodiscard]] double fraction() const {
      return Submitted == 0
                 ? 1.0
                 : static_cast<double>(InTime) / static_cast<double>(Submitted);
    }
  };
  Share All;
  /// By the second in which the request was submitted.
  std::vector<Share> Seconds;
  std::vector<Share> Teams;
  /// Seconds from submission to answer, by team.
  std::vector<std::vector<double>> Times;
  std::uint64_t Sends = 0;
  std::uint64_t Resends = 0;
  std::uint64_t CacheHits = 0;
  std::uint64_t Served = 0;
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t RefusedMayHaveRun = 0;
  /// Crashes of engines under more load than they can take while cold.
  std::uint64_t ColdCrashes = 0;
  /// Highest number of requests at a cold engine, relative to its capacity at
  /// the time.
  double ColdPeak = 0.0;

  /// @brief A quantile of the times of the teams from FirstTeam on.
  [[nodiscard]] double quantile(double Fraction,
                                std::size_t FirstTeam = 0) const {
    std::vector<double> Sorted;
    for (std::size_t Team = FirstTeam; Team < Times.size(); ++Team)
      Sorted.insert(Sorted.end(), Times[Team].begin(), Times[Team].end());
    if (Sorted.empty())
      return 0.0;
    std::ranges::sort(Sorted);
    const double Last = static_cast<double>(Sorted.size() - 1);
    return Sorted[static_cast<std::size_t>(Fraction * Last)];
  }
};

/// @brief Event simulation of one pool. Deterministic for given options.
class Simulation {
public:
  explicit Simulation(SimulationOptions Config)
      : Options(std::move(Config)), Rng(Options.Seed) {
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
    while (!Events.empty() && Events.top().Due <= End) {
      const Event Next = Events.top();
      Events.pop();
      Now = Next.Due;
      Next.Callback();
    }
    for (const Host &Entry : Hosts)
      Result.Resends += Entry.Scheduler.counts().Resends;
    return Result;
  }

private:
  using Action = std::function<void()>;
  struct Event {
    TimePoint Due;
    std::uint64_t Order = 0;
    Action Callback;
    [[nodiscard]] bool operator<(const Event &Other) const {
      return Due != Other.Due ? Due > Other.Due : Order > Other.Order;
    }
  };
  struct Engine {
    EndpointSpec Spec;
    double SlowFactor = 1.0;
    bool Up = true;
    bool InOutage = false;
    Incarnation Run = 1;
    TimePoint StartedAt;
    std::set<std::uint64_t> Running;
    std::deque<std::uint64_t> Queue;
    std::deque<std::uint64_t> Cache;
    std::uint64_t Sequence = 0;
  };
  struct Host {
    explicit Host(DispatcherOptions Limits) : Scheduler(std::move(Limits)) {}
    Dispatcher Scheduler;
    std::optional<TimePoint> Wake;
  };
  struct RequestRecord {
    std::size_t Team = 0;
    std::size_t Host = 0;
    WorkItem Item;
    TimePoint SubmittedAt;
    double Work = 0.0;
    Ticket Id;
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

  void at(TimePoint Due, Action Callback) {
    Events.push(Event{Due, EventCount++, std::move(Callback)});
  }
  static Duration span(double Seconds) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
  }
  [[nodiscard]] Duration upTo(Duration Limit) {
    return std::chrono::duration_cast<Duration>(Limit * Rng.fraction());
  }
  [[nodiscard]] double exponential() { return -std::log(1.0 - Rng.fraction()); }

  void makeEngines() {
    for (std::size_t Index = 0; Index < Options.Endpoints; ++Index) {
      Engine NewEngine;
      NewEngine.Spec.Key = "runner-" + std::to_string(10000 + Index);
      NewEngine.Spec.DataCentre =
          DataCentreName("dc-" + std::to_string(Index % Options.DataCentres));
      NewEngine.Spec.WarmBound = Options.Bound;
      NewEngine.Spec.ColdBound = Options.ColdBound;
      NewEngine.StartedAt = Start - Options.WarmUp;
      NewEngine.SlowFactor =
          Index < Options.Stragglers ? Options.SlowFactor : 1.0;
      ByKey[NewEngine.Spec.Key] = Index;
      Engines.push_back(std::move(NewEngine));
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
        dispatch(Index, [&](Dispatcher &Scheduler, Commands &Output) {
          Scheduler.setTeam(teamName(Team), TeamShare{1.0, Options.MaxInFlight},
                            Now, Output);
        });
    configure();
  }

  [[nodiscard]] static TeamName teamName(std::size_t Team) {
    return TeamName("team-" + std::to_string(Team));
  }

  [[nodiscard]] Pool routes() const {
    Pool Config;
    for (const Engine &Candidate : Engines)
      if (!Unrouted.contains(Candidate.Spec.DataCentre.Text))
        Config.Endpoints.push_back(Candidate.Spec);
    return Config;
  }

  void configure() {
    const Pool Config = routes();
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      dispatch(Index, [&](Dispatcher &Scheduler, Commands &Output) {
        Scheduler.configure(Config, Now, Output);
      });
    setShares();
  }

  /// Requests that an engine can serve at once at present.
  [[nodiscard]] double capacityOf(const Engine &Candidate) const {
    const double Fraction =
        std::min(1.0, std::chrono::duration<double>(Now - Candidate.StartedAt) /
                          std::chrono::duration<double>(Options.WarmUp));
    return Options.ColdBound +
           (Options.Bound - Options.ColdBound) * std::max(0.0, Fraction);
  }

  void setShares() {
    const bool Ramp = !Options.Outage || Options.Outage->Ramp;
    for (std::size_t EngineIndex = 0; EngineIndex < Engines.size();
         ++EngineIndex) {
      const auto Bound = static_cast<std::uint32_t>(
          Ramp ? capacityOf(Engines[EngineIndex]) : Options.Bound);
      const auto Count = static_cast<std::uint32_t>(Hosts.size());
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
        const bool Extra = (Index + EngineIndex) % Count < Bound % Count;
        dispatch(Index, [&](Dispatcher &Scheduler, Commands &Output) {
          Scheduler.setShare(Engines[EngineIndex].Spec.Key,
                             Bound / Count + (Extra ? 1U : 0U), Now, Output);
        });
      }
    }
  }

  /// Calls a host's dispatcher and executes the commands that it returns.
  template <class Function>
  void dispatch(std::size_t Index, Function Callback) {
    Commands Output;
    Host &Target = Hosts[Index];
    Callback(Target.Scheduler, Output);
    for (const Command &Entry : Output) {
      if (const auto *const Send = std::get_if<SendCommand>(&Entry))
        executeSend(Index, *Send);
      else
        refused(Index, std::get<RefuseCommand>(Entry));
    }
    for (const EndpointNotice &Notice : Target.Scheduler.takeNotices(Now))
      for (std::size_t Other = 0; Other < Hosts.size(); ++Other)
        if (Other != Index)
          at(Now + milliseconds(2), [this, Other, Notice] {
            Hosts[Other].Scheduler.observeNotice(Notice, Now);
          });
    const std::optional<TimePoint> Wake = Target.Scheduler.nextWake();
    if (!Wake || (Target.Wake && *Target.Wake <= *Wake))
      return;
    Target.Wake = Wake;
    at(std::max(Now, *Wake), [this, Index] { wake(Index); });
  }

  void wake(std::size_t Index) {
    Hosts[Index].Wake.reset();
    dispatch(Index, [&](Dispatcher &Scheduler, Commands &Output) {
      Scheduler.advance(Now, Output);
    });
  }

  void scheduleArrival(std::size_t Team) {
    const Duration Interval = span(exponential() / Options.TeamRates[Team]);
    if (Now + Interval > Start + Options.Length)
      return;
    at(Now + Interval, [this, Team] {
      arrive(Team);
      scheduleArrival(Team);
    });
  }

  void arrive(std::size_t Team) {
    const std::uint64_t Number = NextRequest++;
    RequestRecord &Request = Requests[Number];
    Request.Team = Team;
    Request.Host = Rng.below(Hosts.size());
    Request.SubmittedAt = Now;
    Request.Work = Options.MeanSeconds * (0.3 + 0.7 * exponential());
    Request.Item.Team = teamName(Team);
    Request.Item.Deadline = Now + Options.Patience;
    Request.Item.Repeatable = Rng.fraction() < Options.RepeatableFraction;
    Request.Item.PrefixHash = prefixOf(Team);
    Request.Item.Fingerprint = Number + 1;
    Request.Item.Bytes = 2000;
    if (SimulationResult::Share *const Second = second(Request)) {
      ++Second->Submitted;
      ++Result.All.Submitted;
      ++Result.Teams[Team].Submitted;
    }
    const std::size_t Index = Request.Host;
    dispatch(Index, [&](Dispatcher &Scheduler, Commands &Output) {
      const Ticket Id = Scheduler.submit(Request.Item, Now, Output);
      Request.Id = Id;
      ByTicket[key(Index, Id)] = Number;
    });
  }

  [[nodiscard]] std::uint64_t prefixOf(std::size_t Team) {
    const double Skewed = Rng.fraction() * Rng.fraction();
    const auto Index = static_cast<std::uint64_t>(
        Skewed * static_cast<double>(Options.PrefixesPerTeam));
    return Random(Team * 100000 + Index)();
  }

  [[nodiscard]] SimulationResult::Share *second(const RequestRecord &Request) {
    if (Request.SubmittedAt < Start + Options.CountFrom)
      return nullptr;
    return &Result.Seconds[static_cast<std::size_t>(
        (Request.SubmittedAt - Start) / seconds(1))];
  }

  [[nodiscard]] static std::uint64_t key(std::size_t Host, Ticket Id) {
    return (std::uint64_t{Id.Generation} << 36U) ^
           (std::uint64_t{Id.Index} << 8U) ^ Host;
  }

  void executeSend(std::size_t Index, const SendCommand &Send) {
    const std::uint64_t Number = ByTicket.at(key(Index, Send.Id));
    const std::uint64_t AttemptId = NextAttempt++;
    const std::size_t EngineIndex = ByKey.at(Send.EndpointKey);
    Attempts[AttemptId] = Attempt{Number, EngineIndex, Now};
    ++Result.Sends;
    Engine &Target = Engines[EngineIndex];
    if (!Target.Up) {
      at(Now + ConnectFailure, [this, AttemptId] {
        end(AttemptId,
            failure(RunState::NotRun, Reason::EndpointFailed, false));
      });
      return;
    }
    Target.Queue.push_back(AttemptId);
    at(Requests[Number].Item.Deadline,
       [this, AttemptId] { timeOut(AttemptId); });
    checkColdOverload(EngineIndex);
    startNext(EngineIndex);
  }

  void startNext(std::size_t EngineIndex) {
    Engine &Target = Engines[EngineIndex];
    while (Target.Up && !Target.Queue.empty() &&
           Target.Running.size() < Options.Bound) {
      const std::uint64_t AttemptId = Target.Queue.front();
      Target.Queue.pop_front();
      Target.Running.insert(AttemptId);
      if (Options.FailFraction > 0.0 && Rng.fraction() < Options.FailFraction) {
        at(Now + FailureTime, [this, AttemptId] {
          end(AttemptId,
              failure(RunState::NotRun, Reason::EndpointFailed, false));
        });
        continue;
      }
      const RequestRecord &Request = Requests[Attempts[AttemptId].Request];
      const bool Hit = useCache(EngineIndex, Request.Item.PrefixHash);
      Result.CacheHits += Hit ? 1U : 0U;
      ++Result.Served;
      const double Load = static_cast<double>(Target.Running.size());
      const double Seconds = Request.Work * Target.SlowFactor *
                             (Hit ? 1.0 - Options.CacheSaving : 1.0) *
                             (1.0 + BatchSlowdown * Load / Options.Bound);
      at(Now + span(Seconds), [this, AttemptId] { answer(AttemptId); });
    }
  }

  bool useCache(std::size_t EngineIndex, std::uint64_t Prefix) {
    Engine &Target = Engines[EngineIndex];
    const auto Position = std::ranges::find(Target.Cache, Prefix);
    const bool Hit = Position != Target.Cache.end();
    if (Hit)
      Target.Cache.erase(Position);
    Target.Cache.push_front(Prefix);
    if (!Hit)
      publish(EngineIndex, Prefix, true);
    if (Target.Cache.size() > Options.CachedPrefixes) {
      publish(EngineIndex, Target.Cache.back(), false);
      Target.Cache.pop_back();
    }
    return Hit;
  }

  void publish(std::size_t EngineIndex, std::uint64_t Prefix, bool Added) {
    Engine &Target = Engines[EngineIndex];
    const CacheChange Change{Prefix, Added, ++Target.Sequence};
    if (Rng.fraction() < Options.CacheLoss)
      return;
    at(Now + milliseconds(200) + upTo(milliseconds(600)),
       [this, EngineIndex, Change] {
         for (Host &Entry : Hosts)
           Entry.Scheduler.observeCache(Engines[EngineIndex].Spec.Key, Change,
                                        Now);
       });
  }

  static AttemptResult failure(RunState State, Reason Cause,
                               bool ConnectionLost) {
    AttemptResult Outcome;
    Outcome.State = State;
    Outcome.FailureReason = Cause;
    Outcome.ConnectionLost = ConnectionLost;
    return Outcome;
  }

  void answer(std::uint64_t AttemptId) {
    const auto Position = Attempts.find(AttemptId);
    if (Position == Attempts.end())
      return;
    const RequestRecord &Done = Requests[Position->second.Request];
    if (SimulationResult::Share *const Second = second(Done)) {
      ++Second->InTime;
      ++Result.All.InTime;
      ++Result.Teams[Done.Team].InTime;
      Result.Times[Done.Team].push_back(
          std::chrono::duration<double>(Now - Done.SubmittedAt).count());
    }
    AttemptResult Outcome;
    Outcome.State = RunState::Ran;
    Outcome.Answered = true;
    end(AttemptId, Outcome);
  }

  void timeOut(std::uint64_t AttemptId) {
    if (Attempts.contains(AttemptId))
      end(AttemptId,
          failure(RunState::MayHaveRun, Reason::EndpointTimedOut, false));
  }

  /// Ends an attempt with any outcome.
  void end(std::uint64_t AttemptId, AttemptResult Outcome) {
    const auto Position = Attempts.find(AttemptId);
    if (Position == Attempts.end())
      return;
    const Attempt Ended = Position->second;
    Attempts.erase(Position);
    Engine &Target = Engines[Ended.Engine];
    Target.Running.erase(AttemptId);
    std::erase(Target.Queue, AttemptId);
    startNext(Ended.Engine);
    Outcome.Total = Now - Ended.SentAt;
    const RequestRecord &Request = Requests[Ended.Request];
    dispatch(Request.Host, [&](Dispatcher &Scheduler, Commands &Output) {
      Scheduler.attemptEnded(Request.Id, Outcome, Now, Output);
    });
  }

  void refused(std::size_t /*Index*/, const RefuseCommand &Refusal) {
    if (Refusal.FinalVerdict.State == RunState::NotRun)
      ++Result.RefusedNotRun;
    else
      ++Result.RefusedMayHaveRun;
  }

  void report(std::size_t EngineIndex) {
    const Engine &Target = Engines[EngineIndex];
    at(Now + ReportEvery, [this, EngineIndex] { report(EngineIndex); });
    if (!Target.Up || Unrouted.contains(Target.Spec.DataCentre.Text))
      return;
    const LoadReport Report{Target.Spec.Key, Target.Run,
                            static_cast<std::uint32_t>(Target.Running.size()),
                            static_cast<std::uint32_t>(Target.Queue.size()),
                            ReportLag};
    at(Now + ReportLag, [this, Report] {
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        dispatch(Index, [&](Dispatcher &Scheduler, Commands &Output) {
          Scheduler.observe(Report, Now, Output);
        });
    });
  }

  /// Crashes a cold engine that has more than twice its present capacity.
  void checkColdOverload(std::size_t EngineIndex) {
    const Engine &Target = Engines[EngineIndex];
    const double Capacity = capacityOf(Target);
    if (Capacity >= Options.Bound)
      return;
    const double Load =
        static_cast<double>(Target.Running.size() + Target.Queue.size()) /
        Capacity;
    Result.ColdPeak = std::max(Result.ColdPeak, Load);
    if (Load <= 2.0)
      return;
    ++Result.ColdCrashes;
    stop(EngineIndex);
    at(Now + RestartTime, [this, EngineIndex] {
      if (!Engines[EngineIndex].InOutage)
        startUp(EngineIndex);
    });
  }

  void stop(std::size_t EngineIndex) {
    Engine &Target = Engines[EngineIndex];
    Target.Up = false;
    std::vector<std::uint64_t> LostAttempts(Target.Running.begin(),
                                            Target.Running.end());
    LostAttempts.insert(LostAttempts.end(), Target.Queue.begin(),
                        Target.Queue.end());
    for (const std::uint64_t AttemptId : LostAttempts)
      at(Now + upTo(milliseconds(5)), [this, AttemptId] {
        end(AttemptId,
            failure(RunState::MayHaveRun, Reason::EndpointCut, true));
      });
    Target.Cache.clear();
  }

  void startUp(std::size_t EngineIndex) {
    Engine &Target = Engines[EngineIndex];
    Target.Up = true;
    ++Target.Run;
    Target.Sequence = 0;
    Target.StartedAt = Now;
  }

  void scheduleOutage(const SimulatedOutage &Outage) {
    const std::string Name = "dc-" + std::to_string(Outage.DataCentre);
    const auto ForEachEngine = [this, Name](auto Callback) {
      for (std::size_t EngineIndex = 0; EngineIndex < Engines.size();
           ++EngineIndex)
        if (Engines[EngineIndex].Spec.DataCentre.Text == Name)
          Callback(EngineIndex);
    };
    at(Start + Outage.From, [this, ForEachEngine] {
      ForEachEngine([this](std::size_t EngineIndex) {
        Engines[EngineIndex].InOutage = true;
        stop(EngineIndex);
      });
    });
    at(Start + Outage.From + Outage.RoutesAfter, [this, Name] {
      Unrouted.insert(Name);
      configure();
    });
    at(Start + Outage.Until, [this, ForEachEngine] {
      ForEachEngine([this](std::size_t EngineIndex) {
        Engines[EngineIndex].InOutage = false;
        startUp(EngineIndex);
      });
    });
    at(Start + Outage.Until + Outage.RoutesAfter, [this, Name] {
      Unrouted.erase(Name);
      configure();
    });
    for (Duration Due = Outage.Until; Due < Options.Length; Due += seconds(1))
      at(Start + Due, [this] { setShares(); });
  }

  SimulationOptions Options;
  Random Rng;
  TimePoint Now = Start;
  std::priority_queue<Event> Events;
  std::uint64_t EventCount = 0;
  std::vector<Engine> Engines;
  std::deque<Host> Hosts;
  std::unordered_map<std::string, std::size_t> ByKey;
  std::set<std::string> Unrouted;
  std::unordered_map<std::uint64_t, RequestRecord> Requests;
  std::unordered_map<std::uint64_t, Attempt> Attempts;
  std::unordered_map<std::uint64_t, std::uint64_t> ByTicket;
  std::uint64_t NextRequest = 0;
  std::uint64_t NextAttempt = 0;
  SimulationResult Result;
};

} // namespace coltsfoottrail

#endif
