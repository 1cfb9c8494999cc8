/// @file
/// Simulation in fixed time steps of entry hosts in front of engines that
/// process prompts one after the other and generate output in batches.
#ifndef COLTSFOOTTRAIL_TEST_DISPATCH_BATCHING_HPP
#define COLTSFOOTTRAIL_TEST_DISPATCH_BATCHING_HPP

#include "coltsfoottrail/dispatch/dispatcher.hpp"
#include "coltsfoottrail/dispatch/terms.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numbers>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail::test {

/// Sets the scheduling terms of a request: the policy under test.
using TermsPolicy =
    std::function<void(const RequestTiming &, TimePoint, WorkItem &)>;

/// @brief Outcomes of the requests, by number.
struct CallerTally {
  std::size_t Submitted = 0;
  std::size_t OnTime = 0;
  std::size_t Late = 0;
  /// The caller left without any output, at its deadline or because the first
  /// event took too long.
  std::size_t LeftUnanswered = 0;
  /// The caller left at its deadline in the middle of a stream.
  std::size_t LeftMidway = 0;
  std::size_t Refused = 0;

  [[nodiscard]] std::size_t served() const { return OnTime + Late; }
  [[nodiscard]] double onTimeShare() const {
    return double(OnTime) / double(std::max<std::size_t>(Submitted, 1));
  }
};

/// @brief Sends by where they go.
struct SendTally {
  std::size_t Home = 0;
  std::size_t Far = 0;

  [[nodiscard]] double farShare() const {
    return double(Far) / double(std::max<std::size_t>(Home + Far, 1));
  }
};

/// @brief Where requests were sent.
struct PlacementTally {
  SendTally All;
  std::map<AwayReason, std::size_t> Reasons;
  /// By the second since the begin, for the hosts of the first data centre.
  std::vector<SendTally> FirstBySecond;
  /// Requests of these hosts that were sent to each engine elsewhere.
  std::map<std::size_t, std::size_t> FirstToEngine;
  /// Outcomes by host.
  std::vector<CallerTally> Hosts;
};

/// @brief Streams of one team and rank.
struct StreamClass {
  std::uint32_t Rank = 0;
  std::string Team = "team";
  double RequestsPerSecond = 0.0;
  /// Factor on the rate between BurstFrom and BurstUntil of the load.
  double BurstFactor = 1.0;
  Duration TargetLatency = milliseconds(400);
  Duration Patience = seconds(6);
  /// Whether all of its callers use the first host.
  bool AtOneHost = false;
};

/// @brief What became of the requests of one class.
struct ClassShare {
  std::size_t Submitted = 0;
  std::size_t OnTime = 0;
  /// Requests that were sent to an engine.
  std::size_t Sent = 0;

  [[nodiscard]] double onTime() const {
    return Submitted == 0 ? 1.0 : double(OnTime) / double(Submitted);
  }
};

/// @brief Load of streaming requests on a few engines, some of which are lost
/// for a while.
struct BatchingLoad {
  std::size_t Hosts = 8;
  std::size_t Engines = 8;
  /// Engines that are left between LostFrom and LostUntil.
  std::size_t EnginesLeft = 4;
  double RequestsPerSecond = 90.0;
  Duration LostFrom = seconds(5);
  Duration LostUntil = seconds(15);
  Duration Length = seconds(25);
  Duration ShortestPatience = milliseconds(1400);
  Duration LongestPatience = seconds(8);
  Duration TargetLatency = milliseconds(250);
  double MeanPromptTokens = 900.0;
  double MeanOutputTokens = 200.0;
  std::uint64_t Seed = 1;
  EnginePace Pace = {0.0071, 0.0, 50'700.0, 2048, 7};
  /// Hosts and engines stand in the data centres in turn.
  std::size_t DataCentres = 1;
  /// Rule of the hosts for their own data centre.
  std::optional<HomeFirst> Home = std::nullopt;
  /// Callers in each data centre in proportion; empty if equal. Has no effect
  /// with one data centre, nor have the next two.
  std::vector<double> CallerWeights = {};
  /// Amplitude of the demand of a data centre, as a fraction of its mean; each
  /// one's wave follows the one before.
  double Swing = 0.0;
  Duration WaveLength = seconds(13);
  /// Whether an engine is lost between LostFrom and LostUntil; if empty, those
  /// from EnginesLeft on are.
  std::function<bool(std::size_t)> IsLost = {};
  /// For how long engines that return run at half of their speed.
  Duration ColdTime = Duration::zero();
  /// Fraction of the pace that the slowest engines lack.
  double SpeedSpread = 0.0;
  /// If set, targets are uniform between TargetLatency and this.
  std::optional<Duration> LongestTarget = std::nullopt;
  /// A host that receives no loads of the others.
  std::optional<std::size_t> HostWithoutLoads = std::nullopt;
  /// If not empty, the classes replace RequestsPerSecond, the patience and
  /// TargetLatency.
  std::vector<StreamClass> Classes;
  Duration BurstFrom = seconds(8);
  Duration BurstUntil = seconds(14);
  /// Ranks of the pool.
  std::vector<PoolRank> Ranks;
  /// Whether the hosts hear of each other's loads.
  bool SharesLoads = true;
};

/// @brief Simulates a load. Deterministic for a given load and policy.
class BatchingSimulation {
public:
  BatchingSimulation(BatchingLoad Load, TermsPolicy Terms)
      : Workload(Load), Policy(std::move(Terms)), Rng(Workload.Seed) {
    for (std::size_t Index = 0; Index < Workload.Hosts; ++Index)
      Hosts.emplace_back(options(Index));
    Engines.resize(Workload.Engines);
    Placements.Hosts.resize(Workload.Hosts);
    configure(false);
  }

