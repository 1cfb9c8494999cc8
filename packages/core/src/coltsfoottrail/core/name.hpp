/// @file
/// Strongly typed names, so that a team cannot be passed where a model is
/// meant.
#ifndef COLTSFOOTTRAIL_CORE_NAME_HPP
#define COLTSFOOTTRAIL_CORE_NAME_HPP

#include "coltsfoottrail/core/fwd.hpp"

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace coltsfoottrail {

/// @brief A name whose type tells what it names.
/// @tparam Tag What is named; never defined.
template <class Tag> struct Name {
  Name() = default;
  /// @brief Takes a name's text.
  /// @param Value The text; any string, the settings and declarations check its
  /// form.
  explicit Name(std::string Value) : Text(std::move(Value)) {}
  /// @brief Copies a name's text.
  /// @param Value The text.
  explicit Name(std::string_view Value) : Text(Value) {}
  /// @brief Copies a name's text.
  /// @param Value The text, null-terminated.
  explicit Name(const char *Value) : Text(Value) {}

  /// @brief Tells whether there is no name.
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
