#include "coltsfoottrail/telemetry/mesh.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>

namespace coltsfoottrail {
namespace {

using ::testing::HasSubstr;

MeshConfig makeConfig(const char *Name) {
  MeshConfig Config;
  Config.Self = HostName(Name);
  Config.Run = 1;
  Config.Address = "127.0.0.1";
  Config.Key = "a-key-of-the-mesh-with-32-letters-or-more";
  return Config;
}

TEST(MeshMetrics, EachMessageIsCountedOnceOverSeveralScrapes) {
  Mesh One(makeConfig("one"));
  Mesh Two(makeConfig("two"));
  Metrics Registry;
  exposeMeshMetrics(Registry, Two);
  const TimePoint Now(seconds(1));
  Two.setSeeds(std::vector<MeshSeed>{{"127.0.0.1", One.start()}});
  (void)Two.start();
  while (Two.connected().empty())
    std::this_thread::sleep_for(milliseconds(1));
  for (int Count = 1; Count <= 3; ++Count) {
    EXPECT_TRUE(Two.send(HostName("one"), Channel::Claims, Json(1)));
    (void)Registry.prometheusText(Now);
  }
  const std::string Text = Registry.prometheusText(Now);
  EXPECT_THAT(Text, HasSubstr("coltsfoottrail_mesh_sent_messages_total{channel="
                              "\"claims\"} 3\n"));
  EXPECT_THAT(Text, HasSubstr("coltsfoottrail_mesh_connected_hosts 1\n"));
}

} // namespace
} // namespace coltsfoottrail
