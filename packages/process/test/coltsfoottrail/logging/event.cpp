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

// An operator looks up the number of a logged event and finds nothing, or the
// text of another one, because code and catalogue have drifted apart.
TEST(EventCatalogue, PageHasTheRowsOfTheCode) {
  std::vector<std::string> InPage;
  std::ifstream In(COLTSFOOTTRAIL_DOCS "/EVENTS.md");
  const std::regex Row(
      R"(\| (\d+) \| (\w+) \| `([a-z-]+)` \| ([^|]*) \| ([^|]+) \|)");
  std::smatch Match;
  for (std::string Line; std::getline(In, Line);)
    if (std::regex_match(Line, Match, Row))
      InPage.push_back(Match[1].str() + " " + Match[2].str() + " " +
                       Match[3].str() + " " + Match[4].str());
  std::vector<std::string> InCode;
  for (const EventInfo &Each : allEvents())
    InCode.push_back(
        std::to_string(static_cast<unsigned>(Each.Number)) + " " +
        std::string(Levels.at(static_cast<std::size_t>(Each.Level))) + " " +
        std::string(Each.Name) + " " + std::string(Each.Text));
  EXPECT_EQ(InPage, InCode);
}

TEST(EventCatalogue, NumbersAndNamesAreUsedOnceAndFound) {
  std::set<std::string_view> Names;
  unsigned Last = 0;
  for (const EventInfo &Each : allEvents()) {
    EXPECT_GT(static_cast<unsigned>(Each.Number), Last);
    Last = static_cast<unsigned>(Each.Number);
    EXPECT_TRUE(Names.insert(Each.Name).second) << Each.Name;
    EXPECT_EQ(eventInfo(Each.Number).Name, Each.Name);
  }
}

} // namespace
} // namespace coltsfoottrail
