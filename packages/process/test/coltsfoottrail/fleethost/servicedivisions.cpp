#include "coltsfoottrail/fleethost/servicedivisions.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/fleethost/divisionreport.hpp"
#include "coltsfoottrail/logging/log.hpp"

#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <unistd.h>

namespace coltsfoottrail {

namespace {

using testing::HasSubstr;
using testing::Not;

constexpr TimePoint Start{seconds(100)};
constexpr std::size_t Hosts = 7;
constexpr std::uint32_t EngineCount = 120;
const ModelName Big("big");
const ModelName Small("small");

/// A service with 120 engines, of which the two models share the half each.
class DivisionsOfAService : public ::testing::Test {
protected:
  DivisionsOfAService() {
    Service.Name = ServiceName("draft");
    Service.Engine.emplace();
    Service.Engine->Slots = 20;
    Service.Engine->StepMs = 20.0;
    Service.Engine->PromptTokensPerSecond = 10'000.0;
    Service.Engine->Models = {{Big, 12, 1.0, 0.5}, {Small, 6, 1.0, 0.5}};
    for (std::uint32_t Index = 0; Index < EngineCount; ++Index) {
      EndpointRecord Record;
      Record.Name = EndpointName("e" + std::to_string(Index));
      Record.Service = Service.Name;
      Endpoints.publish(Record, Start);
    }
    Settings.FollowDemand = true;
    Divisions.set(Settings);
    Divisions.begin(Start);
    offer(2'000, 12'000);
  }

  /// Sets the answer tokens per second: a thousand occupy a group.
  void offer(double BigTokens, double SmallTokens) {
    Sum.Hosts = Hosts;
    Sum.Rows.clear();
    for (const auto &[Model, Tokens] :
         {std::pair(Big, BigTokens), std::pair(Small, SmallTokens)}) {
      DemandRow Row;
      Row.Key.Pool = hashText("model/draft/" + Model.Text);
      Row.Rates.AnswerTokens = Tokens;
      Sum.Rows.push_back(Row);
    }
  }
  [[nodiscard]] AssemblyView makeView() const {
    return {Endpoints, Service, Drained};
  }
  [[nodiscard]] AssemblyView viewForAssembly() const {
    AssemblyView View = makeView();
    Divisions.applyTo(View);
    return View;
  }
  /// Updates whenever it is due.
  void run(Duration Span) {
    for (const TimePoint End = Now + Span; Now < End; Now += milliseconds(100))
      if (Divisions.isDue(Service.Name, Now))
        Report.log(Service.Name, Divisions.update(makeView(), Sum, Hosts, Now),
                   Now);
  }
  [[nodiscard]] double smallShare() const {
    return viewForAssembly().Targets->at(Small).Share;
  }
  [[nodiscard]] DivisionOutcome outcome() const {
    return Divisions.records().at(Service.Name)->Account.at(Big).Outcome;
  }

