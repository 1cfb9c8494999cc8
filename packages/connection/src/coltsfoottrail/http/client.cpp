#include "coltsfoottrail/http/client.hpp"

#include "coltsfoottrail/http/keepalive.hpp"
#include "coltsfoottrail/reach/dialer.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t MaxPartBytes = std::size_t{16} << 10U;
constexpr std::size_t MaxBufferBytes = std::size_t{64} << 10U;
constexpr unsigned FirstInterimStatus = 100;
/// Nothing asks an endpoint to switch to another protocol.
constexpr unsigned StatusSwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastFinalStatus = 599;

/// An idle connection is not used for this long before the other end closes it:
/// a request needs as long to get there.
constexpr Duration KeepAliveMargin = milliseconds(500);

std::chrono::steady_clock::duration timeUntil(TimePoint Deadline) {
  return std::max(Deadline - BootClock::now(), Duration::zero());
}

/// Whether this end gave up: the time was over, or the wait was cancelled.
bool isEndedHere(const ErrorCode &Problem) {
  return Problem == beast::error::timeout ||
         Problem == asio::error::operation_aborted;
}

/// Whether the other end or the network broke the connection.
bool isConnectionLost(const ErrorCode &Problem) {
  return !isEndedHere(Problem) && Problem != http::error::bad_status;
}

bool isInterim(unsigned Status) {
  return Status >= FirstInterimStatus && Status < FirstFinalStatus &&
         Status != StatusSwitchingProtocols;
}

bool isFinal(unsigned Status) {
  return Status >= FirstFinalStatus && Status <= LastFinalStatus;
}

} // namespace

class HttpCall::Connection {
public:
  explicit Connection(asio::io_context &Context) : Stream(Context) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { unregisterCall(); }

  /// Calls in progress by endpoint. An entry lasts from registerCall() to
  /// unregisterCall() or the end of the connection, whichever comes first.
  using CallRegistry = std::multimap<EngineAddress, Connection *>;
  void registerCall(const std::shared_ptr<CallRegistry> &Registry,
                    const EngineAddress &Endpoint, const CallPolicy *Rules) {
    Policy = Rules;
    Calls = Registry;
    RegistryEntry = Registry->emplace(Endpoint, this);
  }
  void unregisterCall() {
    if (const auto Registry = std::exchange(Calls, {}).lock())
      Registry->erase(RegistryEntry);
  }

  [[nodiscard]] bool mayAbort() const {
    return Policy == nullptr || Policy->mayAbort();
  }
  [[nodiscard]] bool isOverdue(TimePoint Now) const {
    return Policy != nullptr && Policy->isOverdue(Now);
  }
  void interrupt() {
    IsInterrupted = true;
    Stream.cancel();
  }
  void end() {
    HasEnded = true;
    Stream.cancel();
  }

  // Failure guarded against: the endpoint has closed the idle connection, or a
  // late response to an earlier request is buffered in it. Either makes the
  // socket readable. Such a connection is not reused, so that no request gets
  // the response to another one.
  [[nodiscard]] bool isReusable() {
    if (Buffer.size() != 0)
      return false;
    char Byte = 0;
    ErrorCode Problem;
    Stream.socket().non_blocking(true, Problem);
    Stream.socket().receive(asio::buffer(&Byte, 1),
                            asio::socket_base::message_peek, Problem);
    return Problem == asio::error::would_block;
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer{MaxBufferBytes};
  TimePoint IdleSince{};
  /// How long it may stay idle and be used again.
  Duration MaxIdle{};
  /// The entry host that forwards it; empty if it is direct.
  std::optional<EngineAddress> Forwarder;
  /// The pending wait was interrupted.
  bool IsInterrupted = false;
  /// No wait may begin any more.
  bool HasEnded = false;

private:
  std::weak_ptr<CallRegistry> Calls;
  CallRegistry::iterator RegistryEntry;
  const CallPolicy *Policy = nullptr;
};

struct HttpClient::Core {
  using ConnectionPtr = std::unique_ptr<HttpCall::Connection>;

  Core(asio::io_context &IoContext, ClientOptions Limits, Dialer *Endpoints)
      : Context(IoContext), Options(Limits), Dial(Endpoints) {}

  [[nodiscard]] ConnectionPtr takeIdle(const EngineAddress &Endpoint) {
    const auto Found = Idle.find(Endpoint);
    if (Found == Idle.end())
      return nullptr;
    const TimePoint Now = BootClock::now();
    while (!Found->second.empty()) {
      ConnectionPtr Candidate = std::move(Found->second.back());
      Found->second.pop_back();
      --IdleCount;
      if (Candidate->IdleSince + Candidate->MaxIdle > Now &&
          mayReuse(Endpoint, *Candidate) && Candidate->isReusable())
        return Candidate;
    }
    return nullptr;
  }

