/// @file
/// The difference between two declarations, line by line.
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
  /// '+' only in the wanted one, '-' only in the one in force, '~' differs.
  char Sign = '~';
  /// "data centre", "team", "host", "model", "service" or "setting".
  std::string Kind;
  std::string Name;
  /// The field that differs; empty where the whole entry comes or goes.
  std::string Field;
  /// JSON text of the field's value in force; empty where it has none.
  std::string InForce;
  /// JSON text of the field's wanted value; empty where it has none.
  std::string Wanted;

  [[nodiscard]] friend bool operator==(const DeclarationDifference &,
                                       const DeclarationDifference &) = default;
};

/// @brief Compares two declarations by name and field. Pure; thread-safe.
/// @param InForce The declaration in force.
/// @param Wanted The declaration in a file.
/// @return The differences; none when they are equal.
[[nodiscard]] std::vector<DeclarationDifference>
compareDeclarations(const Declaration &InForce, const Declaration &Wanted);

/// @brief Writes a difference for people. Thread-safe.
[[nodiscard]] std::string textOf(const DeclarationDifference &Line);

/// @brief Writes a difference as JSON. Thread-safe.
[[nodiscard]] Json jsonOf(const DeclarationDifference &Line);

} // namespace coltsfoottrail

#endif
