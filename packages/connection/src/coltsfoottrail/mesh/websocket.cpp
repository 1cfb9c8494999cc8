#include "coltsfoottrail/mesh/websocket.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

namespace coltsfoottrail {

namespace {

/// Sockets and timers belong to the caller, so the library gets its byte
/// transport. No locks: each connection is used by one thread at a time. The
/// source of frame masks is shared by all and has a lock.
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
  Handlers Told;
  Server::connection_ptr AsServer;
  Client::connection_ptr AsClient;
  bool Closed = false;

  template <class Function> auto visit(Function Act) {
    return AsServer ? Act(*AsServer) : Act(*AsClient);
  }

  void end(std::uint16_t Code, const std::string &Reason) {
    if (Closed)
      return;
    Closed = true;
    Told.OnClosed(Code, Reason);
  }

  template <class Connection> void connect(Connection &With) {
    With.set_write_handler([this](Handle, const char *Bytes, std::size_t Size) {
      Told.OnOutput(std::string_view(Bytes, Size));
      return ErrorCode();
    });
    With.set_open_handler([this](Handle) { Told.OnOpen(); });
    With.set_fail_handler([this, &With](Handle) {
      end(0, "opening handshake: " + With.get_ec().message());
    });
    With.set_close_handler([this, &With](Handle) {
      const std::uint16_t Code = With.get_remote_close_code();
      const bool Given = Code != websocketpp::close::status::abnormal_close &&
                         Code != websocketpp::close::status::blank;
      if (Given)
        end(Code, With.get_remote_close_reason());
      else
        end(websocketpp::close::status::abnormal_close,
            With.get_local_close_reason());
    });
    With.set_message_handler(
        [this](Handle, const Server::message_ptr &Message) {
          if (Message->get_opcode() == websocketpp::frame::opcode::binary)
            Told.OnMessage(Message->get_payload());
        });
  }
};

WebSocket::WebSocket(Role End, std::size_t MaxMessageBytes, Handlers Told)
    : Inner(std::make_unique<State>()) {
  Inner->Told = std::move(Told);
  if (End == Role::Server) {
    Inner->AsServer = server().get_connection();
  } else {
    ErrorCode Problem;
    Inner->AsClient = client().get_connection(Location, Problem);
  }
  Inner->visit([this, MaxMessageBytes](auto &With) {
    With.set_max_message_size(MaxMessageBytes);
    Inner->connect(With);
  });
}

WebSocket::~WebSocket() {
  // The library's pending read holds its own connection; the end of the stream
  // lets go of it. The handlers go first, since the owner may be half gone.
  Inner->visit([](auto &With) {
    With.set_write_handler(
        [](Handle, const char *, std::size_t) { return ErrorCode(); });
    With.set_open_handler(nullptr);
    With.set_fail_handler(nullptr);
    With.set_close_handler(nullptr);
    With.set_message_handler(nullptr);
    With.eof();
  });
}

void WebSocket::start() {
  if (Inner->AsServer)
    Inner->AsServer->start();
  else
    client().connect(Inner->AsClient);
}

bool WebSocket::read(std::string_view Bytes) {
  if (Inner->Closed)
    return false;
  const std::size_t Taken = Inner->visit([Bytes](auto &With) {
    return With.read_all(Bytes.data(), Bytes.size());
  });
  return Taken == Bytes.size() && !Inner->Closed;
}

bool WebSocket::send(std::string_view Message) {
  return Inner->visit([Message](auto &With) {
    return !With.send(Message.data(), Message.size(),
                      websocketpp::frame::opcode::binary);
  });
}

void WebSocket::ping() {
  Inner->visit([](auto &With) {
    ErrorCode Ignored;
    With.ping(std::string(), Ignored);
  });
}

void WebSocket::close(std::uint16_t Code, std::string_view Reason) {
  Inner->visit([Code, Reason](auto &With) {
    ErrorCode Ignored;
    With.close(Code, std::string(Reason.substr(0, MaxReasonBytes)), Ignored);
  });
}

void WebSocket::end() {
  Inner->visit([](auto &With) { With.eof(); });
}

bool WebSocket::isOver() const noexcept { return Inner->Closed; }

void WebSocket::setMaxMessageBytes(std::size_t MaxMessageBytes) {
  Inner->visit([MaxMessageBytes](auto &With) {
    With.set_max_message_size(MaxMessageBytes);
  });
}

} // namespace coltsfoottrail
