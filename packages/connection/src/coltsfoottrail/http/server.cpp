#include "coltsfoottrail/http/server.hpp"

#include "coltsfoottrail/http/forwardbytes.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <linux/sockios.h>
#include <mutex>
#include <set>
#include <sys/ioctl.h>
#include <tuple>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::size_t MaxBufferBytes = std::size_t{64} << 10U;

constexpr std::size_t FirstReadBytes = 4096;
constexpr std::string_view BodyMemoryReason = "body-memory";
/// Bytes of a refused request that are read so that the refusal arrives.
constexpr std::uint64_t MinDrainedBytes = std::uint64_t{1} << 20U;

/// How long a connection that was opened around a stop may take to send its
/// first request.
constexpr milliseconds FirstRequestTimeout{300};
/// How long a client may take to close its end after this one has.
constexpr milliseconds LingerTimeout{1'000};
/// How long the end of a response may take to reach a client.
constexpr milliseconds DeliveryTimeout{2'000};
constexpr milliseconds DeliveryPollInterval{10};

class Session;

bool isMalformed(const ErrorCode &Problem) {
  if (Problem == http::error::end_of_stream ||
      Problem == http::error::partial_message)
    return false;
  return Problem && Problem.category() ==
                        make_error_code(http::error::bad_method).category();
}

HttpRequest copyHead(const http::request_header<> &Head) {
  HttpRequest Result;
  Result.Method = std::string(Head.method_string());
  Result.Target = std::string(Head.target());
  for (const auto &Field : Head)
    Result.Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Result;
}

HttpResponse plainRefusal(unsigned Status, std::string_view Reason) {
  return jsonResponse(Status, R"({"error":")" + std::string(Reason) + "\"}");
}

} // namespace

struct HttpServer::Core : std::enable_shared_from_this<HttpServer::Core> {
  Core(IoPool &IoThreads, const Tcp::endpoint &ListenEndpoint,
       ServerLimits InitialLimits, ServerHooks ServerCallbacks)
      : Threads(IoThreads), Limits(InitialLimits),
        Hooks(std::move(ServerCallbacks)), Port(0) {
    auto ListenSocket = std::make_shared<Tcp::acceptor>(IoThreads.context(0));
    ListenSocket->open(ListenEndpoint.protocol());
    ListenSocket->set_option(asio::socket_base::reuse_address(true));
    ListenSocket->bind(ListenEndpoint);
    ListenSocket->listen(asio::socket_base::max_listen_connections);
    Port = ListenSocket->local_endpoint().port();
    Acceptor = ListenSocket;
    InitialAcceptor = std::move(ListenSocket);
  }

  Awaitable<void> acceptLoop(std::shared_ptr<Tcp::acceptor> ListenSocket);
  void startSession(Tcp::socket Socket, std::size_t Thread);
  void closeListener();
  void add(Session &NewSession);
  void remove(Session &ClosedSession);
  HttpResponse refusal(const HttpRequest &Head, unsigned Status,
                       std::string_view Reason) const {
    return Hooks.Refuse ? Hooks.Refuse(Head, Status, Reason)
                        : plainRefusal(Status, Reason);
  }

  [[nodiscard]] ServerLimits limits() {
    const std::lock_guard Guard(Mutex);
    return Limits;
  }
  void setLimits(const ServerLimits &NewLimits) {
    const std::lock_guard Guard(Mutex);
    Limits = NewLimits;
  }

  IoPool &Threads;
  ServerLimits Limits;
  ServerHooks Hooks;
  std::uint16_t Port;
  /// Weak, since the accepting coroutine owns the acceptor: it must be
  /// destroyed with the context of its thread, while sessions of other threads
  /// may keep this object alive for longer.
  std::weak_ptr<Tcp::acceptor> Acceptor;
  std::shared_ptr<Tcp::acceptor> InitialAcceptor;
  std::atomic<bool> AnnouncesClose{false};
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Listening{true};
  std::size_t NextThread = 0;
  std::atomic<std::size_t> OpenConnections{0};
  std::atomic<std::size_t> RequestsInProgress{0};
  std::atomic<std::uint64_t> BodyMemory{0};
  std::atomic<std::uint64_t> ClosedIdle{0};
  std::atomic<std::uint64_t> ClosedInProgress{0};
  std::atomic<std::uint64_t> ClosedUnread{0};
  std::mutex Mutex;
  std::set<Session *> Sessions;
};

