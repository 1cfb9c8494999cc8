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

/// Operators, an executor and engines that do as they are told.
class Operation {
public:
  Operation() {
    Told.join(Executor, 11);
    Told.proposeAndConfirm(
        ApplyDeclaration{test::makeDeclaration({3, 2, 4, 2, 2, 0})});
  }

  /// Plans an intent and carries it out; groups may break on the way.
  void ask(const Intent &Asked) {
    Plan Made;
    try {
      Made = planIntent(Told.Now, Asked);
    } catch (const PlanError &) {
      ++Refused;
      return;
    }
    carryOut(Made);
  }

  void repair() {
    if (const std::optional<Plan> Made = planRepair(Told.Now))
      carryOut(*Made);
  }

  /// Breaks a group and frees its hosts.
  void breakGroup(std::uint64_t Number) {
    if (Told.Now.Groups.empty())
      return;
    auto Which = Told.Now.Groups.begin();
    std::advance(Which,
                 static_cast<std::ptrdiff_t>(Number % Told.Now.Groups.size()));
    const GroupId Group = Which->first;
    Told.append(
        GroupBroken{Group, Which->second.Formed.Members.front(), "lost"});
    release(Group);
  }

  FoldedLog Told;
  std::size_t Done = 0;
  std::size_t Refused = 0;

private:
  void carryOut(const Plan &Made) {
    const Offset Id = Told.Now.Next;
    Plan Written = Made;
    shortenPlan(Written, Told.Now);
    const FoldResult Proposed = Told.append(PlanProposed{Written, "operator"});
    ASSERT_EQ(Proposed.Effect, FoldEffect::Applied) << Proposed.Why;
    const FoldResult Confirmed = Told.append(PlanConfirmed{Id, "operator"});
    ASSERT_EQ(Confirmed.Effect, FoldEffect::Applied) << Confirmed.Why;
    checkCapacity(Made);
    const auto *const Apply = std::get_if<ApplyDeclaration>(&Made.Asked);
    EXPECT_TRUE(Apply == nullptr || Told.Now.Declared == Apply->Wanted);
    if (Told.Now.Plans.at(Id).Phase == PlanPhase::Running)
      execute(Id, Made);
    EXPECT_EQ(Told.Now.Plans.at(Id).Phase, PlanPhase::Done)
        << Told.Now.Plans.at(Id).Why;
    ++Done;
  }

  void execute(Offset Id, const Plan &Made) {
    const Offset Lease = Told.takeLease(Id, Executor);
    for (std::uint32_t Index = 0; Index < Made.Steps.size(); ++Index) {
      const Step &Each = Made.Steps[Index];
      if (const auto *const Form = std::get_if<FormGroup>(&Each))
        Told.confirmGroup(GroupId{Id, Form->Number}, Lease);
      if (const auto *const Stop = std::get_if<StopGroup>(&Each))
        release(Stop->Group);
      const FoldResult Finished = Told.append(StepFinished{Id, Lease, Index});
      ASSERT_EQ(Finished.Effect, FoldEffect::Applied) << Finished.Why;
      checkCapacity(Made);
    }
  }

  void release(const GroupId &Which) {
    const auto Found = Told.Now.Groups.find(Which);
    if (Found == Told.Now.Groups.end())
      return;
    const std::set<HostName> Held = Found->second.Held;
    for (const HostName &Host : Held)
      Told.append(HostReleased{Host, Which});
  }

  /// Capacity is never below what the plan told the operator.
  void checkCapacity(const Plan &Made) const {
    const RouteTable Routes = buildRoutes(Told.Now);
    for (const CapacityForecast &Each : Made.Forecast) {
      const auto Pool = Routes.Pools.find(poolOfModel(Each.Model.Text));
      const std::size_t Now =
          Pool == Routes.Pools.end() ? 0 : Pool->second.Endpoints.size();
      EXPECT_GE(Now, Each.GroupsAtWorst) << Each.Model.Text;
    }
  }

  const HostName Executor{"entry-a"};
};

Intent drawIntent(Random &Draw, const State &Now) {
  const auto Where = dataCentre(static_cast<std::uint32_t>(Draw.below(3)));
  const auto Which = model(static_cast<std::uint32_t>(Draw.below(2)));
  const auto Host = host(static_cast<std::uint32_t>(Draw.below(3)),
                         static_cast<std::uint32_t>(Draw.below(2)),
                         static_cast<std::uint32_t>(Draw.below(4)));
  switch (Draw.below(9)) {
  case 0:
    return DrainDataCentre{Where};
  case 1:
    return ReturnDataCentre{Where};
  case 2:
    return DrainHost{Host};
  case 3:
    return ReturnHost{Host};
  case 4:
    return SetVersion{Which, VersionName("v" + std::to_string(Draw.below(3)))};
  case 5:
    return SetAdapters{Which,
                       {AdapterName("a" + std::to_string(Draw.below(2)))}};
  case 6: {
    Declaration Wanted = Now.Declared;
    Wanted.Models.front().Groups[Where] =
        static_cast<std::uint32_t>(Draw.below(3));
    Wanted.Hosts.erase(
        Wanted.Hosts.begin() +
        static_cast<std::ptrdiff_t>(Draw.below(Wanted.Hosts.size())));
    HostSpec Added = Now.Declared.Hosts.front();
    Added.Name = HostName("added-" + std::to_string(Now.Next));
    Added.Address = "10.9.9.9";
    Added.Port = static_cast<std::uint16_t>(1 + Now.Next);
    Wanted.Hosts.push_back(std::move(Added));
    std::ranges::sort(Wanted.Hosts, {}, &HostSpec::Name);
    return ApplyDeclaration{std::move(Wanted)};
  }
  default:
    return SetCapacity{Which, Where, static_cast<std::uint32_t>(Draw.below(3))};
  }
}

// The planner and the fold each know the rules of what may be done. If they
// differed, an operator's plan would be void for no reason that he can mend, or
// stop half way with hosts held in a group that is never formed.
TEST(PlannedOperation, PlansAreTakenAndRunToTheirEnd) {
  std::size_t Done = 0;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    Operation All;
    Random Draw(Seed);
    for (int Round = 0; Round < 25; ++Round) {
      if (Draw.below(6) == 0)
        All.breakGroup(Draw());
      else if (Draw.below(6) == 0)
        All.repair();
      else
        All.ask(drawIntent(Draw, All.Told.Now));
      ASSERT_FALSE(HasFailure()) << "seed " << Seed << " round " << Round;
    }
    Done += All.Done;
  }
  EXPECT_GT(Done, 500U);
}

} // namespace
} // namespace coltsfoottrail
