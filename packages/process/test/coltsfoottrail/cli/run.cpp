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
/// Nothing listens on the port for discarded data.
constexpr const char *DeadHost = "127.0.0.1:9";

struct Ending {
  ExitCode Code;
  std::string Out;
  std::string Problems;
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

  [[nodiscard]] Ending run(std::vector<std::string> Arguments,
                           const std::string &At = {}) const {
    std::ostringstream Out;
    std::ostringstream Problems;
    const Environment Variables{
        {"COLTSFOOTTRAIL_HOST", At.empty() ? address(0) : At},
        {"COLTSFOOTTRAIL_CREDENTIAL_FILE", CredentialFile}};
    const CommandContext With{Out, Problems, Sender, [](milliseconds) {
                                std::this_thread::sleep_for(milliseconds(5));
                              }};
    const ExitCode Code = runCommandLine(std::move(Arguments), Variables, With);
    return {Code, Out.str(), Problems.str()};
  }

  /// Plans by --json; the plan's id.
  [[nodiscard]] std::string plan(std::vector<std::string> Arguments,
                                 const std::string &At = {}) const {
    Arguments.insert(Arguments.begin(), "plan");
    Arguments.emplace_back("--json");
    const Ending Planned = run(std::move(Arguments), At);
    EXPECT_EQ(Planned.Code, ExitCode::Ok) << Planned.Problems;
    return Json::parse(Planned.Out).at("id").dump();
  }

