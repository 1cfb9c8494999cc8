#include "coltsfoottrail/http/client.hpp"

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

constexpr std::size_t PartBytes = std::size_t{16} << 10U;
constexpr std::size_t LargestBufferedBytes = std::size_t{64} << 10U;

std::chrono::steady_clock::duration leftUntil(TimePoint Deadline) {
  return std::max(Deadline - BootClock::now(), Duration::zero());
}

/// Whether the other side broke the connection, and not this one.
bool lostConnection(const ErrorCode &Problem) {
  return Problem != beast::error::timeout &&
         Problem != asio::error::operation_aborted;
}

} // namespace

class HttpCall::Connection {
public:
  explicit Connection(asio::io_context &Context) : Stream(Context) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { leave(); }

  /// Counts as in progress until leave(). The set must outlive the connection
  /// or be empty.
  using InProgress = std::multimap<EngineAddress, Connection *>;
  void enter(const std::shared_ptr<InProgress> &All, const EngineAddress &To) {
    Calls = All;
    Place = All->emplace(To, this);
  }
  void leave() {
    if (const auto All = std::exchange(Calls, {}).lock())
      All->erase(Place);
  }

  // Failure guarded against: an endpoint closes an idle connection, or a late
  // answer to an earlier request waits in it. Either shows as a readable
  // socket, and the connection is then not used again, so that no request meets
  // another one's answer.
  [[nodiscard]] bool clean() {
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
  beast::flat_buffer Buffer{LargestBufferedBytes};
  TimePoint IdleSince{};

private:
  std::weak_ptr<InProgress> Calls;
  InProgress::iterator Place;
};

struct HttpClient::Core {
  using ConnectionPtr = std::unique_ptr<HttpCall::Connection>;

  Core(asio::io_context &Where, ClientOptions Limits)
      : Context(Where), Options(Limits) {}

  [[nodiscard]] ConnectionPtr takeIdle(const EngineAddress &To) {
    const auto Found = Idle.find(To);
    if (Found == Idle.end())
      return nullptr;
    const TimePoint Oldest = BootClock::now() - Options.MaxIdle;
    while (!Found->second.empty()) {
      ConnectionPtr Candidate = std::move(Found->second.back());
      Found->second.pop_back();
      --IdleCount;
      if (Candidate->IdleSince > Oldest && Candidate->clean())
        return Candidate;
    }
    return nullptr;
  }

  void giveBack(const EngineAddress &To, ConnectionPtr Used,
                std::size_t MaxIdleConnections) {
    Used->leave();
    const std::size_t Most =
        std::min(Options.MaxIdlePerEndpoint, MaxIdleConnections);
    std::deque<ConnectionPtr> &Kept = Idle[To];
    while (!Kept.empty() && Kept.size() >= Most) {
      Kept.pop_front();
      --IdleCount;
    }
    if (Most == 0)
      return;
    Used->Stream.expires_never();
    Used->IdleSince = BootClock::now();
    Kept.push_back(std::move(Used));
    ++IdleCount;
  }

  asio::io_context &Context;
  ClientOptions Options;
  std::map<EngineAddress, std::deque<ConnectionPtr>> Idle;
  std::size_t IdleCount = 0;
  std::shared_ptr<HttpCall::Connection::InProgress> Calls =
      std::make_shared<HttpCall::Connection::InProgress>();
};

struct HttpCall::State {
  std::weak_ptr<HttpClient::Core> Owner;
  EngineAddress To;
  std::size_t MaxIdleConnections = 0;
  std::unique_ptr<Connection> Link;
  http::response_parser<http::buffer_body> Parser;
  HttpResponse Head;
  std::string Part;
};

HttpCall::HttpCall() noexcept = default;
HttpCall::HttpCall(HttpCall &&) noexcept = default;
HttpCall &HttpCall::operator=(HttpCall &&) noexcept = default;
HttpCall::~HttpCall() = default;

const HttpResponse &HttpCall::head() const noexcept { return Current->Head; }

Awaitable<std::variant<std::optional<std::string>, CallFailure>>
HttpCall::next(TimePoint Deadline) {
  State &Call = *Current;
  while (!Call.Parser.is_done()) {
    Call.Part.resize(PartBytes);
    auto &Body = Call.Parser.get().body();
    Body.data = Call.Part.data();
    Body.size = Call.Part.size();
    Body.more = true;
    Call.Link->Stream.expires_after(leftUntil(Deadline));
    ErrorCode Problem;
    co_await http::async_read_some(
        Call.Link->Stream, Call.Link->Buffer, Call.Parser,
        asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem == http::error::need_buffer)
      Problem = {};
    if (Problem) {
      const bool TimedOut = Problem == beast::error::timeout;
      co_return CallFailure{RunState::MayHaveRun,
                            TimedOut ? Reason::EndpointTimedOut
                                     : Reason::EndpointCut,
                            lostConnection(Problem)};
    }
    const std::size_t Bytes = Call.Part.size() - Body.size;
    if (Bytes > 0) {
      Call.Part.resize(Bytes);
      co_return std::move(Call.Part);
    }
  }
  const auto Owner = Call.Owner.lock();
  if (Owner && Call.Link && Call.Parser.get().keep_alive())
    Owner->giveBack(Call.To, std::move(Call.Link), Call.MaxIdleConnections);
  co_return std::optional<std::string>{};
}

HttpClient::HttpClient(asio::io_context &Context, ClientOptions Limits)
    : Shared(std::make_shared<Core>(Context, Limits)) {}

HttpClient::~HttpClient() = default;

std::size_t HttpClient::abort(const EngineAddress &To) {
  const auto [First, Last] = Shared->Calls->equal_range(To);
  for (auto Each = First; Each != Last; ++Each)
    Each->second->Stream.cancel();
  return static_cast<std::size_t>(std::distance(First, Last));
}

void HttpClient::closeIdle() {
  Shared->Idle.clear();
  Shared->IdleCount = 0;
}

std::size_t HttpClient::idle() const noexcept { return Shared->IdleCount; }

namespace {

http::request<http::string_body> messageOf(const EngineAddress &To,
                                           HttpRequest Request) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  Message.set(http::field::host, To.Address + ":" + std::to_string(To.Port));
  for (const HttpField &Field : Request.Fields)
    Message.set(Field.Name, Field.Value);
  Message.body() = std::move(Request.Body);
  Message.prepare_payload();
  return Message;
}

} // namespace

