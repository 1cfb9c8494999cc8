#include "coltsfoottrail/logging/log.hpp"

#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace coltsfoottrail {
namespace {

using ::testing::EndsWith;
using ::testing::HasSubstr;
using ::testing::MatchesRegex;

std::vector<std::string> readLines(const std::filesystem::path &File) {
  std::ifstream Input(File);
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(Input, Line);)
    Lines.push_back(Line);
  return Lines;
}

class LogTest : public ::testing::Test {
protected:
  LogTest() : File(::testing::TempDir() + "log-" + std::to_string(::getpid())) {
    std::filesystem::remove(File);
  }
  ~LogTest() override {
    closeLog();
    std::filesystem::remove(File);
  }
  void open(LogLevel Level) {
    TelemetrySettings Config;
    Config.LogFile = File;
    Config.Level = Level;
    openLog(Config);
  }
  std::filesystem::path File;
};

TEST(EventLine, FieldsAreWrittenInOrder) {
  EXPECT_EQ(eventLine(Event::StateInForce, {{"offset", 42U},
                                            {"host", HostName("entry-1")},
                                            {"fresh", true},
                                            {"why", "two words"},
                                            {"empty", ""}}),
            "E1111 state-in-force offset=42 host=entry-1 fresh=true "
            "why=\"two words\" empty=\"\"");
}

// Guards against log injection: a caller sends a model name that contains a
// line end followed by a forged event.
TEST(EventLine, ValuesCannotForgeLinesOrFields) {
  EXPECT_EQ(eventLine(Event::RequestRefused,
                      {{"model", "a\nE1001 started\r\x1b[2J\x7f"},
                       {"other", "b\" forged=\"yes\\"},
                       {"third", "c=d"}}),
            "E1301 request-refused model=\"a\\x0aE1001 "
            "started\\x0d\\x1b[2J\\x7f\" other=\"b\\\" forged=\\\"yes\\\\\" "
            "third=\"c=d\"");
}

TEST(EventLine, LongValuesAreTruncated) {
  const std::string Line =
      eventLine(Event::RequestRefused, {{"model", std::string(100000, 'a')}});
  EXPECT_LT(Line.size(), 600U);
  EXPECT_THAT(Line, EndsWith("a...\""));
}

TEST_F(LogTest, EventsReachTheFileWithTimeAndLevel) {
  open(LogLevel::Info);
  logEvent(Event::Started, {{"port", 8080}});
  const auto Lines = readLines(File);
  ASSERT_EQ(Lines.size(), 1U);
  EXPECT_THAT(Lines[0],
              MatchesRegex("[0-9]+-[0-9]+-[0-9]+T[0-9:.]+[^ ]* INFO  E1001 "
                           "started port=8080"));
}

TEST_F(LogTest, EventsBelowTheLevelAreNotLogged) {
  open(LogLevel::Error);
  logEvent(Event::Started);
  logEvent(Event::Stale);
  logEvent(Event::PortTaken);
  const auto Lines = readLines(File);
  ASSERT_EQ(Lines.size(), 1U);
  EXPECT_THAT(Lines[0], HasSubstr("E1003"));
}

TEST_F(LogTest, LinesOfSeveralThreadsStayWhole) {
  open(LogLevel::Info);
  constexpr int ThreadCount = 4;
  constexpr int EventsPerThread = 200;
  {
    std::vector<std::jthread> Threads;
    for (int Thread = 0; Thread < ThreadCount; ++Thread)
      Threads.emplace_back([] {
        for (int Number = 0; Number < EventsPerThread; ++Number)
          logEvent(Event::PeerConnected, {{"text", std::string(64, 'x')}});
      });
  }
  const auto Lines = readLines(File);
  EXPECT_EQ(Lines.size(), std::size_t{ThreadCount} * EventsPerThread);
  for (const std::string &Line : Lines)
    EXPECT_THAT(Line, EndsWith("peer-connected text=" + std::string(64, 'x')));
}

TEST_F(LogTest, FileThatCannotBeOpenedIsAnError) {
  TelemetrySettings Config;
  Config.LogFile = "/nowhere/at/all/log";
  EXPECT_THROW(openLog(Config), Error);
}

TEST(EventSampler, EventsAboveTheLimitAreSuppressedAndCounted) {
  EventSampler Sampler(2, seconds(1));
  const TimePoint Start(seconds(100));
  EXPECT_EQ(Sampler.admit(Event::RequestRefused, Start), 0U);
  EXPECT_EQ(Sampler.admit(Event::RequestRefused, Start), 0U);
  EXPECT_EQ(Sampler.admit(Event::RequestRefused, Start), std::nullopt);
  EXPECT_EQ(Sampler.admit(Event::RequestRefused, Start), std::nullopt);
  EXPECT_EQ(Sampler.admit(Event::CredentialRefused, Start), 0U);
  EXPECT_EQ(Sampler.admit(Event::RequestRefused, Start + seconds(1)), 2U);
  EXPECT_EQ(Sampler.admit(Event::RequestRefused, Start + seconds(1)), 0U);
}

} // namespace
} // namespace coltsfoottrail