namespace {

/// The part of a server's memory for bodies that one request takes.
class BodyReservation {
public:
  explicit BodyReservation(std::atomic<std::uint64_t> &ServerTotal)
      : Total(ServerTotal) {}
  BodyReservation(const BodyReservation &) = delete;
  BodyReservation &operator=(const BodyReservation &) = delete;
  ~BodyReservation() { Total -= Bytes; }

  /// @return Whether the server has that much.
  [[nodiscard]] bool growTo(std::uint64_t Wanted, std::uint64_t Limit) {
    if (Wanted <= Bytes)
      return true;
    const std::uint64_t Missing = Wanted - Bytes;
    const std::uint64_t Before = Total.fetch_add(Missing);
    if (Before > Limit || Missing > Limit - Before) {
      Total -= Missing;
      return false;
    }
    Bytes = Wanted;
    return true;
  }

private:
  std::atomic<std::uint64_t> &Total;
  std::uint64_t Bytes = 0;
};

class Session final : public Exchange,
                      public std::enable_shared_from_this<Session> {
public:
  using CorePtr = std::shared_ptr<HttpServer::Core>;

  Session(Tcp::socket Socket, std::size_t Thread, CorePtr SharedCore)
      : Stream(std::move(Socket)), Wake(Stream.get_executor()),
        ThreadIndex(Thread), Server(std::move(SharedCore)) {
    Server->add(*this);
  }

  ~Session() override { Server->remove(*this); }

  void start() {
    asio::co_spawn(
        Stream.get_executor(),
        [Self = shared_from_this()] { return Self->run(); },
        asio::bind_cancellation_slot(
            Cancel.slot(),
            [Self = shared_from_this()](const std::exception_ptr &) {}));
  }

  void stopWhenIdle() {
    asio::post(Stream.get_executor(), [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock();
          Self && Self->CurrentPhase == Phase::Idle)
        Self->limitIdle(Self->idleLimit());
    });
  }

  void postCut() {
    asio::post(Stream.get_executor(), [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->cut();
    });
  }

  [[nodiscard]] const HttpRequest &request() const noexcept override {
    return Request;
  }
  [[nodiscard]] std::size_t thread() const noexcept override {
    return ThreadIndex;
  }
  [[nodiscard]] bool hasBegun() const noexcept override {
    return ResponseStarted;
  }
  [[nodiscard]] bool wasCut() const noexcept override { return WasCut; }

  Awaitable<void> respond(HttpResponse Response) override {
    ResponseStarted = true;
    http::response<http::string_body> Message;
    fillHead(Message, Response);
    Message.body() = std::move(Response.Body);
    Message.prepare_payload();
    Stream.expires_after(RequestLimits.WriteTimeout);
    co_await http::async_write(Stream, Message, asio::use_awaitable);
    ResponseComplete = true;
  }

  Awaitable<void> begin(HttpResponse Head) override {
    ResponseStarted = true;
    http::response<http::empty_body> Message;
    fillHead(Message, Head);
    Message.chunked(true);
    http::response_serializer<http::empty_body> Serializer(Message);
    Stream.expires_after(RequestLimits.WriteTimeout);
    co_await http::async_write_header(Stream, Serializer, asio::use_awaitable);
  }

  Awaitable<void> write(std::string_view Part) override {
    if (Part.empty())
      co_return;
    Stream.expires_after(RequestLimits.WriteTimeout);
    co_await asio::async_write(
        Stream, http::make_chunk(asio::buffer(Part.data(), Part.size())),
        asio::use_awaitable);
  }

  Awaitable<void> end() override {
    Stream.expires_after(RequestLimits.WriteTimeout);
    co_await asio::async_write(Stream, http::make_chunk_last(),
                               asio::use_awaitable);
    ResponseComplete = true;
  }

