/// @file
/// The difference between two declarations.
#ifndef COLTSFOOTTRAIL_DECLARATION_CHANGE_HPP
#define COLTSFOOTTRAIL_DECLARATION_CHANGE_HPP

#include "coltsfoottrail/declaration/declaration.hpp"

#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Names of the entries that a change removes from a declaration.
struct DroppedNames {
  std::vector<TeamName> Teams;
  std::vector<HostName> Hosts;
  std::vector<ModelName> Models;
  std::vector<ServiceName> Services;
  [[nodiscard]] friend bool operator==(const DroppedNames &,
                                       const DroppedNames &) = default;
};

/// @brief The difference between two declarations. Its size depends on how much
/// they differ, not on how large they are.
struct DeclarationChange {
  /// All data centres, the entries that are new or differ, and the values that
  /// are not lists.
  Declaration Upserted;
  DroppedNames Dropped;
  [[nodiscard]] friend bool operator==(const DeclarationChange &,
                                       const DeclarationChange &) = default;
};

/// @brief Compares two declarations. Thread-safe.
/// @param Before The old declaration; its lists must be ordered by name.
/// @param After The new declaration; its lists must be ordered by name.
/// @return The change; applying it to Before with applyChange() gives After.
[[nodiscard]] DeclarationChange diffDeclarations(const Declaration &Before,
                                                 const Declaration &After);

/// @brief Applies a change. Thread-safe.
/// @param Before The declaration that the change was computed for.
/// @param Upserted Data centres, values that are not lists, and entries to
/// insert or replace.
/// @param Dropped Names of entries to remove.
/// @return The declaration with its lists ordered by name; it is not checked.
[[nodiscard]] Declaration applyChange(const Declaration &Before,
                                      const Declaration &Upserted,
                                      const DroppedNames &Dropped);

/// @brief Checks the references and uniqueness constraints across the entries
/// of a declaration, as readDeclaration() does. Thread-safe.
/// @param Checked A declaration whose entries are valid individually.
/// @return A description of the first problem, or nothing.
[[nodiscard]] std::optional<std::string>
declarationProblem(const Declaration &Checked);

} // namespace coltsfoottrail

#endif
