/// @file
/// Forward declarations of the cli module.
#ifndef COLTSFOOTTRAIL_CLI_FWD_HPP
#define COLTSFOOTTRAIL_CLI_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

enum class ExitCode : std::uint8_t;
class CommandError;
struct CommandLine;
struct ConnectionOptions;
struct DeclarationDifference;
class OperatorClient;

} // namespace coltsfoottrail

#endif
