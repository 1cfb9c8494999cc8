// Hosts that share the rate limit of one endpoint and hear of each other late.
#include "coltsfoottrail/ratelimit/limiter.hpp"
#include "coltsfoottrail/ratelimit/trafficshare.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <memory>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(100)};
constexpr milliseconds Step{10};
/// Time until all hosts know what one of them gets.
constexpr milliseconds TreeDelay{400};
constexpr seconds Length{40};
/// Bound of the platform: in any such window, from the settle time on, one and
/// a half times the limit and five more.
constexpr seconds Window{4};
constexpr seconds SettleTime{3};
/// Part of what the limit bears and callers request that is sent at least.
constexpr double LeastUse = 0.3;

/// Requests per second that a host gets at a time since the start.
using Traffic = std::function<double(std::size_t Host, Duration Since)>;
/// The same for a number of hosts.
using FleetTraffic =
    std::function<double(std::size_t Host, Duration Since, std::size_t Hosts)>;

struct FleetCase {
  std::string Name;
  FleetTraffic PerSecond;
};

std::ostream &operator<<(std::ostream &Output, const FleetCase &Case) {
  return Output << Case.Name;
}

class LimitedFleet {
public:
  LimitedFleet(std::size_t Hosts, double Limit, std::uint64_t Seed)
      : Rng(Seed), PerSecond(Limit), Shares(Hosts) {
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      Limiters.push_back(std::make_unique<EndpointRateLimiter>(Rng()));
      Limiters.back()->observe("p", Limit, Start, Start);
      Shares[Host].setHosts(Hosts);
    }
  }

  void run(const Traffic &Demand) {
    for (TimePoint Now = Start; Now < Start + Length; Now += Step) {
      shareTraffic(Now);
      for (std::size_t Host = 0; Host < Shares.size(); ++Host) {
        const double Chance = Demand(Host, Now - Start) *
                              std::chrono::duration<double>(Step).count();
        if (Rng.fraction() < Chance)
          request(Host, Now);
      }
    }
  }

  [[nodiscard]] std::size_t mostInWindow() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Sends.size(); ++Last) {
      while (Sends[Last] - Sends[First] > Window ||
             (Sends[First] < Start + SettleTime && First < Last))
        ++First;
      if (Sends[Last] >= Start + SettleTime)
        Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }
  [[nodiscard]] double sent() const { return double(Sends.size()); }
  [[nodiscard]] double requested() const { return double(Requests); }

private:
  /// Each host learns the sum of the others as it was TreeDelay before.
  void shareTraffic(TimePoint Now) {
    std::vector<double> Own;
    for (TrafficShare &Each : Shares)
      Own.push_back(Each.own(Now));
    History.push_back(std::move(Own));
    if (History.size() <= std::size_t(TreeDelay / Step))
      return;
    const std::vector<double> Past = std::move(History.front());
    History.pop_front();
    double Sum = 0.0;
    for (const double Each : Past)
      Sum += Each;
    for (std::size_t Host = 0; Host < Shares.size(); ++Host)
      Shares[Host].setOthers(std::max(0.0, Sum - Past[Host]), Now);
  }

  void request(std::size_t Host, TimePoint Now) {
    ++Requests;
    Shares[Host].recordRequest(Now);
    // The response to any host names the limit again.
    Limiters[Host]->observe("p", PerSecond, Now, Now);
    const auto Permit =
        Limiters[Host]->permit("p", Shares[Host].value(Now), Now);
    if (!Permit || Permit->NextAt > Now)
      return;
    Limiters[Host]->recordSend("p");
    Sends.push_back(Now);
  }

  Random Rng;
  double PerSecond;
  std::vector<TrafficShare> Shares;
  std::vector<std::unique_ptr<EndpointRateLimiter>> Limiters;
  std::deque<std::vector<double>> History;
  std::vector<TimePoint> Sends;
  std::size_t Requests = 0;
};

