#include "coltsfoottrail/mesh/mesh.hpp"

#include "coltsfoottrail/mesh/link.hpp"
#include "coltsfoottrail/mesh/message.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <mutex>
#include <shared_mutex>
#include <thread>
#include <unordered_map>

namespace coltsfoottrail {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using internal::Admission;
using internal::Handshake;
using internal::Link;
using internal::LinkId;
using internal::LinkSetup;
using internal::QueuedMessage;
using internal::Strand;
using internal::Tcp;

constexpr milliseconds AcceptPause{100};

struct AtomicCounters {
  std::atomic<std::uint64_t> MessagesOut = 0;
  std::atomic<std::uint64_t> BytesOut = 0;
  std::atomic<std::uint64_t> MessagesIn = 0;
  std::atomic<std::uint64_t> BytesIn = 0;
  std::atomic<std::uint64_t> Dropped = 0;
};

internal::DialPolicy dialPolicy(const MeshLimits &Limits) {
  internal::DialPolicy Policy;
  Policy.FirstDelay = Limits.FirstRedial;
  Policy.MaxDelay = Limits.MaxRedial;
  Policy.UnusedAfter = Limits.UnusedAfter;
  return Policy;
}

} // namespace

class Mesh::State final : public internal::LinkOwner {
public:
  explicit State(MeshConfig InitialConfig)
      : Config(std::move(InitialConfig)), Work(asio::make_work_guard(Io)),
        Events(asio::make_strand(Io)), Control(asio::make_strand(Io)),
        Acceptor(Control), DialTimer(Control), AcceptTimer(Control),
        Table(Config.Self, dialPolicy(Config.Limits), Config.Seed) {}

  std::uint16_t start();
  void stop();
  void setPeers(std::span<const MeshPeer> Peers);
  void setSeeds(std::span<const MeshSeed> Seeds);
  bool send(const HostName &Host, Channel ChannelId, Json Body);
  std::size_t broadcast(Channel ChannelId, Json Body);
  [[nodiscard]] std::vector<HostName> connected() const;
  [[nodiscard]] MeshCounters counters() const;

  std::optional<PeerRefusal> onAuthenticated(Link &Connection) override;
  void onReceived(Link &Connection, std::string_view Message) override;
  void onEnded(Link &Connection, std::optional<PeerRefusal> Refused,
               const std::string &Reason) override;

  std::array<MessageHandler, ChannelCount> Handlers;
  PeerHandler OnPeer;

private:
  using Slots = SlotMap<std::shared_ptr<Link>, LinkId>;

  void listen();
  void accept();
  void accepted(Tcp::socket Socket, Strand LinkStrand);
  void dialDue();
  void dial(const internal::DialTarget &Target);
  [[nodiscard]] std::shared_ptr<Link>
  makeLink(Tcp::socket Socket, Strand LinkStrand,
           std::optional<internal::DialTarget> Dialled);
  [[nodiscard]] std::optional<PeerRefusal>
  decide(Link &Connection, std::vector<PeerEvent> &NewEvents);
  void cutLink(LinkId Id, const std::string &Reason,
               std::vector<PeerEvent> &NewEvents);
  void publishEvents(std::vector<PeerEvent> NewEvents);
  [[nodiscard]] bool enqueuePending(const HostName &Host, Channel ChannelId,
                                    const internal::EncodedMessage &Bytes);
  void dropUnreachable(TimePoint Now);
  void closeUnused(TimePoint Now, std::vector<PeerEvent> &NewEvents);
  void discardQueue(internal::Outbox &Queue);
  [[nodiscard]] bool push(Link &Connection, Channel ChannelId,
                          const internal::EncodedMessage &Bytes);
  [[nodiscard]] bool enqueue(internal::Outbox &Queue, Channel ChannelId,
                             const internal::EncodedMessage &Bytes);
  [[nodiscard]] internal::EncodedMessage encode(Channel ChannelId, Json Body);
  AtomicCounters &countersFor(Channel ChannelId) {
    return Counters[static_cast<std::size_t>(ChannelId)];
  }

  MeshConfig Config;
  std::atomic<std::size_t> QueuedBytes = 0;
  std::array<AtomicCounters, ChannelCount> Counters;
  std::atomic<std::uint64_t> UnknownChannel = 0;
  std::atomic<std::uint64_t> Malformed = 0;
  std::atomic<std::uint64_t> FromRetiredRun = 0;
  std::atomic<std::uint64_t> HandlerFailures = 0;
  std::atomic<std::uint64_t> RefusedConnections = 0;

  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  Strand Events;
  Strand Control;
  Tcp::acceptor Acceptor;
  asio::steady_timer DialTimer;
  asio::steady_timer AcceptTimer;
  std::vector<std::thread> Threads;

