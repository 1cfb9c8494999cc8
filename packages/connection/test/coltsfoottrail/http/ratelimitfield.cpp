#include "coltsfoottrail/http/ratelimitfield.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

RateLimitField read(const std::vector<std::string> &Values) {
  std::vector<HttpField> Fields{{"Content-Type", "text/plain"}};
  for (const std::string &Value : Values)
    Fields.push_back({"server-limit", Value});
  return readRateLimit(Fields, "Server-Limit");
}

TEST(RateLimitField, ReadsDecimalNumbers) {
  EXPECT_EQ(read({"2.3"}).PerSecond, 2.3);
  EXPECT_EQ(read({" 0 "}).PerSecond, 0.0);
  EXPECT_EQ(read({"0.05"}).PerSecond, 0.05);
  EXPECT_EQ(read({"1e9"}).PerSecond, 1e9);
  EXPECT_FALSE(read({}).PerSecond);
  EXPECT_FALSE(read({}).IsInvalid);
}

TEST(RateLimitField, OfSeveralTheLowestHolds) {
  EXPECT_EQ(read({"7", "2.5", "3"}).PerSecond, 2.5);
}

// Guards against taking a number out of a value that is none.
TEST(RateLimitField, RefusesWhatIsNoRate) {
  for (const char *const Value :
       {"", " ", "-1", "-0.5", "nan", "inf", "-inf", "1e999", "2,3", "2 3",
        "2.3/s", "many", "0x10"}) {
    EXPECT_TRUE(read({Value}).IsInvalid) << Value;
    EXPECT_FALSE(read({Value}).PerSecond) << Value;
  }
  EXPECT_TRUE(read({"2.5", "x"}).IsInvalid);
  EXPECT_FALSE(read({"2.5", "x"}).PerSecond);
}

} // namespace
} // namespace coltsfoottrail
