/// @file
/// A log, a service, engines and entry hosts in one test process, on loopback.
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

/// @brief Waits for a condition, generously: a test that waits in vain fails.
template <class Condition> [[nodiscard]] bool eventually(Condition Holds) {
  const TimePoint Limit = BootClock::now() + seconds(30);
  while (BootClock::now() < Limit) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(milliseconds(2));
  }
  return Holds();
}

class Bench : public ::testing::Test {
protected:
  Bench()
      : Pool(2), LogService(Pool, std::string(Loopback), 0),
        Orders(Pool, std::string(Loopback), 0) {}

  void addEngine(EngineTraits Traits = {}) {
    Engines.push_back(std::make_unique<EngineStandin>(
        Pool, std::string(Loopback), 0, Traits));
  }

  [[nodiscard]] Settings settingsOf(const std::string &Name,
                                    const std::string &DataCentre) const {
    Settings Out;
    Out.Host = HostName(Name);
    Out.DataCentre = DataCentreName(DataCentre);
    Out.AdvertisedAddress = Loopback;
    Out.Threads = 2;
    Out.Callers.Listen = {std::string(Loopback), 0};
    Out.Callers.MaxBodyBytes = 64U << 10U;
    Out.Operators.Listen = {std::string(Loopback), 0};
    Out.Operators.Credential = Secret(std::string(OperatorCredential));
    Out.Mesh.Listen = {std::string(Loopback), 0};
    Out.Mesh.Key = Secret(std::string("mesh-key-of-the-tests"));
    Out.Platform.Log.ServerAddress = {std::string(Loopback), LogService.port()};
    Out.Stop.Grace = milliseconds(50);
    return Out;
  }

  void addHost(const std::string &Name, const std::string &DataCentre) {
    Hosts.push_back(
        std::make_unique<EntryHostProcess>(settingsOf(Name, DataCentre)));
  }

  [[nodiscard]] Json declaration() const {
    Json Out{{"data_centres", {"east", "north", "west"}},
             {"teams",
              {{{"name", "gate"},
                {"credential_sha256", sha256Hex(TeamCredential)}}}},
             {"services",
              {{{"name", "orders"},
                {"instances",
                 {{{"host", "order-1"},
                   {"data_centre", "east"},
                   {"address", Loopback},
                   {"port", Orders.port()}}}}}}}};
    if (Engines.empty())
      return Out;
    Json Machines = Json::array();
    Json Groups = Json::object();
    for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
      const std::string Place = Index % 2 == 0 ? "east" : "west";
      Machines.push_back({{"name", "engine-" + std::to_string(Index)},
                          {"data_centre", Place},
                          {"fabric_domain", Place + "-f1"},
                          {"address", Loopback},
                          {"port", Engines[Index]->port()}});
      Groups[Place] = Groups.value(Place, 0) + 1;
    }
    Out["hosts"] = std::move(Machines);
    Out["models"] = {{{"name", "plan"},
                      {"version", "v1"},
                      {"members_per_group", 1},
                      {"warm_bound", 32},
                      {"cold_bound", 8},
                      {"groups", std::move(Groups)}}};
    return Out;
  }

  [[nodiscard]] HttpResponse call(std::uint16_t Port, HttpRequest Asked) const {
    const auto Got = fetchBlocking({std::string(Loopback), Port},
                                   std::move(Asked), CallTimeout);
    if (const auto *const Failed = std::get_if<CallFailure>(&Got))
      return HttpResponse{
          0, {}, "no answer: " + std::string(reasonCode(Failed->Why))};
    return std::get<HttpResponse>(Got);
  }

  [[nodiscard]] HttpResponse operate(std::size_t Host, std::string Target,
                                     std::string Body = {}) const {
    HttpRequest Asked;
    Asked.Method = Body.empty() ? "GET" : "POST";
    Asked.Target = std::move(Target);
    Asked.Fields = {
        {"Authorization", "Bearer " + std::string(OperatorCredential)}};
    Asked.Body = std::move(Body);
    return call(Hosts.at(Host)->operatorPort(), std::move(Asked));
  }

  /// Plans and confirms an intent; the id of its plan.
  Offset apply(const Json &Intent, std::size_t Host = 0) const {
    const HttpResponse Planned = operate(Host, "/v1/plans", Intent.dump());
    EXPECT_EQ(Planned.Status, 200U) << Planned.Body;
    const Offset Id = Json::parse(Planned.Body).at("id").get<Offset>();
    const HttpResponse Confirmed =
        operate(Host, "/v1/plans/" + std::to_string(Id) + "/confirm", "{}");
    EXPECT_EQ(Confirmed.Status, 200U) << Confirmed.Body;
    return Id;
  }

  void declare() const {
    const Offset Id =
        apply({{"kind", "apply_declaration"}, {"declaration", declaration()}});
    EXPECT_TRUE(eventually([&] {
      for (const auto &Host : Hosts) {
        const StatePtr Now = Host->state();
        const auto Plan = Now->Plans.find(Id);
        if (Plan == Now->Plans.end() || Plan->second.Phase != PlanPhase::Done)
          return false;
      }
      return true;
    })) << operate(0, "/v1/plans/" + std::to_string(Id)).Body;
  }

  [[nodiscard]] HttpRequest order(std::string Key, std::string Body) const {
    HttpRequest Asked;
    Asked.Method = "POST";
    Asked.Target = "/services/orders/sign";
    Asked.Fields = {{"Authorization", "Bearer " + std::string(TeamCredential)}};
    if (!Key.empty())
      Asked.Fields.push_back({"Idempotency-Key", std::move(Key)});
    Asked.Body = std::move(Body);
    return Asked;
  }

  [[nodiscard]] HttpRequest draft(const std::string &Prompt, bool Stream,
                                  unsigned Tokens = 12) const {
    HttpRequest Asked;
    Asked.Method = "POST";
    Asked.Target = "/v1/completions";
    Asked.Fields = {{"Authorization", "Bearer " + std::string(TeamCredential)}};
    Asked.Body = Json{
        {"model", "plan"},
        {"prompt", Prompt},
        {"max_tokens", Tokens},
        {"stream",
         Stream}}.dump();
    return Asked;
  }

  [[nodiscard]] bool allReady() const {
    return eventually([&] {
      for (const auto &Host : Hosts)
        if (!Host->ready() || Host->state()->EntryHosts.size() != Hosts.size())
          return false;
      return true;
    });
  }

  IoPool Pool;
  LogStandin LogService;
  ServiceStandin Orders;
  std::vector<std::unique_ptr<EngineStandin>> Engines;
  std::vector<std::unique_ptr<EntryHostProcess>> Hosts;
};

} // namespace coltsfoottrail::testing

#endif
