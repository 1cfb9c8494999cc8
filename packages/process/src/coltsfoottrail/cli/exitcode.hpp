/// @file
/// Exit codes of the operators' command line and the errors that lead to them.
#ifndef COLTSFOOTTRAIL_CLI_EXITCODE_HPP
#define COLTSFOOTTRAIL_CLI_EXITCODE_HPP

#include "coltsfoottrail/cli/fwd.hpp"
#include "coltsfoottrail/core/error.hpp"

#include <string>
#include <string_view>

namespace coltsfoottrail {

/// Exit codes of the program; docs/operations/cli.md lists them.
enum class ExitCode : std::uint8_t {
  Ok = 0,
  Differs = 1,
  WrongUsage = 2,
  WrongFile = 3,
  NoAnswer = 4,
  Refused = 5,
  CannotPlan = 6,
  Conflict = 7,
  LogUnavailable = 8,
  Abandoned = 9,
};

/// @brief Ends a command with a one-line message and an exit code.
class CommandError : public Error {
public:
  /// @brief Describes the error.
  /// @param Result Exit code.
  /// @param Text The message, one line.
  CommandError(ExitCode Result, const std::string &Text)
      : Error(Text), Code(Result) {}

  /// @brief The exit code.
  [[nodiscard]] ExitCode code() const noexcept { return Code; }

private:
  ExitCode Code;
};

/// @brief Exit code for an entry host's answer. Pure; thread-safe.
/// @param Status HTTP status.
/// @param ErrorName The member "error" of the body; may be empty.
[[nodiscard]] ExitCode exitCodeOf(unsigned Status,
                                  std::string_view ErrorName) noexcept;

/// @brief Makes the error for an answer whose status is not 200. Pure;
/// thread-safe.
/// @param Status HTTP status.
/// @param Body Body of the answer; may be anything, such as HTML of a proxy.
[[nodiscard]] CommandError problemOf(unsigned Status, std::string_view Body);

/// @brief Replaces control characters by '?', so that text is safe to print on
/// a terminal. Thread-safe.
[[nodiscard]] std::string printable(std::string_view Text);

} // namespace coltsfoottrail

#endif