  [[nodiscard]] bool mayReuse(const EngineAddress &Endpoint,
                              const HttpCall::Connection &Candidate) const {
    return Dial == nullptr ||
           Dial->reach().mayReuse(Endpoint, Candidate.IdleSince);
  }

  /// @return Whether the connection is open.
  [[nodiscard]] Awaitable<bool> connect(HttpCall::Connection &Link,
                                        const EngineAddress &Endpoint,
                                        TimePoint Deadline) {
    const auto MaxTime =
        std::min(std::chrono::ceil<milliseconds>(timeUntil(Deadline)),
                 Options.ConnectTimeout);
    if (Dial == nullptr) {
      TcpConnector Network;
      const ErrorCode Problem =
          co_await Network.connect(Link.Stream, Endpoint, MaxTime);
      co_return !Problem;
    }
    std::optional<DialedConnection> Dialed =
        co_await Dial->dial(Link.Stream, Endpoint, MaxTime);
    if (Dialed)
      Link.Forwarder = std::move(Dialed->Forwarder);
    co_return Dialed.has_value();
  }

  void recordData(const EngineAddress &Endpoint,
                  const HttpCall::Connection &Link) const {
    if (Dial != nullptr && !Link.Forwarder)
      Dial->reach().recordData(Endpoint, BootClock::now());
  }
  /// Records a connection that was given up while a response was due.
  void recordSilence(const EngineAddress &Endpoint,
                     const HttpCall::Connection &Link) const {
    if (Dial != nullptr && !Link.Forwarder)
      Dial->reach().recordSilence(Endpoint, BootClock::now());
  }

  /// Returns an idle connection that was not used after all.
  void putBack(const EngineAddress &Endpoint, ConnectionPtr Connection) {
    Idle[Endpoint].push_back(std::move(Connection));
    ++IdleCount;
  }

  /// How long the connection of a response may be used again.
  [[nodiscard]] Duration maxIdle(const HttpResponse &Head) const {
    const Duration Longest = Options.MaxIdle;
    const std::optional<Duration> TimeOut = readKeepAlive(Head);
    return TimeOut ? std::min(Longest, *TimeOut - KeepAliveMargin) : Longest;
  }

  void release(const EngineAddress &Endpoint, ConnectionPtr Connection,
               std::size_t MaxIdleConnections, Duration MaxIdle) {
    Connection->unregisterCall();
    Connection->MaxIdle = MaxIdle;
    const std::size_t IdleLimit =
        std::min(Options.MaxIdlePerEndpoint, MaxIdleConnections);
    std::deque<ConnectionPtr> &Connections = Idle[Endpoint];
    while (!Connections.empty() && Connections.size() >= IdleLimit) {
      Connections.pop_front();
      --IdleCount;
    }
    if (IdleLimit == 0)
      return;
    Connection->Stream.expires_never();
    Connection->IdleSince = BootClock::now();
    Connections.push_back(std::move(Connection));
    ++IdleCount;
  }

