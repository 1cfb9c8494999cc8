#include "coltsfoottrail/adapter/engines.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

// Guards against a number that is truncated: a group of another number counts
// as the engine's, or a full engine as idle.
TEST(EngineReport, NumbersBeyondTheirRangeAreRefused) {
  const auto Read = [](const std::string &Fields) {
    return readReport(parseJson(R"({"run":1,)" + Fields + "}", "report"));
  };
  EXPECT_EQ(Read(R"("running":4294967295)").Running, 4294967295U);
  EXPECT_THROW((void)Read(R"("running":4294967296)"), InputError);
  EXPECT_THROW((void)Read(R"("queued":4294967297)"), InputError);
  EXPECT_THROW((void)Read(R"("queued":-1)"), InputError);
  EXPECT_THROW((void)Read(R"("queued":1.0)"), InputError);
  EXPECT_THROW((void)Read(R"("group":{"plan":7,"number":4294967296})"),
               InputError);
  EXPECT_EQ(Read(R"("group":{"plan":7,"number":2})").Group->Number, 2U);
}

} // namespace

} // namespace coltsfoottrail
