#include "coltsfoottrail/reach/tracker.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

constexpr std::uint16_t FirstPort = 100;

EngineAddress endpoint(int Index) {
  return {"10.0.0.1", std::uint16_t(FirstPort + Index)};
}

class Reachability : public ::testing::Test {
protected:
  Reachability() {
    std::vector<ReachableEndpoint> Known;
    for (int Index = 0; Index < Count; ++Index)
      Known.push_back(
          {endpoint(Index), DataCentreName(Index % 2 == 0 ? "a" : "b")});
    Tracker.setEndpoints(Known);
  }

  void pass(milliseconds Span) { Now += Span; }
  void hear(int Index) { Tracker.recordData(endpoint(Index), Now); }
  void fail(int Index) {
    Tracker.recordDirectFailure(endpoint(Index), Now, Now);
  }

  static constexpr int Count = 12;
  ReachabilityTracker Tracker{7};
  TimePoint Now{seconds(100)};
};

TEST_F(Reachability, HostIsCutOffWhenItHearsNoEndpointAnyMore) {
  for (int Index = 0; Index < Count; ++Index)
    hear(Index);
  pass(milliseconds(10));
  const TimePoint Onset = Now;
  for (int Index = 0; Index < 5; ++Index)
    fail(Index);
  EXPECT_FALSE(Tracker.cutOffSince());
  EXPECT_TRUE(Tracker.isDoubtful(Now));
  fail(5);
  EXPECT_EQ(Tracker.cutOffSince(), Onset);
}

// Guards against a host with little traffic that takes the loss of a few
// endpoints for that of its links.
TEST_F(Reachability, UnheardEndpointsAreProbedWhenSomeFail) {
  fail(0);
  fail(1);
  EXPECT_TRUE(Tracker.isDoubtful(Now));
  const auto Probes = Tracker.takeProbes(Now);
  EXPECT_EQ(Probes.size(), std::size_t(Count));
  pass(milliseconds(5));
  for (const EngineAddress &Probed : Probes)
    if (Probed != endpoint(0) && Probed != endpoint(1))
      Tracker.recordConnected(Probed, Now);
  EXPECT_FALSE(Tracker.isDoubtful(Now));
}

TEST_F(Reachability, ASuspicionProbesOnlyWhatWasNotHeardLately) {
  EXPECT_TRUE(Tracker.takeProbes(Now).empty());
  for (int Index = 0; Index < 10; ++Index)
    hear(Index);
  Tracker.recordSuspicion(Now);
  EXPECT_EQ(Tracker.takeProbes(Now).size(), 2U);
}

// Guards against taking the loss of some endpoints for that of this host's
// links.
TEST_F(Reachability, FailuresBesideHealthyEndpointsAreNoCut) {
  fail(0);
  pass(milliseconds(10));
  for (int Index = 4; Index < 10; ++Index)
    hear(Index);
  for (int Index = 1; Index < 4; ++Index)
    fail(Index);
  EXPECT_FALSE(Tracker.cutOffSince());
  EXPECT_FALSE(Tracker.isDoubtful(Now));
}

// Guards against hosts that all take themselves for cut off when a service is
// gone.
TEST_F(Reachability, EndpointsThatNobodyReachesAreNoCut) {
  for (int Index = 0; Index < 6; ++Index) {
    Tracker.recordUnreachableElsewhere(endpoint(Index), Now);
    fail(Index);
  }
  Tracker.advance(Now);
  EXPECT_FALSE(Tracker.cutOffSince());
}

// Guards against flooding the only endpoint that a host still reaches.
TEST_F(Reachability, OneEndpointInReachDoesNotEndACut) {
  for (int Index = 0; Index < Count; ++Index)
    fail(Index);
  ASSERT_TRUE(Tracker.cutOffSince());
  pass(seconds(1));
  Tracker.recordConnected(endpoint(0), Now);
  EXPECT_TRUE(Tracker.cutOffSince());
}

TEST_F(Reachability, CutEndsWhenMostEndpointsAreReached) {
  for (int Index = 0; Index < Count; ++Index)
    fail(Index);
  pass(seconds(1));
  for (int Index = 0; Index < 6; ++Index)
    Tracker.recordConnected(endpoint(Index), Now);
  EXPECT_FALSE(Tracker.cutOffSince());
}

TEST_F(Reachability, ProbesAreFewAndGoOnAtOnceAfterASuccess) {
  for (int Index = 0; Index < Count; ++Index)
    fail(Index);
  const auto First = Tracker.takeProbes(Now);
  EXPECT_EQ(First.size(), 2U);
  EXPECT_TRUE(Tracker.takeProbes(Now).empty());
  Tracker.recordConnected(First.front(), Now);
  EXPECT_FALSE(Tracker.takeProbes(Now).empty());
}

// Guards against the use of open connections that a cut has silenced.
TEST_F(Reachability, IdleConnectionsFromBeforeASilenceAreNotUsed) {
  const TimePoint IdleSince = Now;
  pass(milliseconds(500));
  EXPECT_TRUE(Tracker.mayReuse(endpoint(0), IdleSince));
  Tracker.recordSilence(endpoint(0), Now);
  EXPECT_FALSE(Tracker.mayReuse(endpoint(0), IdleSince));
  EXPECT_TRUE(Tracker.mayReuse(endpoint(0), Now + milliseconds(1)));
  EXPECT_TRUE(Tracker.mayReuse(endpoint(1), IdleSince));
}

