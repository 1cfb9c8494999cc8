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
using internal::Outgoing;
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
  internal::DialPolicy Out;
  Out.FirstDelay = Limits.FirstRedial;
  Out.MaxDelay = Limits.MaxRedial;
  Out.UnusedAfter = Limits.UnusedAfter;
  return Out;
}

} // namespace

class Mesh::State final : public internal::LinkOwner {
public:
  explicit State(MeshConfig How)
      : Config(std::move(How)), Work(asio::make_work_guard(Io)),
        Events(asio::make_strand(Io)), Control(asio::make_strand(Io)),
        Acceptor(Control), DialTimer(Control), AcceptTimer(Control),
        Table(Config.Self, dialPolicy(Config.Limits), Config.Seed) {}

  std::uint16_t start();
  void stop();
  void setPeers(std::span<const MeshPeer> Wanted);
  void setSeeds(std::span<const MeshSeed> Wanted);
  bool send(const HostName &To, Channel Which, Json Body);
  std::size_t broadcast(Channel Which, Json Body);
  [[nodiscard]] std::vector<HostName> connected() const;
  [[nodiscard]] MeshCounters counters() const;

  std::optional<PeerRefusal> proved(Link &Which) override;
  void received(Link &Which, std::string_view Message) override;
  void ended(Link &Which, std::optional<PeerRefusal> Refused,
             const std::string &Why) override;

  std::array<MessageHandler, ChannelCount> Handlers;
  PeerHandler OnPeer;

private:
  using Slots = SlotMap<std::shared_ptr<Link>, LinkId>;

  void listen();
  void accept();
  void accepted(Tcp::socket Socket, Strand On);
  void dialDue();
  void dial(const internal::DialTarget &Target);
  [[nodiscard]] std::shared_ptr<Link>
  makeLink(Tcp::socket Socket, Strand On,
           std::optional<internal::DialTarget> Dialled);
  [[nodiscard]] std::optional<PeerRefusal> decide(Link &Which,
                                                  std::vector<PeerEvent> &Out);
  void cutLink(LinkId Which, const std::string &Why,
               std::vector<PeerEvent> &Out);
  void tell(std::vector<PeerEvent> What);
  [[nodiscard]] bool hold(const HostName &To, Channel Which,
                          const internal::Encoded &Bytes);
  void dropUnexpected(TimePoint Now);
  void closeUnused(TimePoint Now, std::vector<PeerEvent> &Events);
  void drop(internal::Outbox &Queue);
  [[nodiscard]] bool push(Link &To, Channel Which,
                          const internal::Encoded &Bytes);
  [[nodiscard]] bool enqueue(internal::Outbox &Into, Channel Which,
                             const internal::Encoded &Bytes);
  [[nodiscard]] internal::Encoded encode(Channel Which, Json Body);
  AtomicCounters &countersOf(Channel Which) {
    return Counters[static_cast<std::size_t>(Which)];
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
  std::size_t Unproved = 0;
  bool Stopping = false;

  mutable std::shared_mutex ActiveMutex;
  std::unordered_map<HostName, std::shared_ptr<Link>> Active;
  /// Messages for hosts with which a connection is under way.
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
    const Tcp::endpoint Where(asio::ip::make_address(Config.Address),
                              Config.Port);
    Acceptor.open(Where.protocol());
    Acceptor.set_option(Tcp::acceptor::reuse_address(true));
    Acceptor.bind(Where);
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
    Links.each([](LinkId, const std::shared_ptr<Link> &Each) {
      Each->cut("the other end stops");
    });
    LinksGone.wait_for(Lock, 2 * Config.Limits.CloseTimeout,
                       [this] { return Links.size() == 0; });
  }
  Work.reset();
  Io.stop();
  for (std::thread &Each : Threads)
    Each.join();
  Threads.clear();
  const std::unique_lock Lock(ActiveMutex);
  Active.clear();
}

void Mesh::State::accept() {
  Strand On = asio::make_strand(Io);
  Acceptor.async_accept(
      On, asio::bind_executor(Control, [this, On](error_code Problem,
                                                  Tcp::socket Socket) {
        if (Problem == asio::error::operation_aborted || !Acceptor.is_open())
          return;
        if (!Problem) {
          accepted(std::move(Socket), On);
          return accept();
        }
        // Out of file descriptors: without a pause the loop would take a whole
        // core until one is free.
        AcceptTimer.expires_after(AcceptPause);
        AcceptTimer.async_wait([this](error_code Cancelled) {
          if (!Cancelled && Acceptor.is_open())
            accept();
        });
      }));
}

