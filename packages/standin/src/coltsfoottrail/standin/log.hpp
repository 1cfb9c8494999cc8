/// @file
/// Stand-in for the platform's log.
#ifndef COLTSFOOTTRAIL_STANDIN_LOG_HPP
#define COLTSFOOTTRAIL_STANDIN_LOG_HPP

#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/platform/log.hpp"
#include "coltsfoottrail/standin/fwd.hpp"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace coltsfoottrail {

/// @brief How the log misbehaves.
struct LogFaults {
  /// Every call is answered with 503 and has no effect.
  bool Down = false;
  /// Added to each call.
  milliseconds Delay{0};
  /// So many appends take effect while their answer is lost.
  std::uint32_t LoseAnswers = 0;
};

/// @brief An append-only log in memory, with offsets, a horizon and faults.
class LogStandin {
public:
  /// @brief Starts to serve.
  /// @param Threads Where connections live; must outlive the stand-in.
  /// @param Address IP number.
  /// @param Port Port; zero for any free one.
  /// @param KeepEntries Records kept in each stream; older ones are trimmed.
  LogStandin(IoPool &Threads, const std::string &Address, std::uint16_t Port,
             std::size_t KeepEntries = std::size_t{1} << 20U);

  /// @brief The port served on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief Sets the faults. Thread-safe.
  void setFaults(LogFaults Wanted);
  /// @brief Appends taken so far over all streams. Thread-safe.
  [[nodiscard]] std::uint64_t appends() const;
  /// @brief Reads answered so far over all streams. Thread-safe.
  [[nodiscard]] std::uint64_t reads() const;
  /// @brief Trims a stream below an offset. Thread-safe.
  void trim(const StreamName &Stream, Offset Horizon);

private:
  struct Stream {
    Offset Horizon = 0;
    std::deque<std::vector<std::byte>> Entries;
  };

  [[nodiscard]] Awaitable<void> handle(Exchange &Call);
  [[nodiscard]] Awaitable<void> handleAppend(Exchange &Call,
                                             const std::string &Name);
  [[nodiscard]] Awaitable<void> handleRead(Exchange &Call,
                                           const std::string &Name);
  [[nodiscard]] HttpResponse setFaultsFrom(const std::string &Body);
  [[nodiscard]] std::optional<HttpResponse>
  readNow(const std::string &Name, Offset From, std::size_t Max, bool Last);

  std::size_t Keep;
  mutable std::mutex Lock;
  LogFaults Faults;
  std::map<std::string, Stream> Streams;
  std::uint64_t AppendCount = 0;
  std::uint64_t ReadCount = 0;
  HttpServer Server;
};

} // namespace coltsfoottrail

#endif