class SharedLimit : public testing::TestWithParam<FleetCase> {};

// Guards against hosts that send more than the limit together, or far less.
TEST_P(SharedLimit, HoldsOverAllHostsAndIsUsed) {
  for (const std::size_t Hosts : {7U, 62U, 300U})
    for (const double Limit : {0.4, 2.3, 20.0})
      for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
        LimitedFleet Fleet(Hosts, Limit, Seed);
        Fleet.run([&](std::size_t Host, Duration Since) {
          return GetParam().PerSecond(Host, Since, Hosts);
        });
        const double Allowed = 1.5 * Limit * double(Window.count()) + 5.0;
        EXPECT_LE(double(Fleet.mostInWindow()), Allowed)
            << Hosts << " hosts, limit " << Limit << ", seed " << Seed;
        const double Bearable =
            std::min(Limit * double(Length.count()), Fleet.requested());
        EXPECT_GE(Fleet.sent(), LeastUse * Bearable)
            << Hosts << " hosts, limit " << Limit << ", seed " << Seed;
      }
}

constexpr double AllPerSecond = 60.0;

double even(std::size_t, Duration, std::size_t Hosts) {
  return AllPerSecond / double(Hosts);
}
double atOneHost(std::size_t Host, Duration, std::size_t) {
  return Host == 0 ? AllPerSecond : 0.0;
}
double movingOn(std::size_t Host, Duration Since, std::size_t Hosts) {
  const auto Turn = std::size_t(Since / Duration(seconds(10)));
  return Host == Turn % Hosts ? AllPerSecond : 0.0;
}
double inWaves(std::size_t Host, Duration Since, std::size_t Hosts) {
  const double Factor = Since % seconds(10) < seconds(4) ? 4.0 : 1.0;
  return Factor * even(Host, Since, Hosts);
}

INSTANTIATE_TEST_SUITE_P(Traffic, SharedLimit,
                         testing::Values(FleetCase{"Even", even},
                                         FleetCase{"AtOneHost", atOneHost},
                                         FleetCase{"MovingOn", movingOn},
                                         FleetCase{"InWaves", inWaves}),
                         [](const auto &Info) { return Info.param.Name; });

TEST(TrafficShare, IsEvenUntilTheOthersAreKnown) {
  TrafficShare Share;
  Share.setHosts(7);
  Share.recordRequest(Start);
  EXPECT_DOUBLE_EQ(Share.value(Start).Part, 1.0 / 7);
}

TEST(TrafficShare, FallsAtOnceAndGrowsSlowly) {
  TrafficShare Share;
  Share.setHosts(8);
  TimePoint Now = Start;
  (void)Share.value(Now);
  for (int Count = 0; Count < 20; ++Count) {
    Now += milliseconds(50);
    Share.recordRequest(Now);
    Share.setOthers(0.0, Now);
    EXPECT_LE(Share.value(Now).Part,
              0.125 * std::exp2(0.1 * (Count + 1)) + 1e-9);
  }
  Share.setOthers(99.0 * Share.own(Now), Now);
  EXPECT_NEAR(Share.value(Now).Part, 0.01, 1e-6);
}

// Guards against a host that was cut off or frozen and goes on with the part
// that it had.
TEST(TrafficShare, IsEvenAgainWithoutNewsOfTheOthers) {
  TrafficShare Share;
  Share.setHosts(4);
  TimePoint Now = Start;
  for (int Count = 0; Count < 100; ++Count) {
    Now += milliseconds(50);
    Share.recordRequest(Now);
    Share.setOthers(0.0, Now);
    (void)Share.value(Now);
  }
  EXPECT_GT(Share.value(Now).Part, 0.9);
  EXPECT_DOUBLE_EQ(
      Share.value(Now + TrafficShare::OthersLife + milliseconds(1)).Part, 0.25);
}

} // namespace
} // namespace coltsfoottrail
