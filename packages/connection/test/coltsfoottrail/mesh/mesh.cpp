#include "coltsfoottrail/mesh/mesh.hpp"

#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/mesh/message.hpp"
#include "coltsfoottrail/mesh/rawpeer.hpp"

#include <algorithm>
#include <condition_variable>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace coltsfoottrail {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;

const std::string Key = "a-key-of-the-mesh-with-32-letters-or-more";

/// Records messages and events of a mesh so that tests can wait for them. The
/// timeout only ends a failing test; no test asserts times.
class EventRecorder {
public:
  template <class Function> void add(Function Change) {
    {
      const std::lock_guard Lock(Mutex);
      Change();
    }
    Changed.notify_all();
  }
  template <class Function> [[nodiscard]] bool wait(Function Reached) {
    std::unique_lock Lock(Mutex);
    return Changed.wait_for(Lock, std::chrono::seconds(20), Reached);
  }

  struct Message {
    HostName From;
    Incarnation Run = 0;
    Json Body;
  };
  std::vector<Message> Messages;
  std::vector<PeerUp> Ups;
  std::vector<PeerDown> Downs;
  std::vector<PeerRefused> Refusals;

private:
  std::mutex Mutex;
  std::condition_variable Changed;
};

MeshConfig makeConfig(const char *Name, Incarnation Run) {
  MeshConfig Config;
  Config.Self = HostName(Name);
  Config.Run = Run;
  Config.Address = "127.0.0.1";
  Config.Key = Key;
  Config.Seed = Run;
  Config.Threads = 2;
  Config.Limits.FirstRedial = milliseconds(5);
  Config.Limits.MaxRedial = milliseconds(50);
  Config.Limits.DialInterval = milliseconds(5);
  Config.Limits.Linger = milliseconds(50);
  Config.Limits.PingInterval = milliseconds(200);
  Config.Limits.IdleTimeout = milliseconds(30000);
  Config.Limits.HandshakeTimeout = milliseconds(30000);
  return Config;
}

/// A mesh with a recorder of its messages and events.
class Node {
public:
  explicit Node(MeshConfig Initial)
      : Config(Initial), Transport(std::move(Initial)) {
    for (std::size_t Index = 0; Index < ChannelCount; ++Index)
      Transport.onMessage(
          static_cast<Channel>(Index),
          [this](const HostName &From, Incarnation Run, const Json &Body) {
            Recorded.add([&] {
              Recorded.Messages.push_back({From, Run, Body});
            });
          });
    Transport.onPeer([this](const PeerEvent &Event) {
      Recorded.add([&] { std::visit(*this, Event); });
    });
    Config.Port = Transport.start();
  }

  void operator()(const PeerUp &Event) { Recorded.Ups.push_back(Event); }
  void operator()(const PeerDown &Event) { Recorded.Downs.push_back(Event); }
  void operator()(const PeerRefused &Event) {
    Recorded.Refusals.push_back(Event);
  }

  [[nodiscard]] MeshPeer peer() const {
    return {Config.Self, Config.Run, "127.0.0.1", Config.Port};
  }
  [[nodiscard]] MeshSeed seedAddress() const {
    return {"127.0.0.1", Config.Port};
  }
  [[nodiscard]] const HostName &name() const { return Config.Self; }

  [[nodiscard]] bool isConnectedTo(const Node &Other) {
    return Recorded.wait([&] {
      return std::any_of(
          Recorded.Ups.begin(), Recorded.Ups.end(), [&](const PeerUp &Up) {
            return Up.Host == Other.Config.Self && Up.Run == Other.Config.Run;
          });
    });
  }
  [[nodiscard]] bool refusedFor(PeerRefusal Refusal) {
    return Recorded.wait([&] {
      return std::any_of(
          Recorded.Refusals.begin(), Recorded.Refusals.end(),
          [&](const PeerRefused &Event) { return Event.Why == Refusal; });
    });
  }
  [[nodiscard]] bool receivedAtLeast(std::size_t Count) {
    return Recorded.wait([&] { return Recorded.Messages.size() >= Count; });
  }
  void setPeers(const std::vector<MeshPeer> &Peers) {
    Transport.setPeers(Peers);
  }
  void setSeeds(const std::vector<MeshSeed> &Seeds) {
    Transport.setSeeds(Seeds);
  }

  MeshConfig Config;
  EventRecorder Recorded;
  Mesh Transport;
};