  [[nodiscard]] CallerTally run() {
    const TimePoint End = Begin + Workload.Length + Workload.LongestPatience;
    for (; Now < End; Now += Step) {
      if (Now == Begin + Workload.LostFrom)
        configure(true);
      if (Now == Begin + Workload.LostUntil)
        configure(false);
      submitArrivals();
      resubmitDue();
      for (std::size_t Index = 0; Index < Engines.size(); ++Index)
        stepEngine(Index);
      cancelExpired();
      if ((Now - Begin) % ShareEvery == Duration::zero())
        shareLoads();
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        dispatch(Index, [&](Dispatcher &Scheduler, Commands &Output) {
          Scheduler.advance(Now, Output);
        });
    }
    return Tally;
  }

  /// @brief Where requests were sent.
  [[nodiscard]] const PlacementTally &placements() const { return Placements; }
  /// @brief What became of the requests of a class that were submitted within a
  /// span of time after the start.
  [[nodiscard]] ClassShare share(std::size_t Class, Duration From,
                                 Duration Until) const {
    ClassShare Result;
    for (const SimulatedRequest &Request : Requests) {
      if (Request.Class != Class || Request.SubmittedAt < Begin + From ||
          Request.SubmittedAt >= Begin + Until)
        continue;
      ++Result.Submitted;
      Result.OnTime += Request.StartedInTime ? 1 : 0;
      Result.Sent += Request.EngineIndex ? 1 : 0;
    }
    return Result;
  }

  /// @brief The commands of all hosts, in order, as text.
  [[nodiscard]] const std::string &commandLog() const { return CommandLog; }

private:
  static constexpr TimePoint Begin{seconds(1000)};
  static constexpr Duration Step = milliseconds(5);
  static constexpr Duration ShareEvery = milliseconds(120);
  /// Time after which callers give up a stream that has not started.
  static constexpr Duration MaxFirstEventWait = seconds(2);
  static constexpr std::uint32_t Slots = 26;

  struct SimulatedRequest {
    std::size_t Host = 0;
    std::size_t Class = 0;
    std::uint32_t Rank = 0;
    Ticket Id;
    RequestTiming Timing;
    TimePoint SubmittedAt;
    double PromptTokensLeft = 0.0;
    double OutputTokensLeft = 0.0;
    std::optional<std::size_t> EngineIndex;
    bool Started = false;
    bool StartedInTime = false;
    bool Done = false;
    bool MayResubmit = true;
  };
  struct Engine {
    std::vector<std::size_t> Waiting;
    std::vector<std::size_t> Running;
  };
  struct Resubmission {
    TimePoint Due;
    std::size_t RequestNumber = 0;
  };

  [[nodiscard]] DispatcherOptions options(std::size_t Index) const {
    DispatcherOptions Options;
    EstimatedWaitPolicy Policy;
    Policy.UseRing = false;
    Policy.FullByLoad = true;
    Policy.Home = Workload.Home;
    Options.Policy = Policy;
    Options.LocalDataCentre = dataCentre(Index);
    Options.Seed = Workload.Seed * 100 + Index;
    return Options;
  }