  void cut() noexcept override {
    if (!std::exchange(WasCut, true))
      ++(CurrentPhase == Phase::Serving ? Server->ClosedInProgress
                                        : Server->ClosedIdle);
    ErrorCode Ignored;
    Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    Stream.socket().close(Ignored);
  }

  Awaitable<void> tunnel(Tcp::socket Other) override {
    ResponseStarted = true;
    KeepAlive = false;
    stopWatching();
    static constexpr std::string_view Established = "HTTP/1.1 200 OK\r\n\r\n";
    Stream.expires_after(RequestLimits.WriteTimeout);
    co_await asio::async_write(Stream, asio::buffer(Established),
                               asio::use_awaitable);
    Stream.expires_never();
    co_await forwardBytes(Stream.socket(), Other);
  }

private:
  template <class MessageType>
  void fillHead(MessageType &Message, const HttpResponse &Head) {
    Message.version(11);
    Message.result(Head.Status);
    for (const HttpField &Field : Head.Fields)
      Message.set(Field.Name, Field.Value);
    KeepAlive = KeepAlive && !Server->AnnouncesClose;
    Message.keep_alive(KeepAlive);
  }

  /// What the connection is used for. Only the session's coroutine changes it,
  /// at the steps at which it learns what has arrived.
  enum class Phase : std::uint8_t {
    /// No byte of the next request has been read.
    Idle,
    Receiving,
    /// A request is in progress.
    Serving,
    /// This end has sent all that it will send.
    Closing
  };

  Awaitable<void> run() {
    try {
      bool MayContinue = true;
      while (MayContinue) {
        MayContinue = co_await awaitRequest();
        if (MayContinue)
          MayContinue = co_await serveOne();
      }
      co_await closeGracefully();
    } catch (const boost::system::system_error &) {
      // The client disconnected or is too slow, or the session was cut.
    }
    Wake.cancel();
  }

  [[nodiscard]] milliseconds idleLimit() const {
    if (!Server->Stopping)
      return RequestLimits.IdleTimeout;
    return HasServed ? milliseconds::zero() : FirstRequestTimeout;
  }

  /// Ends the wait for a request, or for the client to close, after a time.
  void limitIdle(milliseconds Limit) {
    Wake.expires_after(Limit);
    Wake.async_wait([Weak = weak_from_this()](const ErrorCode &Problem) {
      const auto Self = Weak.lock();
      if (!Problem && Self && Self->Wake.expiry() <= SteadyClock::now() &&
          (Self->CurrentPhase == Phase::Idle ||
           Self->CurrentPhase == Phase::Closing))
        Self->cancelWait();
    });
  }

  void cancelWait() {
    ErrorCode Ignored;
    Stream.socket().cancel(Ignored);
  }

  [[nodiscard]] bool hasUnreadBytes() {
    char Byte = 0;
    ErrorCode Problem;
    Stream.socket().non_blocking(true, Problem);
    const std::size_t Bytes = Stream.socket().receive(
        asio::buffer(&Byte, 1), asio::socket_base::message_peek, Problem);
    return !Problem && Bytes > 0;
  }

  // Failure guarded against: a connection is closed as idle while a request has
  // arrived, and the request runs without an answer. The end of the wait only
  // cancels the read; whether the connection is idle is decided here, by what
  // has arrived.
  Awaitable<bool> awaitRequest() {
    RequestLimits = Server->limits();
    if (Buffer.size() > 0)
      co_return true;
    CurrentPhase = Phase::Idle;
    limitIdle(idleLimit());
    Stream.expires_never();
    auto [Problem, Bytes] = co_await readFirstBytes();
    if (Problem == asio::error::operation_aborted && hasUnreadBytes())
      std::tie(Problem, Bytes) = co_await readFirstBytes();
    else if (Problem == asio::error::operation_aborted)
      ++Server->ClosedIdle;
    CurrentPhase = Phase::Receiving;
    Wake.cancel();
    Buffer.commit(Bytes);
    co_return !Problem;
  }

  Awaitable<std::pair<ErrorCode, std::size_t>> readFirstBytes() {
    ErrorCode Problem;
    const std::size_t Bytes = co_await Stream.async_read_some(
        Buffer.prepare(FirstReadBytes),
        asio::redirect_error(asio::use_awaitable, Problem));
    co_return std::pair{Problem, Bytes};
  }

