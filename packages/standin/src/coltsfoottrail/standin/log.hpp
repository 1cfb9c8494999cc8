/// @file
/// Stand-in for the platform's log, for tests and trials.
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

/// @brief Faults to inject into the log.
struct LogFaults {
  /// Every call fails with status 503 and has no effect.
  bool Down = false;
  /// Delay added to each call.
  milliseconds Delay{0};
  /// Number of coming appends that take effect but whose response is dropped.
  std::uint32_t LoseAnswers = 0;
};

/// @brief An append-only log in memory with offsets, retention and fault
/// injection.
class LogStandin {
public:
  /// @brief Starts serving.
  /// @param Threads Threads that serve connections; must outlive the stand-in.
  /// @param Address IP address to listen on.
  /// @param Port Port to listen on; zero for any free port.
  /// @param KeepEntries Maximum number of records kept in each stream; older
  /// ones are trimmed.
  LogStandin(IoPool &Threads, const std::string &Address, std::uint16_t Port,
             std::size_t KeepEntries = std::size_t{1} << 20U);

  /// @brief The port listened on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief Sets the faults. Thread-safe.
  void setFaults(LogFaults NewFaults);
  /// @brief Number of appends so far on all streams. Thread-safe.
  [[nodiscard]] std::uint64_t appends() const;
  /// @brief Number of reads answered so far on all streams. Thread-safe.
  [[nodiscard]] std::uint64_t reads() const;
  /// @brief Removes the records of a stream below an offset. Thread-safe.
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
  /// @param Final Whether to respond even if there are no records.
  /// @return Nothing when there are no records yet and the read may wait on.
  [[nodiscard]] std::optional<HttpResponse>
  readNow(const std::string &Name, Offset From, std::size_t Max, bool Final);

  std::size_t RetainedEntries;
  mutable std::mutex Lock;
  LogFaults Faults;
  std::map<std::string, Stream> Streams;
  std::uint64_t AppendCount = 0;
  std::uint64_t ReadCount = 0;
  HttpServer Server;
};

} // namespace coltsfoottrail

#endif