std::shared_ptr<Link>
Mesh::State::makeLink(Tcp::socket Socket, Strand On,
                      std::optional<internal::DialTarget> Dialled) {
  LinkSetup Setup;
  Setup.End = Dialled ? Handshake::End::Dialler : Handshake::End::Listener;
  Setup.Self = {Config.Self,
                Config.Run,
                {Config.LowestVersion, Config.HighestVersion},
                internal::freshNonce()};
  Setup.Key = Config.Key;
  Setup.Limits = Config.Limits;
  Setup.Dialled = std::move(Dialled);
  Setup.Bounds = {Config.Limits.MaxQueuedMessages,
                  Config.Limits.MaxQueuedBytes};
  return std::make_shared<Link>(std::move(Socket), std::move(On),
                                std::move(Setup), *this, QueuedBytes);
}

void Mesh::State::accepted(Tcp::socket Socket, Strand On) {
  const std::shared_ptr<Link> New =
      makeLink(std::move(Socket), std::move(On), std::nullopt);
  {
    const std::lock_guard Lock(Mutex);
    if (Stopping)
      return;
    if (Unproved >= Config.Limits.MaxUnauthenticated) {
      ++RefusedConnections;
      return;
    }
    ++Unproved;
    New->identify(Links.insert(New));
  }
  New->start();
}

void Mesh::State::dialDue() {
  std::vector<internal::DialTarget> Due;
  std::vector<PeerEvent> What;
  {
    const std::lock_guard Lock(Mutex);
    if (Stopping)
      return;
    const TimePoint Now = BootClock::now();
    dropUnexpected(Now);
    closeUnused(Now, What);
    Due = Table.due(Now);
  }
  tell(std::move(What));
  for (const internal::DialTarget &Each : Due)
    dial(Each);
  DialTimer.expires_after(Config.Limits.DialInterval);
  DialTimer.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      dialDue();
  });
}

void Mesh::State::dial(const internal::DialTarget &Target) {
  Strand On = asio::make_strand(Io);
  const std::shared_ptr<Link> New = makeLink(Tcp::socket(On), On, Target);
  {
    const std::lock_guard Lock(Mutex);
    if (Stopping)
      return;
    New->identify(Links.insert(New));
  }
  New->start();
}

std::optional<PeerRefusal> Mesh::State::proved(Link &Which) {
  std::vector<PeerEvent> What;
  std::optional<PeerRefusal> Why;
  {
    const std::lock_guard Lock(Mutex);
    if (!Which.dialled())
      --Unproved;
    Why = decide(Which, What);
  }
  tell(std::move(What));
  return Why;
}

std::optional<PeerRefusal> Mesh::State::decide(Link &Which,
                                               std::vector<PeerEvent> &Out) {
  const HostName &Host = Which.other().Host;
  const Incarnation Run = Which.other().Run;
  if (Which.dialled()) {
    const std::optional<HostName> Expected = Table.expectedAt(*Which.dialled());
    if (Expected && *Expected != Host) {
      Table.dialFailed(*Which.dialled(), PeerRefusal::OtherHost,
                       BootClock::now());
      return PeerRefusal::OtherHost;
    }
  }
  const Admission Admitted =
      Table.admit(internal::ProvedLink{Which.id(), Host, Run, Which.dialled()},
                  BootClock::now());
  if (Admitted.Refused)
    return Admitted.Refused;
  if (Admitted.SupersededLink)
    cutLink(*Admitted.SupersededLink, "another run of the host took its place",
            Out);
  if (Admitted.Redundant) {
    Which.closeLater();
    return std::nullopt;
  }
  if (!Admitted.Replaces)
    Out.emplace_back(PeerUp{Host, Run});
  // A sender that found the old queue would be told that its message is not
  // sent although the host is connected; so queues change places under the lock
  // that senders hold.
  const std::unique_lock Lock(ActiveMutex);
  const auto *const Old =
      Admitted.Replaces ? Links.find(*Admitted.Replaces) : nullptr;
  if (Old != nullptr) {
    (*Old)->waiting().drainInto(Which.waiting());
    (*Old)->closeLater();
  }
  if (const auto Held = Pending.find(Host); Held != Pending.end()) {
    Held->second.drainInto(Which.waiting());
    Pending.erase(Held);
  }
  Which.markUsed(BootClock::now());
  Active[Host] = Which.shared_from_this();
  return std::nullopt;
}

/// Drops what waits for hosts that could not be reached.
void Mesh::State::dropUnexpected(TimePoint Now) {
  const std::unique_lock Lock(ActiveMutex);
  for (auto Entry = Pending.begin(); Entry != Pending.end();) {
    if (Table.expects(Entry->first, Now)) {
      ++Entry;
      continue;
    }
    drop(Entry->second);
    Entry = Pending.erase(Entry);
  }
}

