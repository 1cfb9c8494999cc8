/// @file
/// Arguments of the operators' command line.
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

/// Ask for a plan of an intent that the arguments hold whole.
struct PlanCommand {
  Intent PlanIntent;
};
/// Ask for a plan of a declaration in a file.
struct ApplyCommand {
  std::string File;
};
/// Confirm a plan.
struct ConfirmCommand {
  Offset Plan = 0;
  /// Follow it to its end.
  bool Wait = false;
};
/// Abandon a plan.
struct AbandonCommand {
  Offset Plan = 0;
};
/// Show a plan, or how all stands.
struct StatusCommand {
  std::optional<Offset> Plan;
};
/// Follow a plan, or all.
struct WatchCommand {
  std::optional<Offset> Plan;
};
/// Compare a declaration in a file with the one in force.
struct DiffCommand {
  std::string File;
};
/// Print a text and end.
struct TextCommand {
  std::string Text;
};

/// What to do.
using CliCommand =
    std::variant<PlanCommand, ApplyCommand, ConfirmCommand, AbandonCommand,
                 StatusCommand, WatchCommand, DiffCommand, TextCommand>;

/// @brief How to reach the entry hosts, and how to print.
struct ConnectionOptions {
  /// Operators' interfaces, in the order in which they are tried.
  std::vector<EngineAddress> Hosts;
  std::string CredentialFile;
  /// Empty when not known.
  std::string Operator;
  milliseconds Timeout{10'000};
  /// Time between two looks while following.
  milliseconds Interval{500};
  bool AsJson = false;
};

/// @brief A command line, checked.
struct CommandLine {
  ConnectionOptions Options;
  CliCommand Command;
};

/// Environment variables by name.
using Environment = std::map<std::string, std::string, std::less<>>;

/// @brief Names of the environment variables that are looked at.
[[nodiscard]] std::span<const char *const> environmentNames() noexcept;

/// @brief Reads a command line. Not thread-safe, as getopt_long is not.
/// @param Arguments All arguments after the program's name.
/// @param Variables Taken where an option is missing.
/// @return What to do.
/// @throws CommandError With code WrongUsage: says what is wrong, and which
/// verb is nearest to an unknown one.
[[nodiscard]] CommandLine parseCommandLine(std::vector<std::string> Arguments,
                                           const Environment &Variables);

/// @brief Help for one verb, or for the program. Thread-safe.
/// @param Verb Words of the verb, as in "plan capacity"; empty for the program;
/// "plan" for all verbs that plan.
[[nodiscard]] std::string helpText(std::string_view Verb);

/// @brief Reads ADDRESS:PORT or [ADDRESS]:PORT. Thread-safe.
/// @throws CommandError With code WrongUsage.
[[nodiscard]] EngineAddress parseAddress(const std::string &Text);

} // namespace coltsfoottrail

#endif
