#include "coltsfoottrail/cli/run.hpp"

#include "coltsfoottrail/server/fixture.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace coltsfoottrail::testing {
namespace {

namespace fs = std::filesystem;
/// The discard port, on which nothing listens.
constexpr const char *DeadHost = "127.0.0.1:9";

struct CommandResult {
  ExitCode Code;
  std::string Out;
  std::string ErrorOut;
};

class Cli : public ClusterFixture {
protected:
  void SetUp() override {
    fs::create_directories(Folder);
    CredentialFile = write("credential", std::string(OperatorCredential));
    addHost("entry-1", "east");
    addHost("entry-2", "north");
    ASSERT_TRUE(allReady());
  }

  void TearDown() override { fs::remove_all(Folder); }

  [[nodiscard]] std::string write(const std::string &Name,
                                  const std::string &Text) const {
    const fs::path File = Folder / Name;
    std::ofstream(File) << Text;
    fs::permissions(File, fs::perms::owner_read | fs::perms::owner_write);
    return File.string();
  }

  [[nodiscard]] std::string address(std::size_t Host) const {
    return "127.0.0.1:" + std::to_string(Hosts.at(Host)->operatorPort());
  }

  [[nodiscard]] CommandResult run(std::vector<std::string> Arguments,
                                  const std::string &HostList = {}) const {
    std::ostringstream Out;
    std::ostringstream ErrorOut;
    const Environment Variables{
        {"COLTSFOOTTRAIL_HOST", HostList.empty() ? address(0) : HostList},
        {"COLTSFOOTTRAIL_CREDENTIAL_FILE", CredentialFile}};
    const CommandContext Context{Out, ErrorOut, Sender, [](milliseconds) {
                                   std::this_thread::sleep_for(milliseconds(5));
                                 }};
    const ExitCode Code =
        runCommandLine(std::move(Arguments), Variables, Context);
    return {Code, Out.str(), ErrorOut.str()};
  }

  /// Proposes a plan and returns its id.
  [[nodiscard]] std::string plan(std::vector<std::string> Arguments,
                                 const std::string &HostList = {}) const {
    Arguments.insert(Arguments.begin(), "plan");
    Arguments.emplace_back("--json");
    const CommandResult Planned = run(std::move(Arguments), HostList);
    EXPECT_EQ(Planned.Code, ExitCode::Ok) << Planned.ErrorOut;
    return Json::parse(Planned.Out).at("id").dump();
  }

  /// Applies a declaration and waits until every entry host knows it.
  void declareByCli() const {
    const std::string File = write("declared.json", declaration().dump());
    const std::string Id = plan({"apply", File});
    const CommandResult Done = run({"confirm", "--wait", Id});
    ASSERT_EQ(Done.Code, ExitCode::Ok) << Done.ErrorOut;
    ASSERT_TRUE(eventually([&] {
      return std::ranges::all_of(Hosts, [&](const auto &Host) {
        const StatePtr Now = Host->state();
        const auto Plan = Now->Plans.find(std::stoull(Id));
        return Plan != Now->Plans.end() &&
               Plan->second.Phase == PlanPhase::Done;
      });
    }));
  }