  std::mutex Mutex;
  std::condition_variable LinksGone;
  internal::PeerTable Table;
  Slots Links;
  std::size_t Unauthenticated = 0;
  bool Stopping = false;

  mutable std::shared_mutex ActiveMutex;
  std::unordered_map<HostName, std::shared_ptr<Link>> Active;
  /// Messages for hosts whose connection is being opened.
  std::unordered_map<HostName, internal::Outbox> Pending;
};

std::uint16_t Mesh::State::start() {
  listen();
  const std::uint16_t Port = Acceptor.local_endpoint().port();
  asio::post(Control, [this] {
    accept();
    dialDue();
  });
  for (std::size_t Index = 0; Index < Config.Threads; ++Index)
    Threads.emplace_back([this] { Io.run(); });
  return Port;
}

void Mesh::State::listen() {
  try {
    const Tcp::endpoint ListenEndpoint(asio::ip::make_address(Config.Address),
                                       Config.Port);
    Acceptor.open(ListenEndpoint.protocol());
    Acceptor.set_option(Tcp::acceptor::reuse_address(true));
    Acceptor.bind(ListenEndpoint);
    Acceptor.listen();
  } catch (const boost::system::system_error &Problem) {
    throw ListenError("cannot listen for entry hosts on " + Config.Address +
                      ":" + std::to_string(Config.Port) + ": " +
                      Problem.code().message());
  }
}

void Mesh::State::stop() {
  if (Threads.empty())
    return;
  asio::post(Control, [this] {
    error_code Ignored;
    Acceptor.close(Ignored);
    DialTimer.cancel();
    AcceptTimer.cancel();
  });
  {
    std::unique_lock Lock(Mutex);
    Stopping = true;
    Links.each([](LinkId, const std::shared_ptr<Link> &Connection) {
      Connection->cut("the other end stops");
    });
    LinksGone.wait_for(Lock, 2 * Config.Limits.CloseTimeout,
                       [this] { return Links.size() == 0; });
  }
  Work.reset();
  Io.stop();
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
  const std::unique_lock Lock(ActiveMutex);
  Active.clear();
}

void Mesh::State::accept() {
  Strand LinkStrand = asio::make_strand(Io);
  Acceptor.async_accept(
      LinkStrand,
      asio::bind_executor(Control, [this, LinkStrand](error_code Problem,
                                                      Tcp::socket Socket) {
        if (Problem == asio::error::operation_aborted || !Acceptor.is_open())
          return;
        if (!Problem) {
          accepted(std::move(Socket), LinkStrand);
          return accept();
        }
        // Typically out of file descriptors: without a pause the loop would use
        // a whole core until one is free.
        AcceptTimer.expires_after(AcceptPause);
        AcceptTimer.async_wait([this](error_code Cancelled) {
          if (!Cancelled && Acceptor.is_open())
            accept();
        });
      }));
}

std::shared_ptr<Link>
Mesh::State::makeLink(Tcp::socket Socket, Strand LinkStrand,
                      std::optional<internal::DialTarget> Dialled) {
  LinkSetup Setup;
  Setup.LocalEnd = Dialled ? Handshake::End::Dialler : Handshake::End::Listener;
  Setup.Self = {Config.Self,
                Config.Run,
                {Config.LowestVersion, Config.HighestVersion},
                internal::makeNonce()};
  Setup.Key = Config.Key;
  Setup.Limits = Config.Limits;
  Setup.Dialled = std::move(Dialled);
  Setup.Bounds = {Config.Limits.MaxQueuedMessages,
                  Config.Limits.MaxQueuedBytes};
  return std::make_shared<Link>(std::move(Socket), std::move(LinkStrand),
                                std::move(Setup), *this, QueuedBytes);
}

void Mesh::State::accepted(Tcp::socket Socket, Strand LinkStrand) {
  const std::shared_ptr<Link> NewLink =
      makeLink(std::move(Socket), std::move(LinkStrand), std::nullopt);
  {
    const std::lock_guard Lock(Mutex);
    if (Stopping)
      return;
    if (Unauthenticated >= Config.Limits.MaxUnauthenticated) {
      ++RefusedConnections;
      return;
    }
    ++Unauthenticated;
    NewLink->setId(Links.insert(NewLink));
  }
  NewLink->start();
}