  [[nodiscard]] static std::string keyOf(std::size_t Index) {
    return "leader-" + std::to_string(Index);
  }

  /// Data centre of a host or an engine.
  [[nodiscard]] DataCentreName dataCentre(std::size_t Index) const {
    return DataCentreName("dc-" + std::to_string(Index % Workload.DataCentres));
  }

  [[nodiscard]] bool isLost(std::size_t Engine) const {
    return Workload.IsLost ? Workload.IsLost(Engine)
                           : Engine >= Workload.EnginesLeft;
  }

  void configure(bool WithLosses) {
    Pool Config;
    Config.Name = "model/m";
    Config.Pace = Workload.Pace;
    Config.Ranks = Workload.Ranks;
    for (std::size_t Index = 0; Index < Workload.Engines; ++Index) {
      if (WithLosses && isLost(Index))
        continue;
      EndpointSpec Spec;
      Spec.Key = keyOf(Index);
      Spec.DataCentre = dataCentre(Index);
      Spec.WarmBound = Slots;
      Config.Endpoints.push_back(Spec);
    }
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
      dispatch(Host, [&](Dispatcher &Scheduler, Commands &Output) {
        Scheduler.configure(Config, Now, Output);
        for (const EndpointSpec &Spec : Config.Endpoints)
          Scheduler.setShare(Spec.Key, Slots * 4, Now, Output);
      });
  }

  template <class Function> void dispatch(std::size_t Host, Function Call) {
    Commands Output;
    Call(Hosts[Host], Output);
    for (const Command &Entry : Output) {
      if (const auto *const Send = std::get_if<SendCommand>(&Entry))
        sent(Host, *Send);
      else
        refused(Host, std::get<RefuseCommand>(Entry));
    }
  }

  void submit(std::size_t Number) {
    SimulatedRequest &Request = Requests[Number];
    WorkItem Item;
    Item.Team = TeamName(Workload.Classes.empty()
                             ? std::string("team")
                             : Workload.Classes[Request.Class].Team);
    Item.Rank = Request.Rank;
    Item.PromptTokens = static_cast<std::uint32_t>(Request.PromptTokensLeft);
    Item.Repeatable = true;
    Policy(Request.Timing, Now, Item);
    // The commands may concern the submitted request itself, whose ticket is
    // known only after submit() has returned.
    Commands Output;
    Request.Id = Hosts[Request.Host].submit(Item, Now, Output);
    ByTicket[{Request.Host, Request.Id.Index, Request.Id.Generation}] = Number;
    for (const Command &Entry : Output) {
      if (const auto *const Send = std::get_if<SendCommand>(&Entry))
        sent(Request.Host, *Send);
      else
        refused(Request.Host, std::get<RefuseCommand>(Entry));
    }
  }

  [[nodiscard]] std::size_t numberOf(std::size_t Host, Ticket Id) const {
    return ByTicket.at({Host, Id.Index, Id.Generation});
  }

  /// Draws the data centre of a caller by the present demand, then a host.
  [[nodiscard]] std::size_t drawHost() {
    if (Workload.DataCentres == 1)
      return Rng.below(Hosts.size());
    std::vector<double> Demand;
    double Sum = 0.0;
    for (std::size_t Index = 0; Index < Workload.DataCentres; ++Index) {
      const double Phase =
          std::chrono::duration<double>(Now - Begin) /
              std::chrono::duration<double>(Workload.WaveLength) -
          double(Index) / double(Workload.DataCentres);
      const double Weight =
          Workload.CallerWeights.empty() ? 1.0 : Workload.CallerWeights[Index];
      Demand.push_back(
          Weight *
          (1.0 + Workload.Swing * std::sin(2.0 * std::numbers::pi * Phase)));
      Sum += Demand.back();
    }
    double Drawn = Rng.fraction() * Sum;
    std::size_t DataCentre = 0;
    while (DataCentre + 1 < Demand.size() && Drawn >= Demand[DataCentre])
      Drawn -= Demand[DataCentre++];
    const std::size_t Count =
        (Hosts.size() - DataCentre + Workload.DataCentres - 1) /
        Workload.DataCentres;
    return DataCentre + Workload.DataCentres * Rng.below(Count);
  }