internal::PeerHello makeHello(const char *Name, Incarnation Run) {
  return {HostName(Name), Run, {1, 1}, internal::makeNonce()};
}

TEST(Mesh, TwoHostsExchangeMessagesOverOneConnection) {
  Node One(makeConfig("one", 1));
  Node Two(makeConfig("two", 2));
  const std::vector<MeshPeer> All = {One.peer(), Two.peer()};
  One.setPeers(All);
  Two.setPeers(All);
  ASSERT_TRUE(One.isConnectedTo(Two));
  ASSERT_TRUE(Two.isConnectedTo(One));
  EXPECT_TRUE(
      One.Transport.send(Two.name(), Channel::Records, Json{{"at", 7}}));
  EXPECT_EQ(Two.Transport.broadcast(Channel::Credits, Json{{"credit", 3}}), 1U);
  ASSERT_TRUE(Two.receivedAtLeast(1));
  ASSERT_TRUE(One.receivedAtLeast(1));
  EXPECT_EQ(Two.Recorded.Messages[0].From, One.name());
  EXPECT_EQ(Two.Recorded.Messages[0].Run, 1U);
  EXPECT_EQ(Two.Recorded.Messages[0].Body.at("at"), 7);
  EXPECT_EQ(One.Recorded.Messages[0].Body.at("credit"), 3);
  EXPECT_THAT(One.Transport.connected(), ElementsAre(Two.name()));
  const MeshCounters Counted = Two.Transport.counters();
  const auto &Records =
      Counted.Channels[static_cast<std::size_t>(Channel::Records)];
  EXPECT_EQ(Records.MessagesIn, 1U);
  EXPECT_GT(Records.BytesIn, 0U);
  EXPECT_EQ(Counted.Connected, 1U);
}

TEST(Mesh, SendToAHostThatIsNotConnectedFails) {
  Node One(makeConfig("one", 1));
  EXPECT_FALSE(One.Transport.send(HostName("two"), Channel::Credits, Json(1)));
  EXPECT_EQ(One.Transport.broadcast(Channel::Credits, Json(1)), 0U);
}

// Guards against dropped messages to hosts that are not neighbours.
TEST(Mesh, ConnectsOnDemandAndClosesWhenUnused) {
  MeshConfig Config = makeConfig("one", 1);
  Config.Limits.UnusedAfter = milliseconds(300);
  Node One(Config);
  Node Two(makeConfig("two", 2));
  MeshPeer OnDemand = Two.peer();
  OnDemand.Neighbour = false;
  One.setPeers({OnDemand});
  EXPECT_TRUE(One.Transport.send(Two.name(), Channel::Claims, Json(1)));
  EXPECT_TRUE(One.Transport.send(Two.name(), Channel::Claims, Json(2)));
  ASSERT_TRUE(Two.receivedAtLeast(2));
  EXPECT_EQ(Two.Recorded.Messages[0].Body, Json(1));
  EXPECT_EQ(Two.Recorded.Messages[1].Body, Json(2));
  EXPECT_TRUE(Two.Transport.send(One.name(), Channel::Claims, Json(3)));
  ASSERT_TRUE(One.receivedAtLeast(1));
  ASSERT_TRUE(
      One.Recorded.wait([&] { return One.Recorded.Downs.size() == 1; }));
  EXPECT_TRUE(One.Transport.send(Two.name(), Channel::Claims, Json(4)));
  EXPECT_TRUE(Two.receivedAtLeast(3));
}