void Mesh::State::dialDue() {
  std::vector<internal::DialTarget> Due;
  std::vector<PeerEvent> NewEvents;
  {
    const std::lock_guard Lock(Mutex);
    if (Stopping)
      return;
    const TimePoint Now = BootClock::now();
    dropUnreachable(Now);
    closeUnused(Now, NewEvents);
    Due = Table.due(Now);
  }
  publishEvents(std::move(NewEvents));
  for (const internal::DialTarget &Target : Due)
    dial(Target);
  DialTimer.expires_after(Config.Limits.DialInterval);
  DialTimer.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      dialDue();
  });
}

void Mesh::State::dial(const internal::DialTarget &Target) {
  Strand LinkStrand = asio::make_strand(Io);
  const std::shared_ptr<Link> NewLink =
      makeLink(Tcp::socket(LinkStrand), LinkStrand, Target);
  {
    const std::lock_guard Lock(Mutex);
    if (Stopping)
      return;
    NewLink->setId(Links.insert(NewLink));
  }
  NewLink->start();
}

std::optional<PeerRefusal> Mesh::State::onAuthenticated(Link &Connection) {
  std::vector<PeerEvent> NewEvents;
  std::optional<PeerRefusal> Refusal;
  {
    const std::lock_guard Lock(Mutex);
    if (!Connection.dialled())
      --Unauthenticated;
    Refusal = decide(Connection, NewEvents);
  }
  publishEvents(std::move(NewEvents));
  return Refusal;
}

std::optional<PeerRefusal>
Mesh::State::decide(Link &Connection, std::vector<PeerEvent> &NewEvents) {
  const HostName &Host = Connection.peerHello().Host;
  const Incarnation Run = Connection.peerHello().Run;
  if (Connection.dialled()) {
    const std::optional<HostName> Expected =
        Table.expectedAt(*Connection.dialled());
    if (Expected && *Expected != Host) {
      Table.dialFailed(*Connection.dialled(), PeerRefusal::OtherHost,
                       BootClock::now());
      return PeerRefusal::OtherHost;
    }
  }
  const Admission Decision =
      Table.admit(internal::AuthenticatedLink{Connection.id(), Host, Run,
                                              Connection.dialled()},
                  BootClock::now());
  if (Decision.Refused)
    return Decision.Refused;
  if (Decision.SupersededLink)
    cutLink(*Decision.SupersededLink, "another run of the host took its place",
            NewEvents);
  if (Decision.Redundant) {
    Connection.closeLater();
    return std::nullopt;
  }
  if (!Decision.ReplacedLink)
    NewEvents.emplace_back(PeerUp{Host, Run});
  // A sender that found the old queue would see its message rejected although
  // the host is connected. Queues are therefore swapped under the lock that
  // senders hold.
  const std::unique_lock Lock(ActiveMutex);
  const auto *const Replaced =
      Decision.ReplacedLink ? Links.find(*Decision.ReplacedLink) : nullptr;
  if (Replaced != nullptr) {
    (*Replaced)->outbox().moveTo(Connection.outbox());
    (*Replaced)->closeLater();
  }
  if (const auto PendingEntry = Pending.find(Host);
      PendingEntry != Pending.end()) {
    PendingEntry->second.moveTo(Connection.outbox());
    Pending.erase(PendingEntry);
  }
  Connection.markUsed(BootClock::now());
  Active[Host] = Connection.shared_from_this();
  return std::nullopt;
}

/// Discards messages queued for hosts that could not be reached.
void Mesh::State::dropUnreachable(TimePoint Now) {
  const std::unique_lock Lock(ActiveMutex);
  for (auto Entry = Pending.begin(); Entry != Pending.end();) {
    if (Table.expects(Entry->first, Now)) {
      ++Entry;
      continue;
    }
    discardQueue(Entry->second);
    Entry = Pending.erase(Entry);
  }
}

void Mesh::State::closeUnused(TimePoint Now,
                              std::vector<PeerEvent> &NewEvents) {
  std::vector<LinkId> Unused;
  {
    const std::shared_lock Lock(ActiveMutex);
    for (const auto &[Host, Connection] : Active)
      if (Table.isUnused(Host, Connection->lastUsed(), Now))
        Unused.push_back(Connection->id());
  }
  for (const LinkId Id : Unused) {
    Table.release(Id);
    cutLink(Id, "no messages for it", NewEvents);
  }
}

void Mesh::State::discardQueue(internal::Outbox &Queue) {
  const auto Dropped = Queue.close();
  for (std::size_t Index = 0; Index < ChannelCount; ++Index)
    Counters[Index].Dropped += Dropped[Index];
}

