/// @file
/// Buffers the log lines of one request, which are written all or not at all.
#ifndef COLTSFOOTTRAIL_LOGGING_REQUESTLOG_HPP
#define COLTSFOOTTRAIL_LOGGING_REQUESTLOG_HPP

#include "coltsfoottrail/logging/log.hpp"

#include <initializer_list>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Requests per second whose lines are written, at most.
struct RequestLogLimits {
  /// Requests answered normally: enough to compare a failed one with, about
  /// twice the request rate of one entry host.
  std::uint32_t Routine = 50;
  /// Requests that were refused, failed, sent to another endpoint or abandoned
  /// by their callers.
  std::uint32_t Notable = 250;
};

/// @brief Limits how many requests per second are logged. Not thread-safe.
///
/// Failure guarded against: under overload the log grows with the number of
/// requests and takes processor time from them, or lines are dropped at random
/// and no request can be followed from its first line to its last. Requests are
/// therefore logged completely or not at all, notable requests have a limit of
/// their own that routine ones cannot use up, and dropped requests are counted.
class RequestLogBudget {
public:
  /// @brief Sets the limits.
  explicit RequestLogBudget(RequestLogLimits InitialLimits)
      : Limits(InitialLimits) {}

  /// @brief Decides whether a request's lines are written, and counts it.
  /// @param Notable False for a request that was answered normally.
  /// @param Now The current time; must not decrease between calls.
  [[nodiscard]] bool admit(bool Notable, TimePoint Now);

  /// @brief Returns how many requests were dropped since the last call.
  [[nodiscard]] std::uint64_t takeDropped();

private:
  RequestLogLimits Limits;
  TimePoint SecondStart{};
  std::uint32_t RoutineCount = 0;
  std::uint32_t NotableCount = 0;
  std::uint64_t Dropped = 0;
};

/// @brief Collects the log lines of one request. Not thread-safe.
class RequestLog {
public:
  /// @brief Starts the log of a request.
  /// @param NewRequestId Identifier of the request.
  /// @param Now When it arrived.
  void begin(std::string_view NewRequestId, TimePoint Now);

  /// @brief Adds a line, which begins with the request's identifier and the
  /// time since it arrived.
  void add(Event Kind, std::initializer_list<Field> Fields, TimePoint Now);

  /// @brief Counts the request against the limit for notable ones.
  void markNotable() noexcept { Notable = true; }

  /// @brief Writes the lines, or drops them if the budget is used up. Call it
  /// once for a request.
  void end(RequestLogBudget &Budget, TimePoint Now);

private:
  struct Line {
    Event Kind = Event::InternalError;
    std::string Text;
  };

  std::string RequestId;
  TimePoint ArrivedAt{};
  std::vector<Line> Lines;
  bool Notable = false;
};

} // namespace coltsfoottrail

#endif