  /// Speed of an engine in relation to the pace.
  [[nodiscard]] double speedOf(std::size_t Engine) const {
    constexpr std::size_t Classes = 4;
    const bool IsCold = Workload.ColdTime > Duration::zero() &&
                        isLost(Engine) && Now >= Begin + Workload.LostUntil &&
                        Now < Begin + Workload.LostUntil + Workload.ColdTime;
    const double Class =
        double(Engine / Workload.DataCentres % Classes) / (Classes - 1);
    return (1.0 - Workload.SpeedSpread * Class) * (IsCold ? 0.5 : 1.0);
  }

  void submitArrivals() {
    if (!Workload.Classes.empty()) {
      submitClasses();
      return;
    }
    ArrivalCredit += Workload.RequestsPerSecond *
                     std::chrono::duration<double>(Step).count();
    if (Now >= Begin + Workload.Length)
      return;
    for (; ArrivalCredit >= 1.0; ArrivalCredit -= 1.0) {
      SimulatedRequest Request;
      Request.Host = drawHost();
      Request.SubmittedAt = Now;
      Request.Timing.Streams = true;
      Request.Timing.ArrivedAt = Now;
      Request.Timing.TargetLatency = Workload.TargetLatency;
      const Duration Span =
          Workload.LongestPatience - Workload.ShortestPatience;
      Request.Timing.AnswerBy =
          Now + Workload.ShortestPatience +
          std::chrono::duration_cast<Duration>(Span * Rng.fraction());
      submitNew(Request);
    }
  }

  void submitNew(SimulatedRequest Request) {
    Request.PromptTokensLeft =
        40.0 - Workload.MeanPromptTokens * std::log(1.0 - Rng.fraction());
    Request.OutputTokensLeft =
        7.0 - Workload.MeanOutputTokens * std::log(1.0 - Rng.fraction());
    if (Workload.LongestTarget)
      Request.Timing.TargetLatency += std::chrono::duration_cast<Duration>(
          (*Workload.LongestTarget - Workload.TargetLatency) * Rng.fraction());
    Requests.push_back(Request);
    Open.push_back(Requests.size() - 1);
    count(Request, &CallerTally::Submitted);
    submit(Requests.size() - 1);
  }

  /// Arrivals of each class at random times.
  void submitClasses() {
    if (Now >= Begin + Workload.Length)
      return;
    const bool InBurst =
        Now >= Begin + Workload.BurstFrom && Now < Begin + Workload.BurstUntil;
    for (std::size_t Class = 0; Class < Workload.Classes.size(); ++Class) {
      const StreamClass &Kind = Workload.Classes[Class];
      const double Mean = Kind.RequestsPerSecond *
                          (InBurst ? Kind.BurstFactor : 1.0) *
                          std::chrono::duration<double>(Step).count();
      for (double Left = -std::log(1.0 - Rng.fraction()); Left < Mean;
           Left -= std::log(1.0 - Rng.fraction()))
        submitNew(requestOf(Class, Kind));
    }
  }

  [[nodiscard]] SimulatedRequest requestOf(std::size_t Class,
                                           const StreamClass &Kind) {
    SimulatedRequest Request;
    Request.Class = Class;
    Request.Rank = Kind.Rank;
    Request.Host = Kind.AtOneHost ? 0 : Rng.below(Hosts.size());
    Request.SubmittedAt = Now;
    Request.Timing.Streams = true;
    Request.Timing.ArrivedAt = Now;
    Request.Timing.TargetLatency = Kind.TargetLatency;
    Request.Timing.ShortestTarget = RankOrder(Workload.Ranks).shortestTarget();
    Request.Timing.AnswerBy = Now + Kind.Patience;
    return Request;
  }

  void resubmitDue() {
    std::vector<Resubmission> Ready;
    std::erase_if(Resubmissions, [&](const Resubmission &Entry) {
      if (Entry.Due > Now)
        return false;
      Ready.push_back(Entry);
      return true;
    });
    for (const Resubmission &Entry : Ready) {
      SimulatedRequest &Request = Requests[Entry.RequestNumber];
      Request.Timing.Status = Timeliness::Resubmitted;
      Request.Timing.ArrivedAt = Now;
      submit(Entry.RequestNumber);
    }
  }

