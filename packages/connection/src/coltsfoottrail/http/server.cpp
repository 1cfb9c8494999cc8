#include "coltsfoottrail/http/server.hpp"

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
#include <mutex>
#include <set>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t LargestBufferedBytes = std::size_t{64} << 10U;

constexpr std::size_t FirstReadBytes = 4096;

class Session;

bool isMalformed(const ErrorCode &Problem) {
  if (Problem == http::error::end_of_stream ||
      Problem == http::error::partial_message)
    return false;
  return Problem && Problem.category() ==
                        make_error_code(http::error::bad_method).category();
}

HttpRequest copyHead(const http::request_header<> &Head) {
  HttpRequest Out;
  Out.Method = std::string(Head.method_string());
  Out.Target = std::string(Head.target());
  for (const auto &Field : Head)
    Out.Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Out;
}

HttpResponse plainRefusal(unsigned Status, std::string_view Why) {
  return jsonResponse(Status, R"({"error":")" + std::string(Why) + "\"}");
}

} // namespace

struct HttpServer::Core : std::enable_shared_from_this<HttpServer::Core> {
  Core(IoPool &Pool, const Tcp::endpoint &Where, ServerLimits Bounds,
       ServerHooks What)
      : Threads(Pool), Limits(Bounds), Hooks(std::move(What)), Port(0) {
    auto Listening = std::make_shared<Tcp::acceptor>(Pool.context(0));
    Listening->open(Where.protocol());
    Listening->set_option(asio::socket_base::reuse_address(true));
    Listening->bind(Where);
    Listening->listen(asio::socket_base::max_listen_connections);
    Port = Listening->local_endpoint().port();
    Acceptor = Listening;
    FirstHold = std::move(Listening);
  }

  Awaitable<void> acceptLoop(std::shared_ptr<Tcp::acceptor> Listening);
  void add(Session &Opened);
  void remove(Session &Closed);
  HttpResponse refusal(unsigned Status, std::string_view Why) const {
    return Hooks.Refuse ? Hooks.Refuse(Status, Why) : plainRefusal(Status, Why);
  }

  [[nodiscard]] ServerLimits limits() {
    const std::lock_guard Hold(Lock);
    return Limits;
  }
  void setLimits(const ServerLimits &Wanted) {
    const std::lock_guard Hold(Lock);
    Limits = Wanted;
  }

  IoPool &Threads;
  ServerLimits Limits;
  ServerHooks Hooks;
  std::uint16_t Port;
  /// The accepting coroutine owns it: it must end with its thread's context,
  /// while sessions of other threads may outlive that.
  std::weak_ptr<Tcp::acceptor> Acceptor;
  std::shared_ptr<Tcp::acceptor> FirstHold;
  std::atomic<bool> Stopping{false};
  std::atomic<std::size_t> Open{0};
  std::atomic<std::size_t> Busy{0};
  std::mutex Lock;
  std::set<Session *> Sessions;
};

