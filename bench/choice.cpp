// Compares the ways of choosing an endpoint, and the budget, the ramp and the
// fair shares against their absence, in simulated time. Prints tables, then
// JSON. Deterministic.
#include "coltsfoottrail/dispatch/simulation.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace coltsfoottrail {
namespace {

using Json = nlohmann::json;

struct NamedPolicy {
  const char *Name;
  ChoicePolicy Policy;
  /// Part of the cache events that are lost.
  double CacheLoss = 0.05;
  /// How long requests wait for their prefix, as a part of what it saves.
  double CacheDelay = 1.0;
};

EstimatedWaitPolicy withoutCache() {
  EstimatedWaitPolicy Chosen;
  Chosen.UseRing = false;
  Chosen.CacheSaving = 0.0;
  Chosen.LearnSaving = false;
  return Chosen;
}

EstimatedWaitPolicy fixedSaving() {
  EstimatedWaitPolicy Chosen;
  Chosen.LearnSaving = false;
  return Chosen;
}

EstimatedWaitPolicy withoutRing() {
  EstimatedWaitPolicy Chosen;
  Chosen.UseRing = false;
  return Chosen;
}

EstimatedWaitPolicy earlyEjection() {
  EstimatedWaitPolicy Chosen;
  Chosen.Ejection.SlowEvidence = 2.0;
  return Chosen;
}

EstimatedWaitPolicy forgettingHints() {
  EstimatedWaitPolicy Chosen;
  Chosen.HintResetGap = 1;
  return Chosen;
}

EstimatedWaitPolicy withoutEjection() {
  EstimatedWaitPolicy Chosen;
  Chosen.Ejection.MaxEjectedShare = 0.0;
  return Chosen;
}

std::vector<NamedPolicy> policies() {
  return {{"random", RandomPolicy{}},
          {"round robin", RoundRobinPolicy{}},
          {"least in flight", LeastInFlightPolicy{}},
          {"estimated wait", EstimatedWaitPolicy{}},
          {" no wait for cache", EstimatedWaitPolicy{}, 0.05, 0.0},
          {" no cache affinity", withoutCache()},
          {" saving not learned", fixedSaving()},
          {" dropped at any gap", forgettingHints()},
          {" no ring", withoutRing()},
          {" no events", EstimatedWaitPolicy{}, 1.0},
          {" no events, no ring", withoutRing(), 1.0},
          {" early ejection", earlyEjection()},
          {" no ejection", withoutEjection()}};
}

std::vector<double> evenTeams(double Total, std::size_t Count) {
  return std::vector<double>(Count, Total / static_cast<double>(Count));
}

Json summary(const SimulationResult &Got) {
  const double Served = std::max<double>(1.0, static_cast<double>(Got.Served));
  const double Asked =
      std::max<double>(1.0, static_cast<double>(Got.Sends - Got.Resends));
  return Json{{"asked", Got.All.Submitted},
              {"inTime", Got.All.fraction()},
              {"p50Seconds", Got.quantile(0.5)},
              {"p99Seconds", Got.quantile(0.99)},
              {"cacheHits", static_cast<double>(Got.CacheHits) / Served},
              {"sendsPerRequest", static_cast<double>(Got.Sends) / Asked},
              {"refusedNotRun", Got.RefusedNotRun},
              {"refusedMayHaveRun", Got.RefusedMayHaveRun},
              {"coldCrashes", Got.ColdCrashes},
              {"coldPeak", Got.ColdPeak}};
}

void printHead(const char *Title) {
  std::printf("\n%s\n%-22s %8s %8s %8s %8s %8s\n", Title, "", "in time",
              "p50 s", "p99 s", "hits", "sends");
}

void printRow(const char *Name, const Json &Row) {
  std::printf("%-22s %8.4f %8.3f %8.3f %8.3f %8.3f\n", Name,
              Row["inTime"].get<double>(), Row["p50Seconds"].get<double>(),
              Row["p99Seconds"].get<double>(), Row["cacheHits"].get<double>(),
              Row["sendsPerRequest"].get<double>());
}

Json comparePolicies(const char *Title, const SimulationOptions &Common) {
  printHead(Title);
  Json Out;
  for (const NamedPolicy &Each : policies()) {
    SimulationOptions Options = Common;
    Options.Dispatch.Policy = Each.Policy;
    Options.CacheLoss = Each.CacheLoss;
    Options.Dispatch.CacheDelay = Each.CacheDelay;
    const Json Row = summary(Simulation(Options).run());
    printRow(Each.Name, Row);
    Out[Each.Name] = Row;
  }
  return Out;
}

Json compareTeams() {
  SimulationOptions Common;
  Common.TeamRates = evenTeams(0.7 * Common.capacity(), 10);
  std::printf("\none team of ten at ten times its share (a tenth of capacity)\n"
              "%-22s %10s %10s %14s %12s\n",
              "", "others p50", "others p99", "others in time", "its in time");
  Json Out;
  const auto Run = [&](const char *Name, double FirstRate) {
    SimulationOptions Options = Common;
    Options.TeamRates[0] = FirstRate;
    const SimulationResult Got = Simulation(Options).run();
    SimulationResult::Share Others;
    for (std::size_t Team = 1; Team < Got.Teams.size(); ++Team) {
      Others.Submitted += Got.Teams[Team].Submitted;
      Others.InTime += Got.Teams[Team].InTime;
    }
    Out[Name] = Json{{"othersP50", Got.quantile(0.5, 1)},
                     {"othersP99", Got.quantile(0.99, 1)},
                     {"othersInTime", Others.fraction()},
                     {"itsInTime", Got.Teams[0].fraction()}};
    std::printf("%-22s %10.3f %10.3f %14.4f %12.4f\n", Name,
                Got.quantile(0.5, 1), Got.quantile(0.99, 1), Others.fraction(),
                Got.Teams[0].fraction());
  };
  Run("without it", 0.0);
  Run("at its usual rate", Common.TeamRates[0]);
  Run("at ten times", Common.capacity());
  Common.Dispatch.ReservedSlotRatio = 0.0;
  Run(" no places kept", Common.capacity());
  Common.Dispatch.CacheDelay = 0.0;
  Run(" nor wait for cache", Common.capacity());
  Out["p99Ratio"] = Out["at ten times"]["othersP99"].get<double>() /
                    Out["without it"]["othersP99"].get<double>();
  std::printf("ratio of p99 to without it: %.3f\n",
              Out["p99Ratio"].get<double>());
  return Out;
}

RetryLimits unlimitedRetries() {
  RetryLimits Unlimited;
  Unlimited.Budget = BudgetLimits{1e9, 1e9, 1e9};
  Unlimited.MaxAttempts = 20;
  return Unlimited;
}

Json compareBudget() {
  Json Out;
  std::printf("\nevery engine fails a part of the attempts\n%-22s %8s %8s\n",
              "", "in time", "sends");
  for (const double Part : {0.05, 0.5, 0.9})
    for (const bool Budgeted : {true, false}) {
      SimulationOptions Options;
      Options.TeamRates = evenTeams(0.5 * Options.capacity(), 10);
      Options.Length = seconds(40);
      Options.FailFraction = Part;
      if (!Budgeted)
        Options.Dispatch.Retries = unlimitedRetries();
      const Json Row = summary(Simulation(Options).run());
      const std::string Name = std::to_string(static_cast<int>(Part * 100)) +
                               "% " + (Budgeted ? "budget" : "no budget");
      std::printf("%-22s %8.4f %8.3f\n", Name.c_str(),
                  Row["inTime"].get<double>(),
                  Row["sendsPerRequest"].get<double>());
      Out[Name] = Row;
    }
  return Out;
}

Json compareOutage(double Load) {
  SimulationOptions Common;
  Common.TeamRates = evenTeams(Load * Common.capacity(), 10);
  Common.Outage = SimulatedOutage{};
  Common.Length = seconds(75);
  struct Variant {
    const char *Name;
    SimulationOptions Options;
  };
  std::vector<Variant> Variants(6, Variant{"all", Common});
  Variants[1].Name = "no budget";
  Variants[1].Options.Dispatch.Retries = unlimitedRetries();
  Variants[2].Name = "least in flight";
  Variants[2].Options.Dispatch.Policy = LeastInFlightPolicy{};
  Variants[3].Name = "no ramp";
  Variants[3].Options.Outage->Ramp = false;
  Variants[5].Name = "no cache wait";
  Variants[5].Options.Dispatch.CacheDelay = 0.0;
  Variants[4].Name = "no ejection";
  Variants[4].Options.Dispatch.Policy = withoutEjection();
  std::printf("\na data centre of three is lost at 20 s and returns cold at "
              "40 s, at %.1f of the load; in time by second of asking\n%-6s",
              Load, "second");
  for (const Variant &Each : Variants)
    std::printf(" %16s", Each.Name);
  std::printf("\n");
  std::vector<SimulationResult> Got;
  Json Out;
  for (const Variant &Each : Variants) {
    Got.push_back(Simulation(Each.Options).run());
    Json Row = summary(Got.back());
    for (const SimulationResult::Share &Second : Got.back().Seconds)
      Row["seconds"].push_back(Second.fraction());
    Out[Each.Name] = Row;
  }
  for (std::size_t Second = 18; Second < 70; ++Second) {
    std::printf("%-6zu", Second);
    for (const SimulationResult &Each : Got)
      std::printf(" %16.4f", Each.Seconds[Second].fraction());
    std::printf("\n");
  }
  for (std::size_t Index = 0; Index < Variants.size(); ++Index) {
    const Json &Row = Out[Variants[Index].Name];
    std::printf("%-16s in time %.4f, sends %.3f, may have run %llu, not run "
                "%llu, cold crashes %llu, cold peak %.2f\n",
                Variants[Index].Name, Row["inTime"].get<double>(),
                Row["sendsPerRequest"].get<double>(),
                static_cast<unsigned long long>(Got[Index].RefusedMayHaveRun),
                static_cast<unsigned long long>(Got[Index].RefusedNotRun),
                static_cast<unsigned long long>(Got[Index].ColdCrashes),
                Got[Index].ColdPeak);
  }
  return Out;
}

} // namespace
} // namespace coltsfoottrail