  void sent(std::size_t Host, const SendCommand &Send) {
    const std::size_t Number = numberOf(Host, Send.Id);
    CommandLog += std::to_string(Number) + " to " + Send.EndpointKey + "\n";
    const std::size_t EngineIndex =
        std::stoul(Send.EndpointKey.substr(std::string("leader-").size()));
    Requests[Number].EngineIndex = EngineIndex;
    recordPlacement(Host, EngineIndex, Send.Away);
    Engines[EngineIndex].Waiting.push_back(Number);
  }

  void count(const SimulatedRequest &Request,
             std::size_t CallerTally::*Member) {
    ++(Tally.*Member);
    ++(Placements.Hosts[Request.Host].*Member);
  }

  void recordPlacement(std::size_t Host, std::size_t Engine, AwayReason Why) {
    const bool IsFar =
        Host % Workload.DataCentres != Engine % Workload.DataCentres;
    std::size_t SendTally::*const Member =
        IsFar ? &SendTally::Far : &SendTally::Home;
    ++(Placements.All.*Member);
    ++Placements.Reasons[Why];
    if (Host % Workload.DataCentres != 0)
      return;
    const auto Second = static_cast<std::size_t>((Now - Begin) / seconds(1));
    if (Placements.FirstBySecond.size() <= Second)
      Placements.FirstBySecond.resize(Second + 1);
    ++(Placements.FirstBySecond[Second].*Member);
    if (IsFar)
      ++Placements.FirstToEngine[Engine];
  }

  void refused(std::size_t Host, const RefuseCommand &Refusal) {
    const std::size_t Number = numberOf(Host, Refusal.Id);
    CommandLog += std::to_string(Number) + " refused " +
                  std::string(reasonCode(Refusal.FinalVerdict.Why)) + "\n";
    SimulatedRequest &Request = Requests[Number];
    if (Request.Timing.Status == Timeliness::Fresh &&
        Refusal.FinalVerdict.Why == Reason::Overloaded) {
      Request.Timing.Status = Timeliness::Demoted;
      submit(Number);
      return;
    }
    const Duration TimeLeft = Request.Timing.AnswerBy - Now;
    if (!std::exchange(Request.MayResubmit, false) || TimeLeft <= Step) {
      Request.Done = true;
      count(Request, &CallerTally::Refused);
      return;
    }
    Resubmissions.push_back(
        {Now + std::chrono::duration_cast<Duration>(TimeLeft * 0.25), Number});
  }

  [[nodiscard]] std::uint32_t enginePriority(std::size_t Number) const {
    const SimulatedRequest &Request = Requests[Number];
    const bool IsFresh = Request.Timing.Status == Timeliness::Fresh;
    return Order.enginePriority(Request.Rank, IsFresh ? StreamStage::Fresh
                                                      : StreamStage::Late);
  }

  void stepEngine(std::size_t Index) {
    Engine &Target = Engines[Index];
    std::erase_if(Target.Waiting,
                  [&](std::size_t Number) { return Requests[Number].Done; });
    std::erase_if(Target.Running,
                  [&](std::size_t Number) { return Requests[Number].Done; });
    while (Target.Running.size() < Slots && !Target.Waiting.empty()) {
      const auto First =
          std::min_element(Target.Waiting.begin(), Target.Waiting.end(),
                           [&](std::size_t One, std::size_t Other) {
                             return enginePriority(One) < enginePriority(Other);
                           });
      Target.Running.push_back(*First);
      Target.Waiting.erase(First);
    }
    const double Span =
        std::chrono::duration<double>(Step).count() * speedOf(Index);
    const bool HasPrefill = std::any_of(
        Target.Running.begin(), Target.Running.end(), [&](std::size_t Number) {
          return Requests[Number].PromptTokensLeft > 0.0;
        });
    const EnginePace &Pace = Workload.Pace;
    const double ChunkSeconds = Pace.ChunkTokens / Pace.PromptTokensPerSecond;
    const double StepSeconds =
        Pace.StepSeconds +
        Pace.StepSecondsPerRequest * double(Target.Running.size());
    const double PrefillFraction =
        HasPrefill ? ChunkSeconds / (ChunkSeconds + StepSeconds) : 0.0;
    double PromptTokenBudget =
        Span * PrefillFraction * Pace.PromptTokensPerSecond;
    const double OutputTokens = Span * (1.0 - PrefillFraction) / StepSeconds;
    std::vector<std::size_t> Ended;
    for (const std::size_t Number : Target.Running) {
      SimulatedRequest &Request = Requests[Number];
      if (Request.PromptTokensLeft > 0.0) {
        const double ProcessedTokens =
            std::min(PromptTokenBudget, Request.PromptTokensLeft);
        Request.PromptTokensLeft -= ProcessedTokens;
        PromptTokenBudget -= ProcessedTokens;
        continue;
      }
      Request.OutputTokensLeft -= OutputTokens;
      if (!std::exchange(Request.Started, true)) {
        Request.StartedInTime =
            Now - Request.SubmittedAt <= Request.Timing.TargetLatency;
        Hosts[Request.Host].responseProgressed(Request.Id, Now);
      }
      if (Request.OutputTokensLeft <= 0.0)
        Ended.push_back(Number);
    }
    for (const std::size_t Number : Ended)
      answered(Number);
  }

