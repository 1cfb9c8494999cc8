/// @file
/// Strongly typed names: a team's name cannot be passed where a model's is
/// expected.
#ifndef COLTSFOOTTRAIL_CORE_NAME_HPP
#define COLTSFOOTTRAIL_CORE_NAME_HPP

#include "coltsfoottrail/core/fwd.hpp"

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace coltsfoottrail {

/// @brief A name with a distinct type for each kind of named entity.
/// @tparam Tag Identifies the kind; never defined.
template <class Tag> struct Name {
  Name() = default;
  /// @brief Takes a name's text.
  /// @param Value Any text; the readers of settings and declarations validate
  /// its form.
  explicit Name(std::string Value) : Text(std::move(Value)) {}
  /// @brief Copies a name's text.
  /// @param Value The text.
  explicit Name(std::string_view Value) : Text(Value) {}
  /// @brief Copies a name's text.
  /// @param Value The text, null-terminated.
  explicit Name(const char *Value) : Text(Value) {}

  /// @brief Tells whether the text is empty.
  [[nodiscard]] bool empty() const noexcept { return Text.empty(); }

  // The linter reports on the body that the compiler makes.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const Name &, const Name &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)

  std::string Text;
};

} // namespace coltsfoottrail

template <class Tag> struct std::hash<coltsfoottrail::Name<Tag>> {
  [[nodiscard]] std::size_t
  operator()(const coltsfoottrail::Name<Tag> &Value) const noexcept {
    return std::hash<std::string>{}(Value.Text);
  }
};

#endif