void Mesh::State::cutLink(LinkId Id, const std::string &Reason,
                          std::vector<PeerEvent> &NewEvents) {
  const auto *const Slot = Links.find(Id);
  if (Slot == nullptr)
    return;
  Link &Connection = **Slot;
  {
    const std::unique_lock Lock(ActiveMutex);
    const auto Entry = Active.find(Connection.peerHello().Host);
    if (Entry != Active.end() && Entry->second == *Slot)
      Active.erase(Entry);
  }
  NewEvents.emplace_back(PeerDown{Connection.peerHello().Host,
                                  Connection.peerHello().Run, Reason});
  Connection.cut(Reason);
}

void Mesh::State::onEnded(Link &Connection, std::optional<PeerRefusal> Refused,
                          const std::string &Reason) {
  std::vector<PeerEvent> NewEvents;
  const std::shared_ptr<Link> KeepAlive = Connection.shared_from_this();
  {
    const std::lock_guard Lock(Mutex);
    const TimePoint Now = BootClock::now();
    const bool WasActive = Table.linkClosed(Connection.id(), Now);
    if (WasActive) {
      NewEvents.emplace_back(PeerDown{Connection.peerHello().Host,
                                      Connection.peerHello().Run, Reason});
      const std::unique_lock ActiveLock(ActiveMutex);
      Active.erase(Connection.peerHello().Host);
    } else if (!Connection.isAuthenticated()) {
      if (Connection.dialled())
        Table.dialFailed(*Connection.dialled(), Refused, Now);
      else
        --Unauthenticated;
    }
    if (Refused) {
      ++RefusedConnections;
      const std::string Detail = *Refused == PeerRefusal::ByPeer
                                     ? Reason
                                     : Connection.peerHello().Host.Text;
      NewEvents.emplace_back(
          PeerRefused{Connection.remote(), *Refused, Detail});
    }
    discardQueue(Connection.outbox());
    Links.erase(Connection.id());
    if (Links.size() == 0)
      LinksGone.notify_all();
  }
  publishEvents(std::move(NewEvents));
}

void Mesh::State::publishEvents(std::vector<PeerEvent> NewEvents) {
  if (NewEvents.empty() || !OnPeer)
    return;
  asio::post(Events, [this, Published = std::move(NewEvents)] {
    try {
      for (const PeerEvent &Event : Published)
        OnPeer(Event);
    } catch (const std::exception &) {
      ++HandlerFailures;
    }
  });
}

void Mesh::State::onReceived(Link &Connection, std::string_view Message) {
  if (!Connection.acceptsMessages()) {
    ++FromRetiredRun;
    return;
  }
  try {
    const internal::DecodedMessage Decoded = internal::decodeMessage(Message);
    if (!Decoded.ChannelId) {
      ++UnknownChannel;
      return;
    }
    Connection.markUsed(BootClock::now());
    AtomicCounters &ChannelStats = countersFor(*Decoded.ChannelId);
    ++ChannelStats.MessagesIn;
    ChannelStats.BytesIn += Message.size();
    const MessageHandler &Handler =
        Handlers[static_cast<std::size_t>(*Decoded.ChannelId)];
    if (!Handler)
      return;
    try {
      Handler(Connection.peerHello().Host, Connection.peerHello().Run,
              Decoded.Body);
    } catch (const std::exception &) {
      ++HandlerFailures;
    }
  } catch (const Error &) {
    ++Malformed;
  }
}

void Mesh::State::setPeers(std::span<const MeshPeer> Peers) {
  std::vector<PeerEvent> NewEvents;
  {
    const std::lock_guard Lock(Mutex);
    for (const LinkId Id : Table.setPeers(Peers, BootClock::now()))
      cutLink(Id, "the agreed state does not name this run", NewEvents);
  }
  publishEvents(std::move(NewEvents));
}

void Mesh::State::setSeeds(std::span<const MeshSeed> Seeds) {
  const std::lock_guard Lock(Mutex);
  Table.setSeeds(Seeds, BootClock::now());
}

internal::EncodedMessage Mesh::State::encode(Channel ChannelId, Json Body) {
  return std::make_shared<const std::string>(
      internal::encodeMessage(ChannelId, std::move(Body)));
}

bool Mesh::State::enqueue(internal::Outbox &Queue, Channel ChannelId,
                          const internal::EncodedMessage &Bytes) {
  AtomicCounters &ChannelStats = countersFor(ChannelId);
  if (Bytes->size() > Config.Limits.MaxMessageBytes) {
    ++ChannelStats.Dropped;
    return false;
  }
  const internal::PushResult Result =
      Queue.push(QueuedMessage{ChannelId, Bytes});
  ChannelStats.Dropped += Result.Evicted + (Result.Accepted ? 0 : 1);
  if (!Result.Accepted)
    return false;
  ++ChannelStats.MessagesOut;
  ChannelStats.BytesOut += Bytes->size();
  return true;
}

