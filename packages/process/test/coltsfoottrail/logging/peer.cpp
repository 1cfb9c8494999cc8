#include "coltsfoottrail/logging/peer.hpp"

#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace coltsfoottrail {
namespace {

using ::testing::HasSubstr;

// Guards against a flooded log: a peer with a wrong key reconnects in a loop.
// Some of its refusals must be logged, and other events must still be.
TEST(PeerLogger, RefusalsAreSampledAndOtherEventsAreNot) {
  const std::filesystem::path File =
      ::testing::TempDir() + "peers-" + std::to_string(::getpid());
  TelemetrySettings Config;
  Config.LogFile = File;
  openLog(Config);
  PeerLogger Logger;
  const TimePoint Start(seconds(100));
  for (int Count = 0; Count < 100; ++Count)
    Logger.log(PeerRefused{"10.0.0.9:5", PeerRefusal::Key, "x\ny"}, Start);
  Logger.log(PeerUp{HostName("one"), 7}, Start);
  Logger.log(PeerDown{HostName("one"), 7, "gone"}, Start);
  Logger.log(PeerRefused{"10.0.0.9:5", PeerRefusal::Key, ""},
             Start + seconds(10));
  closeLog();
  std::ifstream Input(File);
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(Input, Line);)
    Lines.push_back(Line);
  ASSERT_EQ(Lines.size(), 8U);
  EXPECT_THAT(Lines[0], HasSubstr("E1203 peer-refused address=10.0.0.9:5 "
                                  "why=key detail=\"x\\x0ay\" held_back=0"));
  EXPECT_THAT(Lines[5], HasSubstr("E1201 peer-connected peer=one run=7"));
  EXPECT_THAT(Lines[6], HasSubstr("why=gone"));
  EXPECT_THAT(Lines[7], HasSubstr("held_back=95"));
  std::filesystem::remove(File);
}

} // namespace
} // namespace coltsfoottrail