void Mesh::State::closeUnused(TimePoint Now, std::vector<PeerEvent> &Events) {
  std::vector<LinkId> Unused;
  {
    const std::shared_lock Lock(ActiveMutex);
    for (const auto &[Host, Current] : Active)
      if (Table.isUnused(Host, Current->lastUsed(), Now))
        Unused.push_back(Current->id());
  }
  for (const LinkId Id : Unused) {
    Table.release(Id);
    cutLink(Id, "no messages for it", Events);
  }
}

void Mesh::State::drop(internal::Outbox &Queue) {
  const auto Dropped = Queue.close();
  for (std::size_t Index = 0; Index < ChannelCount; ++Index)
    Counters[Index].Dropped += Dropped[Index];
}

void Mesh::State::cutLink(LinkId Which, const std::string &Why,
                          std::vector<PeerEvent> &Out) {
  const auto *const Found = Links.find(Which);
  if (Found == nullptr)
    return;
  Link &Old = **Found;
  {
    const std::unique_lock Lock(ActiveMutex);
    const auto Entry = Active.find(Old.other().Host);
    if (Entry != Active.end() && Entry->second == *Found)
      Active.erase(Entry);
  }
  Out.emplace_back(PeerDown{Old.other().Host, Old.other().Run, Why});
  Old.cut(Why);
}

void Mesh::State::ended(Link &Which, std::optional<PeerRefusal> Refused,
                        const std::string &Why) {
  std::vector<PeerEvent> What;
  const std::shared_ptr<Link> Kept = Which.shared_from_this();
  {
    const std::lock_guard Lock(Mutex);
    const TimePoint Now = BootClock::now();
    const bool WasCurrent = Table.linkClosed(Which.id(), Now);
    if (WasCurrent) {
      What.emplace_back(PeerDown{Which.other().Host, Which.other().Run, Why});
      const std::unique_lock ActiveLock(ActiveMutex);
      Active.erase(Which.other().Host);
    } else if (!Which.wasProved()) {
      if (Which.dialled())
        Table.dialFailed(*Which.dialled(), Refused, Now);
      else
        --Unproved;
    }
    if (Refused) {
      ++RefusedConnections;
      const std::string Detail =
          *Refused == PeerRefusal::ByPeer ? Why : Which.other().Host.Text;
      What.emplace_back(PeerRefused{Which.remote(), *Refused, Detail});
    }
    drop(Which.waiting());
    Links.erase(Which.id());
    if (Links.size() == 0)
      LinksGone.notify_all();
  }
  tell(std::move(What));
}

void Mesh::State::tell(std::vector<PeerEvent> What) {
  if (What.empty() || !OnPeer)
    return;
  asio::post(Events, [this, Told = std::move(What)] {
    try {
      for (const PeerEvent &Each : Told)
        OnPeer(Each);
    } catch (const std::exception &) {
      ++HandlerFailures;
    }
  });
}

void Mesh::State::received(Link &Which, std::string_view Message) {
  if (!Which.delivers()) {
    ++FromRetiredRun;
    return;
  }
  try {
    const internal::Incoming Read = internal::decodeMessage(Message);
    if (!Read.Which) {
      ++UnknownChannel;
      return;
    }
    Which.markUsed(BootClock::now());
    AtomicCounters &Its = countersOf(*Read.Which);
    ++Its.MessagesIn;
    Its.BytesIn += Message.size();
    const MessageHandler &Take =
        Handlers[static_cast<std::size_t>(*Read.Which)];
    if (!Take)
      return;
    try {
      Take(Which.other().Host, Which.other().Run, Read.Body);
    } catch (const std::exception &) {
      ++HandlerFailures;
    }
  } catch (const Error &) {
    ++Malformed;
  }
}

void Mesh::State::setPeers(std::span<const MeshPeer> Wanted) {
  std::vector<PeerEvent> What;
  {
    const std::lock_guard Lock(Mutex);
    for (const LinkId Each : Table.setPeers(Wanted, BootClock::now()))
      cutLink(Each, "the agreed state does not name this run", What);
  }
  tell(std::move(What));
}

void Mesh::State::setSeeds(std::span<const MeshSeed> Wanted) {
  const std::lock_guard Lock(Mutex);
  Table.setSeeds(Wanted, BootClock::now());
}

internal::Encoded Mesh::State::encode(Channel Which, Json Body) {
  return std::make_shared<const std::string>(
      internal::encodeMessage(Which, std::move(Body)));
}

