/// @file
/// Trace spans of requests.
#ifndef COLTSFOOTTRAIL_SERVER_SPANS_HPP
#define COLTSFOOTTRAIL_SERVER_SPANS_HPP

#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/telemetry/span.hpp"
#include "coltsfoottrail/telemetry/trace.hpp"

#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief An open span; it is written on destruction if its trace is sampled.
class ScopedSpan {
public:
  /// @brief Begins a span.
  /// @param Writer Writes the span; null discards it.
  /// @param Started Name, kind and context of the span.
  ScopedSpan(SpanWriter *Writer, Span Started);
  ScopedSpan(const ScopedSpan &) = delete;
  ScopedSpan &operator=(const ScopedSpan &) = delete;
  ~ScopedSpan();

  /// @brief Context of this span, the parent of spans and requests that it
  /// causes.
  [[nodiscard]] const TraceContext &context() const noexcept {
    return Current.Context;
  }
  /// @brief Adds a text attribute.
  void setAttribute(SpanKey Key, std::string_view Value);
  /// @brief Records the result of an attempt.
  void recordResult(const AttemptResult &Result);

private:
  SpanWriter *Destination;
  Span Current;
};

/// @brief Creates the spans of this process. Thread-safe.
class SpanFactory {
public:
  /// @brief Creates a factory.
  /// @param File File that spans are written to; if empty, none are written,
  /// but trace contexts are still propagated.
  /// @param Host Name of this entry host.
  /// @param Seed Seed for the span and trace identifiers.
  /// @throws Error The file cannot be opened.
  SpanFactory(const std::filesystem::path &File, const HostName &Host,
              std::uint64_t Seed);

  /// @brief Continues the trace named by the traceparent field of a request, or
  /// starts a new one.
  [[nodiscard]] TraceContext accept(std::string_view Traceparent);
  /// @brief Begins a child span of a context.
  [[nodiscard]] ScopedSpan begin(std::string_view Name, SpanKind Kind,
                                 const TraceContext &Parent);
  /// @brief Number of spans that were dropped.
  [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
  TraceIds Ids;
  std::unique_ptr<SpanWriter> Writer;
};

} // namespace coltsfoottrail

#endif