namespace {

class Session final : public Exchange,
                      public std::enable_shared_from_this<Session> {
public:
  using CorePtr = std::shared_ptr<HttpServer::Core>;

  Session(Tcp::socket Socket, std::size_t Thread, CorePtr Owner)
      : Stream(std::move(Socket)), ThreadIndex(Thread),
        Server(std::move(Owner)) {
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
      if (const auto Self = Weak.lock(); Self && Self->Idle)
        Self->cut();
    });
  }

  void cutFromOutside() {
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
  [[nodiscard]] bool hasBegun() const noexcept override { return Begun; }

  Awaitable<void> respond(HttpResponse Whole) override {
    Begun = true;
    http::response<http::string_body> Message;
    fillHead(Message, Whole);
    Message.body() = std::move(Whole.Body);
    Message.prepare_payload();
    Stream.expires_after(Bounds.WriteTimeout);
    co_await http::async_write(Stream, Message, asio::use_awaitable);
    AnswerWhole = true;
  }

  Awaitable<void> begin(HttpResponse Head) override {
    Begun = true;
    http::response<http::empty_body> Message;
    fillHead(Message, Head);
    Message.chunked(true);
    http::response_serializer<http::empty_body> Serializer(Message);
    Stream.expires_after(Bounds.WriteTimeout);
    co_await http::async_write_header(Stream, Serializer, asio::use_awaitable);
  }

  Awaitable<void> write(std::string_view Part) override {
    if (Part.empty())
      co_return;
    Stream.expires_after(Bounds.WriteTimeout);
    co_await asio::async_write(
        Stream, http::make_chunk(asio::buffer(Part.data(), Part.size())),
        asio::use_awaitable);
  }

  Awaitable<void> end() override {
    Stream.expires_after(Bounds.WriteTimeout);
    co_await asio::async_write(Stream, http::make_chunk_last(),
                               asio::use_awaitable);
    AnswerWhole = true;
  }

  void cut() noexcept override {
    ErrorCode Ignored;
    Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    Stream.socket().close(Ignored);
  }

private:
  template <class Message>
  void fillHead(Message &Into, const HttpResponse &From) {
    Into.version(11);
    Into.result(From.Status);
    for (const HttpField &Field : From.Fields)
      Into.set(Field.Name, Field.Value);
    KeepAlive = KeepAlive && !Server->Stopping;
    Into.keep_alive(KeepAlive);
  }

  Awaitable<void> run() {
    try {
      // An answer that began before the stop could not say that its connection
      // closes; it closes all the same, so that no request comes on it later.
      while (KeepAlive && co_await serveOne() && !Server->Stopping) {
      }
    } catch (const boost::system::system_error &) {
      // The client is gone, too slow, or this session was cut.
    }
    ErrorCode Ignored;
    Stream.socket().shutdown(Tcp::socket::shutdown_send, Ignored);
  }

  Awaitable<bool> serveOne() {
    resetRequest();
    Bounds = Server->limits();
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(Bounds.MaxHeaderBytes);
    Parser.body_limit(Bounds.MaxBodyBytes);
    if (!co_await readHead(Parser))
      co_return false;
    Idle = false;
    BusyMark Mark(Server->Busy);
    KeepAlive = Parser.get().keep_alive();
    Request = copyHead(Parser.get());
    if (!co_await readBody(Parser))
      co_return false;
    Request.Body = std::move(Parser.get().body());
    watchClient();
    co_await handle();
    stopWatching();
    co_return KeepAlive &&AnswerWhole;
  }

  Awaitable<bool> readHead(http::request_parser<http::string_body> &Parser) {
    Idle = Buffer.size() == 0;
    if (Idle) {
      Stream.expires_after(Bounds.IdleTimeout);
      const std::size_t Bytes = co_await Stream.async_read_some(
          Buffer.prepare(FirstReadBytes), asio::use_awaitable);
      Buffer.commit(Bytes);
    }
    Stream.expires_after(Bounds.HeaderTimeout);
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

  Awaitable<bool> readBody(http::request_parser<http::string_body> &Parser) {
    if (Server->Hooks.Check)
      if (auto Refusal = Server->Hooks.Check(Request)) {
        KeepAlive = KeepAlive && Parser.is_done();
        co_await respond(std::move(*Refusal));
        if (!KeepAlive)
          co_await drainThenClose();
        co_return KeepAlive;
      }
    if (!Parser.is_done() &&
        beast::iequals(fieldOf(Request.Fields, "Expect"), "100-continue")) {
      static constexpr std::string_view Continue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(Stream, asio::buffer(Continue),
                                 asio::use_awaitable);
    }
    Stream.expires_after(Bounds.BodyTimeout);
    ErrorCode Problem;
    co_await http::async_read(
        Stream, Buffer, Parser,
        asio::redirect_error(asio::use_awaitable, Problem));
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
    if (Failed && !Begun)
      co_await refuse(500, "internal");
    else if (Failed)
      cut();
  }

  Awaitable<void> refuse(unsigned Status, std::string_view Why) {
    KeepAlive = false;
    co_await respond(Server->refusal(Status, Why));
    co_await drainThenClose();
  }

  // Failure guarded against: closing while the client still sends makes the
  // kernel answer with a reset, and the client loses the refusal that it was
  // sent. Reading on for a bounded time and size lets the refusal arrive.
  Awaitable<void> drainThenClose() {
    ErrorCode Problem;
    Stream.socket().shutdown(Tcp::socket::shutdown_send, Problem);
    Stream.expires_after(std::chrono::seconds(2));
    std::size_t Left = std::size_t{1} << 20U;
    std::array<char, 4096> Waste{};
    while (!Problem && Left >= Waste.size()) {
      Left -= Waste.size();
      co_await Stream.async_read_some(
          asio::buffer(Waste),
          asio::redirect_error(asio::use_awaitable, Problem));
    }
  }

  void resetRequest() {
    Request = HttpRequest{};
    Begun = false;
    AnswerWhole = false;
  }

  // A caller that goes away must stop the work done for it: its socket becomes
  // readable with no bytes, and the signal cancels what the handler waits for.
  void watchClient() {
    Watching = true;
    const std::uint64_t Watch = ++WatchNumber;
    Stream.socket().async_wait(
        Tcp::socket::wait_read,
        [Weak = weak_from_this(), Watch](const ErrorCode &Problem) {
          const auto Self = Weak.lock();
          if (Problem || !Self || !Self->Watching || Self->WatchNumber != Watch)
            return;
          char Byte = 0;
          ErrorCode PeekProblem;
          const std::size_t Seen = Self->Stream.socket().receive(
              asio::buffer(&Byte, 1), asio::socket_base::message_peek,
              PeekProblem);
          if (PeekProblem || Seen == 0)
            Self->Cancel.emit(asio::cancellation_type::terminal);
        });
  }

  void stopWatching() {
    Watching = false;
    ErrorCode Ignored;
    Stream.socket().cancel(Ignored);
  }

  struct BusyMark {
    explicit BusyMark(std::atomic<std::size_t> &Counter) : Count(Counter) {
      ++Count;
    }
    BusyMark(const BusyMark &) = delete;
    BusyMark &operator=(const BusyMark &) = delete;
    ~BusyMark() { --Count; }
    std::atomic<std::size_t> &Count;
  };

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer{LargestBufferedBytes};
  std::size_t ThreadIndex;
  CorePtr Server;
  asio::cancellation_signal Cancel;
  HttpRequest Request;
  bool KeepAlive = true;
  /// In force for the request that is read or answered.
  ServerLimits Bounds;
  bool Begun = false;
  bool AnswerWhole = false;
  bool Idle = true;
  bool Watching = false;
  std::uint64_t WatchNumber = 0;
};

} // namespace