  // Failure guarded against: the client's next request is unread when the
  // socket is closed, the kernel resets the connection, and the client loses
  // the end of its response. This end is closed first, and the rest once the
  // client has closed its own or has received the response.
  Awaitable<void> closeGracefully() {
    CurrentPhase = Phase::Closing;
    ErrorCode Problem;
    Stream.socket().shutdown(Tcp::socket::shutdown_send, Problem);
    if (Problem)
      co_return;
    limitIdle(LingerTimeout);
    co_await Stream.socket().async_wait(
        Tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem || !hasUnreadBytes())
      co_return;
    ++Server->ClosedUnread;
    const auto End = SteadyClock::now() + DeliveryTimeout;
    while (hasUnacknowledgedBytes() && SteadyClock::now() < End) {
      Wake.expires_after(DeliveryPollInterval);
      co_await Wake.async_wait(asio::use_awaitable);
    }
  }

  /// Whether bytes that were written are still to be received by the client.
  [[nodiscard]] bool hasUnacknowledgedBytes() {
    int Bytes = 0;
    return ::ioctl(Stream.socket().native_handle(), SIOCOUTQ, &Bytes) == 0 &&
           Bytes > 0;
  }

  Awaitable<bool> serveOne() {
    resetRequest();
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(RequestLimits.MaxHeaderBytes);
    Parser.body_limit(RequestLimits.MaxBodyBytes);
    if (!co_await readHead(Parser))
      co_return false;
    CurrentPhase = Phase::Serving;
    HasServed = true;
    InProgressGuard Guard(Server->RequestsInProgress);
    KeepAlive = Parser.get().keep_alive();
    Request = copyHead(Parser.get());
    BodyReservation Reserved(Server->BodyMemory);
    if (!co_await readBody(Parser, Reserved))
      co_return false;
    Request.Body = std::move(Parser.get().body());
    watchClient();
    co_await handle();
    stopWatching();
    co_return KeepAlive &&ResponseComplete;
  }

  Awaitable<bool> readHead(http::request_parser<http::string_body> &Parser) {
    Stream.expires_after(RequestLimits.HeaderTimeout);
    ErrorCode Problem;
    co_await http::async_read_header(
        Stream, Buffer, Parser,
        asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem == http::error::header_limit)
      co_await refuse(431, "header-too-large");
    else if (Problem == http::error::body_limit)
      co_await refuse(413, "body-too-large");
    else if (isMalformed(Problem))
      co_await refuse(400, "bad-request");
    co_return !Problem;
  }

  Awaitable<bool> readBody(http::request_parser<http::string_body> &Parser,
                           BodyReservation &Reserved) {
    if (Server->Hooks.Check)
      if (auto Refusal = Server->Hooks.Check(Request)) {
        KeepAlive = KeepAlive && Parser.is_done();
        co_await respond(std::move(*Refusal));
        if (!KeepAlive)
          co_await drainThenClose();
        co_return KeepAlive;
      }
    if (!Reserved.growTo(Parser.content_length().value_or(0),
                         RequestLimits.MaxBodyMemory)) {
      co_await refuse(503, BodyMemoryReason);
      co_return false;
    }
    if (!Parser.is_done() &&
        beast::iequals(fieldOf(Request.Fields, "Expect"), "100-continue")) {
      static constexpr std::string_view Continue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(Stream, asio::buffer(Continue),
                                 asio::use_awaitable);
    }
    Stream.expires_after(RequestLimits.BodyTimeout);
    ErrorCode Problem;
    bool Fits = true;
    while (!Problem && Fits && !Parser.is_done()) {
      co_await http::async_read_some(
          Stream, Buffer, Parser,
          asio::redirect_error(asio::use_awaitable, Problem));
      Fits = Reserved.growTo(Parser.get().body().size(),
                             RequestLimits.MaxBodyMemory);
    }
    if (!Fits) {
      co_await refuse(503, BodyMemoryReason);
      co_return false;
    }
    if (Problem == http::error::body_limit)
      co_await refuse(413, "body-too-large");
    else if (Problem == beast::error::timeout)
      co_return false;
    co_return !Problem;
  }

