/// @file
/// Secrets and the files that hold them.
#ifndef COLTSFOOTTRAIL_SETTINGS_SECRET_HPP
#define COLTSFOOTTRAIL_SETTINGS_SECRET_HPP

#include "coltsfoottrail/settings/fwd.hpp"

#include <filesystem>
#include <string>
#include <string_view>
#include <utility>

namespace coltsfoottrail {

/// @brief Text that must not reach a log, a span or an error.
///
/// Failure guarded against: a key printed by a log line that prints a whole
/// structure. It has no stream output and no conversion, so only reveal() gives
/// its text, and each use of that can be found by its name.
class Secret {
public:
  Secret() = default;
  /// @brief Takes a secret's text.
  /// @param Value The text.
  explicit Secret(std::string Value) : Text(std::move(Value)) {}

  /// @brief Gives the text to the code that proves or checks it. Thread-safe
  /// while nobody assigns to the object.
  /// @return A view that is valid as long as the object.
  [[nodiscard]] std::string_view reveal() const noexcept { return Text; }

  /// @brief Tells whether there is none. Thread-safe like reveal().
  [[nodiscard]] bool empty() const noexcept { return Text.empty(); }

private:
  std::string Text;
};

/// @brief Reads a secret from a file; blanks and line ends around it are
/// dropped. Thread-safe.
/// @param File Where it is.
/// @param Source Settings file, named in errors.
/// @param Pointer JSON pointer of the setting that names the file.
/// @param MinBytes Fewest bytes that make a secret of this kind.
/// @return The secret.
/// @throws InputError The file is missing, no regular file, empty, too short,
/// too long, or readable by group or others. The content is never in the error.
[[nodiscard]] Secret readSecret(const std::filesystem::path &File,
                                std::string_view Source,
                                std::string_view Pointer, std::size_t MinBytes);

} // namespace coltsfoottrail

#endif
