#include "coltsfoottrail/division/capacity.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

EngineProfile makeEngine() {
  EngineProfile Engine;
  Engine.Slots = 20;
  Engine.StepMs = 20.0;
  Engine.StepMsPerRequest = 0.5;
  Engine.PromptTokensPerSecond = 10'000.0;
  return Engine;
}

TEST(Capacity, AddsPromptsAndAnswers) {
  const ServedModel Model{ModelName("m"), 4, 1.0};
  // Half a second of prompts; 400 tokens of 1 ms of a shared step and 0.5 ms
  // of their own.
  EXPECT_DOUBLE_EQ(*offeredGroups(makeEngine(), Model, {5'000.0, 400.0}), 1.1);
}

TEST(Capacity, SlowerModelNeedsMoreGroups) {
  const ServedModel Model{ModelName("m"), 4, 2.0};
  EXPECT_DOUBLE_EQ(*offeredGroups(makeEngine(), Model, {5'000.0, 400.0}), 2.2);
}

TEST(Capacity, NothingIsNeededWithoutWork) {
  const ServedModel Model{ModelName("m"), 4, 1.0};
  EXPECT_EQ(offeredGroups(makeEngine(), Model, {}), 0.0);
}

TEST(Capacity, UnknownWithoutDeclaredSpeed) {
  EngineProfile Engine = makeEngine();
  Engine.PromptTokensPerSecond = 0.0;
  const ServedModel Model{ModelName("m"), 4, 1.0};
  EXPECT_FALSE(offeredGroups(Engine, Model, {5'000.0, 400.0}));
}

// Guards against a group counting as sufficient up to the last moment: above
// the utilisation the first event is late.
TEST(Capacity, GroupServesInTimeUpToTheUtilisation) {
  EXPECT_DOUBLE_EQ(neededGroups(8.0 * MaxUtilisation), 8.0);
}

} // namespace

} // namespace coltsfoottrail