// Guards against queueing messages indefinitely for an unreachable host.
TEST(Mesh, DropsMessagesForAHostThatCannotBeReached) {
  Node One(makeConfig("one", 1));
  MeshPeer Unreachable;
  {
    Node Two(makeConfig("two", 2));
    Unreachable = Two.peer();
  }
  Unreachable.Neighbour = false;
  One.setPeers({Unreachable});
  EXPECT_TRUE(One.Transport.send(Unreachable.Host, Channel::Claims, Json(1)));
  const auto Dropped = [&] {
    return One.Transport.counters()
        .Channels[static_cast<std::size_t>(Channel::Claims)]
        .Dropped;
  };
  for (int Poll = 0; Poll < 4'000 && Dropped() == 0; ++Poll)
    std::this_thread::sleep_for(milliseconds(5));
  EXPECT_EQ(Dropped(), 1U);
  EXPECT_EQ(One.Transport.counters().QueuedBytes, 0U);
}

// A new entry host knows only seed addresses: it must join the mesh through
// them and skip its own address in the list.
TEST(Mesh, JoinsThroughASeedAddress) {
  Node One(makeConfig("one", 1));
  Node Two(makeConfig("two", 2));
  Two.setSeeds({Two.seedAddress(), One.seedAddress()});
  ASSERT_TRUE(Two.isConnectedTo(One));
  ASSERT_TRUE(One.isConnectedTo(Two));
  ASSERT_TRUE(Two.refusedFor(PeerRefusal::Self));
  EXPECT_TRUE(One.Transport.send(Two.name(), Channel::Heartbeat, Json(1)));
  EXPECT_TRUE(Two.receivedAtLeast(1));
}

TEST(Mesh, MessagesOfAChannelKeepTheirOrder) {
  Node One(makeConfig("one", 1));
  Node Two(makeConfig("two", 2));
  One.setPeers({Two.peer()});
  ASSERT_TRUE(One.isConnectedTo(Two));
  constexpr std::size_t Count = 2000;
  for (std::size_t Number = 0; Number < Count; ++Number)
    ASSERT_TRUE(One.Transport.send(Two.name(), Channel::Records, Json(Number)));
  ASSERT_TRUE(Two.receivedAtLeast(Count));
  for (std::size_t Number = 0; Number < Count; ++Number)
    EXPECT_EQ(Two.Recorded.Messages[Number].Body, Json(Number));
}

// A host is configured with a different key: its messages must not be
// delivered, and both ends must report why they are not connected.
TEST(Mesh, WrongKeyIsRefusedAndBothEndsReportIt) {
  Node One(makeConfig("one", 1));
  MeshConfig Config = makeConfig("two", 2);
  Config.Key = "another-key-that-has-32-letters-or-more";
  Node Two(Config);
  One.setPeers({Two.peer()});
  ASSERT_TRUE(Two.refusedFor(PeerRefusal::Key));
  ASSERT_TRUE(One.refusedFor(PeerRefusal::ByPeer));
  EXPECT_EQ(One.Recorded.Refusals[0].Detail, "key");
  EXPECT_TRUE(One.Transport.connected().empty());
  EXPECT_TRUE(Two.Transport.connected().empty());
}

// A host supports only later protocol versions: it must be refused with a
// reason instead of having its messages misinterpreted.
TEST(Mesh, UnknownProtocolVersionIsRefused) {
  Node One(makeConfig("one", 1));
  MeshConfig Config = makeConfig("two", 2);
  Config.LowestVersion = 7;
  Config.HighestVersion = 9;
  Node Two(Config);
  Two.setPeers({One.peer()});
  ASSERT_TRUE(One.refusedFor(PeerRefusal::Version));
  ASSERT_TRUE(Two.refusedFor(PeerRefusal::ByPeer));
  EXPECT_EQ(Two.Recorded.Refusals[0].Detail, "version");
}

TEST(Mesh, HostsWithACommonVersionConnect) {
  Node One(makeConfig("one", 1));
  MeshConfig Config = makeConfig("two", 2);
  Config.HighestVersion = 9;
  Node Two(Config);
  Two.setPeers({One.peer()});
  EXPECT_TRUE(One.isConnectedTo(Two));
}

// Guards against misdelivery: a different host now uses the address of a
// replaced one and must not receive the messages for it.
TEST(Mesh, DifferentHostAtTheAddressIsRefused) {
  Node One(makeConfig("one", 1));
  Node Two(makeConfig("two", 2));
  MeshPeer WrongName = Two.peer();
  WrongName.Host = HostName("three");
  One.setPeers({WrongName});
  ASSERT_TRUE(One.refusedFor(PeerRefusal::OtherHost));
  EXPECT_FALSE(
      One.Transport.send(HostName("three"), Channel::Credits, Json(1)));
}

TEST(Mesh, InvalidAddressDoesNotAffectOtherPeers) {
  Node One(makeConfig("one", 1));
  Node Two(makeConfig("two", 2));
  One.setPeers({{HostName("bad"), 9, "no-number", 1}, Two.peer()});
  EXPECT_TRUE(One.isConnectedTo(Two));
}

// A process restarts under the same host name at another port: its peers must
// detect the loss, and connect to the new run once the agreed state lists it.
TEST(Mesh, RestartedPeerIsConnectedAgain) {
  Node One(makeConfig("one", 1));
  auto Two = std::make_unique<Node>(makeConfig("two", 2));
  One.setPeers({Two->peer()});
  ASSERT_TRUE(One.isConnectedTo(*Two));
  Two.reset();
  ASSERT_TRUE(
      One.Recorded.wait([&] { return One.Recorded.Downs.size() == 1; }));
  EXPECT_THAT(One.Recorded.Downs[0].Why, HasSubstr("stops"));
  Node Restarted(makeConfig("two", 3));
  One.setPeers({Restarted.peer()});
  ASSERT_TRUE(One.isConnectedTo(Restarted));
  EXPECT_TRUE(One.Transport.send(Restarted.name(), Channel::Notices, Json(1)));
  EXPECT_TRUE(Restarted.receivedAtLeast(1));
}

// A connection is lost while the agreed state stays the same: it must be opened
// again.
TEST(Mesh, LostConnectionIsDialledAgain) {
  Node One(makeConfig("one", 1));
  std::uint16_t Port = 0;
  {
    Node Two(makeConfig("two", 2));
    Port = Two.Config.Port;
    One.setPeers({Two.peer()});
    ASSERT_TRUE(One.isConnectedTo(Two));
  }
  MeshConfig SameAddress = makeConfig("two", 2);
  SameAddress.Port = Port;
  const Node Second(SameAddress);
  EXPECT_TRUE(One.Recorded.wait([&] { return One.Recorded.Ups.size() == 2; }));
}

// Guards against stale messages: a paused process is replaced by a new run of
// the same host and then resumes; its messages must not be delivered as those
// of the new run.
TEST(Mesh, LateMessagesOfARetiredRunAreNotDelivered) {
  Node One(makeConfig("one", 1));
  RawPeer Old(One.Config.Port, makeHello("two", 2), Key);
  ASSERT_TRUE(Old.authenticate());
  Old.send(internal::encodeMessage(Channel::Credits, "early"));
  ASSERT_TRUE(One.receivedAtLeast(1));
  EXPECT_EQ(One.Recorded.Messages[0].Run, 2U);
  Node New(makeConfig("two", 3));
  One.setPeers({New.peer()});
  ASSERT_TRUE(One.isConnectedTo(New));
  Old.send(internal::encodeMessage(Channel::Credits, "late"));
  Old.readToEnd();
  RawPeer Second(One.Config.Port, makeHello("two", 2), Key);
  (void)Second.authenticate();
  Second.readToEnd();
  EXPECT_EQ(Second.CloseReason, "retired-run");
  ASSERT_TRUE(New.Transport.send(One.name(), Channel::Credits, "new"));
  ASSERT_TRUE(One.receivedAtLeast(2));
  EXPECT_EQ(One.Recorded.Messages[1].Run, 3U);
  EXPECT_EQ(One.Recorded.Messages[1].Body, "new");
  EXPECT_TRUE(One.Recorded.wait([&] { return !One.Recorded.Downs.empty(); }));
  EXPECT_EQ(One.Recorded.Downs[0].Run, 2U);
}

TEST(Mesh, TooLargeMessageIsNotSentAndDisconnectsItsSender) {
  MeshConfig Config = makeConfig("one", 1);
  Config.Limits.MaxMessageBytes = 1000;
  Node One(Config);
  RawPeer Two(One.Config.Port, makeHello("two", 2), Key);
  ASSERT_TRUE(Two.authenticate());
  ASSERT_TRUE(One.Recorded.wait([&] { return !One.Recorded.Ups.empty(); }));
  const std::string Large(2000, 'x');
  EXPECT_FALSE(One.Transport.send(HostName("two"), Channel::Forward, Large));
  Two.send(internal::encodeMessage(Channel::Forward, Large));
  Two.readToEnd();
  EXPECT_EQ(Two.CloseCode, 1009);
  EXPECT_TRUE(One.Recorded.wait([&] { return !One.Recorded.Downs.empty(); }));
  EXPECT_TRUE(One.Recorded.Messages.empty());
}

// An unauthenticated client sends large or regular messages before the
// handshake: none of them may be buffered or delivered.
TEST(Mesh, UnauthenticatedClientMaySendOnlySmallHandshakeMessages) {
  Node One(makeConfig("one", 1));
  RawPeer Unknown(One.Config.Port, makeHello("two", 2), Key);
  Unknown.send(std::string(5000, 'x'));
  Unknown.readToEnd();
  EXPECT_EQ(Unknown.CloseCode, 1009);
  RawPeer Another(One.Config.Port, makeHello("two", 2), Key);
  Another.send(internal::encodeMessage(Channel::Records, Json(1)));
  Another.readToEnd();
  EXPECT_EQ(Another.CloseReason, "malformed");
  EXPECT_TRUE(One.Recorded.Messages.empty());
}

// A port scanner or a client of another protocol connects to the mesh's port.
TEST(Mesh, OtherProtocolsAreDisconnected) {
  Node One(makeConfig("one", 1));
  boost::asio::io_context Io;
  for (const std::string &Bytes :
       {std::string("\x16\x03\x01\x02\0\x01\0 no HTTP\r\n\r\n", 18),
        std::string("GET / HTTP/1.1\r\nHost: mesh\r\n\r\n"),
        "GET /mesh HTTP/1.1\r\nX: " + std::string(100000, 'x')}) {
    boost::asio::ip::tcp::socket Socket(Io);
    Socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), One.Config.Port});
    boost::system::error_code Problem;
    boost::asio::write(Socket, boost::asio::buffer(Bytes), Problem);
    std::array<char, 4096> Buffer{};
    while (!Problem)
      (void)Socket.read_some(boost::asio::buffer(Buffer), Problem);
  }
  RawPeer Two(One.Config.Port, makeHello("two", 2), Key);
  EXPECT_TRUE(Two.authenticate());
  EXPECT_TRUE(One.Recorded.Messages.empty());
}