bool Mesh::State::enqueue(internal::Outbox &Into, Channel Which,
                          const internal::Encoded &Bytes) {
  AtomicCounters &Its = countersOf(Which);
  if (Bytes->size() > Config.Limits.MaxMessageBytes) {
    ++Its.Dropped;
    return false;
  }
  const internal::Queued Result = Into.push(Outgoing{Which, Bytes});
  Its.Dropped += Result.Evicted + (Result.Taken ? 0 : 1);
  if (!Result.Taken)
    return false;
  ++Its.MessagesOut;
  Its.BytesOut += Bytes->size();
  return true;
}

bool Mesh::State::push(Link &To, Channel Which,
                       const internal::Encoded &Bytes) {
  if (!enqueue(To.waiting(), Which, Bytes))
    return false;
  To.markUsed(BootClock::now());
  To.wake();
  return true;
}

/// Keeps a message until the connection that it asks for is there.
bool Mesh::State::hold(const HostName &To, Channel Which,
                       const internal::Encoded &Bytes) {
  const std::lock_guard Lock(Mutex);
  const bool Expected = Table.demand(To, BootClock::now());
  const std::unique_lock ActiveLock(ActiveMutex);
  if (const auto Found = Active.find(To); Found != Active.end())
    return push(*Found->second, Which, Bytes);
  if (!Expected || Stopping) {
    ++countersOf(Which).Dropped;
    return false;
  }
  const auto [Place, Added] = Pending.try_emplace(
      To,
      internal::OutboxBounds{Config.Limits.MaxQueuedMessages,
                             Config.Limits.MaxQueuedBytes},
      QueuedBytes, Config.Limits.MaxTotalQueuedBytes);
  return enqueue(Place->second, Which, Bytes);
}

bool Mesh::State::send(const HostName &To, Channel Which, Json Body) {
  const internal::Encoded Bytes = encode(Which, std::move(Body));
  {
    const std::shared_lock Lock(ActiveMutex);
    const auto Found = Active.find(To);
    if (Found != Active.end())
      return push(*Found->second, Which, Bytes);
  }
  return hold(To, Which, Bytes);
}

std::size_t Mesh::State::broadcast(Channel Which, Json Body) {
  const internal::Encoded Bytes = encode(Which, std::move(Body));
  const std::shared_lock Lock(ActiveMutex);
  std::size_t Taken = 0;
  for (const auto &[Host, Each] : Active)
    Taken += push(*Each, Which, Bytes) ? 1 : 0;
  return Taken;
}

std::vector<HostName> Mesh::State::connected() const {
  std::vector<HostName> Out;
  const std::shared_lock Lock(ActiveMutex);
  for (const auto &[Host, Each] : Active)
    Out.push_back(Host);
  return Out;
}

MeshCounters Mesh::State::counters() const {
  MeshCounters Out;
  for (std::size_t Index = 0; Index < ChannelCount; ++Index) {
    const AtomicCounters &From = Counters[Index];
    Out.Channels[Index] = {From.MessagesOut, From.BytesOut, From.MessagesIn,
                           From.BytesIn, From.Dropped};
  }
  Out.UnknownChannel = UnknownChannel;
  Out.Malformed = Malformed;
  Out.FromRetiredRun = FromRetiredRun;
  Out.HandlerFailures = HandlerFailures;
  Out.RefusedConnections = RefusedConnections;
  Out.QueuedBytes = QueuedBytes;
  const std::shared_lock Lock(ActiveMutex);
  Out.Connected = Active.size();
  return Out;
}

Mesh::Mesh(MeshConfig Config)
    : Inner(std::make_unique<State>(std::move(Config))) {}
Mesh::~Mesh() { Inner->stop(); }
void Mesh::onMessage(Channel Which, MessageHandler Take) {
  Inner->Handlers[static_cast<std::size_t>(Which)] = std::move(Take);
}
void Mesh::onPeer(PeerHandler Take) { Inner->OnPeer = std::move(Take); }
std::uint16_t Mesh::start() { return Inner->start(); }
void Mesh::stop() { Inner->stop(); }
void Mesh::setPeers(std::span<const MeshPeer> Wanted) {
  Inner->setPeers(Wanted);
}
void Mesh::setSeeds(std::span<const MeshSeed> Wanted) {
  Inner->setSeeds(Wanted);
}
bool Mesh::send(const HostName &To, Channel Which, Json Body) {
  return Inner->send(To, Which, std::move(Body));
}
std::size_t Mesh::broadcast(Channel Which, Json Body) {
  return Inner->broadcast(Which, std::move(Body));
}
std::vector<HostName> Mesh::connected() const { return Inner->connected(); }
MeshCounters Mesh::counters() const { return Inner->counters(); }

} // namespace coltsfoottrail