bool Mesh::State::push(Link &Connection, Channel ChannelId,
                       const internal::EncodedMessage &Bytes) {
  if (!enqueue(Connection.outbox(), ChannelId, Bytes))
    return false;
  Connection.markUsed(BootClock::now());
  Connection.scheduleFlush();
  return true;
}

/// Queues a message for a host that is not connected and has it dialled.
bool Mesh::State::enqueuePending(const HostName &Host, Channel ChannelId,
                                 const internal::EncodedMessage &Bytes) {
  const std::lock_guard Lock(Mutex);
  const bool Expected = Table.demand(Host, BootClock::now());
  const std::unique_lock ActiveLock(ActiveMutex);
  if (const auto Entry = Active.find(Host); Entry != Active.end())
    return push(*Entry->second, ChannelId, Bytes);
  if (!Expected || Stopping) {
    ++countersFor(ChannelId).Dropped;
    return false;
  }
  const auto [PendingEntry, Inserted] = Pending.try_emplace(
      Host,
      internal::OutboxBounds{Config.Limits.MaxQueuedMessages,
                             Config.Limits.MaxQueuedBytes},
      QueuedBytes, Config.Limits.MaxTotalQueuedBytes);
  return enqueue(PendingEntry->second, ChannelId, Bytes);
}

bool Mesh::State::send(const HostName &Host, Channel ChannelId, Json Body) {
  const internal::EncodedMessage Bytes = encode(ChannelId, std::move(Body));
  {
    const std::shared_lock Lock(ActiveMutex);
    const auto Entry = Active.find(Host);
    if (Entry != Active.end())
      return push(*Entry->second, ChannelId, Bytes);
  }
  return enqueuePending(Host, ChannelId, Bytes);
}

std::size_t Mesh::State::broadcast(Channel ChannelId, Json Body) {
  const internal::EncodedMessage Bytes = encode(ChannelId, std::move(Body));
  const std::shared_lock Lock(ActiveMutex);
  std::size_t Accepted = 0;
  for (const auto &[Host, Connection] : Active)
    Accepted += push(*Connection, ChannelId, Bytes) ? 1 : 0;
  return Accepted;
}

std::vector<HostName> Mesh::State::connected() const {
  std::vector<HostName> Hosts;
  const std::shared_lock Lock(ActiveMutex);
  for (const auto &[Host, Connection] : Active)
    Hosts.push_back(Host);
  return Hosts;
}

MeshCounters Mesh::State::counters() const {
  MeshCounters Snapshot;
  for (std::size_t Index = 0; Index < ChannelCount; ++Index) {
    const AtomicCounters &Source = Counters[Index];
    Snapshot.Channels[Index] = {Source.MessagesOut, Source.BytesOut,
                                Source.MessagesIn, Source.BytesIn,
                                Source.Dropped};
  }
  Snapshot.UnknownChannel = UnknownChannel;
  Snapshot.Malformed = Malformed;
  Snapshot.FromRetiredRun = FromRetiredRun;
  Snapshot.HandlerFailures = HandlerFailures;
  Snapshot.RefusedConnections = RefusedConnections;
  Snapshot.QueuedBytes = QueuedBytes;
  const std::shared_lock Lock(ActiveMutex);
  Snapshot.Connected = Active.size();
  return Snapshot;
}

Mesh::Mesh(MeshConfig Config)
    : Inner(std::make_unique<State>(std::move(Config))) {}
Mesh::~Mesh() { Inner->stop(); }
void Mesh::onMessage(Channel ChannelId, MessageHandler Handler) {
  Inner->Handlers[static_cast<std::size_t>(ChannelId)] = std::move(Handler);
}
void Mesh::onPeer(PeerHandler Handler) { Inner->OnPeer = std::move(Handler); }
std::uint16_t Mesh::start() { return Inner->start(); }
void Mesh::stop() { Inner->stop(); }
void Mesh::setPeers(std::span<const MeshPeer> Peers) { Inner->setPeers(Peers); }
void Mesh::setSeeds(std::span<const MeshSeed> Seeds) { Inner->setSeeds(Seeds); }
bool Mesh::send(const HostName &Host, Channel ChannelId, Json Body) {
  return Inner->send(Host, ChannelId, std::move(Body));
}
std::size_t Mesh::broadcast(Channel ChannelId, Json Body) {
  return Inner->broadcast(ChannelId, std::move(Body));
}
std::vector<HostName> Mesh::connected() const { return Inner->connected(); }
MeshCounters Mesh::counters() const { return Inner->counters(); }

} // namespace coltsfoottrail
