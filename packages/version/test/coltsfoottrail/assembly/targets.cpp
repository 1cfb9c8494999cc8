#include "coltsfoottrail/assembly/assembler.hpp"
#include "engines.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

/// Groups that the assembler forms at the start, by model.
std::map<ModelName, std::size_t> formedGroups(const EngineTargets *Targets) {
  FakeEngines Fleet;
  for (int Index = 0; Index < 6; ++Index)
    Fleet.addDomain("north", "n" + std::to_string(Index), 12);
  AssemblyView View{Fleet.Catalogue, Fleet.Service, Fleet.Drained, Fleet.Fence};
  View.Targets = Targets;
  std::map<ModelName, std::set<GroupEpoch>> Epochs;
  for (const TimePoint End = Fleet.Now + seconds(2); Fleet.Now < End;
       Fleet.Now += milliseconds(100))
    for (const SeatCommand &Command :
         Fleet.GroupAssembler.plan(View, Fleet.Now))
      if (const auto *const Join = std::get_if<JoinSeat>(&Command.Order);
          Join != nullptr && Join->Members.size() > 1)
        Epochs[Join->Model].insert(Join->Epoch);
  std::map<ModelName, std::size_t> Result;
  for (const auto &[Model, Formed] : Epochs)
    Result[Model] = Formed.size();
  return Result;
}

TEST(AssemblerTargets, GroupsFollowTheTargets) {
  const ModelName Big("big");
  const ModelName Small("small");
  const EngineTargets MostlyBig{{Big, {0.83, std::nullopt}},
                                {Small, {0.17, std::nullopt}}};
  const EngineTargets MostlySmall{{Big, {0.17, std::nullopt}},
                                  {Small, {0.83, std::nullopt}}};
  EXPECT_GT(formedGroups(&MostlyBig)[Big], formedGroups(&MostlyBig)[Small]);
  EXPECT_GT(formedGroups(&MostlySmall)[Small],
            3 * formedGroups(&MostlySmall)[Big]);
}

TEST(AssemblerTargets, SharesOfTheConfigurationApplyWithoutTargets) {
  const EngineTargets Configured{{ModelName("big"), {0.57, std::nullopt}},
                                 {ModelName("small"), {0.43, std::nullopt}}};
  const EngineTargets None;
  EXPECT_EQ(formedGroups(nullptr), formedGroups(&Configured));
  EXPECT_EQ(formedGroups(&None), formedGroups(&Configured));
}

} // namespace

} // namespace coltsfoottrail::test
