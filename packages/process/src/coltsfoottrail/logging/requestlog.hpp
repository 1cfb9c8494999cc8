/// @file
/// The lines that one request leaves in the log: all of them or none.
#ifndef COLTSFOOTTRAIL_LOGGING_REQUESTLOG_HPP
#define COLTSFOOTTRAIL_LOGGING_REQUESTLOG_HPP

#include "coltsfoottrail/logging/log.hpp"

#include <initializer_list>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Most requests whose lines are written, in a second.
struct RequestLogLimits {
  /// Requests that were answered as usual: enough to compare a failed one with,
  /// about twice what one entry host serves today.
  std::uint32_t Routine = 50;
  /// Requests that were refused, failed, moved or left by their callers.
  std::uint32_t Notable = 250;
};

/// @brief Decides which requests leave lines. Not thread-safe.
///
/// Failure guarded against: under overload the log grows with the requests and
/// takes the processor from them, or it is cut off at random and no request can
/// be followed from its first line to its last. Whole requests are kept or
/// dropped, those that tell of a failure are kept first, and what was dropped
/// is counted.
class RequestLogBudget {
public:
  /// @brief Sets the limits.
  explicit RequestLogBudget(RequestLogLimits Given) : Limits(Given) {}

  /// @brief Asks whether a request's lines are written.
  /// @param Telling Whether it was anything but answered as usual.
  /// @param Now The time; must not go back.
  [[nodiscard]] bool admit(bool Telling, TimePoint Now);

  /// @brief Hands over how many requests were dropped since the last call.
  [[nodiscard]] std::uint64_t takeDropped();

private:
  RequestLogLimits Limits;
  TimePoint SecondStart{};
  std::uint32_t UsualCount = 0;
  std::uint32_t TellingCount = 0;
  std::uint64_t Dropped = 0;
};

/// @brief Gathers the lines of one request. Not thread-safe.
class RequestLog {
public:
  /// @brief Starts a trail.
  /// @param Request Identifier of the request.
  /// @param Now When it arrived.
  void begin(std::string_view Request, TimePoint Now);

  /// @brief Adds a line. The request's id and the time since it arrived are
  /// added to it.
  void add(Event Which, std::initializer_list<Field> Fields, TimePoint Now);

  /// @brief Something out of the ordinary happened to it.
  void markNotable() noexcept { Telling = true; }

  /// @brief Writes the lines, or drops them; a trail ends once.
  void end(RequestLogBudget &Budget, TimePoint Now);

private:
  struct Line {
    Event Which = Event::InternalError;
    std::string Text;
  };

  std::string Id;
  TimePoint BeganAt{};
  std::vector<Line> Lines;
  bool Telling = false;
};

} // namespace coltsfoottrail

#endif
