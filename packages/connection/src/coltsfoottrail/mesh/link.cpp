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
/// An emptied buffer with a larger capacity than this releases its memory.
constexpr std::size_t MaxRetainedBytes = 4 * 1024;
/// Consecutive reads of one connection before the thread serves others.
constexpr int MaxConsecutiveReads = 8;
constexpr std::uint16_t NormalCloseCode = 1000;
/// First close code for refusals (RFC 6455 reserves 4000 to 4999 for private
/// use).
constexpr std::uint16_t FirstRefusalCode = 4000;

bool isRefusal(std::uint16_t Code) {
  return Code >= FirstRefusalCode && Code < FirstRefusalCode + 1000;
}

std::string describeRemote(const Tcp::socket &Socket,
                           const std::optional<DialTarget> &Dialled) {
  if (Dialled)
    return Dialled->Address + ":" + std::to_string(Dialled->Port);
  error_code Problem;
  const Tcp::endpoint Remote = Socket.remote_endpoint(Problem);
  return Problem ? "unknown"
                 : Remote.address().to_string() + ":" +
                       std::to_string(Remote.port());
}

void clearBuffer(std::string &Buffer) {
  Buffer.clear();
  if (Buffer.capacity() > MaxRetainedBytes)
    Buffer.shrink_to_fit();
}

} // namespace

Link::Link(Tcp::socket NewSocket, Strand LinkStrand, LinkSetup NewSetup,
           LinkOwner &NewOwner, std::atomic<std::size_t> &QueuedBytes)
    : Socket(std::move(NewSocket)), Executor(LinkStrand), Timer(LinkStrand),
      LingerTimer(LinkStrand), Setup(std::move(NewSetup)), Owner(NewOwner),
      Queue(Setup.Bounds, QueuedBytes, Setup.Limits.MaxTotalQueuedBytes),
      Remote(describeRemote(Socket, Setup.Dialled)),
      AuthHandshake(Setup.LocalEnd, Setup.Self, Setup.Key),
      Protocol(
          Setup.LocalEnd == Handshake::End::Dialler ? WebSocket::Role::Client
                                                    : WebSocket::Role::Server,
          Handshake::MaxMessageBytes,
          WebSocket::Handlers{
              [this](std::string_view Bytes) { Output.append(Bytes); },
              [this] { onWebSocketOpen(); },
              [this](const std::string &Bytes) { onWebSocketMessage(Bytes); },
              [this](std::uint16_t Code, const std::string &Reason) {
                onWebSocketClosed(Code, Reason);
              }}) {}

void Link::onWebSocketOpen() {
  Open = true;
  if (Setup.LocalEnd == Handshake::End::Dialler)
    (void)Protocol.send(AuthHandshake.hello());
}

void Link::start() {
  asio::post(Executor, [Self = shared_from_this()] { Self->connect(); });
}

void Link::connect() {
  Timer.expires_after(Setup.Limits.HandshakeTimeout);
  Timer.async_wait([Self = shared_from_this()](error_code Problem) {
    if (Problem || Self->Authenticated || Self->Ended)
      return;
    if (!Self->Refused)
      Self->Refused = PeerRefusal::Timeout;
    Self->end();
  });
  if (!Setup.Dialled)
    return onConnected();
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
                            Self->onConnected();
                          }));
}

void Link::fail(const error_code &Problem) {
  if (CloseReason.empty())
    CloseReason =
        Problem == asio::error::eof ? "connection closed" : Problem.message();
  end();
}

void Link::onConnected() {
  if (Ended)
    return;
  error_code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  LastReceived = BootClock::now();
  Protocol.start();
  flush();
  awaitReadable();
}

void Link::awaitReadable() {
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
  for (int Reads = 0; Reads < MaxConsecutiveReads && !Ended; ++Reads) {
    error_code Problem;
    const std::size_t Size = Socket.read_some(asio::buffer(Buffer), Problem);
    if (Problem == asio::error::would_block)
      break;
    if (Problem) {
      Protocol.receiveEof();
      return fail(Problem);
    }
    LastReceived = BootClock::now();
    if (!Protocol.read(std::string_view(Buffer.data(), Size)))
      break;
    if (Size < Buffer.size())
      break;
  }
  flush();
  awaitReadable();
}

void Link::scheduleFlush() {
  if (FlushPosted.exchange(true))
    return;
  asio::post(Executor, [Self = shared_from_this()] {
    Self->FlushPosted = false;
    Self->flush();
  });
}