  Awaitable<void> handle() {
    bool Failed = false;
    try {
      co_await Server->Hooks.Handle(*this);
    } catch (const boost::system::system_error &) {
      throw;
    } catch (const std::exception &) {
      Failed = true;
    }
    if (Failed && !ResponseStarted)
      co_await refuse(500, "internal");
    else if (Failed)
      cut();
  }

  Awaitable<void> refuse(unsigned Status, std::string_view Reason) {
    KeepAlive = false;
    co_await respond(Server->refusal(Request, Status, Reason));
    co_await drainThenClose();
  }

  // Failure guarded against: closing the socket while the client still sends
  // makes the kernel reset the connection, and the client loses the refusal
  // that it was sent. Reading on, bounded in time and size, lets the refusal
  // arrive.
  Awaitable<void> drainThenClose() {
    ErrorCode Problem;
    Stream.socket().shutdown(Tcp::socket::shutdown_send, Problem);
    Stream.expires_after(std::chrono::seconds(2));
    std::uint64_t RemainingBytes =
        std::max(MinDrainedBytes, RequestLimits.MaxBodyBytes);
    std::array<char, 4096> Discarded{};
    while (!Problem && RemainingBytes >= Discarded.size()) {
      RemainingBytes -= Discarded.size();
      co_await Stream.async_read_some(
          asio::buffer(Discarded),
          asio::redirect_error(asio::use_awaitable, Problem));
    }
  }

  void resetRequest() {
    Request = HttpRequest{};
    ResponseStarted = false;
    ResponseComplete = false;
  }

  // Cancels the handler when the client disconnects, so that no more work is
  // done for it. A disconnect makes the socket readable without any bytes.
  void watchClient() {
    WatchingClient = true;
    const std::uint64_t Watch = ++LatestWatch;
    Stream.socket().async_wait(
        Tcp::socket::wait_read,
        [Weak = weak_from_this(), Watch](const ErrorCode &Problem) {
          const auto Self = Weak.lock();
          if (Problem || !Self || !Self->WatchingClient ||
              Self->LatestWatch != Watch)
            return;
          char Byte = 0;
          ErrorCode PeekProblem;
          const std::size_t PeekedBytes = Self->Stream.socket().receive(
              asio::buffer(&Byte, 1), asio::socket_base::message_peek,
              PeekProblem);
          if (PeekProblem || PeekedBytes == 0)
            Self->Cancel.emit(asio::cancellation_type::terminal);
        });
  }

  void stopWatching() {
    WatchingClient = false;
    ErrorCode Ignored;
    Stream.socket().cancel(Ignored);
  }

  struct InProgressGuard {
    explicit InProgressGuard(std::atomic<std::size_t> &Counter)
        : Count(Counter) {
      ++Count;
    }
    InProgressGuard(const InProgressGuard &) = delete;
    InProgressGuard &operator=(const InProgressGuard &) = delete;
    ~InProgressGuard() { --Count; }
    std::atomic<std::size_t> &Count;
  };

  beast::tcp_stream Stream;
  /// Ends waits of the connection.
  asio::steady_timer Wake;
  beast::flat_buffer Buffer{MaxBufferBytes};
  std::size_t ThreadIndex;
  CorePtr Server;
  asio::cancellation_signal Cancel;
  HttpRequest Request;
  bool KeepAlive = true;
  /// Limits for the current request.
  ServerLimits RequestLimits;
  bool ResponseStarted = false;
  bool ResponseComplete = false;
  Phase CurrentPhase = Phase::Idle;
  /// Whether it has carried a request.
  bool HasServed = false;
  bool WasCut = false;
  bool WatchingClient = false;
  std::uint64_t LatestWatch = 0;
};

} // namespace

void HttpServer::Core::add(Session &NewSession) {
  const std::lock_guard Guard(Mutex);
  Sessions.insert(&NewSession);
}