Awaitable<std::variant<HttpCall, CallFailure>>
HttpClient::start(EngineAddress To, HttpRequest Request, TimePoint Deadline,
                  ConnectionUse Use) {
  const std::shared_ptr<Core> Own = Shared;
  Core::ConnectionPtr Link =
      Use.Mode == Reuse::Allowed ? Own->takeIdle(To) : nullptr;
  ErrorCode Problem;
  if (!Link) {
    Link = std::make_unique<HttpCall::Connection>(Own->Context);
    const auto Address = asio::ip::make_address(To.Address, Problem);
    if (Problem)
      co_return CallFailure{RunState::NotRun, Reason::EndpointFailed, false};
    Link->Stream.expires_after(std::min<std::chrono::steady_clock::duration>(
        leftUntil(Deadline), Own->Options.ConnectTimeout));
    co_await Link->Stream.async_connect(
        Tcp::endpoint(Address, To.Port),
        asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem)
      co_return CallFailure{RunState::NotRun, Reason::EndpointFailed, false};
    Link->Stream.socket().set_option(Tcp::no_delay(true), Problem);
  }
  Link->enter(Own->Calls, To);

  const bool HeadOnly = Request.Method == "HEAD";
  const http::request<http::string_body> Message =
      messageOf(To, std::move(Request));
  Link->Stream.expires_after(leftUntil(Deadline));
  const std::size_t Written = co_await http::async_write(
      Link->Stream, Message,
      asio::redirect_error(asio::use_awaitable, Problem));
  if (Problem) {
    const RunState State =
        Written == 0 ? RunState::NotRun : RunState::MayHaveRun;
    co_return CallFailure{State, Reason::EndpointFailed, Written != 0};
  }

  HttpCall Call;
  Call.Current = std::make_unique<HttpCall::State>();
  HttpCall::State &Opened = *Call.Current;
  Opened.Owner = Own;
  Opened.To = std::move(To);
  Opened.MaxIdleConnections = Use.MaxIdleConnections;
  Opened.Link = std::move(Link);
  Opened.Parser.header_limit(Own->Options.MaxHeaderBytes);
  Opened.Parser.body_limit(Own->Options.MaxBodyBytes);
  Opened.Parser.skip(HeadOnly);
  co_await http::async_read_header(
      Opened.Link->Stream, Opened.Link->Buffer, Opened.Parser,
      asio::redirect_error(asio::use_awaitable, Problem));
  if (Problem) {
    const bool TimedOut = Problem == beast::error::timeout;
    co_return CallFailure{RunState::MayHaveRun,
                          TimedOut ? Reason::EndpointTimedOut
                                   : Reason::EndpointFailed,
                          lostConnection(Problem)};
  }
  Opened.Head.Status = Opened.Parser.get().result_int();
  for (const auto &Field : Opened.Parser.get())
    Opened.Head.Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  co_return Call;
}

Awaitable<std::variant<HttpResponse, CallFailure>>
HttpClient::fetch(EngineAddress To, HttpRequest Request, TimePoint Deadline,
                  ConnectionUse Use) {
  auto Started =
      co_await start(std::move(To), std::move(Request), Deadline, Use);
  if (const auto *const Failed = std::get_if<CallFailure>(&Started))
    co_return *Failed;
  HttpCall &Call = std::get<HttpCall>(Started);
  HttpResponse Whole = Call.head();
  while (true) {
    auto Next = co_await Call.next(Deadline);
    if (const auto *const Failed = std::get_if<CallFailure>(&Next))
      co_return *Failed;
    auto &Part = std::get<std::optional<std::string>>(Next);
    if (!Part)
      co_return Whole;
    Whole.Body += *Part;
  }
}

} // namespace coltsfoottrail