TEST(Mesh, UnauthenticatedConnectionsAreBoundedAndTimeOut) {
  MeshConfig Config = makeConfig("one", 1);
  Config.Limits.MaxUnauthenticated = 1;
  Config.Limits.HandshakeTimeout = milliseconds(50);
  Node One(Config);
  RawPeer Silent(One.Config.Port, makeHello("two", 2), Key);
  Silent.readToEnd();
  ASSERT_TRUE(One.refusedFor(PeerRefusal::Timeout));
  Config.Limits.HandshakeTimeout = milliseconds(30000);
  Node Three(Config);
  RawPeer First(Three.Config.Port, makeHello("two", 2), Key);
  RawPeer Second(Three.Config.Port, makeHello("two", 2), Key);
  Second.readToEnd();
  EXPECT_TRUE(Second.Closed);
  EXPECT_EQ(Three.Transport.counters().RefusedConnections, 1U);
  EXPECT_TRUE(First.authenticate());
}

// Guards against running out of memory: a peer stops reading while its
// connection stays open. Its send queue must be bounded, and send() must report
// a full queue.
TEST(Mesh, QueueForAPeerThatDoesNotReadIsBounded) {
  MeshConfig Config = makeConfig("one", 1);
  Config.Limits.MaxQueuedBytes = 1 << 20U;
  Node One(Config);
  RawPeer Two(One.Config.Port, makeHello("two", 2), Key);
  ASSERT_TRUE(Two.authenticate());
  ASSERT_TRUE(One.Recorded.wait([&] { return !One.Recorded.Ups.empty(); }));
  const std::string Payload(16384, 'x');
  constexpr int MaxParts = 4096;
  int Taken = 0;
  while (Taken < MaxParts &&
         One.Transport.send(HostName("two"), Channel::Forward, Payload))
    ++Taken;
  EXPECT_LT(Taken, MaxParts);
  EXPECT_LE(One.Transport.counters().QueuedBytes, Config.Limits.MaxQueuedBytes);
  EXPECT_TRUE(One.Transport.send(HostName("two"), Channel::Credits, Json(1)));
  for (int Number = 0; Number < 100; ++Number)
    EXPECT_TRUE(
        One.Transport.send(HostName("two"), Channel::Heartbeat, Payload));
  EXPECT_LE(One.Transport.counters().QueuedBytes, Config.Limits.MaxQueuedBytes);
}

