#include "coltsfoottrail/reach/forwarding.hpp"

#include "coltsfoottrail/http/blocking.hpp"
#include "coltsfoottrail/http/client.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace coltsfoottrail::test {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using CallOutcome = std::variant<HttpResponse, CallFailure>;

/// Refuses connections to one port.
class RefusingConnector final : public Connector {
public:
  explicit RefusingConnector(std::uint16_t RefusedPort) : Port(RefusedPort) {}
  [[nodiscard]] Awaitable<boost::system::error_code>
  connect(boost::beast::tcp_stream &Stream, const EngineAddress &Target,
          milliseconds Timeout) override {
    if (Target.Port == Port)
      co_return asio::error::connection_refused;
    TcpConnector Network;
    const auto Problem = co_await Network.connect(Stream, Target, Timeout);
    co_return Problem;
  }

private:
  std::uint16_t Port;
};

/// An endpoint that sends fixed bytes for each connection and closes it.
class RawEndpoint {
public:
  explicit RawEndpoint(std::string Response)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Bytes(std::move(Response)), Server([this] { run(); }) {}
  ~RawEndpoint() {
    Stopped = true;
    Tcp::socket Wake(Context);
    Wake.connect(Acceptor.local_endpoint());
    Server.join();
  }
  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }
  /// Sets whether connections are reset after the bytes.
  void resetAfter(bool Enabled) { Resets = Enabled; }

private:
  void run() {
    while (true) {
      Tcp::socket Peer = Acceptor.accept();
      if (Stopped)
        return;
      std::array<char, 1024> Request{};
      boost::system::error_code Ignored;
      Peer.read_some(asio::buffer(Request), Ignored);
      asio::write(Peer, asio::buffer(Bytes), Ignored);
      if (Resets) {
        std::this_thread::sleep_for(milliseconds(50));
        Peer.set_option(asio::socket_base::linger(true, 0), Ignored);
      }
    }
  }

  asio::io_context Context;
  Tcp::acceptor Acceptor;
  std::string Bytes;
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Resets{false};
  std::thread Server;
};

/// One host forwards; another is cut off from the endpoint.
class Forwarding : public ::testing::Test {
protected:
  void start(std::uint16_t EndpointPort) {
    Endpoint = {"127.0.0.1", EndpointPort};
    const std::vector<ReachableEndpoint> Known{{Endpoint, DataCentreName("a")}};
    NearDialer.reach().setEndpoints(Known);
    Server.emplace(
        Pool, "127.0.0.1", 0, ServerLimits{},
        ServerHooks{
            [this](Exchange &Call) { return Service.serve(Call); }, {}, {}});
    FarNetwork.emplace(EndpointPort);
    FarDialer.emplace(*FarNetwork, 2);
    FarDialer->reach().setEndpoints(Known);
    const std::vector<Forwarder> Hosts{
        {{"127.0.0.1", Server->port()}, DataCentreName("a")}};
    FarDialer->reach().addForwarders(Hosts, BootClock::now());
    Client.emplace(Pool.context(0), ClientOptions{}, &*FarDialer);
  }
  ~Forwarding() override {
    Pool.stop();
    if (Client)
      Client->closeIdle();
    Client.reset();
    Server.reset();
    Pool.clear();
  }

  CallOutcome fetch() {
    HttpRequest Request;
    return asio::co_spawn(Pool.context(0),
                          Client->fetch(Endpoint, std::move(Request),
                                        BootClock::now() + seconds(5)),
                          asio::use_future)
        .get();
  }

  IoPool Pool{1};
  EngineAddress Endpoint;
  TcpConnector NearNetwork;
  Dialer NearDialer{NearNetwork, 1};
  ForwardingService Service{NearDialer};
  std::optional<RefusingConnector> FarNetwork;
  std::optional<Dialer> FarDialer;
  std::optional<HttpServer> Server;
  std::optional<HttpClient> Client;
};

TEST_F(Forwarding, RequestReachesTheEndpointThroughAnotherHost) {
  RawEndpoint Remote("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
  start(Remote.port());
  const CallOutcome Outcome = fetch();
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(Outcome));
  EXPECT_EQ(std::get<HttpResponse>(Outcome).Body, "done");
  EXPECT_EQ(Service.total(), 1U);
  EXPECT_EQ(Client->idle(), 0U);
}

// Guards against taking a truncated response for a complete one when the host
// that forwards it dies.
TEST_F(Forwarding, ResponseThatEndsWithItsConnectionIsIncomplete) {
  RawEndpoint Remote("HTTP/1.1 200 OK\r\n\r\ndone");
  start(Remote.port());
  const CallOutcome Outcome = fetch();
  ASSERT_TRUE(std::holds_alternative<CallFailure>(Outcome));
  EXPECT_EQ(std::get<CallFailure>(Outcome).State, RunState::MayHaveRun);
}

TEST_F(Forwarding, ResetOfTheEndpointIsPassedOn) {
  RawEndpoint Remote("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  Remote.resetAfter(true);
  start(Remote.port());
  const CallOutcome Outcome = fetch();
  ASSERT_TRUE(std::holds_alternative<CallFailure>(Outcome));
  EXPECT_TRUE(std::get<CallFailure>(Outcome).ConnectionLost);
}

// Guards against forwarding to any address that another host names.
TEST_F(Forwarding, AddressOfNoEndpointIsRefused) {
  RawEndpoint Remote("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
  start(Remote.port());
  NearDialer.reach().setEndpoints({});
  const CallOutcome Outcome = fetch();
  ASSERT_TRUE(std::holds_alternative<CallFailure>(Outcome));
  EXPECT_EQ(std::get<CallFailure>(Outcome).State, RunState::NotRun);
  EXPECT_EQ(Service.total(), 0U);
}

TEST_F(Forwarding, HostThatStopsForwardsNoNewConnection) {
  RawEndpoint Remote("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
  start(Remote.port());
  Service.stop();
  EXPECT_TRUE(std::holds_alternative<CallFailure>(fetch()));
}

} // namespace

} // namespace coltsfoottrail::test
