#include "coltsfoottrail/mesh/link.hpp"

#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace coltsfoottrail::internal {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t ReadBytes = 64 * 1024;
constexpr std::size_t MaxBatchBytes = 64 * 1024;
/// An emptied buffer that is larger than this gives its memory back.
constexpr std::size_t MaxIdleBytes = 4 * 1024;
/// Reads in one go before other connections of the thread get their turn.
constexpr int MaxReadsInARow = 8;
constexpr std::uint16_t NormalClose = 1000;
/// Close codes of refusals start here (RFC 6455 leaves 4000 to 4999 to users).
constexpr std::uint16_t RefusalClose = 4000;

bool isRefusal(std::uint16_t Code) {
  return Code >= RefusalClose && Code < RefusalClose + 1000;
}

std::string remoteText(const Tcp::socket &Socket,
                       const std::optional<DialTarget> &Dialled) {
  if (Dialled)
    return Dialled->Address + ":" + std::to_string(Dialled->Port);
  error_code Problem;
  const Tcp::endpoint End = Socket.remote_endpoint(Problem);
  return Problem ? "unknown"
                 : End.address().to_string() + ":" + std::to_string(End.port());
}

void empty(std::string &Buffer) {
  Buffer.clear();
  if (Buffer.capacity() > MaxIdleBytes)
    Buffer.shrink_to_fit();
}

} // namespace

Link::Link(Tcp::socket Opened, Strand On, LinkSetup How, LinkOwner &Listener,
           std::atomic<std::size_t> &QueuedBytes)
    : Socket(std::move(Opened)), Executor(On), Timer(On), LingerTimer(On),
      Setup(std::move(How)), Owner(Listener),
      Waiting(Setup.Bounds, QueuedBytes, Setup.Limits.MaxTotalQueuedBytes),
      Remote(remoteText(Socket, Setup.Dialled)),
      Proof(Setup.End, Setup.Self, Setup.Key),
      Protocol(Setup.End == Handshake::End::Dialler ? WebSocket::Role::Client
                                                    : WebSocket::Role::Server,
               Handshake::MaxMessageBytes,
               WebSocket::Handlers{
                   [this](std::string_view Bytes) { Output.append(Bytes); },
                   [this] { greet(); },
                   [this](const std::string &Bytes) { message(Bytes); },
                   [this](std::uint16_t Code, const std::string &Reason) {
                     closed(Code, Reason);
                   }}) {}

void Link::greet() {
  Open = true;
  if (Setup.End == Handshake::End::Dialler)
    (void)Protocol.send(Proof.hello());
}

void Link::start() {
  asio::post(Executor, [Self = shared_from_this()] { Self->connect(); });
}

void Link::connect() {
  Timer.expires_after(Setup.Limits.HandshakeTimeout);
  Timer.async_wait([Self = shared_from_this()](error_code Problem) {
    if (Problem || Self->Proved || Self->Ended)
      return;
    if (!Self->Refused)
      Self->Refused = PeerRefusal::Timeout;
    Self->end();
  });
  if (!Setup.Dialled)
    return opened();
  error_code Malformed;
  const auto Address =
      asio::ip::make_address(Setup.Dialled->Address, Malformed);
  if (Malformed)
    return fail(Malformed);
  Socket.async_connect(
      Tcp::endpoint(Address, Setup.Dialled->Port),
      asio::bind_executor(Executor,
                          [Self = shared_from_this()](error_code Problem) {
                            if (Problem)
                              return Self->fail(Problem);
                            Self->opened();
                          }));
}

void Link::fail(const error_code &Problem) {
  if (EndText.empty())
    EndText =
        Problem == asio::error::eof ? "connection closed" : Problem.message();
  end();
}

void Link::opened() {
  if (Ended)
    return;
  error_code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  LastReceived = BootClock::now();
  Protocol.start();
  flush();
  watch();
}

void Link::watch() {
  if (Ended)
    return;
  Socket.async_wait(Tcp::socket::wait_read,
                    asio::bind_executor(Executor, [Self = shared_from_this()](
                                                      error_code Problem) {
                      if (Self->Ended)
                        return;
                      if (Problem)
                        return Self->fail(Problem);
                      Self->read();
                    }));
}

