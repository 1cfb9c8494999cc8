#include "coltsfoottrail/fleethost/groupcoordinator.hpp"

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gmock/gmock.h>

namespace coltsfoottrail {

namespace {

namespace asio = boost::asio;
using testing::HasSubstr;

const ModelName Big("big");
const ModelName Small("small");

/// Grants the lease to whoever asks, as long as it answers.
class GrantingStore : public FleetStore {
public:
  using Answer = std::variant<FeedPage, StoreFailure>;
  Awaitable<Answer> newest(Feed) override { co_return StoreFailure::NotDone; }
  Awaitable<Answer> read(Feed, Offset, milliseconds) override {
    co_return StoreFailure::NotDone;
  }
  [[nodiscard]] std::optional<DecodedRecord>
  decode(Feed, std::string_view) const override {
    return std::nullopt;
  }
  Awaitable<std::variant<DutyGrant, StoreFailure>>
  joinDuty(DutyRequest) override {
    if (!Answers)
      co_return StoreFailure::NotDone;
    co_return DutyGrant{1, true};
  }
  Awaitable<std::variant<std::string, StoreFailure>> dutyHolder() override {
    co_return std::string();
  }
  Awaitable<void> leaveDuty(std::string) override {
    ++Left;
    co_return;
  }

  bool Answers = true;
  /// How often the lease was given up.
  int Left = 0;
};

/// Takes all orders and counts the groups that they form.
class CountingEngines : public FleetEngines {
public:
  Awaitable<OrderOutcome> order(EngineAddress, EndpointName, SeatOrder Order,
                                std::uint64_t,
                                const CallPolicy &Policy) override {
    if (Failures > 0) {
      --Failures;
      throw Error("the order cannot be written");
    }
    if (WaitsForConnection) {
      co_await waitWhile(Policy);
      co_return OrderOutcome::NotSent;
    }
    if (const auto *const Join = std::get_if<JoinSeat>(&Order))
      Epochs[Join->Model].insert(Join->Epoch);
    co_return OrderOutcome::Taken;
  }
  Awaitable<bool> answers(EngineAddress, EndpointName, milliseconds) override {
    co_return true;
  }
  Awaitable<std::optional<EngineStatus>> status(EngineAddress, EndpointName,
                                                milliseconds) override {
    co_return std::nullopt;
  }

  std::map<ModelName, std::set<GroupEpoch>> Epochs;
  /// How many more orders fail with an exception.
  int Failures = 0;
  /// Whether no engine accepts a connection.
  bool WaitsForConnection = false;
  /// Orders that could have been sent at first, and could not later.
  int Allowed = 0;
  int Withheld = 0;

private:
  Awaitable<void> waitWhile(const CallPolicy &Policy) {
    Allowed += Policy.maySend() ? 1 : 0;
    asio::steady_timer Pause(co_await asio::this_coro::executor);
    while (Policy.maySend()) {
      Pause.expires_after(milliseconds(50));
      co_await Pause.async_wait(asio::use_awaitable);
    }
    ++Withheld;
  }
};

/// A coordinator of 24 engines that two models share evenly.
class CoordinatorOfEngines : public ::testing::Test {
protected:
  CoordinatorOfEngines() {
    Coordinator.onDemand([this](TimePoint) {
      ++DemandReads;
      return Demand;
    });
    Coordinator.onHostCount([](TimePoint) { return std::size_t{1}; });
    Demand.Hosts = 1;
    DemandRow Row;
    Row.Key.Pool = hashText("model/draft/small");
    Row.Rates.AnswerTokens = 1'000.0;
    Demand.Rows.push_back(Row);
  }
  ~CoordinatorOfEngines() override {
    Context.stop();
    Coordinator.close();
  }

  /// Runs until a condition holds.
  /// @return Whether it came to hold in time.
  template <class Condition> bool runUntil(Condition Predicate) {
    asio::co_spawn(Context, Coordinator.holdDuty(), asio::detached);
    asio::co_spawn(Context, Coordinator.driveGroups(), asio::detached);
    asio::co_spawn(Context, publish(), asio::detached);
    const TimePoint Limit = BootClock::now() + seconds(20);
    while (!Predicate() && BootClock::now() < Limit)
      Context.run_one_for(milliseconds(20));
    return Predicate();
  }

