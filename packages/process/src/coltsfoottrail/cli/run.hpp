/// @file
/// Runs the operators' command line, from its arguments to its exit code.
#ifndef COLTSFOOTTRAIL_CLI_RUN_HPP
#define COLTSFOOTTRAIL_CLI_RUN_HPP

#include "coltsfoottrail/cli/client.hpp"
#include "coltsfoottrail/cli/command.hpp"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Output streams and functions that a command uses.
struct CommandContext {
  std::ostream &Out;
  std::ostream &ErrorOut;
  OperatorClient::Send Sender;
  /// Waits between two polls.
  std::function<void(milliseconds)> Sleep;
};

/// @brief Runs a command line. Not thread-safe, as getopt_long is not.
/// @param Arguments All arguments after the program's name.
/// @param Variables Environment variables.
/// @param Context Streams and functions to use.
/// @return The exit code; an error is printed as one line on Context.ErrorOut.
[[nodiscard]] ExitCode runCommandLine(std::vector<std::string> Arguments,
                                      const Environment &Variables,
                                      const CommandContext &Context);

} // namespace coltsfoottrail

#endif
