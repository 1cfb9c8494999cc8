/// @file
/// Parses the arguments of the operators' command line.
#ifndef COLTSFOOTTRAIL_CLI_COMMAND_HPP
#define COLTSFOOTTRAIL_CLI_COMMAND_HPP

#include "coltsfoottrail/cli/exitcode.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/record/intent.hpp"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Propose a plan for an intent that the arguments describe completely.
struct PlanCommand {
  Intent PlanIntent;
};
/// Propose a plan that applies the declaration in a file.
struct ApplyCommand {
  std::string File;
};
/// Confirm a plan.
struct ConfirmCommand {
  Offset Plan = 0;
  /// Follow the plan until it is done or abandoned.
  bool Wait = false;
};
/// Abandon a plan.
struct AbandonCommand {
  Offset Plan = 0;
};
/// Show a plan, or the whole state.
struct StatusCommand {
  std::optional<Offset> Plan;
};
/// Follow a plan, or the whole state.
struct WatchCommand {
  std::optional<Offset> Plan;
};
/// Compare the declaration in a file with the one in force.
struct DiffCommand {
  std::string File;
};
/// Print a text and exit.
struct TextCommand {
  std::string Text;
};

/// A parsed command.
using CliCommand =
    std::variant<PlanCommand, ApplyCommand, ConfirmCommand, AbandonCommand,
                 StatusCommand, WatchCommand, DiffCommand, TextCommand>;

/// @brief Options for reaching the entry hosts and for printing.
struct ConnectionOptions {
  /// Operators' interfaces, in the order in which they are tried.
  std::vector<EngineAddress> Hosts;
  std::string CredentialFile;
  /// Name of the operator; empty if unknown.
  std::string Operator;
  milliseconds Timeout{10'000};
  /// Polling interval while following.
  milliseconds Interval{500};
  bool AsJson = false;
};

/// @brief A validated command line.
struct CommandLine {
  ConnectionOptions Options;
  CliCommand Command;
};

/// Environment variables by name.
using Environment = std::map<std::string, std::string, std::less<>>;

/// @brief Names of the environment variables that the command line uses.
[[nodiscard]] std::span<const char *const> environmentNames() noexcept;

/// @brief Parses a command line. Not thread-safe, as getopt_long is not.
/// @param Arguments All arguments after the program's name.
/// @param Variables Environment variables, used where an option is missing.
/// @return The command and its options.
/// @throws CommandError With code WrongUsage; for an unknown verb it suggests
/// the nearest one.
[[nodiscard]] CommandLine parseCommandLine(std::vector<std::string> Arguments,
                                           const Environment &Variables);

/// @brief Help for one verb, or for the program. Thread-safe.
/// @param Verb Words of the verb, such as "plan capacity"; empty for the
/// program; "plan" for all verbs that begin with it.
[[nodiscard]] std::string helpText(std::string_view Verb);

/// @brief Parses ADDRESS:PORT or [ADDRESS]:PORT. Thread-safe.
/// @throws CommandError With code WrongUsage.
[[nodiscard]] EngineAddress parseAddress(const std::string &Text);

} // namespace coltsfoottrail

#endif
