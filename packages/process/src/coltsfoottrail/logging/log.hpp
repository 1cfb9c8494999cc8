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

/// @brief One key and value of a logged event. Secrets have no way into it.
struct Field {
  /// @brief A field of text.
  /// @param Name Lower-case words joined by underscores.
  /// @param Shown Any text; it is escaped when it is written.
  Field(std::string_view Name, std::string_view Shown)
      : Key(Name), Value(Shown) {}
  /// @copydoc Field(std::string_view, std::string_view)
  Field(std::string_view Name, const char *Shown) : Key(Name), Value(Shown) {}
  /// @brief A field of a name.
  /// @param Name The field's key.
  /// @param Shown What it names.
  template <class Tag>
  Field(std::string_view Name, const coltsfoottrail::Name<Tag> &Shown)
      : Key(Name), Value(Shown.Text) {}
  /// @brief A field of a number or a flag.
  /// @param Name The field's key.
  /// @param Shown The number, or true or false.
  template <std::integral Number>
  Field(std::string_view Name, Number Shown)
      : Key(Name), Value(shownOf(Shown)) {}

  std::string_view Key;
  std::string Value;

private:
  template <std::integral Number>
  [[nodiscard]] static std::string shownOf(Number Shown) {
    if constexpr (std::same_as<Number, bool>)
      return Shown ? "true" : "false";
    else
      return std::to_string(Shown);
  }
};

/// @brief Opens the log. Call it once, before other threads log; events logged
/// before go nowhere. Not thread-safe.
/// @param Where Settings that name the file and the level.
/// @throws Error The file cannot be opened.
void openLog(const TelemetrySettings &Where);

/// @brief Opens the log on the standard output, written aside by a thread of
/// its own. Not thread-safe; as openLog().
///
/// Failure guarded against: whoever reads the output stops to read, the pipe
/// fills up, and every request waits for a line to be written. Lines beyond the
/// buffer are dropped, and the log says how many.
/// @param Least Least urgent events that are logged.
void openOutputLog(LogLevel Least);

/// @brief Flushes and closes the log. Thread-safe against logEvent(): events
/// logged later go nowhere.
void closeLog();

/// @brief Logs an event. Thread-safe; never throws.
/// @param Which The event.
/// @param Fields What to say of it; the order is kept.
void logEvent(Event Which, std::initializer_list<Field> Fields = {}) noexcept;

/// @brief Logs a line that eventLine() made. Thread-safe; never throws.
/// @param Which The line's event, for its level.
/// @param Line The line.
void logLine(Event Which, const std::string &Line) noexcept;

/// @brief The line that logEvent() writes, without the time. Thread-safe.
///
/// Failure guarded against: a caller sends a value with a line end in it and so
/// writes lines of its own into the log. Control characters, quotes and
/// backslashes are escaped and each value is cut at 512 bytes, so an event is
/// always one line and its keys are those of the code.
/// @param Which The event.
/// @param Fields What to say of it.
/// @param First Fields that go before the others.
/// @return "E1001 started key=value other=\"two words\"".
[[nodiscard]] std::string eventLine(Event Which,
                                    std::initializer_list<Field> Fields,
                                    std::initializer_list<Field> First = {});

/// @brief Lets through a bounded number of events of one kind, so that a flood
/// of refusals is not a flood of log lines. Thread-safe.
class EventSampler {
public:
  /// @brief Sets the bound.
  /// @param MaxPerPeriod Most events let through in each period.
  /// @param Length Length of a period.
  EventSampler(std::uint32_t MaxPerPeriod, Duration Length) noexcept
      : Bound(MaxPerPeriod), Period(Length) {}

  /// @brief Asks whether to log an event now.
  /// @param Which The event; each has its own bound.
  /// @param Now The time.
  /// @return Nothing when it should not be logged; else how many were held back
  /// since the last one that was.
  [[nodiscard]] std::optional<std::uint64_t> admit(Event Which, TimePoint Now);

private:
  struct Count {
    TimePoint PeriodStart;
    std::uint32_t Admitted = 0;
    std::uint64_t HeldBack = 0;
  };

  std::uint32_t Bound;
  Duration Period;
  std::mutex Mutex;
  std::map<Event, Count> Counts;
};

} // namespace coltsfoottrail

#endif
