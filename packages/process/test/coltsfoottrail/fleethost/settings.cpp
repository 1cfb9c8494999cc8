#include "coltsfoottrail/fleethost/settings.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <fstream>
#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

std::filesystem::path writeSettingsFile(const std::string &Text) {
  const auto *const Test =
      ::testing::UnitTest::GetInstance()->current_test_info();
  const std::filesystem::path Path =
      std::filesystem::temp_directory_path() /
      (std::string("coltsfoottrail-fleet-") + Test->name() + ".json");
  std::ofstream(Path) << Text;
  return Path;
}

constexpr const char *FullSettings = R"({"host":"h","data_centre":"d",
  "callers":"127.0.0.1:1","readiness":"127.0.0.1:2","peers":"127.0.0.1:3",
  "store":"127.0.0.1:4","new_key":1,
  "bounds":{"revocation_ms":4000,"stop_grace_s":2.5,"later":true}})";

TEST(FleetSettings, ReadsBoundsAndIgnoresUnknownKeys) {
  const FleetSettings Settings =
      readFleetSettings(writeSettingsFile(FullSettings));
  EXPECT_EQ(Settings.Host, HostName("h"));
  EXPECT_EQ(Settings.Store.Port, 4);
  EXPECT_EQ(Settings.Bounds.Revocation, milliseconds(4000));
  EXPECT_EQ(Settings.Bounds.StopGrace, milliseconds(2500));
  EXPECT_EQ(Settings.Bounds.Heartbeat, milliseconds(1200));
  EXPECT_FALSE(Settings.Metrics);
}

TEST(FleetSettings, ReportsThePointerOfAnInvalidValue) {
  std::string Text = FullSettings;
  Text.replace(Text.find("127.0.0.1:4"), 11, "nowhere");
  try {
    (void)readFleetSettings(writeSettingsFile(Text));
    FAIL();
  } catch (const InputError &Problem) {
    EXPECT_EQ(Problem.pointer(), "/store");
  }
}

TEST(FleetSettings, ReadsTheMemoryOfTheProcess) {
  EXPECT_EQ(readFleetSettings(writeSettingsFile(FullSettings)).MemoryBytes,
            256'000'000U);
  std::string Text = FullSettings;
  Text.insert(Text.rfind('}'), R"(,"memory_mb":300)");
  EXPECT_EQ(readFleetSettings(writeSettingsFile(Text)).MemoryBytes,
            300'000'000U);
}

TEST(FleetSettings, ReadsWhetherHomeComesFirst) {
  EXPECT_FALSE(
      readFleetSettings(writeSettingsFile(FullSettings)).Placement.HomeFirst);
  for (const bool Value : {false, true}) {
    std::string Text = FullSettings;
    Text.insert(Text.rfind('}'), std::string(R"(,"placement":{"home_first":)") +
                                     (Value ? "true}" : "false}"));
    EXPECT_EQ(readFleetSettings(writeSettingsFile(Text)).Placement.HomeFirst,
              Value);
  }
}

TEST(FleetSettings, RefusesAPlacementThatIsNoFlag) {
  std::string Text = FullSettings;
  Text.insert(Text.rfind('}'), R"(,"placement":{"home_first":"yes"})");
  try {
    (void)readFleetSettings(writeSettingsFile(Text));
    FAIL();
  } catch (const InputError &Problem) {
    EXPECT_EQ(Problem.pointer(), "/placement/home_first");
  }
}

std::string withEngines(const std::string &Engines) {
  std::string Text = FullSettings;
  return Text.insert(Text.rfind('}'), ",\"engines\":" + Engines);
}

TEST(FleetSettings, KeepsTheSharesOfTheConfigurationByDefault) {
  const FleetSettings Settings =
      readFleetSettings(writeSettingsFile(FullSettings));
  EXPECT_FALSE(Settings.Engines.FollowDemand);
  EXPECT_FALSE(Settings.Engines.StageAhead);
  EXPECT_FALSE(Settings.Engines.HoldDivision);
  EXPECT_TRUE(Settings.Engines.Limits.empty());
}

TEST(FleetSettings, UsesPrioritiesOnlyIfAskedTo) {
  EXPECT_FALSE(
      readFleetSettings(writeSettingsFile(FullSettings)).RanksByPriority);
  std::string Text = FullSettings;
  Text.insert(Text.rfind('}'), R"(,"ranks_by_priority":true)");
  EXPECT_TRUE(readFleetSettings(writeSettingsFile(Text)).RanksByPriority);
}

TEST(FleetSettings, ReadsHowEnginesAreDivided) {
  const EngineSettings Engines =
      readFleetSettings(writeSettingsFile(withEngines(
                            R"({"follow_demand":true,"stage_ahead":true,
                                "hold_division":true,
                                "groups":{"big":{"min":2,"max":5},
                                          "small":{"min":1}}})")))
          .Engines;
  EXPECT_TRUE(Engines.FollowDemand);
  EXPECT_TRUE(Engines.StageAhead);
  EXPECT_TRUE(Engines.HoldDivision);
  ASSERT_EQ(Engines.Limits.size(), 2U);
  EXPECT_EQ(Engines.Limits.at(ModelName("big")).MinGroups, 2U);
  EXPECT_EQ(Engines.Limits.at(ModelName("big")).MaxGroups, 5U);
  EXPECT_EQ(Engines.Limits.at(ModelName("small")).MinGroups, 1U);
}

TEST(FleetSettings, RefusesMoreGroupsAtLeastThanAtMost) {
  try {
    (void)readFleetSettings(writeSettingsFile(
        withEngines(R"({"groups":{"big":{"min":3,"max":2}}})")));
    FAIL();
  } catch (const InputError &Problem) {
    EXPECT_EQ(Problem.pointer(), "/engines/groups/big/min");
  }
}

} // namespace

} // namespace coltsfoottrail
