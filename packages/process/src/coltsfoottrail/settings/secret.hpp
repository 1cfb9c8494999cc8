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
/// Failure guarded against: a log line that prints a whole structure prints a
/// key with it. The class has no stream output and no conversions, so its text
/// is accessible through reveal() only, and the calls of that are easy to find.
class Secret {
public:
  Secret() = default;
  /// @brief Makes a secret from its text.
  /// @param Value The text.
  explicit Secret(std::string Value) : Text(std::move(Value)) {}

  /// @brief The text, for code that sends or verifies it. Thread-safe while the
  /// object is not assigned to.
  /// @return A view that is valid as long as the object.
  [[nodiscard]] std::string_view reveal() const noexcept { return Text; }

  /// @brief Whether there is no secret. Thread-safe like reveal().
  [[nodiscard]] bool empty() const noexcept { return Text.empty(); }

private:
  std::string Text;
};

/// @brief Reads a secret from a file and trims blanks and line ends around it.
/// Thread-safe.
/// @param File The file.
/// @param Source Settings file, named in errors.
/// @param Pointer JSON pointer of the setting that names the file.
/// @param MinBytes Minimum length of a secret of this kind.
/// @return The secret.
/// @throws InputError The file is missing, not a regular file, empty, too
/// short, too long, or accessible by group or others. The error never contains
/// the content.
[[nodiscard]] Secret readSecret(const std::filesystem::path &File,
                                std::string_view Source,
                                std::string_view Pointer, std::size_t MinBytes);

} // namespace coltsfoottrail

#endif
