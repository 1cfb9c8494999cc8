#include "coltsfoottrail/dissemination/messages.hpp"
#include "coltsfoottrail/fleethost/host.hpp"
#include "coltsfoottrail/http/blocking.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>
#include <random>
#include <thread>

namespace coltsfoottrail {

namespace {

constexpr const char *Loopback = "127.0.0.1";
constexpr milliseconds CallTimeout{5'000};
/// With this many hosts, a failed read is followed by a pause of four seconds
/// or more.
constexpr std::uint64_t ManyHosts = 400;

/// A port that is free, below those that the system assigns to outgoing
/// connections, which could take it before it is used.
std::uint16_t freePort() {
  constexpr unsigned First = 20'000;
  constexpr unsigned Count = 10'000;
  static unsigned Drawn = std::random_device()();
  while (true) {
    const auto Port = static_cast<std::uint16_t>(First + Drawn++ % Count);
    boost::asio::io_context Context;
    boost::asio::ip::tcp::acceptor Probe(Context);
    boost::system::error_code Taken;
    Probe.open(boost::asio::ip::tcp::v4());
    Probe.bind({boost::asio::ip::make_address(Loopback), Port}, Taken);
    if (!Taken)
      return Port;
  }
}

/// A configuration with a route that only its version has.
PublishedConfig config(std::uint64_t Version) {
  PublishedConfig Result;
  Result.Version = Version;
  ServiceProfile Desk;
  Desk.Name = ServiceName("desk");
  Result.Services.push_back(Desk);
  RouteSpec Route;
  Route.Name = RouteName("only");
  Route.HostHeader = "h";
  Route.PathPrefix = "/v" + std::to_string(Version) + "/";
  Route.Services.push_back({Desk.Name, 1});
  Result.Routes.push_back(Route);
  TeamKeys Team;
  Team.Name = TeamName("team");
  Team.Credentials = {"key"};
  Result.Teams = {Team};
  return Result;
}

Awaitable<void> pause(milliseconds Span) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  Span);
  co_await Timer.async_wait(boost::asio::use_awaitable);
}

enum class Mode : std::uint8_t {
  Answers,
  Refuses,
  Hangs,
  /// The records are deleted, and the newest values do not come.
  Deleted
};

/// A store whose operators' feed holds one record for each version, at the
/// offset before it.
class ScriptedStore : public FleetStore {
public:
  std::atomic<Mode> Reads = Mode::Answers;
  std::atomic<std::uint64_t> Version = 3;
  std::atomic<int> Refused = 0;
  std::atomic<int> Expired = 0;
  std::atomic<bool> GrantsLease = false;
  std::string Upstream;

