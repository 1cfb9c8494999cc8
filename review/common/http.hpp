/// @file
/// Blocking HTTP/1.1 on loopback for the stand-ins of the review's cases.
#ifndef REVIEW_HTTP_HPP
#define REVIEW_HTTP_HPP

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Byte) { return std::tolower(Byte); });
  return Text;
}

/// A request or a response; names of fields are in lower case.
struct Message {
  std::string Start;
  std::map<std::string, std::string> Fields;
  std::string Body;

  [[nodiscard]] std::string field(const std::string &Name) const {
    const auto Found = Fields.find(Name);
    return Found == Fields.end() ? std::string() : Found->second;
  }
  [[nodiscard]] std::string method() const {
    return Start.substr(0, Start.find(' '));
  }
  [[nodiscard]] std::string target() const {
    const std::size_t First = Start.find(' ') + 1;
    return Start.substr(First, Start.find(' ', First) - First);
  }
  [[nodiscard]] int status() const {
    const std::size_t First = Start.find(' ');
    return First == std::string::npos ? 0 : std::atoi(Start.c_str() + First);
  }
};

/// A connection with the bytes that were read and not used yet.
class Connection {
public:
  explicit Connection(int Descriptor) : Socket(Descriptor) {
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { close(); }

  void close() {
    if (Socket >= 0)
      ::close(std::exchange(Socket, -1));
  }
  [[nodiscard]] int descriptor() const { return Socket; }

  bool send(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const ssize_t Count =
          ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Count));
    }
    return true;
  }

  /// Why reading ended early.
  enum class End { None, Closed, TimedOut, Malformed };

  /// Reads more bytes.
  End fill(Clock::time_point Deadline) {
    const auto Left = std::chrono::ceil<milliseconds>(Deadline - Clock::now());
    pollfd Poll{Socket, POLLIN, 0};
    const int Ready =
        poll(&Poll, 1, static_cast<int>(std::max<long>(0, Left.count())));
    if (Ready == 0)
      return End::TimedOut;
    char Bytes[65536];
    const ssize_t Count = recv(Socket, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return End::Closed;
    Unread.append(Bytes, static_cast<std::size_t>(Count));
    return End::None;
  }

  /// Reads a message; HasBody is false for the response to a HEAD request.
  std::pair<std::optional<Message>, End> read(Clock::time_point Deadline,
                                              bool HasBody = true) {
    Message Result;
    std::size_t HeadEnd = 0;
    while ((HeadEnd = Unread.find("\r\n\r\n")) == std::string::npos)
      if (const End Ended = fill(Deadline); Ended != End::None)
        return {std::nullopt, Ended};
    parseHead(Unread.substr(0, HeadEnd + 2), Result);
    Unread.erase(0, HeadEnd + 4);
    if (!HasBody)
      return {Result, End::None};
    if (lower(Result.field("transfer-encoding")) == "chunked")
      return readChunks(std::move(Result), Deadline);
    const std::size_t Length =
        std::strtoull(Result.field("content-length").c_str(), nullptr, 10);
    while (Unread.size() < Length)
      if (const End Ended = fill(Deadline); Ended != End::None)
        return {std::nullopt, Ended};
    Result.Body = Unread.substr(0, Length);
    Unread.erase(0, Length);
    return {Result, End::None};
  }

  [[nodiscard]] const std::string &unread() const { return Unread; }

private:
  static void parseHead(const std::string &Head, Message &Result) {
    std::size_t Begin = 0;
    while (Begin < Head.size()) {
      const std::size_t LineEnd = Head.find("\r\n", Begin);
      const std::string Line = Head.substr(Begin, LineEnd - Begin);
      Begin = LineEnd + 2;
      if (Result.Start.empty()) {
        Result.Start = Line;
        continue;
      }
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      const std::size_t First = Line.find_first_not_of(' ', Colon + 1);
      Result.Fields[lower(Line.substr(0, Colon))] =
          First == std::string::npos ? "" : Line.substr(First);
    }
  }

  std::pair<std::optional<Message>, End> readChunks(Message Result,
                                                    Clock::time_point Until) {
    while (true) {
      std::size_t LineEnd = 0;
      while ((LineEnd = Unread.find("\r\n")) == std::string::npos)
        if (const End Ended = fill(Until); Ended != End::None)
          return {std::nullopt, Ended};
      const std::size_t Length =
          std::strtoull(Unread.c_str(), nullptr, 16) + LineEnd + 2;
      while (Unread.size() < Length + 2)
        if (const End Ended = fill(Until); Ended != End::None)
          return {std::nullopt, Ended};
      Result.Body += Unread.substr(LineEnd + 2, Length - LineEnd - 2);
      Unread.erase(0, Length + 2);
      if (Length == LineEnd + 2)
        return {Result, End::None};
    }
  }

  int Socket;
  std::string Unread;
};

inline sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Opens a connection; nothing if it is refused.
inline std::unique_ptr<Connection> dial(std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof Address) != 0) {
    ::close(Socket);
    return nullptr;
  }
  return std::make_unique<Connection>(Socket);
}

/// Listens on a free port; each connection has a thread of its own.
class Listener {
public:
  explicit Listener(std::function<void(Connection &)> Handler)
      : Serve(std::move(Handler)),
        Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address = loopback(0);
    socklen_t Size = sizeof Address;
    if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        listen(Socket, 1024) != 0)
      throw std::runtime_error("cannot listen");
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port = ntohs(Address.sin_port);
    std::thread([this] {
      while (true) {
        const int Accepted = accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (Accepted < 0)
          continue;
        std::thread([this, Accepted] {
          Connection Link(Accepted);
          Serve(Link);
        }).detach();
      }
    }).detach();
  }
  [[nodiscard]] std::uint16_t port() const { return Port; }

private:
  std::function<void(Connection &)> Serve;
  int Socket;
  std::uint16_t Port = 0;
};

/// A port that was free a moment ago.
inline std::uint16_t freePort() {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof Address;
  bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Socket);
  return ntohs(Address.sin_port);
}

inline std::string response(int Status, const std::string &Fields,
                            const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace review

#endif