  /// Declares, and waits until each entry host knows it.
  void declareByCli() const {
    const std::string File = write("declared.json", declaration().dump());
    const std::string Id = plan({"apply", File});
    const Ending Done = run({"confirm", "--wait", Id});
    ASSERT_EQ(Done.Code, ExitCode::Ok) << Done.Problems;
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
  const Ending Planned = run({"plan", "apply", File});
  ASSERT_EQ(Planned.Code, ExitCode::Ok) << Planned.Problems;
  EXPECT_NE(Planned.Out.find("nothing has changed"), std::string::npos);
  EXPECT_EQ(run({"diff", File}).Code, ExitCode::Differs);
  declareByCli();
  const Ending Same = run({"diff", File});
  EXPECT_EQ(Same.Code, ExitCode::Ok) << Same.Out;
  EXPECT_EQ(Same.Out, "");
  const Ending Status = run({"status"});
  EXPECT_NE(Status.Out.find("entry-2"), std::string::npos) << Status.Out;
  EXPECT_EQ(run({"status", "999999"}).Code, ExitCode::CannotPlan);
}

TEST_F(Cli, RefusesFilesThatAreWrongOrReadableByOthers) {
  const std::string Wrong = write("w.json", R"({"weight_loads_at_once": 0})");
  const Ending Checked = run({"plan", "apply", Wrong}, DeadHost);
  EXPECT_EQ(Checked.Code, ExitCode::WrongFile);
  EXPECT_NE(Checked.Problems.find(Wrong + ": at /weight_loads_at_once: found 0;"
                                          " allowed: "),
            std::string::npos)
      << Checked.Problems;
  EXPECT_EQ(run({"diff", Folder.string()}).Code, ExitCode::WrongFile);
  fs::permissions(CredentialFile, fs::perms::others_read,
                  fs::perm_options::add);
  EXPECT_EQ(run({"status"}).Code, ExitCode::WrongFile);
}

TEST_F(Cli, WrongCredentialIsRefusedInOneLine) {
  CredentialFile = write("other", "not-the-credential");
  const Ending Asked = run({"plan", "drain-host", "h"});
  EXPECT_EQ(Asked.Code, ExitCode::Refused);
  EXPECT_EQ(std::ranges::count(Asked.Problems, '\n'), 1);
  EXPECT_EQ(Asked.Problems.find("not-the-credential"), std::string::npos);
}

TEST_F(Cli, DeadHostsAreLeftForTheNext) {
  declareByCli();
  EXPECT_EQ(run({"status"}, DeadHost).Code, ExitCode::NoAnswer);
  const std::string Both = std::string(DeadHost) + "," + address(1);
  EXPECT_EQ(run({"status"}, Both).Code, ExitCode::Ok);
  const std::string Id = plan({"drain-data-centre", "west"}, Both);
  EXPECT_EQ(run({"confirm", Id, "--wait"}, Both).Code, ExitCode::Ok);
  EXPECT_EQ(run({"watch", Id}, Both).Code, ExitCode::Ok);
}

// Two operators at two entry hosts plan on the same state. Both confirm. The
// second one would carry out a plan for a state that is gone; it must hear that
// another plan was first, and which.
TEST_F(Cli, SecondOfTwoOperatorsHearsOfTheConflict) {
  declareByCli();
  const std::string First = plan({"drain-data-centre", "west"}, address(0));
  const std::string Second = plan({"drain-data-centre", "west"}, address(1));
  EXPECT_EQ(run({"confirm", First}, address(0)).Code, ExitCode::Ok);
  const Ending Late = run({"confirm", Second}, address(1));
  EXPECT_EQ(Late.Code, ExitCode::Conflict);
  EXPECT_NE(Late.Problems.find("was first"), std::string::npos)
      << Late.Problems;
  EXPECT_NE(Late.Problems.find("ask for a new plan"), std::string::npos);
}

TEST_F(Cli, AbandonedPlanHasItsOwnCode) {
  declareByCli();
  const std::string Id = plan({"drain-data-centre", "west"});
  EXPECT_EQ(run({"abandon", Id}).Code, ExitCode::Ok);
  EXPECT_EQ(run({"watch", Id}).Code, ExitCode::Abandoned);
  EXPECT_EQ(run({"plan", "drain-data-centre", "mars"}).Code,
            ExitCode::CannotPlan);
}

// An entry host takes a confirmation and dies before it answers. Sent again, it
// would be told to be a conflict with itself, and the operator would plan anew
// for what is already under way. So it is sent once and the status is shown.
TEST_F(Cli, LostAnswerIsLookedUpAndNotSentAgain) {
  declareByCli();
  const std::string Id = plan({"drain-data-centre", "west"});
  unsigned Confirmations = 0;
  Sender =
      [&](const EngineAddress &To, const HttpRequest &Asked,
          milliseconds Timeout) -> std::variant<HttpResponse, CallFailure> {
    auto Got = fetchBlocking(To, Asked, Timeout);
    if (Asked.Method != "POST")
      return Got;
    ++Confirmations;
    return CallFailure{RunState::MayHaveRun, Reason::EndpointFailed, true};
  };
  const Ending Asked = run({"confirm", Id}, address(0) + "," + address(1));
  EXPECT_EQ(Asked.Code, ExitCode::Ok) << Asked.Problems;
  EXPECT_EQ(Confirmations, 1U);
  EXPECT_NE(Asked.Problems.find("was lost"), std::string::npos);
  const Ending Planned = run({"plan", "drain-data-centre", "north"});
  EXPECT_EQ(Planned.Code, ExitCode::NoAnswer);
  EXPECT_NE(Planned.Problems.find("ask for the same and wait"),
            std::string::npos)
      << Planned.Problems;
  EXPECT_EQ(run({"abandon", Id}).Code, ExitCode::Conflict);
  EXPECT_EQ(Confirmations, 3U);
}

// While an operator follows a plan, its entry host stops for a moment and the
// next one still shows the plan as it was earlier. Neither may end the watch or
// print the plan going backwards.
TEST_F(Cli, WatchRidesOutAFailureAndAHostThatLags) {
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
  const Ending Watched = run({"watch", "7"});
  EXPECT_EQ(Watched.Code, ExitCode::Abandoned) << Watched.Problems;
  EXPECT_EQ(Watched.Out, "plan 7: running, 1 of 2 steps done\n"
                         "plan 7: abandoned, 1 of 2 steps done\n");
}

TEST_F(Cli, WatchOfAllPrintsChangesAndEndsWhenNobodyAnswers) {
  Json State = Json::parse(run({"status", "--json"}).Out);
  const Ending Before = run({"status"});
  unsigned Looks = 0;
  Sender = [&](const EngineAddress &, const HttpRequest &,
               milliseconds) -> std::variant<HttpResponse, CallFailure> {
    if (++Looks == 3)
      State["drained_hosts"] = {"h-1"};
    if (Looks > 4)
      return CallFailure{};
    return jsonResponse(200, State.dump());
  };
  const Ending Watched = run({"watch"});
  EXPECT_EQ(Watched.Code, ExitCode::NoAnswer);
  EXPECT_EQ(Watched.Out, Before.Out + "+ drained host h-1: drained\n");
  EXPECT_EQ(Looks, 9U);
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