TEST(Mesh, ConnectionWithoutDataIsClosed) {
  MeshConfig Config = makeConfig("one", 1);
  Config.Limits.PingInterval = milliseconds(20);
  Config.Limits.IdleTimeout = milliseconds(100);
  Node One(Config);
  RawPeer Paused(One.Config.Port, makeHello("two", 2), Key);
  ASSERT_TRUE(Paused.authenticate());
  ASSERT_TRUE(
      One.Recorded.wait([&] { return One.Recorded.Downs.size() == 1; }));
  EXPECT_THAT(One.Recorded.Downs[0].Why, HasSubstr("no data received"));
}

// A peer with a later release sends unknown channels and fields: they must be
// ignored without closing the connection.
TEST(Mesh, UnknownChannelsAndFieldsAreIgnored) {
  Node One(makeConfig("one", 1));
  RawPeer Two(One.Config.Port, makeHello("two", 2), Key);
  ASSERT_TRUE(Two.authenticate());
  std::string Message;
  Json::to_cbor(Json{{"c", 200}, {"b", 1}}, Message);
  Two.send(Message);
  Two.send("no CBOR at all");
  Message.clear();
  Json::to_cbor(Json{{"c", 1}, {"b", "known"}, {"newer", 2}}, Message);
  Two.send(Message);
  ASSERT_TRUE(One.receivedAtLeast(1));
  EXPECT_EQ(One.Recorded.Messages[0].Body, "known");
  EXPECT_EQ(One.Transport.counters().UnknownChannel, 1U);
  EXPECT_EQ(One.Transport.counters().Malformed, 1U);
}

