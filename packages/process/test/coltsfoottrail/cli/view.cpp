#include "coltsfoottrail/cli/view.hpp"

#include "coltsfoottrail/cli/exitcode.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

Json state() {
  return Json::parse(R"({
    "next": 9, "entry_hosts": [], "drained_data_centres": ["west"],
    "drained_hosts": [], "groups": [], "services": [],
    "models": [{"name": "chat", "version": "v1", "wanted": 2, "serving": 1,
                "forming": 1, "stopping": 0, "broken": 0}],
    "plans": [{"id": 3, "phase": "running", "steps": 2, "steps_done": 1,
               "asked": "drain\u001b[2J"}]})");
}

TEST(RenderTable, AlignsColumnsAndReplacesControlCharacters) {
  const std::vector<TableRow> Rows{{"a\x1b", "1"}, {"longer", "22"}};
  EXPECT_EQ(renderTable({"NAME", "N"}, Rows), "NAME    N\n"
                                              "a?      1\n"
                                              "longer  22\n");
}

TEST(RenderState, ShowsModelsPlansAndWhatIsDrained) {
  EXPECT_EQ(renderState(state()),
            "MODEL  VERSION  WANTED  SERVING  FORMING  STOPPING  BROKEN\n"
            "chat   v1       2       1        1        0         0\n\n"
            "PLAN  PHASE    DONE  STEPS  ASKED\n"
            "3     running  1     2      drain?[2J\n\n"
            "drained data centres: west\n"
            "drained hosts: none\n");
  EXPECT_THROW((void)renderState(Json::object()), InputError);
}

TEST(ChangesOf, ListsOnlyDifferences) {
  Json After = state();
  After["drained_data_centres"] = Json::array();
  After["models"][0]["serving"] = 2;
  const std::vector<std::string> Expected{
      "- drained data centre west",
      "~ model chat: version v1, wanted 2, serving 2, forming 1, stopping 0, "
      "broken 0"};
  EXPECT_EQ(changesOf(state(), After), Expected);
}

TEST(ExitCodes, MatchStatusAndErrorName) {
  EXPECT_EQ(exitCodeOf(200, ""), ExitCode::Ok);
  EXPECT_EQ(exitCodeOf(401, "unauthenticated"), ExitCode::Refused);
  EXPECT_EQ(exitCodeOf(404, "unknown-plan"), ExitCode::CannotPlan);
  EXPECT_EQ(exitCodeOf(404, "unknown-path"), ExitCode::NoAnswer);
  EXPECT_EQ(exitCodeOf(409, "conflict"), ExitCode::Conflict);
  EXPECT_EQ(exitCodeOf(413, ""), ExitCode::WrongFile);
  EXPECT_EQ(exitCodeOf(422, "cannot-plan"), ExitCode::CannotPlan);
  EXPECT_EQ(exitCodeOf(503, "log-unavailable"), ExitCode::LogUnavailable);
  EXPECT_EQ(exitCodeOf(503, "overloaded"), ExitCode::NoAnswer);
  EXPECT_EQ(exitCodeOf(500, ""), ExitCode::NoAnswer);
  EXPECT_EQ(problemOf(502, "<html>").code(), ExitCode::NoAnswer);
  EXPECT_EQ(
      std::string(problemOf(409, R"({"detail":"d","beaten_by":12})").what())
          .rfind("conflict: record 12 was first: d", 0),
      0U);
}

} // namespace
} // namespace coltsfoottrail