  asio::io_context &Context;
  ClientOptions Options;
  Dialer *Dial;
  std::map<EngineAddress, std::deque<ConnectionPtr>> Idle;
  std::size_t IdleCount = 0;
  std::shared_ptr<HttpCall::Connection::CallRegistry> Calls =
      std::make_shared<HttpCall::Connection::CallRegistry>();
};

struct HttpCall::State {
  std::weak_ptr<HttpClient::Core> Owner;
  EngineAddress Endpoint;
  std::size_t MaxIdleConnections = 0;
  std::unique_ptr<Connection> Link;
  std::optional<http::response_parser<http::buffer_body>> Parser;
  HttpResponse Head;
  std::string Part;
};

HttpCall::HttpCall() noexcept = default;
HttpCall::HttpCall(HttpCall &&) noexcept = default;
HttpCall &HttpCall::operator=(HttpCall &&) noexcept = default;
HttpCall::~HttpCall() = default;

const HttpResponse &HttpCall::head() const noexcept { return Current->Head; }

const std::optional<EngineAddress> &HttpCall::forwarder() const noexcept {
  return Current->Link->Forwarder;
}

Awaitable<std::variant<std::optional<std::string>, CallFailure>>
HttpCall::next(TimePoint Deadline) {
  State &Call = *Current;
  if (!Call.Parser->is_done() && BootClock::now() >= Deadline)
    co_return CallFailure{RunState::MayHaveRun, Reason::EndpointTimedOut, false,
                          false, true};
  while (!Call.Parser->is_done()) {
    if (Call.Link->HasEnded)
      co_return CallFailure{RunState::MayHaveRun, Reason::EndpointCut, false,
                            false, true};
    Call.Link->IsInterrupted = false;
    Call.Part.resize(MaxPartBytes);
    auto &Body = Call.Parser->get().body();
    Body.data = Call.Part.data();
    Body.size = Call.Part.size();
    Body.more = true;
    Call.Link->Stream.expires_after(timeUntil(Deadline));
    ErrorCode Problem;
    co_await http::async_read_some(
        Call.Link->Stream, Call.Link->Buffer, *Call.Parser,
        asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem == http::error::need_buffer)
      Problem = {};
    const auto Owner = Call.Owner.lock();
    if (Problem) {
      const bool TimedOut = Problem == beast::error::timeout;
      if (Owner && isEndedHere(Problem))
        Owner->recordSilence(Call.Endpoint, *Call.Link);
      co_return CallFailure{RunState::MayHaveRun,
                            TimedOut ? Reason::EndpointTimedOut
                                     : Reason::EndpointCut,
                            isConnectionLost(Problem),
                            false,
                            isEndedHere(Problem),
                            Problem == asio::error::operation_aborted &&
                                Call.Link->IsInterrupted};
    }
    const std::size_t Bytes = Call.Part.size() - Body.size;
    if (Bytes > 0) {
      if (Owner)
        Owner->recordData(Call.Endpoint, *Call.Link);
      Call.Part.resize(Bytes);
      co_return std::move(Call.Part);
    }
  }
  // Failure guarded against: the host that forwards a response without a length
  // dies, its end closes the connection, and the rest passes for complete.
  if (Call.Link && Call.Link->Forwarder && Call.Parser->need_eof())
    co_return CallFailure{RunState::MayHaveRun, Reason::EndpointCut, false};
  const auto Owner = Call.Owner.lock();
  if (Owner && Call.Link && !Call.Link->Forwarder &&
      Call.Parser->get().keep_alive())
    Owner->release(Call.Endpoint, std::move(Call.Link), Call.MaxIdleConnections,
                   Owner->maxIdle(Call.Head));
  co_return std::optional<std::string>{};
}

HttpClient::HttpClient(asio::io_context &Context, ClientOptions Limits,
                       Dialer *Endpoints)
    : Shared(std::make_shared<Core>(Context, Limits, Endpoints)) {}

HttpClient::~HttpClient() = default;

std::size_t HttpClient::abort(const EngineAddress &Endpoint) {
  const auto [First, Last] = Shared->Calls->equal_range(Endpoint);
  std::size_t Aborted = 0;
  for (auto Entry = First; Entry != Last; ++Entry) {
    if (!Entry->second->mayAbort())
      continue;
    Entry->second->interrupt();
    ++Aborted;
  }
  return Aborted;
}

void HttpClient::abortOverdue(TimePoint Now) {
  for (const auto &[Endpoint, Connection] : *Shared->Calls)
    if (Connection->isOverdue(Now) && Connection->mayAbort())
      Connection->interrupt();
}

void HttpClient::abortAll() {
  for (const auto &[Endpoint, Connection] : *Shared->Calls)
    Connection->end();
}

void HttpClient::closeIdle() {
  Shared->Idle.clear();
  Shared->IdleCount = 0;
}

std::size_t HttpClient::idle() const noexcept { return Shared->IdleCount; }

namespace {

http::request<http::string_body> buildMessage(const EngineAddress &Endpoint,
                                              HttpRequest Request) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  Message.set(http::field::host,
              Endpoint.Address + ":" + std::to_string(Endpoint.Port));
  for (const HttpField &Field : Request.Fields)
    Message.set(Field.Name, Field.Value);
  Message.body() = std::move(Request.Body);
  Message.prepare_payload();
  return Message;
}

} // namespace