void HttpServer::Core::add(Session &Opened) {
  ++Open;
  const std::lock_guard Hold(Lock);
  Sessions.insert(&Opened);
}

void HttpServer::Core::remove(Session &Closed) {
  --Open;
  const std::lock_guard Hold(Lock);
  Sessions.erase(&Closed);
}

Awaitable<void>
HttpServer::Core::acceptLoop(std::shared_ptr<Tcp::acceptor> Listening) {
  std::size_t Next = 0;
  while (!Stopping) {
    ErrorCode Problem;
    const std::size_t Thread = Next++ % Threads.size();
    Tcp::socket Socket = co_await Listening->async_accept(
        Threads.context(Thread),
        asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem == asio::error::operation_aborted || !Listening->is_open())
      co_return;
    if (Problem) {
      // Out of descriptors: accepting again at once would spin.
      asio::steady_timer Pause(Threads.context(0), milliseconds(20));
      co_await Pause.async_wait(asio::use_awaitable);
      continue;
    }
    if (Open >= limits().MaxConnections)
      continue;
    Socket.set_option(Tcp::no_delay(true), Problem);
    asio::post(Threads.context(Thread), [Accepted = std::move(Socket), Thread,
                                         Self = shared_from_this()]() mutable {
      std::make_shared<Session>(std::move(Accepted), Thread, Self)->start();
    });
  }
}

HttpServer::HttpServer(IoPool &Threads, const std::string &Address,
                       std::uint16_t Port, ServerLimits Limits,
                       ServerHooks Hooks)
    : Shared(std::make_shared<Core>(
          Threads, Tcp::endpoint(asio::ip::make_address(Address), Port), Limits,
          std::move(Hooks))) {
  asio::co_spawn(
      Threads.context(0),
      [Self = Shared, Listening = std::move(Shared->FirstHold)] {
        return Self->acceptLoop(Listening);
      },
      asio::detached);
}

HttpServer::~HttpServer() {
  stopAccepting();
  cutAll();
}

void HttpServer::setLimits(const ServerLimits &Wanted) {
  Shared->setLimits(Wanted);
}

std::uint16_t HttpServer::port() const noexcept { return Shared->Port; }

void HttpServer::stopAccepting() {
  Shared->Stopping = true;
  asio::post(Shared->Threads.context(0), [Self = Shared] {
    ErrorCode Ignored;
    if (const auto Listening = Self->Acceptor.lock())
      Listening->close(Ignored);
  });
  const std::lock_guard Hold(Shared->Lock);
  for (Session *const Open : Shared->Sessions)
    Open->stopWhenIdle();
}

void HttpServer::cutAll() {
  const std::lock_guard Hold(Shared->Lock);
  for (Session *const Open : Shared->Sessions)
    Open->cutFromOutside();
}

std::size_t HttpServer::connections() const noexcept { return Shared->Open; }

std::size_t HttpServer::inProgress() const noexcept { return Shared->Busy; }

} // namespace coltsfoottrail
