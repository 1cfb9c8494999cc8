#include "coltsfoottrail/assembly/stagingplan.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

const ModelName Large("large");
const ModelName Small("small");
const ModelName Third("third");

std::vector<ServedModel> models(std::initializer_list<ModelName> Names) {
  std::vector<ServedModel> Models;
  for (const ModelName &Name : Names)
    Models.push_back({Name, 2, 1.0, 0.5, seconds(12), milliseconds(1100)});
  return Models;
}

TEST(StagingPlan, StagesTheOtherOfTwoModels) {
  const std::vector<std::vector<WarmEngine>> Domains = {
      {{EndpointName("a"), Large, false}, {EndpointName("b"), Small, false}}};
  const auto Plan = planStaging(Domains, models({Large, Small}),
                                {{Large, 0.1}, {Small, -0.1}});
  ASSERT_EQ(Plan.size(), 2U);
  EXPECT_EQ(Plan[0].Engine, EndpointName("b"));
  EXPECT_EQ(Plan[0].Model, Large);
  EXPECT_EQ(Plan[1].Model, Small);
}

TEST(StagingPlan, StagesTheModelWithTheLargestDeficit) {
  const std::vector<std::vector<WarmEngine>> Domains = {
      {{EndpointName("a"), Large, false}}};
  const auto Plan = planStaging(Domains, models({Large, Small, Third}),
                                {{Large, 1.0}, {Small, 0.1}, {Third, 0.3}});
  ASSERT_EQ(Plan.size(), 1U);
  EXPECT_EQ(Plan[0].Model, Third);
}

// Guards against loads that replace one second model by another.
TEST(StagingPlan, KeepsASecondModel) {
  const std::vector<std::vector<WarmEngine>> Domains = {
      {{EndpointName("a"), Large, true}}};
  EXPECT_TRUE(planStaging(Domains, models({Large, Small, Third}), {}).empty());
}

TEST(StagingPlan, StagesNothingForOneModel) {
  const std::vector<std::vector<WarmEngine>> Domains = {
      {{EndpointName("a"), Large, false}}};
  EXPECT_TRUE(planStaging(Domains, models({Large}), {}).empty());
}

// Guards against one domain that gets all loads while the others cannot
// convert any group.
TEST(StagingPlan, TakesDomainsByTurns) {
  const std::vector<std::vector<WarmEngine>> Domains = {
      {{EndpointName("a0"), Small, true},
       {EndpointName("a1"), Small, false},
       {EndpointName("a2"), Small, false}},
      {{EndpointName("b0"), Small, false}, {EndpointName("b1"), Small, false}}};
  const auto Plan = planStaging(Domains, models({Large, Small}), {});
  std::string Order;
  for (const PlannedStaging &Planned : Plan)
    Order += Planned.Engine.Text + " ";
  EXPECT_EQ(Order, "b0 a1 b1 a2 ");
}

} // namespace

} // namespace coltsfoottrail::test
