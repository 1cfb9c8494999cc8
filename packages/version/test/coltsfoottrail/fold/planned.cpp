#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/intents/planner.hpp"
#include "coltsfoottrail/route/table.hpp"
#include "coltsfoottrail/support.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::dataCentre;
using test::FoldedLog;
using test::host;
using test::model;

/// Simulates operators, an executor and engines that carry out every order.
class Operation {
public:
  Operation() {
    History.join(Executor, 11);
    History.proposeAndConfirm(
        ApplyDeclaration{test::makeDeclaration({3, 2, 4, 2, 2, 0})});
  }

  /// Plans an intent and runs the plan to its end.
  void request(const Intent &Request) {
    Plan NewPlan;
    try {
      NewPlan = planIntent(History.Now, Request);
    } catch (const PlanError &) {
      ++RefusedIntents;
      return;
    }
    runPlan(NewPlan);
  }

  void repair() {
    if (const std::optional<Plan> NewPlan = planRepair(History.Now))
      runPlan(*NewPlan);
  }

  /// Breaks a group and releases its hosts.
  void breakGroup(std::uint64_t Number) {
    if (History.Now.Groups.empty())
      return;
    auto It = History.Now.Groups.begin();
    std::advance(
        It, static_cast<std::ptrdiff_t>(Number % History.Now.Groups.size()));
    const GroupId Group = It->first;
    History.append(GroupBroken{Group, It->second.Spec.Members.front(), "lost"});
    release(Group);
  }

  FoldedLog History;
  std::size_t FinishedPlans = 0;
  std::size_t RefusedIntents = 0;

private:
  void runPlan(const Plan &NewPlan) {
    const Offset Id = History.Now.Next;
    Plan Written = NewPlan;
    shortenPlan(Written, History.Now);
    const FoldResult Proposed =
        History.append(PlanProposed{Written, "operator"});
    ASSERT_EQ(Proposed.Effect, FoldEffect::Applied) << Proposed.Reason;
    const FoldResult Confirmed = History.append(PlanConfirmed{Id, "operator"});
    ASSERT_EQ(Confirmed.Effect, FoldEffect::Applied) << Confirmed.Reason;
    checkCapacity(NewPlan);
    const auto *const Apply =
        std::get_if<ApplyDeclaration>(&NewPlan.RequestedIntent);
    EXPECT_TRUE(Apply == nullptr || History.Now.Declared == Apply->Desired);
    if (History.Now.Plans.at(Id).Phase == PlanPhase::Running)
      execute(Id, NewPlan);
    EXPECT_EQ(History.Now.Plans.at(Id).Phase, PlanPhase::Done)
        << History.Now.Plans.at(Id).Reason;
    ++FinishedPlans;
  }

  void execute(Offset Id, const Plan &NewPlan) {
    const Offset Lease = History.takeLease(Id, Executor);
    for (std::uint32_t Index = 0; Index < NewPlan.Steps.size(); ++Index) {
      const Step &PlanStep = NewPlan.Steps[Index];
      if (const auto *const Form = std::get_if<FormGroup>(&PlanStep))
        History.confirmGroup(GroupId{Id, Form->Number}, Lease);
      if (const auto *const Stop = std::get_if<StopGroup>(&PlanStep))
        release(Stop->Group);
      const FoldResult Finished =
          History.append(StepFinished{Id, Lease, Index});
      ASSERT_EQ(Finished.Effect, FoldEffect::Applied) << Finished.Reason;
      checkCapacity(NewPlan);
    }
  }

  void release(const GroupId &Id) {
    const auto It = History.Now.Groups.find(Id);
    if (It == History.Now.Groups.end())
      return;
    const std::set<HostName> Held = It->second.HeldHosts;
    for (const HostName &Host : Held)
      History.append(HostReleased{Host, Id});
  }

  /// Checks that the capacity is never below the forecast of the plan.
  void checkCapacity(const Plan &NewPlan) const {
    const RouteTable Routes = buildRoutes(History.Now);
    for (const CapacityForecast &Forecast : NewPlan.Forecast) {
      const auto Pool = Routes.Pools.find(modelPoolName(Forecast.Model.Text));
      const std::size_t Now =
          Pool == Routes.Pools.end() ? 0 : Pool->second.Endpoints.size();
      EXPECT_GE(Now, Forecast.GroupsAtWorst) << Forecast.Model.Text;
    }
  }

  const HostName Executor{"entry-a"};
};

Intent drawIntent(Random &Rng, const State &Now) {
  const auto DataCentre = dataCentre(static_cast<std::uint32_t>(Rng.below(3)));
  const auto Model = model(static_cast<std::uint32_t>(Rng.below(2)));
  const auto Host = host(static_cast<std::uint32_t>(Rng.below(3)),
                         static_cast<std::uint32_t>(Rng.below(2)),
                         static_cast<std::uint32_t>(Rng.below(4)));
  switch (Rng.below(9)) {
  case 0:
    return DrainDataCentre{DataCentre};
  case 1:
    return ReturnDataCentre{DataCentre};
  case 2:
    return DrainHost{Host};
  case 3:
    return ReturnHost{Host};
  case 4:
    return SetVersion{Model, VersionName("v" + std::to_string(Rng.below(3)))};
  case 5:
    return SetAdapters{Model,
                       {AdapterName("a" + std::to_string(Rng.below(2)))}};
  case 6: {
    Declaration Changed = Now.Declared;
    Changed.Models.front().Groups[DataCentre] =
        static_cast<std::uint32_t>(Rng.below(3));
    Changed.Hosts.erase(
        Changed.Hosts.begin() +
        static_cast<std::ptrdiff_t>(Rng.below(Changed.Hosts.size())));
    HostSpec Added = Now.Declared.Hosts.front();
    Added.Name = HostName("added-" + std::to_string(Now.Next));
    Added.Address = "10.9.9.9";
    Added.Port = static_cast<std::uint16_t>(1 + Now.Next);
    Changed.Hosts.push_back(std::move(Added));
    std::ranges::sort(Changed.Hosts, {}, &HostSpec::Name);
    return ApplyDeclaration{std::move(Changed)};
  }
  default:
    return SetCapacity{Model, DataCentre,
                       static_cast<std::uint32_t>(Rng.below(3))};
  }
}

// The planner and the fold both implement the rules of valid plans. If they
// differed, a plan would be void for a reason that the operator cannot fix, or
// stop halfway with hosts held by a group that is never formed.
TEST(PlannedOperation, PlansAreTakenAndRunToTheirEnd) {
  std::size_t FinishedPlans = 0;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    Operation Simulation;
    Random Rng(Seed);
    for (int Round = 0; Round < 25; ++Round) {
      if (Rng.below(6) == 0)
        Simulation.breakGroup(Rng());
      else if (Rng.below(6) == 0)
        Simulation.repair();
      else
        Simulation.request(drawIntent(Rng, Simulation.History.Now));
      ASSERT_FALSE(HasFailure()) << "seed " << Seed << " round " << Round;
    }
    FinishedPlans += Simulation.FinishedPlans;
  }
  EXPECT_GT(FinishedPlans, 500U);
}

} // namespace
} // namespace coltsfoottrail