  using Answer = std::variant<FeedPage, StoreFailure>;
  Awaitable<Answer> newest(Feed Source) override { return page(Source, 0); }
  Awaitable<Answer> read(Feed Source, Offset From, milliseconds Wait) override {
    if (Reads == Mode::Deleted) {
      Expired += Source == Feed::Operators ? 1 : 0;
      co_return StoreFailure::Expired;
    }
    co_await pause(std::min(Wait, milliseconds(20)));
    co_return co_await page(Source, From);
  }
  [[nodiscard]] std::optional<DecodedRecord>
  decode(Feed, std::string_view Bytes) const override {
    return DecodedRecord{
        "config", ConfigPublished{config(std::stoull(std::string(Bytes)))}};
  }
  Awaitable<std::variant<DutyGrant, StoreFailure>>
  joinDuty(DutyRequest) override {
    co_return DutyGrant{1, GrantsLease};
  }
  Awaitable<std::variant<std::string, StoreFailure>> dutyHolder() override {
    co_return Upstream;
  }
  Awaitable<void> leaveDuty(std::string) override { co_return; }

private:
  Awaitable<Answer> page(Feed Source, Offset From) {
    if (Reads == Mode::Hangs || Reads == Mode::Deleted) {
      co_await pause(milliseconds(1'000));
      co_return StoreFailure::Unknown;
    }
    if (Reads == Mode::Refuses) {
      ++Refused;
      co_return StoreFailure::NotDone;
    }
    FeedPage Result;
    Result.From = From;
    Result.Next = Result.End = Source == Feed::Operators ? Version.load() : 7;
    if (Source == Feed::Operators && From < Result.End) {
      Result.Changes.emplace_back(ConfigPublished{config(Version)});
      Result.Records.push_back(
          {Version - 1, "config", std::to_string(Version)});
    }
    co_return Result;
  }
};

class NoEngines : public FleetEngines {
public:
  Awaitable<OrderOutcome> order(EngineAddress, EndpointName, SeatOrder,
                                std::uint64_t, const CallPolicy &) override {
    co_return OrderOutcome::NotSent;
  }
  Awaitable<bool> answers(EngineAddress, EndpointName, milliseconds) override {
    co_return false;
  }
  Awaitable<std::optional<EngineStatus>> status(EngineAddress, EndpointName,
                                                milliseconds) override {
    co_return std::nullopt;
  }
};

class PlainWire : public HeaderCodec {
public:
  [[nodiscard]] RequestMetadata
  read(const HttpRequest &Request) const override {
    RequestMetadata Result;
    Result.HostHeader = "h";
    Result.Path = Request.Target;
    Result.Credential = "key";
    return Result;
  }
  [[nodiscard]] HttpRequest forward(const HttpRequest &Request,
                                    const ForwardMetadata &) const override {
    return Request;
  }
  [[nodiscard]] ResponseMetadata
  readResponse(const HttpResponse &) const override {
    return {};
  }
  [[nodiscard]] HttpResponse
  responseHead(const HttpResponse &Response) const override {
    return Response;
  }
  void addRequiredFields(HttpResponse &, std::string_view) const override {}
};

/// A host whose store and whose upstream do what the test says; too weak to
/// compete for the coordinator lease unless the test asks for more.
class FeedsOfAHost : public ::testing::Test {
protected:
  explicit FeedsOfAHost(double ProcessorShare = 0.1)
      : UpstreamPool(1), Pool(1) {
    UpstreamServer.emplace(
        UpstreamPool, Loopback, 0, ServerLimits{},
        ServerHooks{[this](Exchange &Call) { return answer(Call); }, {}, {}});
    Store.Upstream = std::string(Loopback) + ":" +
                     std::to_string(UpstreamServer->port()) + "/upstream";
    MetricsPort = freePort();
    FleetSettings Settings;
    Settings.Host = HostName("weak");
    Settings.DataCentre = DataCentreName("z");
    Settings.Callers = Settings.Readiness = {Loopback, 0};
    PeersPort = freePort();
    Settings.Peers = {Loopback, PeersPort};
    Settings.Metrics = SocketAddress{Loopback, MetricsPort};
    Settings.ProcessorShare = ProcessorShare;
    Settings.Bounds.Configuration = Bound;
    Server.emplace(Settings, Pool, FleetLinks{Store, Engines, Wire, Endpoints});
  }
  ~FeedsOfAHost() override {
    Pool.stop();
    UpstreamPool.stop();
    UpstreamServer.reset();
    Server->close();
  }

  std::uint64_t metric(const std::string &Name) const {
    HttpRequest Request;
    Request.Target = "/metrics";
    const auto Reply =
        fetchBlocking({Loopback, MetricsPort}, Request, CallTimeout);
    const std::string &Text = std::get<HttpResponse>(Reply).Body;
    const std::size_t At = Text.find("coltsfoottrail_" + Name + " ");
    return std::stoull(Text.substr(Text.find(' ', At) + 1));
  }
  unsigned statusOf(const std::string &Path) const {
    HttpRequest Request;
    Request.Target = Path;
    const auto Reply =
        fetchBlocking({Loopback, Server->callerPort()}, Request, CallTimeout);
    return std::get<HttpResponse>(Reply).Status;
  }
  /// What the host relays to a new reporter.
  Response askAsReporter() const {
    Report Message;
    Message.Host = HostName("127.0.0.1:1/reporter");
    Message.DataCentre = DataCentreName("z");
    Message.ToRelay = true;
    Message.Missing = {Feed::Operators};
    HttpRequest Request;
    Request.Method = "POST";
    Request.Target = "/report";
    Request.Body = encode(Message);
    const auto Reply =
        fetchBlocking({Loopback, PeersPort}, Request, CallTimeout);
    return decodeResponse(std::get<HttpResponse>(Reply).Body);
  }
  template <class Condition>
  [[nodiscard]] static bool within(milliseconds Span, Condition Predicate) {
    const TimePoint Limit = BootClock::now() + Span;
    while (!Predicate()) {
      if (BootClock::now() >= Limit)
        return false;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
  }

  /// Sets what the upstream has read, and how old its reading is. Zero relays
  /// nothing.
  void relay(std::uint64_t Version, milliseconds Age) {
    RelayedVersion = Version;
    RelayedAge = Age;
  }
  /// Starts with version 3, relayed by the upstream.
  void start() {
    relay(3, milliseconds(0));
    ASSERT_TRUE(within(seconds(5), [&] {
      return metric("config_version") == 3 &&
             metric("entry_hosts") == ManyHosts;
    }));
    // The limits that are divided by the number of hosts follow.
    std::this_thread::sleep_for(milliseconds(700));
  }
  /// Ends the relaying and waits until an own read was refused.
  void failOneRead() {
    relay(0, milliseconds(0));
    Store.Reads = Mode::Refuses;
    ASSERT_TRUE(within(seconds(4), [&] { return Store.Refused >= 2; }));
    Store.Reads = Mode::Answers;
  }

  static constexpr milliseconds Bound{2'000};
  ScriptedStore Store;
  NoEngines Engines;
  TcpConnector Network;
  Dialer Endpoints{Network, 1};
  PlainWire Wire;
  std::atomic<std::uint64_t> RelayedVersion = 3;
  std::atomic<milliseconds> RelayedAge = milliseconds(0);
  std::atomic<bool> UpstreamSilent = false;
  std::atomic<bool> EndpointsOnly = false;
  /// The upstream no longer has the operators' records that the host lacks.
  std::atomic<bool> Truncated = false;
  std::atomic<bool> LeaseHeard = true;
  std::atomic<int> Relayed = 0;
  std::uint16_t MetricsPort = 0;
  std::uint16_t PeersPort = 0;
  IoPool UpstreamPool;
  IoPool Pool;
  std::optional<HttpServer> UpstreamServer;
  std::optional<FleetHost> Server;

private:
  Awaitable<void> answer(Exchange &Call) {
    const Report Received = decodeReport(Call.request().Body);
    co_await pause(milliseconds(20));
    while (UpstreamSilent)
      co_await pause(milliseconds(50));
    Response Result;
    Result.Hosts = ManyHosts;
    Result.Hold = milliseconds(30);
    Result.Coordinates = Result.CoordinatorHeard = true;
    Result.LeaseHeard = LeaseHeard;
    const std::uint64_t Version = RelayedVersion;
    if (Version > 0) {
      Result.Feeds = feeds(Received, Version);
      ++Relayed;
    }
    if (Truncated && Received.Next.contains(Feed::Operators))
      Result.Truncated.insert(Feed::Operators);
    HttpResponse Reply;
    Reply.Body = encode(Result);
    co_await Call.respond(std::move(Reply));
  }

  std::map<Feed, FeedUpdate> feeds(const Report &Received,
                                   std::uint64_t Version) const {
    std::map<Feed, FeedUpdate> Result;
    for (const Feed FeedId : {Feed::Operators, Feed::Endpoints}) {
      if ((EndpointsOnly || Truncated) && FeedId == Feed::Operators)
        continue;
      FeedUpdate Update;
      Update.Snapshot = Received.Missing.contains(FeedId);
      const auto Next = Received.Next.find(FeedId);
      if (!Update.Snapshot && Next == Received.Next.end())
        continue;
      Update.Next = FeedId == Feed::Operators ? Version : 7;
      Update.Staleness = RelayedAge;
      if (FeedId == Feed::Operators &&
          (Update.Snapshot || Next->second < Version))
        Update.Records.push_back({Version - 1, std::to_string(Version)});
      Result.emplace(FeedId, std::move(Update));
    }
    return Result;
  }
};

// Guards against a host that serves an old configuration although a newer one
// was relayed to it: the upstream is new to it, and has itself read nothing for
// longer than a reading replaces own reads.
TEST_F(FeedsOfAHost, NewerConfigurationOfAnOldReadingIsUsed) {
  start();
  Store.Reads = Mode::Hangs;
  relay(4, Bound * 3 / 4);
  EXPECT_TRUE(within(milliseconds(1'000),
                     [&] { return metric("config_version") == 4; }));
}

// Guards against callers of a new route that get 404: a read failed before the
// store was back, the upstream relayed once and fell silent, and the host waits
// for the end of the pause after its failed read.
TEST_F(FeedsOfAHost, SilentUpstreamAfterAFailedReadIsReplacedByOwnReads) {
  start();
  failOneRead();
  const int RelayedBefore = Relayed;
  relay(3, milliseconds(0));
  ASSERT_TRUE(within(seconds(1), [&] { return Relayed > RelayedBefore + 1; }));
  UpstreamSilent = true;
  Store.Version = 4;
  std::this_thread::sleep_for(Bound + milliseconds(100));
  EXPECT_NE(statusOf("/v4/"), 404U);
  EXPECT_EQ(metric("config_version"), 4U);
}

// Guards against a host without proof of its configuration for seconds: its
// upstream still answers but relays nothing recent, and is not left as long as
// the host's own last read failed.
TEST_F(FeedsOfAHost, UpstreamWithoutReadingsDoesNotProlongThePause) {
  start();
  failOneRead();
  relay(3, seconds(10));
  Store.Version = 4;
  EXPECT_TRUE(within(Bound, [&] { return metric("config_version") == 4; }));
}

// Guards against a host that gets nothing relayed for as long as its own reads
// fail: an upstream could not relay to it after a failed read, and the host no
// longer says to the next one what it knows.
TEST_F(FeedsOfAHost, HostThatFellBehindWhileReadsFailUsesWhatIsRelayedLater) {
  start();
  relay(0, milliseconds(0));
  Store.Reads = Mode::Refuses;
  ASSERT_TRUE(within(seconds(4), [&] { return Store.Refused >= 2; }));
  Truncated = true;
  std::this_thread::sleep_for(milliseconds(300));
  Truncated = false;
  relay(4, milliseconds(0));
  EXPECT_TRUE(
      within(seconds(3), [&] { return metric("config_version") == 4; }));
}

// Guards against a host that relays an old configuration as a recent one, and
// sends requests to a drained data centre: its records are deleted, and it goes
// back to the older newest values that its upstream relays.
TEST_F(FeedsOfAHost, OlderNewestValuesDoNotReplaceWhatWasRead) {
  start();
  relay(0, milliseconds(0));
  Store.Reads = Mode::Deleted;
  ASSERT_TRUE(within(seconds(4), [&] { return Store.Expired >= 1; }));
  const int RelayedBefore = Relayed;
  relay(2, Bound / 4);
  ASSERT_TRUE(within(seconds(1), [&] { return Relayed > RelayedBefore + 2; }));
  const Response Answer = askAsReporter();
  const auto Update = Answer.Feeds.find(Feed::Operators);
  EXPECT_TRUE(Update == Answer.Feeds.end() || Update->second.Next >= 3)
      << "next " << Update->second.Next << " staleness "
      << Update->second.Staleness.count();
}

// Guards against a weak host that stays without proof after it has woken: what
// is relayed from a recent reading is used at once, although own reads hang.
TEST_F(FeedsOfAHost, RecentReadingIsUsedWhileOwnReadsHang) {
  start();
  Store.Reads = Mode::Hangs;
  UpstreamSilent = true;
  std::this_thread::sleep_for(Bound);
  relay(4, Bound / 4);
  UpstreamSilent = false;
  EXPECT_TRUE(within(milliseconds(1'000),
                     [&] { return metric("config_version") == 4; }));
  EXPECT_NE(statusOf("/v4/"), 404U);
}

// Guards against a route that is answered with 404 while only the endpoints'
// feed is proved: the upstream has read on but cannot relay the configuration.
TEST_F(FeedsOfAHost,
       ConfigurationWithoutProofIsNotUsedWhileEndpointsAreRelayed) {
  start();
  failOneRead();
  Store.Reads = Mode::Hangs;
  EndpointsOnly = true;
  relay(3, milliseconds(0));
  std::this_thread::sleep_for(Bound + milliseconds(100));
  EXPECT_EQ(statusOf("/v4/"), 503U);
}

// Guards against a large fleet that refuses its callers while the store is away
// for all: a failed read of its own shows each host that it is, and the pauses
// after failed reads must not leave it without one while its credentials may
// still be trusted.
class FeedsInAnOutage : public FeedsOfAHost,
                        public ::testing::WithParamInterface<Mode> {};

TEST_P(FeedsInAnOutage, ConfigurationIsTrustedWhileTheStoreIsAway) {
  constexpr std::uint64_t TrustedFor = 4'000;
  start();
  Store.Reads = GetParam();
  relay(0, milliseconds(0));
  std::uint64_t Age = 0;
  while ((Age = metric("config_age_milliseconds")) < TrustedFor) {
    ASSERT_EQ(statusOf("/none/"), 404U) << Age << " ms";
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_TRUE(within(seconds(1), [&] { return statusOf("/none/") == 503U; }));
}

// Guards against the same where no lease is heard of any longer, as in an
// outage of the store for all hosts: nothing ends the pauses.
TEST_P(FeedsInAnOutage, ConfigurationIsTrustedWithoutALease) {
  start();
  Store.Reads = GetParam();
  relay(0, milliseconds(0));
  LeaseHeard = false;
  std::uint64_t Age = 0;
  while ((Age = metric("config_age_milliseconds")) < 4'000) {
    ASSERT_EQ(statusOf("/none/"), 404U) << Age << " ms";
    std::this_thread::sleep_for(milliseconds(10));
  }
}

INSTANTIATE_TEST_SUITE_P(Stores, FeedsInAnOutage,
                         ::testing::Values(Mode::Refuses, Mode::Hangs));

class FeedsOfACandidate : public FeedsOfAHost {
protected:
  FeedsOfACandidate() : FeedsOfAHost(1.0) {}
};

// Guards against a fleet without recent configuration although the store
// answers: a host gains the coordinator lease, no longer uses what is relayed,
// and still waits for the time until which the last relayed update postponed
// its reads.
TEST_F(FeedsOfACandidate, HostThatGainsTheLeaseReadsTheOperatorsFeedAtOnce) {
  start();
  Store.GrantsLease = true;
  Store.Version = 4;
  ASSERT_TRUE(within(seconds(2), [&] { return metric("drives_groups") == 1; }));
  EXPECT_TRUE(within(Bound / 4, [&] { return metric("config_version") == 4; }));
}

} // namespace

} // namespace coltsfoottrail
