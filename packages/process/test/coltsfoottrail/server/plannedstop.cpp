#include "fixture.hpp"

#include <future>

namespace coltsfoottrail::testing {
namespace {

class HostThatStops : public ClusterFixture {
protected:
  void SetUp() override {
    Settings Configured = settingsOf("entry-1", "east");
    Configured.Stop.StreamLimit = milliseconds(1'500);
    Hosts.push_back(std::make_unique<EntryHostProcess>(std::move(Configured)));
    ASSERT_TRUE(allReady());
    applyDeclaration();
  }
};

// Guards against requests whose endpoint is silent until the process ends.
TEST_F(HostThatStops, RequestsInProgressGetALastAnswer) {
  OrderService.setDelay(milliseconds(6'000));
  std::vector<std::future<HttpResponse>> Orders;
  for (int Index = 0; Index < 4; ++Index)
    Orders.push_back(std::async(std::launch::async, [this] {
      return call(Hosts[0]->callerPort(), orderRequest("", "sign"));
    }));
  ASSERT_TRUE(eventually(
      [&] { return OrderService.executionsOf("sign") == Orders.size(); }));
  EXPECT_EQ(Hosts[0]->stop(), 0U);
  for (auto &Each : Orders) {
    const HttpResponse Answer = Each.get();
    EXPECT_EQ(Answer.Status, 502U) << Answer.Body;
    EXPECT_EQ(Json::parse(Answer.Body).value("verdict", ""), "may-have-run");
  }
}

} // namespace
} // namespace coltsfoottrail::testing
