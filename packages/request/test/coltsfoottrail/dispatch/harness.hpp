/// @file
/// A dispatcher under a test's clock, and what it commanded.
#ifndef COLTSFOOTTRAIL_DISPATCH_HARNESS_HPP
#define COLTSFOOTTRAIL_DISPATCH_HARNESS_HPP

#include "coltsfoottrail/dispatch/dispatcher.hpp"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace coltsfoottrail {

/// @brief Endpoints "e0", "e1", ... spread over data centres "dc-0", ...
inline Pool testPool(std::size_t Count, std::size_t DataCentres = 1) {
  Pool Wanted;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    EndpointSpec Spec;
    Spec.Key = "e" + std::to_string(Index);
    Spec.DataCentre =
        DataCentreName("dc-" + std::to_string(Index % DataCentres));
    Spec.WarmBound = 8;
    Wanted.Endpoints.push_back(Spec);
  }
  return Wanted;
}

/// @brief Carries a dispatcher's commands out on paper.
class DispatchHarness {
public:
  explicit DispatchHarness(DispatcherOptions Limits = {})
      : Decides(std::move(Limits)) {}

  void configure(const Pool &Wanted, std::uint32_t Share) {
    Decides.configure(Wanted, Now, Out);
    for (const EndpointSpec &Spec : Wanted.Endpoints)
      Decides.setShare(Spec.Key, Share, Now, Out);
    take();
  }

  static WorkItem item(std::string_view Team = "team") {
    WorkItem Item;
    Item.Team = TeamName(Team);
    Item.Deadline = TimePoint::max();
    return Item;
  }

  Ticket submit(WorkItem Item, Duration Patience = seconds(60)) {
    Item.Deadline = Now + Patience;
    const Ticket Which = Decides.submit(std::move(Item), Now, Out);
    take();
    return Which;
  }

  void finish(Ticket Which, const AttemptResult &Result) {
    At.erase(Which);
    Decides.attemptEnded(Which, Result, Now, Out);
    take();
  }
  void answer(Ticket Which, Duration Total = seconds(1)) {
    AttemptResult Result;
    Result.State = RunState::Ran;
    Result.Answered = true;
    Result.Total = Total;
    finish(Which, Result);
  }
  void fail(Ticket Which, RunState State, Reason Why = Reason::EndpointFailed) {
    AttemptResult Result;
    Result.State = State;
    Result.FailureReason = Why;
    finish(Which, Result);
  }
  void crash(Ticket Which) {
    AttemptResult Result;
    Result.State = RunState::MayHaveRun;
    Result.FailureReason = Reason::EndpointCut;
    Result.ConnectionLost = true;
    finish(Which, Result);
  }

  /// Lets time pass, waking the dispatcher as it asks.
  void pass(Duration Span) {
    const TimePoint Until = Now + Span;
    for (;;) {
      const std::optional<TimePoint> Wake = Decides.nextWake();
      if (!Wake || *Wake > Until)
        break;
      Now = std::max(Now, *Wake);
      Decides.advance(Now, Out);
      take();
    }
    Now = Until;
  }

  /// Where a request is in flight; empty when it is not.
  [[nodiscard]] std::string at(Ticket Which) const {
    const auto Found = At.find(Which);
    return Found == At.end() ? std::string() : Found->second;
  }
  /// Its final refusal, if it got one.
  [[nodiscard]] std::optional<Verdict> refusal(Ticket Which) const {
    const auto Found = Refused.find(Which);
    if (Found == Refused.end())
      return std::nullopt;
    return Found->second;
  }

  void take() {
    for (const Command &Each : Out) {
      if (const auto *const Send = std::get_if<SendCommand>(&Each)) {
        At[Send->Id] = Send->EndpointKey;
        Sent.push_back(Send->EndpointKey);
      } else {
        const auto &Refusal = std::get<RefuseCommand>(Each);
        Refused[Refusal.Id] = Refusal.FinalVerdict;
      }
    }
    Out.clear();
  }

  Dispatcher Decides;
  TimePoint Now{seconds(1000)};
  Commands Out;
  std::unordered_map<Ticket, std::string> At;
  std::unordered_map<Ticket, Verdict> Refused;
  /// Endpoints in the order of the sends.
  std::vector<std::string> Sent;
};

} // namespace coltsfoottrail

#endif