void HttpServer::Core::remove(Session &ClosedSession) {
  --OpenConnections;
  const std::lock_guard Guard(Mutex);
  Sessions.erase(&ClosedSession);
}

Awaitable<void>
HttpServer::Core::acceptLoop(std::shared_ptr<Tcp::acceptor> ListenSocket) {
  while (!Stopping) {
    ErrorCode Problem;
    const std::size_t Thread = NextThread++ % Threads.size();
    Tcp::socket Socket = co_await ListenSocket->async_accept(
        Threads.context(Thread),
        asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem == asio::error::operation_aborted || !ListenSocket->is_open())
      co_return;
    if (Problem) {
      // Typically out of file descriptors: accepting again at once would spin.
      asio::steady_timer Pause(Threads.context(0), milliseconds(20));
      co_await Pause.async_wait(asio::use_awaitable);
      continue;
    }
    if (OpenConnections >= limits().MaxConnections)
      continue;
    startSession(std::move(Socket), Thread);
  }
  closeListener();
}

void HttpServer::Core::startSession(Tcp::socket Socket, std::size_t Thread) {
  ErrorCode Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  ++OpenConnections;
  asio::post(Threads.context(Thread), [Accepted = std::move(Socket), Thread,
                                       Self = shared_from_this()]() mutable {
    std::make_shared<Session>(std::move(Accepted), Thread, Self)->start();
  });
}

// Failure guarded against: clients whose connections the kernel has accepted
// and this process has not yet are reset when the listener closes.
void HttpServer::Core::closeListener() {
  const auto ListenSocket = Acceptor.lock();
  ErrorCode Problem;
  if (ListenSocket && ListenSocket->is_open()) {
    ListenSocket->non_blocking(true, Problem);
    while (!Problem && OpenConnections < limits().MaxConnections) {
      const std::size_t Thread = NextThread++ % Threads.size();
      Tcp::socket Socket(Threads.context(Thread));
      ListenSocket->accept(Socket, Problem);
      if (!Problem)
        startSession(std::move(Socket), Thread);
    }
    ListenSocket->close(Problem);
  }
  Listening = false;
}

HttpServer::HttpServer(IoPool &Pool, const std::string &Address,
                       std::uint16_t Port, ServerLimits Limits,
                       ServerHooks Hooks)
    : Shared(std::make_shared<Core>(
          Pool, Tcp::endpoint(asio::ip::make_address(Address), Port), Limits,
          std::move(Hooks))) {
  asio::co_spawn(
      Pool.context(0),
      [Self = Shared, ListenSocket = std::move(Shared->InitialAcceptor)] {
        return Self->acceptLoop(ListenSocket);
      },
      asio::detached);
}

HttpServer::~HttpServer() {
  stopAccepting();
  cutAll();
}

void HttpServer::announceClose() { Shared->AnnouncesClose = true; }

void HttpServer::setLimits(const ServerLimits &NewLimits) {
  Shared->setLimits(NewLimits);
}

std::uint16_t HttpServer::port() const noexcept { return Shared->Port; }

void HttpServer::stopAccepting() {
  Shared->AnnouncesClose = true;
  Shared->Stopping = true;
  asio::post(Shared->Threads.context(0),
             [Self = Shared] { Self->closeListener(); });
  const std::lock_guard Guard(Shared->Mutex);
  for (Session *const Active : Shared->Sessions)
    Active->stopWhenIdle();
}

void HttpServer::cutAll() {
  const std::lock_guard Guard(Shared->Mutex);
  for (Session *const Active : Shared->Sessions)
    Active->postCut();
}

std::size_t HttpServer::connections() const noexcept {
  return Shared->OpenConnections;
}

std::uint64_t HttpServer::bodyMemory() const noexcept {
  return Shared->BodyMemory;
}

std::size_t HttpServer::inProgress() const noexcept {
  return Shared->RequestsInProgress;
}

ClosedConnections HttpServer::closedConnections() const noexcept {
  return {Shared->ClosedIdle, Shared->ClosedInProgress, Shared->ClosedUnread};
}

bool HttpServer::hasEnded() const noexcept {
  return !Shared->Listening && Shared->OpenConnections == 0;
}

} // namespace coltsfoottrail
