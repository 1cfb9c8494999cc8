#include "coltsfoottrail/mesh/websocket.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

namespace coltsfoottrail {

namespace {

/// The caller owns sockets and timers, so the library is used with its iostream
/// transport. It takes no locks, since each connection is used by one thread at
/// a time. Only the random source of frame masks, which all connections share,
/// is locked.
// NOLINTBEGIN(readability-identifier-naming): the library prescribes the names.
struct ProtocolConfig : websocketpp::config::core {
  using type = ProtocolConfig;
  using concurrency_type = websocketpp::concurrency::none;
  using elog_type = websocketpp::log::stub;
  using alog_type = websocketpp::log::stub;
  using rng_type = websocketpp::random::random_device::int_generator<
      std::uint32_t, websocketpp::concurrency::basic>;

  struct transport_config : websocketpp::config::core::transport_config {
    using concurrency_type = type::concurrency_type;
    using elog_type = type::elog_type;
    using alog_type = type::alog_type;
  };
  using transport_type =
      websocketpp::transport::iostream::endpoint<transport_config>;

  static const std::size_t connection_read_buffer_size = 4096;
  static const std::size_t max_http_body_size = 0;
};
// NOLINTEND(readability-identifier-naming)

using Server = websocketpp::server<ProtocolConfig>;
using Client = websocketpp::client<ProtocolConfig>;
using Handle = websocketpp::connection_hdl;
using ErrorCode = websocketpp::lib::error_code;

constexpr const char *Location = "ws://mesh/mesh";
constexpr std::size_t MaxReasonBytes = 123;

Server &server() {
  static Server Endpoint;
  return Endpoint;
}

Client &client() {
  static Client Endpoint;
  return Endpoint;
}

} // namespace

struct WebSocket::State {
  Handlers Callbacks;
  Server::connection_ptr ServerConnection;
  Client::connection_ptr ClientConnection;
  bool Closed = false;

  template <class Function> auto visit(Function Visitor) {
    return ServerConnection ? Visitor(*ServerConnection)
                            : Visitor(*ClientConnection);
  }

  void reportClosed(std::uint16_t Code, const std::string &Reason) {
    if (Closed)
      return;
    Closed = true;
    Callbacks.OnClosed(Code, Reason);
  }

  template <class Connection> void connect(Connection &WsConnection) {
    WsConnection.set_write_handler(
        [this](Handle, const char *Bytes, std::size_t Size) {
          Callbacks.OnOutput(std::string_view(Bytes, Size));
          return ErrorCode();
        });
    WsConnection.set_open_handler([this](Handle) { Callbacks.OnOpen(); });
    WsConnection.set_fail_handler([this, &WsConnection](Handle) {
      reportClosed(0, "opening handshake: " + WsConnection.get_ec().message());
    });
    WsConnection.set_close_handler([this, &WsConnection](Handle) {
      const std::uint16_t Code = WsConnection.get_remote_close_code();
      const bool HasRemoteCode =
          Code != websocketpp::close::status::abnormal_close &&
          Code != websocketpp::close::status::blank;
      if (HasRemoteCode)
        reportClosed(Code, WsConnection.get_remote_close_reason());
      else
        reportClosed(websocketpp::close::status::abnormal_close,
                     WsConnection.get_local_close_reason());
    });
    WsConnection.set_message_handler(
        [this](Handle, const Server::message_ptr &Message) {
          if (Message->get_opcode() == websocketpp::frame::opcode::binary)
            Callbacks.OnMessage(Message->get_payload());
        });
  }
};

WebSocket::WebSocket(Role LocalRole, std::size_t MaxMessageBytes,
                     Handlers Callbacks)
    : Inner(std::make_unique<State>()) {
  Inner->Callbacks = std::move(Callbacks);
  if (LocalRole == Role::Server) {
    Inner->ServerConnection = server().get_connection();
  } else {
    ErrorCode Problem;
    Inner->ClientConnection = client().get_connection(Location, Problem);
  }
  Inner->visit([this, MaxMessageBytes](auto &WsConnection) {
    WsConnection.set_max_message_size(MaxMessageBytes);
    Inner->connect(WsConnection);
  });
}

WebSocket::~WebSocket() {
  // The library's pending read keeps the connection alive until it sees the end
  // of the stream. The handlers are removed first, since the owner may already
  // be partly destroyed.
  Inner->visit([](auto &WsConnection) {
    WsConnection.set_write_handler(
        [](Handle, const char *, std::size_t) { return ErrorCode(); });
    WsConnection.set_open_handler(nullptr);
    WsConnection.set_fail_handler(nullptr);
    WsConnection.set_close_handler(nullptr);
    WsConnection.set_message_handler(nullptr);
    WsConnection.eof();
  });
}

void WebSocket::start() {
  if (Inner->ServerConnection)
    Inner->ServerConnection->start();
  else
    client().connect(Inner->ClientConnection);
}

bool WebSocket::read(std::string_view Bytes) {
  if (Inner->Closed)
    return false;
  const std::size_t Consumed = Inner->visit([Bytes](auto &WsConnection) {
    return WsConnection.read_all(Bytes.data(), Bytes.size());
  });
  return Consumed == Bytes.size() && !Inner->Closed;
}

bool WebSocket::send(std::string_view Message) {
  return Inner->visit([Message](auto &WsConnection) {
    return !WsConnection.send(Message.data(), Message.size(),
                              websocketpp::frame::opcode::binary);
  });
}

void WebSocket::ping() {
  Inner->visit([](auto &WsConnection) {
    ErrorCode Ignored;
    WsConnection.ping(std::string(), Ignored);
  });
}

void WebSocket::close(std::uint16_t Code, std::string_view Reason) {
  Inner->visit([Code, Reason](auto &WsConnection) {
    ErrorCode Ignored;
    WsConnection.close(Code, std::string(Reason.substr(0, MaxReasonBytes)),
                       Ignored);
  });
}

void WebSocket::receiveEof() {
  Inner->visit([](auto &WsConnection) { WsConnection.eof(); });
}

bool WebSocket::isClosed() const noexcept { return Inner->Closed; }

void WebSocket::setMaxMessageBytes(std::size_t MaxMessageBytes) {
  Inner->visit([MaxMessageBytes](auto &WsConnection) {
    WsConnection.set_max_message_size(MaxMessageBytes);
  });
}

} // namespace coltsfoottrail
