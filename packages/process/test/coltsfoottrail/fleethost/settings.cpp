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

} // namespace

} // namespace coltsfoottrail