  ServiceProfile Service;
  EndpointCatalogue Endpoints;
  std::set<DataCentreName> Drained;
  EngineSettings Settings;
  ServiceDivisions Divisions;
  DivisionReport Report;
  DemandSum Sum;
  TimePoint Now = Start;
};

TEST_F(DivisionsOfAService, OffByDefaultAndWithoutEffect) {
  ServiceDivisions Default;
  Default.begin(Start);
  EXPECT_FALSE(Default.isDue(Service.Name, Start));
  AssemblyView View = makeView();
  Default.applyTo(View);
  EXPECT_EQ(View.Targets, nullptr);
  EXPECT_FALSE(View.ConvertsGroups);
  EXPECT_FALSE(View.StagesAhead);
  std::string Metrics;
  DivisionReport::appendTo(Metrics, Default);
  EXPECT_EQ(Metrics, "");
}

TEST_F(DivisionsOfAService, FollowsTheDemandOnceAllHostsWereHeard) {
  run(ServiceDivisions::HearingTime);
  EXPECT_EQ(outcome(), DivisionOutcome::NotCurrent);
  EXPECT_EQ(smallShare(), 0.5);
  EXPECT_FALSE(viewForAssembly().ConvertsGroups);
  run(seconds(4));
  // 2.5 groups of 12 and 15 of 6.
  EXPECT_NEAR(smallShare(), 90.0 / 120.0, 1e-6);
  EXPECT_TRUE(viewForAssembly().ConvertsGroups);
}

TEST_F(DivisionsOfAService, UpdatesAtAnInterval) {
  Divisions.update(makeView(), Sum, Hosts, Now);
  EXPECT_FALSE(Divisions.isDue(Service.Name, Now + milliseconds(499)));
  EXPECT_TRUE(Divisions.isDue(Service.Name, Now + milliseconds(500)));
  EXPECT_TRUE(Divisions.isDue(ServiceName("other"), Now));
}

TEST_F(DivisionsOfAService, StaleOrIncompleteSumsMoveNothing) {
  Sum.Age = seconds(2);
  run(seconds(10));
  EXPECT_EQ(outcome(), DivisionOutcome::NotCurrent);
  Sum.Age = milliseconds(0);
  Sum.Hosts = Hosts - 1;
  run(seconds(10));
  EXPECT_EQ(outcome(), DivisionOutcome::NotCurrent);
  EXPECT_EQ(smallShare(), 0.5);
  EXPECT_FALSE(viewForAssembly().ConvertsGroups);
}

TEST_F(DivisionsOfAService, HeldDivisionConvertsNothing) {
  Settings.HoldDivision = true;
  Divisions.set(Settings);
  run(seconds(10));
  EXPECT_EQ(outcome(), DivisionOutcome::Held);
  EXPECT_EQ(smallShare(), 0.5);
  EXPECT_FALSE(viewForAssembly().ConvertsGroups);
}

// Guards against groups that a new coordinator converts to the shares of the
// configuration, and back once it knows the demand.
TEST_F(DivisionsOfAService, NewTermConvertsNothingUntilItFollowsTheDemand) {
  run(seconds(10));
  const double Before = smallShare();
  Divisions.begin(Now);
  EXPECT_EQ(viewForAssembly().Targets, nullptr);
  bool WasSeenConverting = false;
  for (int Step = 0; Step < 60; ++Step) {
    run(milliseconds(100));
    const AssemblyView View = viewForAssembly();
    if (View.ConvertsGroups) {
      EXPECT_NEAR(View.Targets->at(Small).Share, Before, 0.01);
    }
    WasSeenConverting = View.ConvertsGroups;
  }
  EXPECT_TRUE(WasSeenConverting);
}

TEST_F(DivisionsOfAService, StagingAheadDoesNotNeedTheDemand) {
  Settings = {};
  Settings.StageAhead = true;
  Divisions.set(Settings);
  EXPECT_FALSE(Divisions.isDue(Service.Name, Now));
  EXPECT_TRUE(viewForAssembly().StagesAhead);
  EXPECT_EQ(viewForAssembly().Targets, nullptr);
}

TEST_F(DivisionsOfAService, LimitsOfOperatorsApply) {
  Settings.Limits[Big].MinGroups = 4;
  Divisions.set(Settings);
  run(seconds(10));
  EXPECT_NEAR(smallShare(), 72.0 / 120.0, 1e-6);
}

TEST_F(DivisionsOfAService, MetricsTellWhatIsOfferedNeededAndGiven) {
  run(seconds(10));
  std::string Metrics;
  DivisionReport::appendTo(Metrics, Divisions);
  const std::string Labels = "{service=\"draft\",model=\"small\"} ";
  EXPECT_THAT(Metrics, HasSubstr("coltsfoottrail_division_offered_groups" +
                                 Labels + "12\n"));
  EXPECT_THAT(Metrics, HasSubstr("coltsfoottrail_division_needed_groups" +
                                 Labels + "15\n"));
  EXPECT_THAT(Metrics,
              HasSubstr("coltsfoottrail_division_share" + Labels + "0.75\n"));
  EXPECT_THAT(Metrics,
              HasSubstr("coltsfoottrail_division_groups" + Labels + "0\n"));
  EXPECT_THAT(Metrics, HasSubstr("coltsfoottrail_division_changes_total" +
                                 Labels + "1\n"));
}

TEST_F(DivisionsOfAService, NumberOfSeriesIsBounded) {
  for (std::size_t Index = 0; Index < 2 * DivisionReport::MaxModels; ++Index)
    Service.Engine->Models.push_back(
        {ModelName("m" + std::to_string(Index)), 1, 1.0, 0.0});
  run(seconds(1));
  std::string Metrics;
  DivisionReport::appendTo(Metrics, Divisions);
  std::size_t Series = 0;
  for (std::size_t At = Metrics.find("_share{"); At != std::string::npos;
       At = Metrics.find("_share{", At + 1))
    ++Series;
  EXPECT_EQ(Series, DivisionReport::MaxModels);
  EXPECT_THAT(Metrics, Not(HasSubstr("_needed_groups{")));
}

TEST_F(DivisionsOfAService, LogTellsEachChangeAndTheStateAtAnInterval) {
  const std::filesystem::path File =
      testing::TempDir() + "division-" + std::to_string(::getpid());
  std::filesystem::remove(File);
  TelemetrySettings Config;
  Config.LogFile = File;
  openLog(Config);
  run(seconds(10));
  closeLog();
  std::ifstream Input(File);
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(Input, Line);)
    if (Line.find("model=small") != std::string::npos)
      Lines.push_back(Line);
  // At the start, at the change after five seconds, and five seconds later at
  // the earliest.
  ASSERT_EQ(Lines.size(), 2U);
  EXPECT_THAT(Lines[0], HasSubstr("E1540 division"));
  EXPECT_THAT(Lines[0], HasSubstr("why=not-current"));
  EXPECT_THAT(Lines[1], HasSubstr("offered=12 needed=15 share=0.75 groups=0 "
                                  "engines=120 why=moved"));
}

} // namespace

} // namespace coltsfoottrail