  GrantingStore Store;
  CountingEngines Engines;
  FleetView View{FleetBounds{}};
  StallDetector Silence;
  ReachabilityTracker Reach{1};
  DemandSum Demand;
  int DemandReads = 0;
  asio::io_context Context;
  GroupCoordinator Coordinator{
      Store,
      Engines,
      View,
      Silence,
      Reach,
      "self",
      AssemblyTimes{},
      {DutyRole::Candidate, CandidacyTimes{}, BootClock::now()}};

private:
  static PublishedConfig config() {
    PublishedConfig Result;
    Result.Version = 1;
    ServiceProfile Drafts;
    Drafts.Name = ServiceName("draft");
    Drafts.Engine.emplace();
    Drafts.Engine->Slots = 20;
    Drafts.Engine->StepMs = 20.0;
    Drafts.Engine->PromptTokensPerSecond = 10'000.0;
    Drafts.Engine->Models = {{Big, 4, 1.0, 0.5}, {Small, 2, 1.0, 0.5}};
    Result.Services.push_back(Drafts);
    return Result;
  }
  /// Keeps the records young.
  Awaitable<void> publish() {
    constexpr int EngineCount = 24;
    const TimePoint First = BootClock::now();
    FeedPage Operators;
    Operators.Changes.emplace_back(ConfigPublished{config()});
    View.ingest(Feed::Operators, std::move(Operators), true, First, First);
    asio::steady_timer Pause(co_await asio::this_coro::executor);
    while (true) {
      const TimePoint Now = BootClock::now();
      FeedPage Page;
      for (int Index = 0; Index < EngineCount; ++Index) {
        EndpointRecord Record;
        Record.Name = EndpointName("e" + std::to_string(Index));
        Record.Service = ServiceName("draft");
        Record.DataCentre = DataCentreName("north");
        Record.Domain = FabricDomainName("n0");
        Record.StartedAtMs = 1;
        Page.Changes.emplace_back(EndpointPublished{Record});
      }
      View.ingest(Feed::Endpoints, std::move(Page), true, Now, Now);
      Pause.expires_after(milliseconds(100));
      co_await Pause.async_wait(asio::use_awaitable);
    }
  }
};

// Guards against a change of behaviour where operators have not switched the
// division on: the demand is not asked for, and groups follow the shares of the
// configuration.
TEST_F(CoordinatorOfEngines, DivisionIsOffByDefault) {
  ASSERT_TRUE(runUntil([this] { return Engines.Epochs.size() == 2; }));
  EXPECT_EQ(Engines.Epochs[Big].size(), 3U);
  EXPECT_EQ(DemandReads, 0);
  std::string Metrics;
  Coordinator.appendMetrics(Metrics, BootClock::now());
  EXPECT_EQ(Metrics, "");
}

// Guards against an order that a coordinator sends when it has been suspended,
// and has no lease any more.
TEST_F(CoordinatorOfEngines, OrdersAreNotSentAfterTheLease) {
  Engines.WaitsForConnection = true;
  ASSERT_TRUE(runUntil([this] {
    Store.Answers = Store.Answers && Engines.Allowed == 0;
    return Engines.Withheld > 0;
  }));
  EXPECT_GT(Engines.Allowed, 0);
}

// Guards against a coordinator that keeps its lease and never plans again,
// because one planning pass failed.
TEST_F(CoordinatorOfEngines, GoesOnAfterAFailedPass) {
  int Passes = 0;
  Coordinator.onOrders([&Passes] {
    if (++Passes == 1)
      throw Error("out of memory");
  });
  EXPECT_TRUE(runUntil([this] { return Engines.Epochs.size() == 2; }));
  EXPECT_EQ(Store.Left, 0);
}

// Guards against a coordinator that fails again and again, and keeps the lease
// from hosts that would not.
TEST_F(CoordinatorOfEngines, GivesTheLeaseUpAfterSeveralFailedPasses) {
  Coordinator.onOrders([] { throw Error("out of memory"); });
  EXPECT_TRUE(runUntil([this] { return Store.Left > 0; }));
  EXPECT_FALSE(Coordinator.isLastHolder());
}

// Guards against orders that count as in flight for ever: with enough of them
// no other order is given.
TEST_F(CoordinatorOfEngines, OrdersThatFailAreNoLongerInFlight) {
  Engines.Failures = 200;
  EXPECT_TRUE(runUntil([this] { return Engines.Epochs.size() == 2; }));
}

TEST_F(CoordinatorOfEngines, FollowsTheDemandWhenSwitchedOn) {
  EngineSettings Settings;
  Settings.FollowDemand = true;
  Coordinator.setDivision(Settings);
  std::string Metrics;
  ASSERT_TRUE(runUntil([&] {
    Metrics.clear();
    Coordinator.appendMetrics(Metrics, BootClock::now());
    return Metrics.find("coltsfoottrail_division_needed_groups{") !=
               std::string::npos &&
           Metrics.find("changes_total{service=\"draft\",model=\"small\"} 1") !=
               std::string::npos;
  }));
  EXPECT_GT(DemandReads, 0);
  // All but one group of the model without callers.
  EXPECT_THAT(Metrics, HasSubstr("coltsfoottrail_division_share{service="
                                 "\"draft\",model=\"small\"} 0.8333\n"));
}

} // namespace

} // namespace coltsfoottrail
