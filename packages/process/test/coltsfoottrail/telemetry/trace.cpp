#include "coltsfoottrail/telemetry/trace.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

const std::string Header =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

TEST(Trace, HeaderIsReadAndWritten) {
  const auto Context = parseTraceparent(Header);
  ASSERT_TRUE(Context);
  EXPECT_TRUE(Context->Sampled);
  EXPECT_EQ(hexText(Context->SpanId), "00f067aa0ba902b7");
  EXPECT_EQ(formatTraceparent(*Context), Header);
}

TEST(Trace, MalformedHeadersAreIgnored) {
  for (const char *Bad :
       {"", "00", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0",
        "00-4BF92F3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more",
        "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01more",
        "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "0g-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"})
    EXPECT_FALSE(parseTraceparent(Bad)) << Bad;
}

TEST(Trace, LaterVersionsAreReadLikeTheFirst) {
  EXPECT_TRUE(parseTraceparent(
      "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more"));
}

TEST(Trace, IncomingFlagIsHonouredInBothDirections) {
  TraceIds Never(1, 0.0);
  TraceIds Always(1, 1.0);
  const TraceContext Child = Never.accept(Header);
  EXPECT_TRUE(Child.Sampled);
  EXPECT_EQ(Child.TraceId, parseTraceparent(Header)->TraceId);
  EXPECT_NE(Child.SpanId, parseTraceparent(Header)->SpanId);
  EXPECT_FALSE(Always.accept(Header.substr(0, 53) + "00").Sampled);
  EXPECT_TRUE(Always.accept("malformed").Sampled);
  EXPECT_FALSE(Never.accept("").Sampled);
}

TEST(Trace, EqualSeedsGiveEqualIdentifiers) {
  TraceIds One(5, 0.5);
  TraceIds Two(5, 0.5);
  const TraceContext First = One.root();
  EXPECT_EQ(First, Two.root());
  EXPECT_NE(First.TraceId, One.root().TraceId);
}

} // namespace
} // namespace coltsfoottrail