Awaitable<std::variant<HttpCall, CallFailure>>
HttpClient::start(EngineAddress Endpoint, HttpRequest Request,
                  TimePoint Deadline, ConnectionUse Use) {
  const std::shared_ptr<Core> ClientCore = Shared;
  Core::ConnectionPtr Link =
      Use.Mode == Reuse::Allowed ? ClientCore->takeIdle(Endpoint) : nullptr;
  const bool WasIdle = Link != nullptr;
  ErrorCode Problem;
  if (!WasIdle) {
    Link = std::make_unique<HttpCall::Connection>(ClientCore->Context);
    const bool IsOpen = co_await ClientCore->connect(*Link, Endpoint, Deadline);
    if (!IsOpen)
      co_return CallFailure{RunState::NotRun, Reason::EndpointFailed, false};
  }
  if (Use.Policy != nullptr && !Use.Policy->maySend()) {
    if (WasIdle)
      ClientCore->putBack(Endpoint, std::move(Link));
    else if (!Link->Forwarder)
      ClientCore->release(Endpoint, std::move(Link), Use.MaxIdleConnections,
                          ClientCore->Options.MaxIdle);
    co_return CallFailure{RunState::NotRun, Reason::EndpointRefused, false,
                          true};
  }
  Link->registerCall(ClientCore->Calls, Endpoint, Use.Policy);

  const bool HeadOnly = Request.Method == "HEAD";
  Link->Stream.expires_after(timeUntil(Deadline));
  std::size_t Written = 0;
  {
    // Its memory is not needed any longer while the response is awaited.
    const http::request<http::string_body> Message =
        buildMessage(Endpoint, std::move(Request));
    Written = co_await http::async_write(
        Link->Stream, Message,
        asio::redirect_error(asio::use_awaitable, Problem));
  }
  if (Problem) {
    const RunState State =
        Written == 0 ? RunState::NotRun : RunState::MayHaveRun;
    co_return CallFailure{State, Reason::EndpointFailed, Written != 0};
  }

  HttpCall Call;
  Call.Current = std::make_unique<HttpCall::State>();
  HttpCall::State &CallState = *Call.Current;
  CallState.Owner = ClientCore;
  CallState.Endpoint = std::move(Endpoint);
  CallState.MaxIdleConnections = Use.MaxIdleConnections;
  CallState.Link = std::move(Link);
  for (std::uint32_t Interim = 0;; ++Interim) {
    CallState.Parser.emplace();
    CallState.Parser->header_limit(ClientCore->Options.MaxHeaderBytes);
    CallState.Parser->body_limit(ClientCore->Options.MaxBodyBytes);
    CallState.Parser->skip(HeadOnly);
    co_await http::async_read_header(
        CallState.Link->Stream, CallState.Link->Buffer, *CallState.Parser,
        asio::redirect_error(asio::use_awaitable, Problem));
    const unsigned Status = CallState.Parser->get().result_int();
    if (Problem || isFinal(Status))
      break;
    // Failure guarded against: an invalid status code counts as interim, and
    // the caller waits for another response or gets the bytes that follow; or
    // the code itself is passed on.
    if (!isInterim(Status))
      Problem = http::error::bad_status;
    else if (Interim == ClientCore->Options.MaxInterimResponses)
      Problem = http::error::header_limit;
    if (Problem)
      break;
  }
  if (Problem) {
    const bool TimedOut = Problem == beast::error::timeout;
    if (isEndedHere(Problem))
      ClientCore->recordSilence(CallState.Endpoint, *CallState.Link);
    co_return CallFailure{
        RunState::MayHaveRun,
        TimedOut ? Reason::EndpointTimedOut : Reason::EndpointFailed,
        isConnectionLost(Problem), false, isEndedHere(Problem)};
  }
  ClientCore->recordData(CallState.Endpoint, *CallState.Link);
  CallState.Head.Status = CallState.Parser->get().result_int();
  for (const auto &Field : CallState.Parser->get())
    CallState.Head.Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  co_return Call;
}

Awaitable<std::variant<HttpResponse, CallFailure>>
HttpClient::fetch(EngineAddress Endpoint, HttpRequest Request,
                  TimePoint Deadline, ConnectionUse Use) {
  auto Started =
      co_await start(std::move(Endpoint), std::move(Request), Deadline, Use);
  if (const auto *const Failed = std::get_if<CallFailure>(&Started))
    co_return *Failed;
  HttpCall &Call = std::get<HttpCall>(Started);
  const std::uint64_t MaxBytes = Shared->Options.MaxFetchedBytes;
  HttpResponse Response = Call.head();
  while (true) {
    auto Next = co_await Call.next(Deadline);
    if (const auto *const Failed = std::get_if<CallFailure>(&Next))
      co_return *Failed;
    auto &Part = std::get<std::optional<std::string>>(Next);
    if (!Part)
      co_return Response;
    if (Response.Body.size() + Part->size() > MaxBytes)
      co_return CallFailure{RunState::MayHaveRun, Reason::EndpointFailed,
                            false};
    Response.Body += *Part;
  }
}

} // namespace coltsfoottrail