void Link::read() {
  thread_local std::array<char, ReadBytes> Buffer;
  for (int Turn = 0; Turn < MaxReadsInARow && !Ended; ++Turn) {
    error_code Problem;
    const std::size_t Size = Socket.read_some(asio::buffer(Buffer), Problem);
    if (Problem == asio::error::would_block)
      break;
    if (Problem) {
      Protocol.end();
      return fail(Problem);
    }
    LastReceived = BootClock::now();
    if (!Protocol.read(std::string_view(Buffer.data(), Size)))
      break;
    if (Size < Buffer.size())
      break;
  }
  flush();
  watch();
}

void Link::wake() {
  if (WakePosted.exchange(true))
    return;
  asio::post(Executor, [Self = shared_from_this()] {
    Self->WakePosted = false;
    Self->flush();
  });
}

void Link::fill() {
  while (Output.size() < MaxBatchBytes) {
    const std::optional<Outgoing> Next = Waiting.pop();
    if (!Next)
      return;
    (void)Protocol.send(*Next->Bytes);
  }
}

void Link::flush() {
  if (Writing || Ended)
    return;
  if (Sending && !Closing)
    fill();
  if (Output.empty()) {
    if (Protocol.isOver())
      end();
    return;
  }
  Writing = true;
  InFlight.swap(Output);
  asio::async_write(
      Socket, asio::buffer(InFlight),
      asio::bind_executor(Executor, [Self = shared_from_this()](
                                        error_code Problem, std::size_t) {
        Self->written(Problem);
      }));
}

void Link::written(const error_code &Problem) {
  Writing = false;
  if (Ended)
    return;
  if (Problem)
    return fail(Problem);
  empty(InFlight);
  flush();
}

void Link::armTimer() {
  Timer.expires_after(Setup.Limits.PingInterval);
  Timer.async_wait([Self = shared_from_this()](error_code Problem) {
    if (!Problem && !Self->Ended)
      Self->tick();
  });
}

void Link::tick() {
  const Duration Silence = BootClock::now() - LastReceived;
  if (Silence >= Setup.Limits.IdleTimeout) {
    EndText = "nothing came for too long";
    return end();
  }
  if (Silence >= Setup.Limits.PingInterval && !Closing) {
    Protocol.ping();
    flush();
  }
  armTimer();
}

void Link::message(const std::string &Bytes) {
  if (Refused || Ended)
    return;
  if (Proved) {
    Owner.received(*this, Bytes);
    return;
  }
  const Handshake::Step Done = Proof.take(Bytes);
  if (Done.Refused)
    return refuse(*Done.Refused);
  if (Done.Reply)
    (void)Protocol.send(*Done.Reply);
  if (!Done.Proved)
    return;
  Proved = true;
  Protocol.setMaxMessageBytes(Setup.Limits.MaxMessageBytes);
  Sending = true;
  if (const std::optional<PeerRefusal> Why = Owner.proved(*this))
    return refuse(*Why);
  armTimer();
}

void Link::refuse(PeerRefusal Why) {
  Refused = Why;
  Sending = false;
  beginClose(static_cast<std::uint16_t>(RefusalClose +
                                        static_cast<std::uint16_t>(Why)),
             std::string(refusalText(Why)));
}

void Link::beginClose(std::uint16_t Code, const std::string &Why) {
  if (Closing || Ended)
    return;
  Closing = true;
  if (EndText.empty())
    EndText = Why;
  if (!Open)
    return end();
  Protocol.close(Code, Why);
  LingerTimer.expires_after(Setup.Limits.CloseTimeout);
  LingerTimer.async_wait([Self = shared_from_this()](error_code Problem) {
    if (!Problem)
      Self->end();
  });
  flush();
}

void Link::closed(std::uint16_t Code, const std::string &Reason) {
  if (isRefusal(Code) && !Refused)
    Refused = PeerRefusal::ByPeer;
  if (EndText.empty())
    EndText = Reason;
  Closing = true;
}

void Link::closeLater() {
  asio::post(Executor, [Self = shared_from_this()] {
    Self->Sending = false;
    Self->LingerTimer.expires_after(Self->Setup.Limits.Linger);
    Self->LingerTimer.async_wait([Self](error_code Problem) {
      if (!Problem)
        Self->beginClose(NormalClose, "another connection took its place");
    });
  });
}

void Link::cut(const std::string &Why) {
  Delivers = false;
  asio::post(Executor, [Self = shared_from_this(), Why] {
    Self->Sending = false;
    Self->beginClose(NormalClose, Why);
  });
}

void Link::end() {
  if (Ended)
    return;
  Ended = true;
  error_code Ignored;
  Timer.cancel();
  LingerTimer.cancel();
  Owner.ended(*this, Refused, EndText);
  Socket.close(Ignored);
}

} // namespace coltsfoottrail::internal
