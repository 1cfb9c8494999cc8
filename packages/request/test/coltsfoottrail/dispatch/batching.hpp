/// @file
/// Entry hosts before engines that read prompts one after the other and write
/// in batches, in steps of simulated time.
#ifndef COLTSFOOTTRAIL_TEST_DISPATCH_BATCHING_HPP
#define COLTSFOOTTRAIL_TEST_DISPATCH_BATCHING_HPP

#include "coltsfoottrail/dispatch/dispatcher.hpp"
#include "coltsfoottrail/dispatch/terms.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace coltsfoottrail::test {

/// Sets the terms of a request: the policy that is played.
using TermsPolicy =
    std::function<void(const RequestTiming &, TimePoint, WorkItem &)>;

/// @brief What callers got.
struct CallerTally {
  std::size_t Asked = 0;
  std::size_t OnTime = 0;
  std::size_t Late = 0;
  /// They left at their deadline, or for want of a first event, without an
  /// answer.
  std::size_t LeftUnanswered = 0;
  /// They left in the middle of a stream, at their deadline.
  std::size_t LeftMidway = 0;
  std::size_t Refused = 0;

  [[nodiscard]] std::size_t served() const { return OnTime + Late; }
};

/// @brief A load of streams before a few engines of which some are lost for a
/// while.
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
  double MeanPrompt = 900.0;
  double MeanAnswer = 200.0;
  std::uint64_t Seed = 1;
};

/// @brief Plays a load; the same result for the same load and policy.
class BatchingPlay {
public:
  BatchingPlay(BatchingLoad Wanted, TermsPolicy Policy)
      : Load(Wanted), Terms(std::move(Policy)), Draw(Load.Seed) {
    for (std::size_t Index = 0; Index < Load.Hosts; ++Index)
      Hosts.emplace_back(options(Index));
    Engines.resize(Load.Engines);
    configure(Load.Engines);
  }

  [[nodiscard]] CallerTally run() {
    const TimePoint End = Begin + Load.Length + Load.LongestPatience;
    for (; Now < End; Now += Step) {
      if (Now == Begin + Load.LostFrom)
        configure(Load.EnginesLeft);
      if (Now == Begin + Load.LostUntil)
        configure(Load.Engines);
      arrive();
      returnCallers();
      for (std::size_t Index = 0; Index < Engines.size(); ++Index)
        work(Index);
      leaveCallers();
      if ((Now - Begin) % ShareEvery == Duration::zero())
        shareLoads();
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        act(Index,
            [&](Dispatcher &Of, Commands &Out) { Of.advance(Now, Out); });
    }
    return Tally;
  }

private:
  static constexpr TimePoint Begin{seconds(1000)};
  static constexpr Duration Step = milliseconds(5);
  static constexpr Duration ShareEvery = milliseconds(120);
  /// Callers give a stream up that has not begun by then.
  static constexpr Duration LongestSilence = seconds(2);
  static constexpr std::uint32_t Slots = 26;

  struct Request {
    std::size_t Host = 0;
    Ticket Which;
    RequestTiming Case;
    TimePoint FirstAsked;
    double ToRead = 0.0;
    double ToWrite = 0.0;
    std::optional<std::size_t> At;
    bool Begun = false;
    bool BegunInTime = false;
    bool Over = false;
    bool MayReturn = true;
  };
  struct Engine {
    std::vector<std::size_t> Waiting;
    std::vector<std::size_t> Running;
  };
  struct Return {
    TimePoint When;
    std::size_t Of = 0;
  };

