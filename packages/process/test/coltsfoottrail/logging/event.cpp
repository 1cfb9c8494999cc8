#include "coltsfoottrail/logging/event.hpp"

#include <array>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <set>

namespace coltsfoottrail {
namespace {

constexpr std::array<std::string_view, 4> Levels = {"debug", "info", "warn",
                                                    "error"};

// Guards against a catalogue page that differs from the code: an operator would
// find no entry, or a wrong one, for a logged event number.
TEST(EventCatalogue, PageHasTheRowsOfTheCode) {
  std::vector<std::string> PageRows;
  std::ifstream Input(COLTSFOOTTRAIL_DOCS "/EVENTS.md");
  const std::regex Row(
      R"(\| (\d+) \| (\w+) \| `([a-z-]+)` \| ([^|]*) \| ([^|]+) \|)");
  std::smatch Match;
  for (std::string Line; std::getline(Input, Line);)
    if (std::regex_match(Line, Match, Row))
      PageRows.push_back(Match[1].str() + " " + Match[2].str() + " " +
                         Match[3].str() + " " + Match[4].str());
  std::vector<std::string> CodeRows;
  for (const EventInfo &Info : allEvents())
    CodeRows.push_back(
        std::to_string(static_cast<unsigned>(Info.Number)) + " " +
        std::string(Levels.at(static_cast<std::size_t>(Info.Level))) + " " +
        std::string(Info.Name) + " " + std::string(Info.Text));
  EXPECT_EQ(PageRows, CodeRows);
}

TEST(EventCatalogue, NumbersAndNamesAreUsedOnceAndFound) {
  std::set<std::string_view> Names;
  unsigned PreviousNumber = 0;
  for (const EventInfo &Info : allEvents()) {
    EXPECT_GT(static_cast<unsigned>(Info.Number), PreviousNumber);
    PreviousNumber = static_cast<unsigned>(Info.Number);
    EXPECT_TRUE(Names.insert(Info.Name).second) << Info.Name;
    EXPECT_EQ(eventInfo(Info.Number).Name, Info.Name);
  }
}

} // namespace
} // namespace coltsfoottrail
