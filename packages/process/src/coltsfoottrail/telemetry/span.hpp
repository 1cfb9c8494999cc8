/// @file
/// Trace spans and the thread that writes them.
#ifndef COLTSFOOTTRAIL_TELEMETRY_SPAN_HPP
#define COLTSFOOTTRAIL_TELEMETRY_SPAN_HPP

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/telemetry/fwd.hpp"
#include "coltsfoottrail/telemetry/trace.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Role of a span in its request; the values are those of OTLP.
enum class SpanKind : std::uint8_t { Internal = 1, Server = 2, Client = 3 };

/// Keys of span attributes. There is none for headers or credentials, so they
/// cannot get into a trace by mistake.
enum class SpanKey : std::uint8_t {
  Target,
  Endpoint,
  Peer,
  RunState,
  Reason,
  Status,
  Attempt,
  BytesIn,
  BytesOut,
  Streamed,
};

/// @brief An attribute of a span.
struct SpanAttribute {
  SpanKey Key = SpanKey::Target;
  std::variant<std::string, std::int64_t, bool> Value;
};

/// @brief One hop of a request.
struct Span {
  /// The operation; a constant of the code, never text sent by a caller.
  std::string Name;
  SpanKind Kind = SpanKind::Internal;
  /// Trace identifier and the span's own identifier.
  TraceContext Context;
  /// Identifier of the parent span; nothing for the root of a trace.
  std::optional<std::array<std::uint8_t, 8>> Parent;
  std::chrono::system_clock::time_point Begin;
  std::chrono::system_clock::time_point End;
  bool Failed = false;
  std::vector<SpanAttribute> Attributes;
};

/// @brief Formats a span as one line of OTLP/JSON. Thread-safe.
/// @param Source The span.
/// @param Host This entry host.
/// @return One ExportTraceServiceRequest without a line end.
[[nodiscard]] std::string otlpLine(const Span &Source, const HostName &Host);

/// @brief Writes spans to a file on its own thread. Thread-safe.
///
/// Failure guarded against: a slow or full file system delays requests. write()
/// never waits for the file: it puts the span into a bounded queue, and a span
/// that finds the queue full is dropped and counted.
class SpanWriter {
public:
  /// @brief Opens the file and starts the thread.
  /// @param Path The file; lines are appended to it.
  /// @param Host This entry host.
  /// @param MaxQueued Maximum number of spans in the queue.
  /// @throws Error The file cannot be opened.
  SpanWriter(const std::filesystem::path &Path, HostName Host,
             std::size_t MaxQueued = 4096);
  SpanWriter(const SpanWriter &) = delete;
  SpanWriter &operator=(const SpanWriter &) = delete;
  /// @brief Writes the queued spans and joins the thread.
  ~SpanWriter();

  /// @brief Queues a span. Never waits for the file.
  /// @param Finished The span; one whose context is not sampled is ignored.
  /// @return True if it was queued or ignored; false if it was dropped.
  bool write(Span Finished);

  /// @brief Number of spans that found the queue full or could not be written.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return Dropped; }
  /// @brief Number of spans written.
  [[nodiscard]] std::uint64_t written() const noexcept { return Written; }

private:
  void run();
  void writeAll(const std::deque<Span> &Batch);

  HostName Host;
  std::size_t Capacity;
  std::FILE *File;
  std::atomic<std::uint64_t> Dropped = 0;
  std::atomic<std::uint64_t> Written = 0;
  std::mutex Mutex;
  std::condition_variable QueueChanged;
  std::deque<Span> Queue;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace coltsfoottrail

#endif
