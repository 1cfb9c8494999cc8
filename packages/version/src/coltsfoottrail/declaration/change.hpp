/// @file
/// The difference between two declarations.
#ifndef COLTSFOOTTRAIL_DECLARATION_CHANGE_HPP
#define COLTSFOOTTRAIL_DECLARATION_CHANGE_HPP

#include "coltsfoottrail/declaration/declaration.hpp"

#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Names of what a change takes out of a declaration.
struct DroppedNames {
  std::vector<TeamName> Teams;
  std::vector<HostName> Hosts;
  std::vector<ModelName> Models;
  std::vector<ServiceName> Services;
  [[nodiscard]] friend bool operator==(const DroppedNames &,
                                       const DroppedNames &) = default;
};

/// @brief What turns one declaration into another. Small where they differ
/// little, however large they are.
struct DeclarationChange {
  /// All data centres, the entries that are new or differ, and the single
  /// values.
  Declaration Upserted;
  DroppedNames Dropped;
  [[nodiscard]] friend bool operator==(const DeclarationChange &,
                                       const DeclarationChange &) = default;
};

/// @brief Compares two declarations. Thread-safe.
/// @param Before Its lists must be in the order of names.
/// @param After Its lists must be in the order of names.
/// @return The change; applyChange() of it to Before gives After.
[[nodiscard]] DeclarationChange diffDeclarations(const Declaration &Before,
                                                 const Declaration &After);

/// @brief Applies a change. Thread-safe.
/// @param Before The declaration that it was made for.
/// @param Put Data centres, entries and single values to put.
/// @param Dropped Names to take out.
/// @return The declaration, its lists in the order of names; not checked.
[[nodiscard]] Declaration applyChange(const Declaration &Before,
                                      const Declaration &Upserted,
                                      const DroppedNames &Dropped);

/// @brief Checks what the entries of a declaration have to do with each other,
/// as readDeclaration() does. Thread-safe.
/// @param Checked Entries that are right by themselves.
/// @return What is wrong, or nothing.
[[nodiscard]] std::optional<std::string>
declarationProblem(const Declaration &Checked);

} // namespace coltsfoottrail

#endif
