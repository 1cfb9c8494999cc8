/// @file
/// Writes numbered events to the log.
#ifndef COLTSFOOTTRAIL_LOGGING_LOG_HPP
#define COLTSFOOTTRAIL_LOGGING_LOG_HPP

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/logging/event.hpp"

#include <concepts>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief One key and value of a logged event. It cannot be made from a Secret,
/// so secrets do not reach the log.
struct Field {
  /// @brief A text field.
  /// @param Name The field's key: lower-case words joined by underscores.
  /// @param Content Any text; it is escaped when it is written.
  Field(std::string_view Name, std::string_view Content)
      : Key(Name), Value(Content) {}
  /// @copydoc Field(std::string_view, std::string_view)
  Field(std::string_view Name, const char *Content)
      : Key(Name), Value(Content) {}
  /// @brief A field whose value is a typed name, such as a HostName.
  /// @param Name The field's key.
  /// @param Content The typed name.
  template <class Tag>
  Field(std::string_view Name, const coltsfoottrail::Name<Tag> &Content)
      : Key(Name), Value(Content.Text) {}
  /// @brief A numeric or Boolean field.
  /// @param Name The field's key.
  /// @param Content The number, or true or false.
  template <std::integral Number>
  Field(std::string_view Name, Number Content)
      : Key(Name), Value(valueText(Content)) {}

  std::string_view Key;
  std::string Value;

private:
  template <std::integral Number>
  [[nodiscard]] static std::string valueText(Number Content) {
    if constexpr (std::same_as<Number, bool>)
      return Content ? "true" : "false";
    else
      return std::to_string(Content);
  }
};

/// @brief Opens the log. Call it once, before other threads log; events logged
/// earlier are discarded. Not thread-safe.
/// @param Config Settings that name the file and the level.
/// @throws Error The file cannot be opened.
void openLog(const TelemetrySettings &Config);

/// @brief Opens the log on standard output, written asynchronously by a thread
/// of its own. Has the preconditions of openLog(). Not thread-safe.
///
/// Failure guarded against: the process that reads the output stops reading,
/// the pipe fills up, and every request blocks until its line is written. Lines
/// that find the buffer full are dropped, and the log says how many.
/// @param MinLevel Least severe level that is logged.
void openOutputLog(LogLevel MinLevel);

/// @brief Flushes and closes the log. Thread-safe against logEvent(): events
/// logged later are discarded.
void closeLog();

/// @brief Logs an event. Thread-safe; never throws.
/// @param Kind The event.
/// @param Fields Its fields; their order is kept.
void logEvent(Event Kind, std::initializer_list<Field> Fields = {}) noexcept;

/// @brief Logs a line formatted by eventLine(). Thread-safe; never throws.
/// @param Kind The line's event, which determines the level.
/// @param Line The line.
void logLine(Event Kind, const std::string &Line) noexcept;

/// @brief Formats the line that logEvent() writes, without time and level.
/// Thread-safe.
///
/// Failure guarded against: a caller sends a value that contains a line end and
/// so forges lines in the log. Control characters, quotes and backslashes are
/// escaped and each value is truncated at 512 bytes, so an event is always one
/// line and its keys are those of the code.
/// @param Kind The event.
/// @param Fields Its fields.
/// @param LeadingFields Fields that are written before the others.
/// @return For example "E1001 started key=value other=\"two words\"".
[[nodiscard]] std::string
eventLine(Event Kind, std::initializer_list<Field> Fields,
          std::initializer_list<Field> LeadingFields = {});

/// @brief Rate limiter for log events of one kind, so that a flood of refusals
/// does not become a flood of log lines. Thread-safe.
class EventSampler {
public:
  /// @brief Sets the rate limit.
  /// @param MaxPerPeriod Events admitted per period, at most.
  /// @param Length Length of a period.
  EventSampler(std::uint32_t MaxPerPeriod, Duration Length) noexcept
      : Limit(MaxPerPeriod), Period(Length) {}

  /// @brief Decides whether to log an event now.
  /// @param Kind The event; each kind has its own limit.
  /// @param Now The current time.
  /// @return Nothing if it should not be logged; otherwise how many were
  /// suppressed since the last one that was logged.
  [[nodiscard]] std::optional<std::uint64_t> admit(Event Kind, TimePoint Now);

private:
  struct Count {
    TimePoint PeriodStart;
    std::uint32_t Admitted = 0;
    std::uint64_t Suppressed = 0;
  };

  std::uint32_t Limit;
  Duration Period;
  std::mutex Mutex;
  std::map<Event, Count> Counts;
};

} // namespace coltsfoottrail

#endif
