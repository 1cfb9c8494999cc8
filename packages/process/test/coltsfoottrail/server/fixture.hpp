/// @file
/// Test fixture with a log, a service, engines and entry hosts in one process
/// on the loopback interface.
#ifndef COLTSFOOTTRAIL_TEST_SERVER_FIXTURE_HPP
#define COLTSFOOTTRAIL_TEST_SERVER_FIXTURE_HPP

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/http/blocking.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/server/process.hpp"
#include "coltsfoottrail/standin/engine.hpp"
#include "coltsfoottrail/standin/log.hpp"
#include "coltsfoottrail/standin/service.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace coltsfoottrail::testing {

inline constexpr milliseconds CallTimeout{20'000};
inline constexpr std::string_view Loopback = "127.0.0.1";
inline constexpr std::string_view TeamCredential = "team-secret";
inline constexpr std::string_view OperatorCredential = "operator-secret";

/// @brief Polls a condition until it holds or 30 s have passed.
template <class Condition> [[nodiscard]] bool eventually(Condition Predicate) {
  const TimePoint Limit = BootClock::now() + seconds(30);
  while (BootClock::now() < Limit) {
    if (Predicate())
      return true;
    std::this_thread::sleep_for(milliseconds(2));
  }
  return Predicate();
}

class ClusterFixture : public ::testing::Test {
protected:
  ClusterFixture()
      : IoThreads(2), LogService(IoThreads, std::string(Loopback), 0),
        OrderService(IoThreads, std::string(Loopback), 0) {}

  void addEngine(EngineTraits Traits = {}) {
    Engines.push_back(std::make_unique<EngineStandin>(
        IoThreads, std::string(Loopback), 0, Traits));
  }

  [[nodiscard]] Settings settingsOf(const std::string &Name,
                                    const std::string &DataCentre) const {
    Settings Configured;
    Configured.Host = HostName(Name);
    Configured.DataCentre = DataCentreName(DataCentre);
    Configured.AdvertisedAddress = Loopback;
    Configured.Threads = 2;
    Configured.Callers.Listen = {std::string(Loopback), 0};
    Configured.Callers.MaxBodyBytes = 64U << 10U;
    Configured.Operators.Listen = {std::string(Loopback), 0};
    Configured.Operators.Credential = Secret(std::string(OperatorCredential));
    Configured.Mesh.Listen = {std::string(Loopback), 0};
    Configured.Mesh.Key = Secret(std::string("mesh-key-of-the-tests"));
    Configured.Platform.Log.ServerAddress = {std::string(Loopback),
                                             LogService.port()};
    Configured.Stop.Grace = milliseconds(50);
    return Configured;
  }

  void addHost(const std::string &Name, const std::string &DataCentre) {
    Hosts.push_back(
        std::make_unique<EntryHostProcess>(settingsOf(Name, DataCentre)));
  }

  [[nodiscard]] Json declaration() const {
    Json Configured{{"data_centres", {"east", "north", "west"}},
                    {"teams",
                     {{{"name", "gate"},
                       {"credential_sha256", sha256Hex(TeamCredential)}}}},
                    {"services",
                     {{{"name", "orders"},
                       {"instances",
                        {{{"host", "order-1"},
                          {"data_centre", "east"},
                          {"address", Loopback},
                          {"port", OrderService.port()}}}}}}}};
    if (Engines.empty())
      return Configured;
    Json EngineHosts = Json::array();
    Json Groups = Json::object();
    for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
      const std::string Site = Index % 2 == 0 ? "east" : "west";
      EngineHosts.push_back({{"name", "engine-" + std::to_string(Index)},
                             {"data_centre", Site},
                             {"fabric_domain", Site + "-f1"},
                             {"address", Loopback},
                             {"port", Engines[Index]->port()}});
      Groups[Site] = Groups.value(Site, 0) + 1;
    }
    Configured["hosts"] = std::move(EngineHosts);
    Configured["models"] = {{{"name", "plan"},
                             {"version", "v1"},
                             {"members_per_group", 1},
                             {"warm_bound", 32},
                             {"cold_bound", 8},
                             {"groups", std::move(Groups)}}};
    return Configured;
  }

  [[nodiscard]] HttpResponse call(std::uint16_t Port,
                                  HttpRequest Request) const {
    const auto Result = fetchBlocking({std::string(Loopback), Port},
                                      std::move(Request), CallTimeout);
    if (const auto *const Failed = std::get_if<CallFailure>(&Result))
      return HttpResponse{
          0, {}, "no answer: " + std::string(reasonCode(Failed->Why))};
    return std::get<HttpResponse>(Result);
  }

  [[nodiscard]] HttpResponse callOperator(std::size_t Host, std::string Target,
                                          std::string Body = {}) const {
    HttpRequest Request;
    Request.Method = Body.empty() ? "GET" : "POST";
    Request.Target = std::move(Target);
    Request.Fields = {
        {"Authorization", "Bearer " + std::string(OperatorCredential)}};
    Request.Body = std::move(Body);
    return call(Hosts.at(Host)->operatorPort(), std::move(Request));
  }

  /// Proposes and confirms the plan for an intent; returns the id of the plan.
  Offset applyIntent(const Json &Intent, std::size_t Host = 0) const {
    const HttpResponse Planned = callOperator(Host, "/v1/plans", Intent.dump());
    EXPECT_EQ(Planned.Status, 200U) << Planned.Body;
    const Offset Id = Json::parse(Planned.Body).at("id").get<Offset>();
    const HttpResponse Confirmed = callOperator(
        Host, "/v1/plans/" + std::to_string(Id) + "/confirm", "{}");
    EXPECT_EQ(Confirmed.Status, 200U) << Confirmed.Body;
    return Id;
  }

  void applyDeclaration() const {
    const Offset Id = applyIntent(
        {{"kind", "apply_declaration"}, {"declaration", declaration()}});
    EXPECT_TRUE(eventually([&] {
      for (const auto &Host : Hosts) {
        const StatePtr Now = Host->state();
        const auto Plan = Now->Plans.find(Id);
        if (Plan == Now->Plans.end() || Plan->second.Phase != PlanPhase::Done)
          return false;
      }
      return true;
    })) << callOperator(0, "/v1/plans/" + std::to_string(Id)).Body;
  }

  [[nodiscard]] HttpRequest orderRequest(std::string Key,
                                         std::string Body) const {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Target = "/services/orders/sign";
    Request.Fields = {
        {"Authorization", "Bearer " + std::string(TeamCredential)}};
    if (!Key.empty())
      Request.Fields.push_back({"Idempotency-Key", std::move(Key)});
    Request.Body = std::move(Body);
    return Request;
  }

  [[nodiscard]] HttpRequest draftRequest(const std::string &Prompt, bool Stream,
                                         unsigned Tokens = 12) const {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Target = "/v1/completions";
    Request.Fields = {
        {"Authorization", "Bearer " + std::string(TeamCredential)}};
    Request.Body = Json{
        {"model", "plan"},
        {"prompt", Prompt},
        {"max_tokens", Tokens},
        {"stream",
         Stream}}.dump();
    return Request;
  }

  [[nodiscard]] bool allReady() const {
    return eventually([&] {
      for (const auto &Host : Hosts)
        if (!Host->ready() || Host->state()->EntryHosts.size() != Hosts.size())
          return false;
      return true;
    });
  }

  IoPool IoThreads;
  LogStandin LogService;
  ServiceStandin OrderService;
  std::vector<std::unique_ptr<EngineStandin>> Engines;
  std::vector<std::unique_ptr<EntryHostProcess>> Hosts;
};

} // namespace coltsfoottrail::testing

#endif