void Link::fillOutput() {
  while (Output.size() < MaxBatchBytes) {
    const std::optional<QueuedMessage> Next = Queue.pop();
    if (!Next)
      return;
    (void)Protocol.send(*Next->Bytes);
  }
}

void Link::flush() {
  if (Writing || Ended)
    return;
  if (Sending && !Closing)
    fillOutput();
  if (Output.empty()) {
    if (Protocol.isClosed())
      end();
    return;
  }
  Writing = true;
  InFlight.swap(Output);
  asio::async_write(
      Socket, asio::buffer(InFlight),
      asio::bind_executor(Executor, [Self = shared_from_this()](
                                        error_code Problem, std::size_t) {
        Self->onWritten(Problem);
      }));
}

void Link::onWritten(const error_code &Problem) {
  Writing = false;
  if (Ended)
    return;
  if (Problem)
    return fail(Problem);
  clearBuffer(InFlight);
  flush();
}

void Link::armIdleTimer() {
  Timer.expires_after(Setup.Limits.PingInterval);
  Timer.async_wait([Self = shared_from_this()](error_code Problem) {
    if (!Problem && !Self->Ended)
      Self->checkIdle();
  });
}

void Link::checkIdle() {
  const Duration IdleTime = BootClock::now() - LastReceived;
  if (IdleTime >= Setup.Limits.IdleTimeout) {
    CloseReason = "no data received within the idle timeout";
    return end();
  }
  if (IdleTime >= Setup.Limits.PingInterval && !Closing) {
    Protocol.ping();
    flush();
  }
  armIdleTimer();
}

void Link::onWebSocketMessage(const std::string &Bytes) {
  if (Refused || Ended)
    return;
  if (Authenticated) {
    Owner.onReceived(*this, Bytes);
    return;
  }
  const Handshake::Result Result = AuthHandshake.receive(Bytes);
  if (Result.Refused)
    return refuse(*Result.Refused);
  if (Result.Reply)
    (void)Protocol.send(*Result.Reply);
  if (!Result.Authenticated)
    return;
  Authenticated = true;
  Protocol.setMaxMessageBytes(Setup.Limits.MaxMessageBytes);
  Sending = true;
  if (const std::optional<PeerRefusal> Refusal = Owner.onAuthenticated(*this))
    return refuse(*Refusal);
  armIdleTimer();
}

void Link::refuse(PeerRefusal Refusal) {
  Refused = Refusal;
  Sending = false;
  beginClose(static_cast<std::uint16_t>(FirstRefusalCode +
                                        static_cast<std::uint16_t>(Refusal)),
             std::string(refusalText(Refusal)));
}

void Link::beginClose(std::uint16_t Code, const std::string &Reason) {
  if (Closing || Ended)
    return;
  Closing = true;
  if (CloseReason.empty())
    CloseReason = Reason;
  if (!Open)
    return end();
  Protocol.close(Code, Reason);
  LingerTimer.expires_after(Setup.Limits.CloseTimeout);
  LingerTimer.async_wait([Self = shared_from_this()](error_code Problem) {
    if (!Problem)
      Self->end();
  });
  flush();
}

void Link::onWebSocketClosed(std::uint16_t Code, const std::string &Reason) {
  if (isRefusal(Code) && !Refused)
    Refused = PeerRefusal::ByPeer;
  if (CloseReason.empty())
    CloseReason = Reason;
  Closing = true;
}

void Link::closeLater() {
  asio::post(Executor, [Self = shared_from_this()] {
    Self->Sending = false;
    Self->LingerTimer.expires_after(Self->Setup.Limits.Linger);
    Self->LingerTimer.async_wait([Self](error_code Problem) {
      if (!Problem)
        Self->beginClose(NormalCloseCode, "another connection took its place");
    });
  });
}

void Link::cut(const std::string &Reason) {
  AcceptsMessages = false;
  asio::post(Executor, [Self = shared_from_this(), Reason] {
    Self->Sending = false;
    Self->beginClose(NormalCloseCode, Reason);
  });
}

void Link::end() {
  if (Ended)
    return;
  Ended = true;
  error_code Ignored;
  Timer.cancel();
  LingerTimer.cancel();
  Owner.onEnded(*this, Refused, CloseReason);
  Socket.close(Ignored);
}

} // namespace coltsfoottrail::internal