// Guards against new connections that are tried again and again because open
// ones live on.
TEST_F(Reachability, DataOnOpenConnectionsDoesNotMakeNewOnesPossible) {
  fail(0);
  pass(milliseconds(10));
  hear(0);
  EXPECT_EQ(Tracker.tally(Now).Unreachable, 1U);
  EXPECT_TRUE(Tracker.mayReuse(endpoint(0), Now));
}

std::vector<bool> forwardedSteps(const std::vector<DialStep> &Steps) {
  std::vector<bool> Result;
  for (const DialStep &Step : Steps)
    Result.push_back(std::holds_alternative<ForwardedDial>(Step.Way));
  return Result;
}

TEST_F(Reachability, AnEndpointInReachIsDialedDirectlyFirst) {
  const std::vector<bool> DirectOnly{false};
  EXPECT_EQ(forwardedSteps(Tracker.plan(endpoint(0), seconds(1), Now)),
            DirectOnly);
  const std::vector<Forwarder> Hosts{{{"10.1.0.1", 7700}, DataCentreName("a")},
                                     {{"10.1.0.2", 7700}, DataCentreName("b")},
                                     {{"10.1.0.3", 7700}, DataCentreName("b")}};
  Tracker.addForwarders(Hosts, Now);
  const std::vector<bool> DirectFirst{false, true, true, false};
  EXPECT_EQ(forwardedSteps(Tracker.plan(endpoint(0), seconds(1), Now)),
            DirectFirst);
  fail(0);
  const std::vector<bool> ForwardedFirst{true, true, false};
  EXPECT_EQ(forwardedSteps(Tracker.plan(endpoint(0), seconds(1), Now)),
            ForwardedFirst);
}

// Guards against a second spent on each connection to an endpoint that is gone
// or that only other hosts reach.
TEST_F(Reachability, AnEndpointOutOfReachIsDialedDirectlyOnlyBriefly) {
  const std::vector<Forwarder> Hosts{{{"10.1.0.1", 7700}, DataCentreName("a")}};
  Tracker.addForwarders(Hosts, Now);
  EXPECT_EQ(Tracker.plan(endpoint(0), seconds(1), Now).back().Timeout,
            milliseconds(seconds(1)));
  fail(0);
  Tracker.recordUnreachableElsewhere(endpoint(0), Now);
  const auto Steps = Tracker.plan(endpoint(0), seconds(1), Now);
  EXPECT_TRUE(std::holds_alternative<ForwardedDial>(Steps.front().Way));
  EXPECT_EQ(Steps.back().Timeout, ReachabilityTracker::DirectTimeout);
}

TEST_F(Reachability, HostsInTheEndpointsDataCentreForwardFirst) {
  const std::vector<Forwarder> Hosts{{{"10.1.0.1", 7700}, DataCentreName("a")},
                                     {{"10.1.0.2", 7700}, DataCentreName("b")}};
  Tracker.addForwarders(Hosts, Now);
  fail(1);
  for (int Draw = 0; Draw < 20; ++Draw) {
    const auto Steps = Tracker.plan(endpoint(1), seconds(1), Now);
    EXPECT_EQ(std::get<ForwardedDial>(Steps.front().Way).Forwarder,
              Hosts[1].Address);
  }
  Tracker.recordForwarderFailure(Hosts[1].Address, Now);
  const auto Steps = Tracker.plan(endpoint(1), seconds(1), Now);
  EXPECT_EQ(std::get<ForwardedDial>(Steps.front().Way).Forwarder,
            Hosts[0].Address);
}

TEST_F(Reachability, AHostThatIsCutOffReachesNothingWithoutOthers) {
  for (int Index = 0; Index < Count; ++Index)
    fail(Index);
  EXPECT_TRUE(Tracker.reachesNothing(Now));
  const std::vector<Forwarder> Hosts{{{"10.1.0.1", 7700}, DataCentreName("a")}};
  Tracker.addForwarders(Hosts, Now);
  EXPECT_FALSE(Tracker.reachesNothing(Now));
  pass(seconds(4));
  EXPECT_TRUE(Tracker.reachesNothing(Now));
}

// Guards against refusing the requests for a service that is reached when
// another one is gone.
TEST_F(Reachability, AHostThatHearsAnEndpointDoesNotReachNothing) {
  for (int Index = 0; Index < Count; ++Index)
    fail(Index);
  pass(milliseconds(100));
  Tracker.recordConnected(endpoint(0), Now);
  EXPECT_TRUE(Tracker.cutOffSince());
  EXPECT_FALSE(Tracker.reachesNothing(Now));
}

TEST_F(Reachability, ChangesNameTheEndpointAndForHowLong) {
  fail(0);
  pass(seconds(2));
  Tracker.recordConnected(endpoint(0), Now);
  const auto Changes = Tracker.takeChanges();
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(std::get<EndpointUnreachable>(Changes[0]).Endpoint, endpoint(0));
  EXPECT_EQ(std::get<EndpointReached>(Changes[1]).UnreachableFor, seconds(2));
  EXPECT_TRUE(Tracker.takeChanges().empty());
}

} // namespace

} // namespace coltsfoottrail::test