int main() {
  using namespace coltsfoottrail;
  Json Out;
  SimulationOptions Model;
  Model.TeamRates = evenTeams(0.9 * Model.capacity(), 10);
  Out["model"] = comparePolicies(
      "50 model runners, 9 entry hosts, at 0.9 of the load borne uncached",
      Model);
  SimulationOptions Pressed = Model;
  Pressed.TeamRates = evenTeams(1.2 * Model.capacity(), 10);
  Out["pressed"] = comparePolicies("the same at 1.2 of the load", Pressed);
  SimulationOptions Straggling = Model;
  Straggling.Stragglers = 3;
  Out["stragglers"] = comparePolicies(
      "50 model runners, 3 of them five times slower", Straggling);
  SimulationOptions Service;
  Service.Endpoints = 3;
  Service.Bound = 36;
  Service.MeanSeconds = 0.2;
  Service.PrefixesPerTeam = 1;
  Service.Patience = seconds(2);
  Service.TeamRates = evenTeams(0.6 * Service.capacity(), 10);
  Out["service"] = comparePolicies("3 service runners, 9 entry hosts", Service);
  Out["teams"] = compareTeams();
  Out["budget"] = compareBudget();
  Out["outage"] = compareOutage(0.9);
  Out["outagePressed"] = compareOutage(1.2);
  std::printf("\n%s\n", Out.dump().c_str());
  return 0;
}