  [[nodiscard]] static EnginePace pace() {
    return {0.0071, 0.0, 50'700.0, 2048, 7};
  }

  [[nodiscard]] DispatcherOptions options(std::size_t Index) const {
    DispatcherOptions Out;
    EstimatedWaitPolicy Policy;
    Policy.UseRing = false;
    Policy.FullByLoad = true;
    Out.Policy = Policy;
    Out.Seed = Load.Seed * 100 + Index;
    return Out;
  }

  [[nodiscard]] static std::string keyOf(std::size_t Index) {
    return "leader-" + std::to_string(Index);
  }

  void configure(std::size_t Count) {
    Pool Wanted;
    Wanted.Pace = pace();
    for (std::size_t Index = 0; Index < Count; ++Index) {
      EndpointSpec Spec;
      Spec.Key = keyOf(Index);
      Spec.WarmBound = Slots;
      Wanted.Endpoints.push_back(Spec);
    }
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
      act(Host, [&](Dispatcher &Of, Commands &Out) {
        Of.configure(Wanted, Now, Out);
        for (std::size_t Index = 0; Index < Count; ++Index)
          Of.setShare(keyOf(Index), Slots * 4, Now, Out);
      });
  }

  template <class Function> void act(std::size_t Host, Function Do) {
    Commands Out;
    Do(Hosts[Host], Out);
    for (const Command &Each : Out) {
      if (const auto *const Send = std::get_if<SendCommand>(&Each))
        sent(Host, *Send);
      else
        refused(Host, std::get<RefuseCommand>(Each));
    }
  }

  void submit(std::size_t Number) {
    Request &Asked = Requests[Number];
    WorkItem Item;
    Item.Team = TeamName("team");
    Item.PromptTokens = static_cast<std::uint32_t>(Asked.ToRead);
    Item.Repeatable = true;
    Terms(Asked.Case, Now, Item);
    // Commands of a submission may be its own: its ticket is known only then.
    Commands Out;
    Asked.Which = Hosts[Asked.Host].submit(Item, Now, Out);
    ByTicket[{Asked.Host, Asked.Which.Index, Asked.Which.Generation}] = Number;
    for (const Command &Each : Out) {
      if (const auto *const Send = std::get_if<SendCommand>(&Each))
        sent(Asked.Host, *Send);
      else
        refused(Asked.Host, std::get<RefuseCommand>(Each));
    }
  }

  [[nodiscard]] std::size_t numberOf(std::size_t Host, Ticket Which) const {
    return ByTicket.at({Host, Which.Index, Which.Generation});
  }

  void arrive() {
    Due += Load.RequestsPerSecond * std::chrono::duration<double>(Step).count();
    if (Now >= Begin + Load.Length)
      return;
    for (; Due >= 1.0; Due -= 1.0) {
      Request Made;
      Made.Host = Draw.below(Hosts.size());
      Made.FirstAsked = Now;
      Made.Case.Streams = true;
      Made.Case.ArrivedAt = Now;
      Made.Case.TargetLatency = Load.TargetLatency;
      const Duration Span = Load.LongestPatience - Load.ShortestPatience;
      Made.Case.AnswerBy =
          Now + Load.ShortestPatience +
          std::chrono::duration_cast<Duration>(Span * Draw.fraction());
      Made.ToRead = 40.0 - Load.MeanPrompt * std::log(1.0 - Draw.fraction());
      Made.ToWrite = 7.0 - Load.MeanAnswer * std::log(1.0 - Draw.fraction());
      Requests.push_back(Made);
      ++Tally.Asked;
      submit(Requests.size() - 1);
    }
  }

  void returnCallers() {
    std::vector<Return> DueNow;
    std::erase_if(Returns, [&](const Return &Each) {
      if (Each.When > Now)
        return false;
      DueNow.push_back(Each);
      return true;
    });
    for (const Return &Each : DueNow) {
      Request &Asked = Requests[Each.Of];
      Asked.Case.Status = Timeliness::Resubmitted;
      Asked.Case.ArrivedAt = Now;
      submit(Each.Of);
    }
  }

  void sent(std::size_t Host, const SendCommand &Send) {
    const std::size_t Number = numberOf(Host, Send.Id);
    const std::size_t Where =
        std::stoul(Send.EndpointKey.substr(std::string("leader-").size()));
    Requests[Number].At = Where;
    Engines[Where].Waiting.push_back(Number);
  }

  void refused(std::size_t Host, const RefuseCommand &Told) {
    const std::size_t Number = numberOf(Host, Told.Id);
    Request &Asked = Requests[Number];
    if (Asked.Case.Status == Timeliness::Fresh &&
        Told.FinalVerdict.Why == Reason::Overloaded) {
      Asked.Case.Status = Timeliness::Demoted;
      submit(Number);
      return;
    }
    const Duration Left = Asked.Case.AnswerBy - Now;
    if (!std::exchange(Asked.MayReturn, false) || Left <= Step) {
      Asked.Over = true;
      ++Tally.Refused;
      return;
    }
    Returns.push_back(
        {Now + std::chrono::duration_cast<Duration>(Left * 0.25), Number});
  }

  void work(std::size_t Index) {
    Engine &Its = Engines[Index];
    std::erase_if(Its.Waiting,
                  [&](std::size_t Each) { return Requests[Each].Over; });
    std::erase_if(Its.Running,
                  [&](std::size_t Each) { return Requests[Each].Over; });
    while (Its.Running.size() < Slots && !Its.Waiting.empty()) {
      const auto First = std::min_element(
          Its.Waiting.begin(), Its.Waiting.end(),
          [&](std::size_t One, std::size_t Other) {
            const auto Rank = [&](std::size_t Of) {
              return Requests[Of].Case.Status == Timeliness::Fresh ? 0 : 1;
            };
            return Rank(One) < Rank(Other);
          });
      Its.Running.push_back(*First);
      Its.Waiting.erase(First);
    }
    const double Span = std::chrono::duration<double>(Step).count();
    const bool Reads = std::any_of(
        Its.Running.begin(), Its.Running.end(),
        [&](std::size_t Each) { return Requests[Each].ToRead > 0.0; });
    const double ChunkSeconds =
        pace().ChunkTokens / pace().PromptTokensPerSecond;
    const double StepSeconds = pace().StepSeconds;
    const double ReadPart =
        Reads ? ChunkSeconds / (ChunkSeconds + StepSeconds) : 0.0;
    double CanRead = Span * ReadPart * pace().PromptTokensPerSecond;
    const double Written = Span * (1.0 - ReadPart) / StepSeconds;
    std::vector<std::size_t> Ended;
    for (const std::size_t Number : Its.Running) {
      Request &Asked = Requests[Number];
      if (Asked.ToRead > 0.0) {
        const double Read = std::min(CanRead, Asked.ToRead);
        Asked.ToRead -= Read;
        CanRead -= Read;
        continue;
      }
      Asked.ToWrite -= Written;
      if (!std::exchange(Asked.Begun, true)) {
        Asked.BegunInTime = Now - Asked.FirstAsked <= Load.TargetLatency;
        Hosts[Asked.Host].responseStarted(Asked.Which);
      }
      if (Asked.ToWrite <= 0.0)
        Ended.push_back(Number);
    }
    for (const std::size_t Number : Ended)
      answered(Number);
  }

  void answered(std::size_t Number) {
    Request &Asked = Requests[Number];
    Asked.Over = true;
    ++(Asked.BegunInTime ? Tally.OnTime : Tally.Late);
    AttemptResult Result;
    Result.State = RunState::Ran;
    Result.Answered = true;
    act(Asked.Host, [&](Dispatcher &Of, Commands &Out) {
      Of.attemptEnded(Asked.Which, Result, Now, Out);
    });
  }

  void leaveCallers() {
    for (std::size_t Number = 0; Number < Requests.size(); ++Number) {
      Request &Asked = Requests[Number];
      const bool Returning =
          std::any_of(Returns.begin(), Returns.end(),
                      [&](const Return &Each) { return Each.Of == Number; });
      const TimePoint Until =
          Asked.Begun ? Asked.Case.AnswerBy
                      : std::min(Asked.Case.AnswerBy,
                                 Asked.Case.ArrivedAt + LongestSilence);
      if (Asked.Over || Returning || Now < Until)
        continue;
      Asked.Over = true;
      ++(Asked.Begun ? Tally.LeftMidway : Tally.LeftUnanswered);
      act(Asked.Host, [&](Dispatcher &Of, Commands &Out) {
        Of.cancel(Asked.Which, Now, Out);
      });
    }
  }

  void shareLoads() {
    std::vector<std::vector<EndpointLoad>> Own;
    for (const Dispatcher &Each : Hosts)
      Own.push_back(Each.ownLoads());
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
      std::vector<EndpointLoad> Others;
      for (std::size_t Other = 0; Other < Hosts.size(); ++Other)
        if (Other != Host)
          Others.insert(Others.end(), Own[Other].begin(), Own[Other].end());
      act(Host, [&](Dispatcher &Of, Commands &Out) {
        Of.setRemoteLoads(Others, Now, Out);
      });
    }
  }

  BatchingLoad Load;
  TermsPolicy Terms;
  Random Draw;
  TimePoint Now = Begin;
  double Due = 0.0;
  std::vector<Dispatcher> Hosts;
  std::vector<Engine> Engines;
  std::vector<Request> Requests;
  std::vector<Return> Returns;
  std::map<std::tuple<std::size_t, std::uint32_t, std::uint32_t>, std::size_t>
      ByTicket;
  CallerTally Tally;
};

} // namespace coltsfoottrail::test

#endif
