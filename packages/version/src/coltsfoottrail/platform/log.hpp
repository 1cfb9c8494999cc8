/// @file
/// The platform's append-only log, as the project sees it.
#ifndef COLTSFOOTTRAIL_PLATFORM_LOG_HPP
#define COLTSFOOTTRAIL_PLATFORM_LOG_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/platform/fwd.hpp"

#include <functional>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Why the log did not answer as asked.
enum class LogFailure : std::uint8_t {
  /// Nothing was done: the log was not reached, or refused before acting.
  NotDone,
  /// An append may have taken effect: the answer was lost. Retry with the same
  /// writer id.
  Unknown,
  /// The offset asked for is below the horizon.
  Trimmed,
};

/// @brief A record on the log.
struct LogEntry {
  Offset At = 0;
  std::vector<std::byte> Payload;
};

/// @brief What a read found.
struct LogBatch {
  /// Records in the order of offsets, which follow each other without gaps.
  std::vector<LogEntry> Entries;
  /// Offset that the next append gets: what the log held when it answered.
  Offset End = 0;
  /// Lowest offset that can still be read.
  Offset Horizon = 0;
};

using AppendResult = std::variant<Offset, LogFailure>;
using ReadResult = std::variant<LogBatch, LogFailure>;
using AppendHandler = std::function<void(AppendResult)>;
using ReadHandler = std::function<void(ReadResult)>;

/// @brief Client of the platform's log. One adapter for each platform.
class Log {
public:
  Log() = default;
  Log(const Log &) = delete;
  Log &operator=(const Log &) = delete;
  virtual ~Log() = default;

  /// @brief Appends one record. Thread-safe.
  /// @param Stream Where to.
  /// @param Payload The record's bytes.
  /// @param Timeout After this the handler gets LogFailure::Unknown, or NotDone
  /// when no byte had left.
  /// @param Done Called exactly once, on any thread, never from within this
  /// call.
  virtual void append(const StreamName &Stream, std::vector<std::byte> Payload,
                      milliseconds Timeout, AppendHandler Done) = 0;

  /// @brief Reads records. Thread-safe.
  /// @param Stream Where from.
  /// @param From Offset of the first record wanted.
  /// @param MaxEntries Most records wanted.
  /// @param Wait How long the log may hold the answer back while there is no
  /// record at From.
  /// @param Done Called exactly once, on any thread, never from within this
  /// call.
  virtual void read(const StreamName &Stream, Offset From,
                    std::size_t MaxEntries, milliseconds Wait,
                    ReadHandler Done) = 0;
};

} // namespace coltsfoottrail

#endif