TEST(Mesh, ExceptionFromAHandlerDoesNotCloseTheConnection) {
  MeshConfig Config = makeConfig("one", 1);
  EventRecorder Recorded;
  int Count = 0;
  Mesh Transport(Config);
  Transport.onMessage(
      Channel::Credits,
      [](const HostName &, Incarnation, const Json &) { throw Error("no"); });
  Transport.onMessage(Channel::Claims,
                      [&](const HostName &, Incarnation, const Json &) {
                        Recorded.add([&] { ++Count; });
                      });
  RawPeer Two(Transport.start(), makeHello("two", 2), Key);
  ASSERT_TRUE(Two.authenticate());
  Two.send(internal::encodeMessage(Channel::Credits, Json(1)));
  Two.send(internal::encodeMessage(Channel::Claims, Json(1)));
  EXPECT_TRUE(Recorded.wait([&] { return Count == 1; }));
  EXPECT_EQ(Transport.counters().HandlerFailures, 1U);
}

TEST(Mesh, ListenErrorNamesTheOccupiedPort) {
  const Node One(makeConfig("one", 1));
  MeshConfig Config = makeConfig("two", 2);
  Config.Port = One.Config.Port;
  Mesh Two(Config);
  try {
    (void)Two.start();
    FAIL();
  } catch (const ListenError &Problem) {
    EXPECT_THAT(Problem.what(),
                HasSubstr("127.0.0.1:" + std::to_string(One.Config.Port) +
                          ": Address already in use"));
  }
}

// Many hosts start at the same time and dial each other: each pair must end up
// with one connection, and no message sent meanwhile may be rejected or lost.
// Guards against a sender that still refers to the queue of a connection that
// was just replaced.
TEST(Mesh, HostsThatDialEachOtherAtOnceKeepOneConnection) {
  constexpr std::size_t Count = 6;
  const std::array<const char *, Count> Names = {"a", "b", "c", "d", "e", "f"};
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<MeshPeer> Peers;
  std::vector<MeshSeed> Seeds;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Nodes.push_back(
        std::make_unique<Node>(makeConfig(Names.at(Index), Index + 1)));
    Peers.push_back(Nodes.back()->peer());
    Seeds.push_back(Nodes.back()->seedAddress());
  }
  for (const auto &Current : Nodes) {
    Current->setSeeds(Seeds);
    Current->setPeers(Peers);
  }
  for (const auto &Current : Nodes)
    for (const auto &Other : Nodes)
      ASSERT_TRUE(Current == Other || Current->isConnectedTo(*Other));
  for (const auto &Current : Nodes) {
    EXPECT_EQ(Current->Transport.connected().size(), Count - 1);
    EXPECT_EQ(
        Current->Transport.broadcast(Channel::Notices, Current->name().Text),
        Count - 1);
  }
  for (const auto &Current : Nodes)
    EXPECT_TRUE(Current->receivedAtLeast(Count - 1));
  for (const auto &Current : Nodes)
    for (const PeerDown &Down : Current->Recorded.Downs)
      ADD_FAILURE() << Current->name().Text << " lost " << Down.Host.Text
                    << ": " << Down.Why;
}

} // namespace
} // namespace coltsfoottrail
