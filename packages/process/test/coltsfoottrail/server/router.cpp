#include "coltsfoottrail/server/router.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::testing {
namespace {

/// Keeps what a router publishes.
class RecordingSink final : public CrashEvidenceSink {
public:
  void publish(std::string_view PoolName,
               const EndpointNotice & /*Notice*/) override {
    Published.emplace_back(PoolName);
  }
  void recordOutageLoss(std::string_view /*PoolName*/,
                        const std::string & /*EndpointKey*/) override {}
  void recordPartChange(std::string_view /*PoolName*/,
                        const PartChange & /*Change*/) override {}

  std::vector<std::string> Published;
};

RouteTable tableWithPool(const std::string &Name) {
  RouteTable Table;
  Table.Pools[Name] = Pool{};
  return Table;
}

// Guards against a host that starts, receives the notices of the others before
// it knows the pool, and forgets them; and against hosts that pass such notices
// to each other without end.
TEST(Router, KeepsTheNoticesOfAPoolThatItDoesNotKnowYet) {
  const CrashNotice Crash{"e", DataCentreName("dc-0"), 0, {}, {7}};
  RecordingSink Sink;
  Router Early(RouterOptions{}, Sink);
  EXPECT_FALSE(Early.observeNotice("p", Crash));
  Early.setRoutes(tableWithPool("p"), {}, 1);
  EXPECT_FALSE(Early.observeNotice("p", Crash)) << "it is known already";
  Router Late(RouterOptions{}, Sink);
  Late.setRoutes(tableWithPool("p"), {}, 1);
  EXPECT_TRUE(Late.observeNotice("p", Crash));
  Early.advance();
  EXPECT_TRUE(Sink.Published.empty()) << "notices of others are not its own";
}

} // namespace
} // namespace coltsfoottrail::testing
