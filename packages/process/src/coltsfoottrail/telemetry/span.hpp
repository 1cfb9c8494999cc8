/// @file
/// Spans and the thread that writes them.
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

/// Place of a span among hops, with the numbers of OTLP.
enum class SpanKind : std::uint8_t { Internal = 1, Server = 2, Client = 3 };

/// What a span may say. There is no key for headers or credentials, so none
/// can get into a trace by mistake.
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

/// @brief One thing that a span says.
struct SpanAttribute {
  SpanKey Key = SpanKey::Target;
  std::variant<std::string, std::int64_t, bool> Value;
};

/// @brief One hop of a request.
struct Span {
  /// What was done; a fixed word of the code, never a caller's text.
  std::string Name;
  SpanKind Kind = SpanKind::Internal;
  /// Trace and own identifier.
  TraceContext Context;
  /// The span that caused this one; nothing for the first of a trace.
  std::optional<std::array<std::uint8_t, 8>> Parent;
  std::chrono::system_clock::time_point Begin;
  std::chrono::system_clock::time_point End;
  bool Failed = false;
  std::vector<SpanAttribute> Attributes;
};

/// @brief Shows a span as one line of OTLP/JSON. Thread-safe.
/// @param Shown The span.
/// @param Host This entry host.
/// @return One ExportTraceServiceRequest without a line end.
[[nodiscard]] std::string otlpLine(const Span &Shown, const HostName &Host);

/// @brief Writes spans to a file on its own thread. Thread-safe.
///
/// Failure guarded against: a slow or full file system holds up requests.
/// write() never waits: it puts the span into a bounded queue, and one that
/// finds the queue full is dropped and counted.
class SpanWriter {
public:
  /// @brief Opens the file and starts the thread.
  /// @param File Lines are appended to it.
  /// @param Host This entry host.
  /// @param MaxWaiting Most spans in the queue.
  /// @throws Error The file cannot be opened.
  SpanWriter(const std::filesystem::path &File, HostName Host,
             std::size_t MaxWaiting = 4096);
  SpanWriter(const SpanWriter &) = delete;
  SpanWriter &operator=(const SpanWriter &) = delete;
  /// @brief Writes what waits and ends the thread.
  ~SpanWriter();

  /// @brief Hands a span over. Never waits for the file.
  /// @param Finished The span; one whose context is not sampled is ignored.
  /// @return Whether it was taken or ignored; false when it was dropped.
  bool write(Span Finished);

  /// @brief Counts the spans that found the queue full or could not be written.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return Dropped; }
  /// @brief Counts the spans that were written.
  [[nodiscard]] std::uint64_t written() const noexcept { return Written; }

private:
  void run();
  void writeAll(const std::deque<Span> &Batch);

  HostName Host;
  std::size_t Bound;
  std::FILE *Out;
  std::atomic<std::uint64_t> Dropped = 0;
  std::atomic<std::uint64_t> Written = 0;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Span> Waiting;
  bool Ending = false;
  std::thread Thread;
};

} // namespace coltsfoottrail

#endif
