/// @file
/// The differences between two declarations.
#ifndef COLTSFOOTTRAIL_CLI_DIFF_HPP
#define COLTSFOOTTRAIL_CLI_DIFF_HPP

#include "coltsfoottrail/cli/fwd.hpp"
#include "coltsfoottrail/declaration/declaration.hpp"
#include "coltsfoottrail/json/fwd.hpp"

#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief One difference.
struct DeclarationDifference {
  /// '+': only in the wanted declaration; '-': only in the one in force; '~':
  /// in both, but different.
  char Sign = '~';
  /// "data centre", "team", "host", "model", "service" or "setting".
  std::string Kind;
  std::string Name;
  /// The field that differs; empty if the whole entry is added or removed.
  std::string Field;
  /// JSON text of the field's value in force; empty if it has none.
  std::string InForce;
  /// JSON text of the field's wanted value; empty if it has none.
  std::string Wanted;

  [[nodiscard]] friend bool operator==(const DeclarationDifference &,
                                       const DeclarationDifference &) = default;
};

/// @brief Compares two declarations by name and field. Pure; thread-safe.
/// @param InForce The declaration in force.
/// @param Wanted The declaration in a file.
/// @return The differences; empty if the declarations are equal.
[[nodiscard]] std::vector<DeclarationDifference>
compareDeclarations(const Declaration &InForce, const Declaration &Wanted);

/// @brief Formats a difference as a line of text. Thread-safe.
[[nodiscard]] std::string textOf(const DeclarationDifference &Difference);

/// @brief Formats a difference as JSON. Thread-safe.
[[nodiscard]] Json jsonOf(const DeclarationDifference &Difference);

} // namespace coltsfoottrail

#endif
