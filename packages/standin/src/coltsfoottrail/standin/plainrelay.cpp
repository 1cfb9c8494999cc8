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

constexpr std::size_t ChunkBytes = std::size_t{16} << 10U;

Awaitable<void> relayResponse(beast::tcp_stream &Caller,
                              beast::tcp_stream &Endpoint,
                              beast::flat_buffer &Buffer) {
  http::response_parser<http::buffer_body> Parser;
  co_await http::async_read_header(Endpoint, Buffer, Parser,
                                   asio::use_awaitable);
  http::response_serializer<http::buffer_body> Serializer(Parser.get());
  Parser.get().body().data = nullptr;
  Parser.get().body().more = true;
  co_await http::async_write_header(Caller, Serializer, asio::use_awaitable);
  std::array<char, ChunkBytes> Chunk{};
  while (!Serializer.is_done()) {
    auto &Body = Parser.get().body();
    Body.data = nullptr;
    Body.size = 0;
    if (!Parser.is_done()) {
      Body.data = Chunk.data();
      Body.size = Chunk.size();
      ErrorCode Problem;
      co_await http::async_read_some(
          Endpoint, Buffer, Parser,
          asio::redirect_error(asio::use_awaitable, Problem));
      if (Problem && Problem != http::error::need_buffer)
        throw boost::system::system_error(Problem);
      Body.size = Chunk.size() - Body.size;
      Body.data = Body.size > 0 ? Chunk.data() : nullptr;
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

Awaitable<void> serve(Tcp::socket Socket, EngineAddress EndpointAddress) {
  beast::tcp_stream Caller(std::move(Socket));
  beast::tcp_stream Endpoint(Caller.get_executor());
  beast::flat_buffer FromCaller;
  beast::flat_buffer FromEndpoint;
  try {
    const Tcp::endpoint Destination(
        asio::ip::make_address(EndpointAddress.Address), EndpointAddress.Port);
    co_await Endpoint.async_connect(Destination, asio::use_awaitable);
    Endpoint.socket().set_option(Tcp::no_delay(true));
    while (true) {
      http::request<http::string_body> Request;
      co_await http::async_read(Caller, FromCaller, Request,
                                asio::use_awaitable);
      co_await http::async_write(Endpoint, Request, asio::use_awaitable);
      co_await relayResponse(Caller, Endpoint, FromEndpoint);
    }
  } catch (const boost::system::system_error &) {
    // One of the two connections has closed; leaving the scope closes the
    // other.
  }
}

} // namespace

struct PlainRelay::Core {
  Core(IoPool &Pool, EngineAddress Destination)
      : Threads(Pool), EndpointAddress(std::move(Destination)) {}

  static Awaitable<void>
  accept(std::shared_ptr<Core> Self,
         std::shared_ptr<Tcp::acceptor> ListeningAcceptor) {
    std::size_t Next = 0;
    while (true) {
      asio::io_context &Context =
          Self->Threads.context(Next++ % Self->Threads.size());
      ErrorCode Problem;
      Tcp::socket Socket = co_await ListeningAcceptor->async_accept(
          Context, asio::redirect_error(asio::use_awaitable, Problem));
      if (Problem)
        co_return;
      Socket.set_option(Tcp::no_delay(true), Problem);
      asio::co_spawn(Context, serve(std::move(Socket), Self->EndpointAddress),
                     asio::detached);
    }
  }

  IoPool &Threads;
  EngineAddress EndpointAddress;
  std::uint16_t Port = 0;
  std::weak_ptr<Tcp::acceptor> Acceptor;
};

PlainRelay::PlainRelay(IoPool &Threads, EngineAddress EndpointAddress)
    : Shared(std::make_shared<Core>(Threads, std::move(EndpointAddress))) {
  const Tcp::endpoint Any(asio::ip::make_address("127.0.0.1"), 0);
  auto ListeningAcceptor =
      std::make_shared<Tcp::acceptor>(Threads.context(0), Any);
  Shared->Port = ListeningAcceptor->local_endpoint().port();
  Shared->Acceptor = ListeningAcceptor;
  asio::co_spawn(Threads.context(0),
                 Core::accept(Shared, std::move(ListeningAcceptor)),
                 asio::detached);
}

PlainRelay::~PlainRelay() {
  asio::post(Shared->Threads.context(0), [Self = Shared] {
    ErrorCode Ignored;
    if (const auto ListeningAcceptor = Self->Acceptor.lock())
      ListeningAcceptor->close(Ignored);
  });
}

std::uint16_t PlainRelay::port() const noexcept { return Shared->Port; }

} // namespace coltsfoottrail