  void answered(std::size_t Number) {
    SimulatedRequest &Request = Requests[Number];
    Request.Done = true;
    count(Request,
          Request.StartedInTime ? &CallerTally::OnTime : &CallerTally::Late);
    AttemptResult Result;
    Result.State = RunState::Ran;
    Result.Answered = true;
    dispatch(Request.Host, [&](Dispatcher &Scheduler, Commands &Output) {
      Scheduler.attemptEnded(Request.Id, Result, Now, Output);
    });
  }

  void cancelExpired() {
    std::erase_if(Open,
                  [&](std::size_t Number) { return Requests[Number].Done; });
    for (const std::size_t Number : Open) {
      SimulatedRequest &Request = Requests[Number];
      if (Request.Done)
        continue;
      const bool WillResubmit =
          std::any_of(Resubmissions.begin(), Resubmissions.end(),
                      [&](const Resubmission &Entry) {
                        return Entry.RequestNumber == Number;
                      });
      const TimePoint GivesUpAt =
          Request.Started
              ? Request.Timing.AnswerBy
              : std::min(Request.Timing.AnswerBy,
                         Request.Timing.ArrivedAt + MaxFirstEventWait);
      if (WillResubmit || Now < GivesUpAt)
        continue;
      Request.Done = true;
      count(Request, Request.Started ? &CallerTally::LeftMidway
                                     : &CallerTally::LeftUnanswered);
      dispatch(Request.Host, [&](Dispatcher &Scheduler, Commands &Output) {
        Scheduler.cancel(Request.Id, Now, Output);
      });
    }
  }

  void shareLoads() {
    if (!Workload.SharesLoads)
      return;
    std::vector<std::vector<EndpointLoad>> Own;
    std::map<std::uint64_t, RequestLoad> Sums;
    for (const Dispatcher &Entry : Hosts)
      for (const EndpointLoad &Load : Own.emplace_back(Entry.ownLoads()))
        Sums[Load.Endpoint] += Load.Load;
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
      if (Host == Workload.HostWithoutLoads)
        continue;
      std::map<std::uint64_t, RequestLoad> Remaining = Sums;
      for (const EndpointLoad &Load : Own[Host])
        Remaining[Load.Endpoint] -= Load.Load;
      std::vector<EndpointLoad> Others;
      for (const auto &[Endpoint, Load] : Remaining)
        Others.push_back({Endpoint, Load});
      dispatch(Host, [&](Dispatcher &Scheduler, Commands &Output) {
        Scheduler.setRemoteLoads(Others, Now, Output);
      });
    }
  }

  BatchingLoad Workload;
  TermsPolicy Policy;
  Random Rng;
  TimePoint Now = Begin;
  double ArrivalCredit = 0.0;
  std::vector<Dispatcher> Hosts;
  std::vector<Engine> Engines;
  std::vector<SimulatedRequest> Requests;
  /// Numbers of the requests that had not ended at the last step.
  std::vector<std::size_t> Open;
  std::vector<Resubmission> Resubmissions;
  std::map<std::tuple<std::size_t, std::uint32_t, std::uint32_t>, std::size_t>
      ByTicket;
  CallerTally Tally;
  PlacementTally Placements;
  RankOrder Order{Workload.Ranks};
  std::string CommandLog;
};

} // namespace coltsfoottrail::test

#endif
