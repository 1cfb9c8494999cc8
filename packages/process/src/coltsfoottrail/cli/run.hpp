/// @file
/// The operators' command line from its arguments to its exit code.
#ifndef COLTSFOOTTRAIL_CLI_RUN_HPP
#define COLTSFOOTTRAIL_CLI_RUN_HPP

#include "coltsfoottrail/cli/client.hpp"
#include "coltsfoottrail/cli/command.hpp"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief What a command line works with.
struct CommandContext {
  std::ostream &Out;
  std::ostream &ErrorOut;
  OperatorClient::Send Sender;
  /// Waits between two looks.
  std::function<void(milliseconds)> Sleep;
};

/// @brief Runs a command line. Not thread-safe, as getopt_long is not.
/// @param Arguments All arguments after the program's name.
/// @param Variables Environment variables.
/// @param With What to work with.
/// @return The exit code; a problem is one line on With.Problems.
[[nodiscard]] ExitCode runCommandLine(std::vector<std::string> Arguments,
                                      const Environment &Variables,
                                      const CommandContext &With);

} // namespace coltsfoottrail

#endif
