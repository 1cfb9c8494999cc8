/// @file
/// Interface to the platform's append-only log.
#ifndef COLTSFOOTTRAIL_PLATFORM_LOG_HPP
#define COLTSFOOTTRAIL_PLATFORM_LOG_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/platform/fwd.hpp"

#include <functional>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Why a call to the log failed.
enum class LogFailure : std::uint8_t {
  /// The call had no effect: the log was not reached or refused the call.
  NotDone,
  /// The response was lost; an append may have taken effect. Retry with the
  /// same
  /// writer identifier.
  Unknown,
  /// The requested offset is below the horizon.
  Trimmed,
};

/// @brief A record of the log.
struct LogEntry {
  /// The record's offset.
  Offset At = 0;
  std::vector<std::byte> Payload;
};

/// @brief Result of a read.
struct LogBatch {
  /// Records with consecutive offsets, in ascending order.
  std::vector<LogEntry> Entries;
  /// Offset of the next append at the time of the response.
  Offset End = 0;
  /// Lowest offset that can still be read.
  Offset Horizon = 0;
};

using AppendResult = std::variant<Offset, LogFailure>;
using ReadResult = std::variant<LogBatch, LogFailure>;
using AppendHandler = std::function<void(AppendResult)>;
using ReadHandler = std::function<void(ReadResult)>;

/// @brief Client of the platform's log; implemented once for each platform.
class Log {
public:
  Log() = default;
  Log(const Log &) = delete;
  Log &operator=(const Log &) = delete;
  virtual ~Log() = default;

  /// @brief Appends one record. Thread-safe.
  /// @param Stream The stream to append to.
  /// @param Payload The record's bytes.
  /// @param Timeout After this time the handler gets LogFailure::Unknown, or
  /// NotDone if no byte was sent.
  /// @param Done Called exactly once, on any thread, never from within this
  /// call.
  virtual void append(const StreamName &Stream, std::vector<std::byte> Payload,
                      milliseconds Timeout, AppendHandler Done) = 0;

  /// @brief Reads records. Thread-safe.
  /// @param Stream The stream to read from.
  /// @param From Offset of the first record to read.
  /// @param MaxEntries Maximum number of records.
  /// @param Wait How long the log may delay its response while there is no
  /// record at From.
  /// @param Done Called exactly once, on any thread, never from within this
  /// call.
  virtual void read(const StreamName &Stream, Offset From,
                    std::size_t MaxEntries, milliseconds Wait,
                    ReadHandler Done) = 0;
};

} // namespace coltsfoottrail

#endif