  fs::path Folder =
      fs::temp_directory_path() / ("cli-" + std::to_string(::getpid()));
  std::string CredentialFile;
  OperatorClient::Send Sender = fetchBlocking;
};

TEST_F(Cli, PlansConfirmsShowsAndCompares) {
  const std::string File = write("declared.json", declaration().dump());
  EXPECT_EQ(run({"diff", File}).Code, ExitCode::Differs);
  const CommandResult Planned = run({"plan", "apply", File});
  ASSERT_EQ(Planned.Code, ExitCode::Ok) << Planned.ErrorOut;
  EXPECT_NE(Planned.Out.find("nothing has changed"), std::string::npos);
  EXPECT_EQ(run({"diff", File}).Code, ExitCode::Differs);
  declareByCli();
  const CommandResult Unchanged = run({"diff", File});
  EXPECT_EQ(Unchanged.Code, ExitCode::Ok) << Unchanged.Out;
  EXPECT_EQ(Unchanged.Out, "");
  const CommandResult Status = run({"status"});
  EXPECT_NE(Status.Out.find("entry-2"), std::string::npos) << Status.Out;
  EXPECT_EQ(run({"status", "999999"}).Code, ExitCode::CannotPlan);
}

TEST_F(Cli, RefusesFilesThatAreWrongOrReadableByOthers) {
  const std::string Wrong = write("w.json", R"({"weight_loads_at_once": 0})");
  const CommandResult Checked = run({"plan", "apply", Wrong}, DeadHost);
  EXPECT_EQ(Checked.Code, ExitCode::WrongFile);
  EXPECT_NE(Checked.ErrorOut.find(Wrong + ": at /weight_loads_at_once: found 0;"
                                          " allowed: "),
            std::string::npos)
      << Checked.ErrorOut;
  EXPECT_EQ(run({"diff", Folder.string()}).Code, ExitCode::WrongFile);
  fs::permissions(CredentialFile, fs::perms::others_read,
                  fs::perm_options::add);
  EXPECT_EQ(run({"status"}).Code, ExitCode::WrongFile);
}

TEST_F(Cli, WrongCredentialIsRefusedInOneLine) {
  CredentialFile = write("other", "not-the-credential");
  const CommandResult Outcome = run({"plan", "drain-host", "h"});
  EXPECT_EQ(Outcome.Code, ExitCode::Refused);
  EXPECT_EQ(std::ranges::count(Outcome.ErrorOut, '\n'), 1);
  EXPECT_EQ(Outcome.ErrorOut.find("not-the-credential"), std::string::npos);
}

TEST_F(Cli, DeadHostsAreSkipped) {
  declareByCli();
  EXPECT_EQ(run({"status"}, DeadHost).Code, ExitCode::NoAnswer);
  const std::string Both = std::string(DeadHost) + "," + address(1);
  EXPECT_EQ(run({"status"}, Both).Code, ExitCode::Ok);
  const std::string Id = plan({"drain-data-centre", "west"}, Both);
  EXPECT_EQ(run({"confirm", Id, "--wait"}, Both).Code, ExitCode::Ok);
  EXPECT_EQ(run({"watch", Id}, Both).Code, ExitCode::Ok);
}

// Guards against a plan being carried out on a state that no longer exists: two
// operators at two entry hosts propose plans for the same state and both
// confirm. The second must get a conflict that names the record that was first.
TEST_F(Cli, SecondOfTwoOperatorsGetsAConflict) {
  declareByCli();
  const std::string First = plan({"drain-data-centre", "west"}, address(0));
  const std::string Second = plan({"drain-data-centre", "west"}, address(1));
  EXPECT_EQ(run({"confirm", First}, address(0)).Code, ExitCode::Ok);
  const CommandResult Refused = run({"confirm", Second}, address(1));
  EXPECT_EQ(Refused.Code, ExitCode::Conflict);
  EXPECT_NE(Refused.ErrorOut.find("was first"), std::string::npos)
      << Refused.ErrorOut;
  EXPECT_NE(Refused.ErrorOut.find("ask for a new plan"), std::string::npos);
}

TEST_F(Cli, AbandonedPlanHasItsOwnCode) {
  declareByCli();
  const std::string Id = plan({"drain-data-centre", "west"});
  EXPECT_EQ(run({"abandon", Id}).Code, ExitCode::Ok);
  EXPECT_EQ(run({"watch", Id}).Code, ExitCode::Abandoned);
  EXPECT_EQ(run({"plan", "drain-data-centre", "mars"}).Code,
            ExitCode::CannotPlan);
}

// Guards against a confirmation that is sent twice: an entry host accepts it
// and dies before it answers. A second one would be refused as a conflict with
// the first, and the operator would propose a plan for what is already in
// progress. The confirmation is sent once, and the plan's status is queried
// instead.
TEST_F(Cli, LostAnswerIsQueriedAndNotSentAgain) {
  declareByCli();
  const std::string Id = plan({"drain-data-centre", "west"});
  unsigned Confirmations = 0;
  Sender =
      [&](const EngineAddress &Host, const HttpRequest &Request,
          milliseconds Timeout) -> std::variant<HttpResponse, CallFailure> {
    auto Answer = fetchBlocking(Host, Request, Timeout);
    if (Request.Method != "POST")
      return Answer;
    ++Confirmations;
    return CallFailure{RunState::MayHaveRun, Reason::EndpointFailed, true};
  };
  const CommandResult Outcome =
      run({"confirm", Id}, address(0) + "," + address(1));
  EXPECT_EQ(Outcome.Code, ExitCode::Ok) << Outcome.ErrorOut;
  EXPECT_EQ(Confirmations, 1U);
  EXPECT_NE(Outcome.ErrorOut.find("was lost"), std::string::npos);
  const CommandResult Planned = run({"plan", "drain-data-centre", "north"});
  EXPECT_EQ(Planned.Code, ExitCode::NoAnswer);
  EXPECT_NE(Planned.ErrorOut.find("ask for the same and wait"),
            std::string::npos)
      << Planned.ErrorOut;
  EXPECT_EQ(run({"abandon", Id}).Code, ExitCode::Conflict);
  EXPECT_EQ(Confirmations, 3U);
}

// Guards against a watch that ends early or prints progress going backwards:
// its entry host fails for a moment, and the next one lags and returns an
// earlier state of the plan.
TEST_F(Cli, WatchSurvivesAFailureAndALaggingHost) {
  std::vector<std::variant<HttpResponse, CallFailure>> Answers;
  const auto Show = [&](const char *Phase, unsigned Done) {
    const Json Plan{
        {"id", 7}, {"phase", Phase}, {"steps", 2}, {"steps_done", Done}};
    Answers.emplace_back(jsonResponse(200, Plan.dump()));
  };
  Show("running", 1);
  Answers.emplace_back(CallFailure{});
  Show("running", 0);
  Answers.emplace_back(
      jsonResponse(404, R"({"error":"unknown-plan","detail":"none"})"));
  Show("running", 1);
  Show("abandoned", 1);
  std::size_t Next = 0;
  Sender = [&](const EngineAddress &, const HttpRequest &, milliseconds) {
    return Answers.at(Next++);
  };
  const CommandResult Watched = run({"watch", "7"});
  EXPECT_EQ(Watched.Code, ExitCode::Abandoned) << Watched.ErrorOut;
  EXPECT_EQ(Watched.Out, "plan 7: running, 1 of 2 steps done\n"
                         "plan 7: abandoned, 1 of 2 steps done\n");
}

TEST_F(Cli, WatchOfAllPrintsChangesAndEndsWhenNobodyAnswers) {
  Json State = Json::parse(run({"status", "--json"}).Out);
  const CommandResult Before = run({"status"});
  unsigned Queries = 0;
  Sender = [&](const EngineAddress &, const HttpRequest &,
               milliseconds) -> std::variant<HttpResponse, CallFailure> {
    if (++Queries == 3)
      State["drained_hosts"] = {"h-1"};
    if (Queries > 4)
      return CallFailure{};
    return jsonResponse(200, State.dump());
  };
  const CommandResult Watched = run({"watch"});
  EXPECT_EQ(Watched.Code, ExitCode::NoAnswer);
  EXPECT_EQ(Watched.Out, Before.Out + "+ drained host h-1: drained\n");
  EXPECT_EQ(Queries, 9U);
}

TEST_F(Cli, LogThatIsDownHasItsOwnCode) {
  declareByCli();
  LogService.setFaults({.Down = true});
  EXPECT_EQ(run({"plan", "drain-data-centre", "west"}).Code,
            ExitCode::LogUnavailable);
  LogService.setFaults({});
}

} // namespace
} // namespace coltsfoottrail::testing
