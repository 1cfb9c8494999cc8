/// @file
/// Exit codes of the operators' command line and the errors that lead to them.
#ifndef COLTSFOOTTRAIL_CLI_EXITCODE_HPP
#define COLTSFOOTTRAIL_CLI_EXITCODE_HPP

#include "coltsfoottrail/cli/fwd.hpp"
#include "coltsfoottrail/core/error.hpp"

#include <string>
#include <string_view>

namespace coltsfoottrail {

/// How the command line ends; docs/operations/cli.md lists them.
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

/// @brief What ends a command: one line for people and an exit code.
class CommandError : public Error {
public:
  /// @brief Describes the end of a command.
  /// @param How Exit code.
  /// @param Text One line.
  CommandError(ExitCode How, const std::string &Text)
      : Error(Text), Ending(How) {}

  /// @brief The exit code.
  [[nodiscard]] ExitCode code() const noexcept { return Ending; }

private:
  ExitCode Ending;
};

/// @brief Exit code for an entry host's answer. Pure; thread-safe.
/// @param Status HTTP status.
/// @param Why The member "error" of the body; may be empty.
[[nodiscard]] ExitCode exitCodeOf(unsigned Status,
                                  std::string_view Why) noexcept;

/// @brief The line that an operator reads for an answer that is not 200. Pure;
/// thread-safe.
/// @param Status HTTP status.
/// @param Body Body of the answer; anything may stand there.
[[nodiscard]] CommandError problemOf(unsigned Status, std::string_view Body);

/// @brief Makes text safe for a terminal: control characters become '?'.
/// Thread-safe.
[[nodiscard]] std::string printable(std::string_view Text);

} // namespace coltsfoottrail

#endif
