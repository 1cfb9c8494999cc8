/// @file
/// Spans of the hops of a request.
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

/// @brief One hop under way; its span is written when it goes out of scope.
class ScopedSpan {
public:
  /// @brief Begins a hop.
  /// @param Writer Where its span goes; null for nowhere.
  /// @param Begun What is known of it at the start.
  ScopedSpan(SpanWriter *Writer, Span Begun);
  ScopedSpan(const ScopedSpan &) = delete;
  ScopedSpan &operator=(const ScopedSpan &) = delete;
  ~ScopedSpan();

  /// @brief The hop's own context, for what it causes.
  [[nodiscard]] const TraceContext &context() const noexcept {
    return Current.Context;
  }
  /// @brief Notes text.
  void setAttribute(SpanKey Key, std::string_view Value);
  /// @brief Notes how an attempt ended.
  void recordResult(const AttemptResult &Result);

private:
  SpanWriter *Destination;
  Span Current;
};

/// @brief Makes the hops of this process. Thread-safe.
class SpanFactory {
public:
  /// @brief Makes a maker.
  /// @param File Where spans go; empty for nowhere. Contexts are passed on all
  /// the same.
  /// @param Host This entry host.
  /// @param Seed Seeds the identifiers.
  /// @throws Error The file cannot be opened.
  SpanFactory(const std::filesystem::path &File, const HostName &Host,
              std::uint64_t Seed);

  /// @brief Continues the trace that a caller named, or begins one.
  [[nodiscard]] TraceContext accept(std::string_view Traceparent);
  /// @brief Begins a hop below a context.
  [[nodiscard]] ScopedSpan begin(std::string_view Name, SpanKind Kind,
                                 const TraceContext &Parent);
  /// @brief Spans that were dropped.
  [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
  TraceIds Ids;
  std::unique_ptr<SpanWriter> Writer;
};

} // namespace coltsfoottrail

#endif
