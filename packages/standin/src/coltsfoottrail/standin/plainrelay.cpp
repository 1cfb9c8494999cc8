#include "coltsfoottrail/standin/plainrelay.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t PartBytes = std::size_t{16} << 10U;

Awaitable<void> passBack(beast::tcp_stream &Caller, beast::tcp_stream &Endpoint,
                         beast::flat_buffer &Buffer) {
  http::response_parser<http::buffer_body> Parser;
  co_await http::async_read_header(Endpoint, Buffer, Parser,
                                   asio::use_awaitable);
  http::response_serializer<http::buffer_body> Serializer(Parser.get());
  Parser.get().body().data = nullptr;
  Parser.get().body().more = true;
  co_await http::async_write_header(Caller, Serializer, asio::use_awaitable);
  std::array<char, PartBytes> Part{};
  while (!Serializer.is_done()) {
    auto &Body = Parser.get().body();
    Body.data = nullptr;
    Body.size = 0;
    if (!Parser.is_done()) {
      Body.data = Part.data();
      Body.size = Part.size();
      ErrorCode Problem;
      co_await http::async_read_some(
          Endpoint, Buffer, Parser,
          asio::redirect_error(asio::use_awaitable, Problem));
      if (Problem && Problem != http::error::need_buffer)
        throw boost::system::system_error(Problem);
      Body.size = Part.size() - Body.size;
      Body.data = Body.size > 0 ? Part.data() : nullptr;
      if (Body.size == 0 && !Parser.is_done())
        continue;
    }
    Body.more = !Parser.is_done();
    ErrorCode Problem;
    co_await http::async_write(
        Caller, Serializer, asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem && Problem != http::error::need_buffer)
      throw boost::system::system_error(Problem);
  }
}

Awaitable<void> serve(Tcp::socket Socket, EngineAddress To) {
  beast::tcp_stream Caller(std::move(Socket));
  beast::tcp_stream Endpoint(Caller.get_executor());
  beast::flat_buffer FromCaller;
  beast::flat_buffer FromEndpoint;
  try {
    const Tcp::endpoint Where(asio::ip::make_address(To.Address), To.Port);
    co_await Endpoint.async_connect(Where, asio::use_awaitable);
    Endpoint.socket().set_option(Tcp::no_delay(true));
    while (true) {
      http::request<http::string_body> Request;
      co_await http::async_read(Caller, FromCaller, Request,
                                asio::use_awaitable);
      co_await http::async_write(Endpoint, Request, asio::use_awaitable);
      co_await passBack(Caller, Endpoint, FromEndpoint);
    }
  } catch (const boost::system::system_error &) {
    // One of the two has closed: the other one's connection ends with it.
  }
}

} // namespace

struct PlainRelay::Core {
  Core(IoPool &Pool, EngineAddress Where)
      : Threads(Pool), To(std::move(Where)) {}

  static Awaitable<void> accept(std::shared_ptr<Core> Self,
                                std::shared_ptr<Tcp::acceptor> Listening) {
    std::size_t Next = 0;
    while (true) {
      asio::io_context &Home =
          Self->Threads.context(Next++ % Self->Threads.size());
      ErrorCode Problem;
      Tcp::socket Socket = co_await Listening->async_accept(
          Home, asio::redirect_error(asio::use_awaitable, Problem));
      if (Problem)
        co_return;
      Socket.set_option(Tcp::no_delay(true), Problem);
      asio::co_spawn(Home, serve(std::move(Socket), Self->To), asio::detached);
    }
  }

  IoPool &Threads;
  EngineAddress To;
  std::uint16_t Port = 0;
  std::weak_ptr<Tcp::acceptor> Acceptor;
};

PlainRelay::PlainRelay(IoPool &Threads, EngineAddress To)
    : Shared(std::make_shared<Core>(Threads, std::move(To))) {
  const Tcp::endpoint Any(asio::ip::make_address("127.0.0.1"), 0);
  auto Listening = std::make_shared<Tcp::acceptor>(Threads.context(0), Any);
  Shared->Port = Listening->local_endpoint().port();
  Shared->Acceptor = Listening;
  asio::co_spawn(Threads.context(0), Core::accept(Shared, std::move(Listening)),
                 asio::detached);
}

PlainRelay::~PlainRelay() {
  asio::post(Shared->Threads.context(0), [Self = Shared] {
    ErrorCode Ignored;
    if (const auto Listening = Self->Acceptor.lock())
      Listening->close(Ignored);
  });
}

std::uint16_t PlainRelay::port() const noexcept { return Shared->Port; }

} // namespace coltsfoottrail
