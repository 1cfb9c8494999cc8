#include "coltsfoottrail/telemetry/span.hpp"

#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/settings/secret.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

namespace coltsfoottrail {
namespace {

std::filesystem::path temporaryPath(const std::string &Name) {
  return ::testing::TempDir() + Name + "-" + std::to_string(::getpid());
}

Span makeSpan(bool Sampled) {
  TraceIds Ids(3, Sampled ? 1.0 : 0.0);
  Span Result;
  Result.Name = "dispatch";
  Result.Kind = SpanKind::Client;
  Result.Parent = Ids.root().SpanId;
  Result.Context = Ids.root();
  Result.Begin = std::chrono::system_clock::time_point(std::chrono::seconds(5));
  Result.End = Result.Begin + std::chrono::milliseconds(1);
  Result.Failed = true;
  Result.Attributes = {{SpanKey::Endpoint, std::string(1000, 'x')},
                       {SpanKey::Attempt, std::int64_t{2}},
                       {SpanKey::Streamed, true}};
  return Result;
}

TEST(SpanLine, IsOtlpJson) {
  const Span Source = makeSpan(true);
  const Json Line = parseJson(otlpLine(Source, HostName("entry-1")), "line")
                        .at("resourceSpans");
  EXPECT_EQ(Line[0]["resource"]["attributes"][1]["value"]["stringValue"],
            "entry-1");
  const Json Written = Line[0]["scopeSpans"][0]["spans"][0];
  EXPECT_EQ(Written["traceId"], hexText(Source.Context.TraceId));
  EXPECT_EQ(Written["parentSpanId"], hexText(*Source.Parent));
  EXPECT_EQ(Written["kind"], 3);
  EXPECT_EQ(Written["startTimeUnixNano"], "5000000000");
  EXPECT_EQ(Written["endTimeUnixNano"], "5001000000");
  EXPECT_EQ(Written["status"]["code"], 2);
  EXPECT_EQ(Written["attributes"][0]["value"]["stringValue"],
            std::string(256, 'x'));
  EXPECT_EQ(Written["attributes"][1]["value"]["intValue"], "2");
  EXPECT_EQ(Written["attributes"][2]["value"]["boolValue"], true);
}

TEST(SpanLine, SecretsCannotBeAttributes) {
  static_assert(
      !std::is_constructible_v<decltype(SpanAttribute::Value), Secret>);
}

TEST(SpanWriter, SampledSpansAreAppended) {
  const std::filesystem::path File = temporaryPath("spans");
  {
    SpanWriter Writer(File, HostName("entry-1"));
    EXPECT_TRUE(Writer.write(makeSpan(true)));
    EXPECT_TRUE(Writer.write(makeSpan(false)));
    EXPECT_TRUE(Writer.write(makeSpan(true)));
  }
  std::ifstream Input(File);
  int Lines = 0;
  for (std::string Line; std::getline(Input, Line); ++Lines)
    EXPECT_NO_THROW((void)parseJson(Line, "line"));
  EXPECT_EQ(Lines, 2);
  std::filesystem::remove(File);
}

// Guards against a stalled file system: requests must not wait for their spans,
// and the dropped spans must be counted. The file is a pipe that is not read,
// so the writer's thread blocks in its first writes.
TEST(SpanWriter, StalledFileDropsSpansAndCountsThem) {
  const std::filesystem::path File = temporaryPath("pipe");
  ASSERT_EQ(::mkfifo(File.c_str(), 0600), 0);
  std::fstream Reader(File, std::ios::in | std::ios::out);
  constexpr std::uint64_t Count = 2000;
  std::uint64_t Refused = 0;
  {
    SpanWriter Writer(File, HostName("entry-1"), 4);
    for (std::uint64_t Number = 0; Number < Count; ++Number)
      Refused += Writer.write(makeSpan(true)) ? 0 : 1;
    EXPECT_GT(Refused, Count / 2);
    EXPECT_EQ(Writer.dropped(), Refused);
    std::string Line;
    for (std::uint64_t Number = 0; Number < Count - Refused; ++Number)
      std::getline(Reader, Line);
    EXPECT_NO_THROW((void)parseJson(Line, "line"));
  }
  std::filesystem::remove(File);
}

TEST(SpanWriter, FileThatCannotBeOpenedIsAnError) {
  EXPECT_THROW(SpanWriter("/nowhere/at/all/spans", HostName("entry-1")), Error);
}

} // namespace
} // namespace coltsfoottrail
