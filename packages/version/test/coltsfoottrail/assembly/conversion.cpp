#include "coltsfoottrail/assembly/conversion.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

const ModelName Large("large");
const ModelName Small("small");

/// A service with groups of eight and of two.
class ConversionPlanning : public testing::Test {
protected:
  ConversionPlanning() {
    Models.push_back({Large, 8, 1.0, 0.5, seconds(16), milliseconds(1600)});
    Models.push_back({Small, 2, 1.0, 0.5, seconds(12), milliseconds(1100)});
    setShare(0.5);
  }

  void setShare(double LargeShare) {
    Targets = {{Large, {LargeShare, std::nullopt}},
               {Small, {1.0 - LargeShare, std::nullopt}}};
  }

  /// Adds a domain with free engines that hold the large model, and small
  /// groups.
  ConversionDomain &addDomain(std::uint32_t Waiting, std::uint32_t SmallGroups,
                              std::uint32_t HoldingLarge = 2) {
    ConversionDomain Domain;
    Domain.Free = Waiting;
    Domain.FreeHolding[Large] = Waiting;
    for (std::uint32_t Index = 0; Index < SmallGroups; ++Index)
      Domain.Groups.push_back(
          {++Epoch, Small, 2, {{Large, HoldingLarge}, {Small, 2}}});
    Domains.push_back(std::move(Domain));
    return Domains.back();
  }

  [[nodiscard]] ConversionPlan plan() const {
    return planConversions(
        {Models, Targets, UsableEngines, Groups, Domains, MaxEngines});
  }

  std::vector<ServedModel> Models;
  EngineTargets Targets;
  double UsableEngines = 160.0;
  CountByModel Groups{{Large, 9}, {Small, 41}};
  std::vector<ConversionDomain> Domains;
  std::uint32_t MaxEngines = 20;
  GroupEpoch Epoch = 0;
};

TEST_F(ConversionPlanning, ClosesTheFewestGroups) {
  addDomain(2, 5);
  addDomain(6, 5);
  addDomain(4, 5);
  const ConversionPlan Plan = plan();
  ASSERT_EQ(Plan.Conversions.size(), 1U);
  EXPECT_EQ(Plan.Conversions.front().Domain, 1U);
  EXPECT_EQ(Plan.Conversions.front().Model, Large);
  EXPECT_EQ(Plan.Conversions.front().Closed.size(), 1U);
  EXPECT_TRUE(Plan.Obstacles.empty());
}

// Guards against a closed group whose engines wait for a load.
TEST_F(ConversionPlanning, ClosesNothingForAGroupThatWouldLoad) {
  addDomain(6, 1, 1);
  const ConversionPlan Plan = plan();
  EXPECT_TRUE(Plan.Conversions.empty());
  EXPECT_EQ(Plan.Obstacles.at(Large), ConversionObstacle::NoWeights);
}

TEST_F(ConversionPlanning, KeepsTheTargetOfTheOtherModel) {
  Groups[Small] = 40;
  addDomain(0, 5);
  const ConversionPlan Plan = plan();
  EXPECT_TRUE(Plan.Conversions.empty());
  EXPECT_EQ(Plan.Obstacles.at(Large), ConversionObstacle::NoSurplus);
}

TEST_F(ConversionPlanning, CompletesSurvivorsBelowTheTargetOfTheOtherModel) {
  Groups[Small] = 30;
  addDomain(6, 5);
  EXPECT_EQ(plan().Conversions.size(), 1U);
  Groups[Small] = 20;
  EXPECT_TRUE(plan().Conversions.empty());
}

// Guards against a model without any group.
TEST_F(ConversionPlanning, KeepsTheLastGroup) {
  setShare(1.0);
  Groups = {{Large, 2}, {Small, 1}};
  addDomain(6, 1);
  EXPECT_TRUE(plan().Conversions.empty());
}

TEST_F(ConversionPlanning, BoundsTheEnginesOutOfService) {
  Groups = {{Large, 5}, {Small, 60}};
  for (int Domain = 0; Domain < 9; ++Domain)
    addDomain(0, 5);
  MaxEngines = 20;
  const ConversionPlan Plan = plan();
  EXPECT_EQ(Plan.Conversions.size(), 2U);
  EXPECT_EQ(Plan.Obstacles.at(Large), ConversionObstacle::TooManyAtOnce);
}

TEST_F(ConversionPlanning, ConvertsOnceInEachDomain) {
  Groups = {{Large, 5}, {Small, 60}};
  addDomain(6, 5);
  EXPECT_EQ(plan().Conversions.size(), 1U);
}

TEST_F(ConversionPlanning, WaitsInADomainThatHasJustConverted) {
  addDomain(6, 5).IsPaused = true;
  EXPECT_EQ(plan().Obstacles.at(Large), ConversionObstacle::Paused);
  addDomain(6, 5);
  const ConversionPlan Plan = plan();
  ASSERT_EQ(Plan.Conversions.size(), 1U);
  EXPECT_EQ(Plan.Conversions.front().Domain, 1U);
}

// Guards against groups that are closed for a model that serves its work.
TEST_F(ConversionPlanning, ClosesNothingForGroupsThatAreNotNeeded) {
  addDomain(6, 5);
  Targets[Large].NeededGroups = 8.2;
  EXPECT_TRUE(plan().Conversions.empty());
  Targets[Large].NeededGroups = 9.2;
  EXPECT_EQ(plan().Conversions.size(), 1U);
}

// Guards against two models that take groups from each other in turn.
TEST_F(ConversionPlanning, NoModelLacksAGroupThatItMayGiveUp) {
  for (int Share = 0; Share <= 100; ++Share)
    for (std::uint32_t Count = 1; Count < 20; ++Count) {
      setShare(Share / 100.0);
      Groups = {{Large, Count}, {Small, (160 - Count * 8) / 2}};
      Domains.clear();
      ConversionDomain &Domain = addDomain(0, 5);
      Domain.Groups.push_back({++Epoch, Large, 8, {{Large, 8}, {Small, 8}}});
      const ConversionPlan Plan = plan();
      EXPECT_LE(Plan.Conversions.size(), 1U);
      for (const PlannedConversion &Planned : Plan.Conversions) {
        const ServedModel &Donor =
            Planned.Model == Large ? Models[1] : Models[0];
        EXPECT_EQ(missingGroups(Donor, Targets, UsableEngines,
                                Groups[Donor.Name] -
                                    std::uint32_t(Planned.Closed.size())),
                  0U)
            << Share << "%, " << Count;
      }
    }
}

} // namespace

} // namespace coltsfoottrail::test
