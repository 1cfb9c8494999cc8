/// @file
/// Formats answers of an entry host as text.
#ifndef COLTSFOOTTRAIL_CLI_VIEW_HPP
#define COLTSFOOTTRAIL_CLI_VIEW_HPP

#include "coltsfoottrail/core/fwd.hpp"
#include "coltsfoottrail/json/fwd.hpp"

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// A row of a table.
using TableRow = std::vector<std::string>;

/// @brief Formats a table with aligned columns, two blanks between them.
/// Control characters are replaced by '?'. Pure; thread-safe.
/// @param Head Names of the columns.
/// @param Rows Rows, each as long as the head.
/// @return Lines, each with its line end.
[[nodiscard]] std::string renderTable(const TableRow &Head,
                                      std::span<const TableRow> Rows);

/// Phase of a plan.
enum class PlanStage : std::uint8_t { Proposed, Running, Done, Abandoned };

/// @brief A plan and its progress, as printed.
struct PlanView {
  std::uint64_t Id = 0;
  PlanStage Stage = PlanStage::Proposed;
  std::uint64_t StepsDone = 0;
  std::uint64_t Steps = 0;
  std::string Operator;
  std::string Executor;
  std::string Reason;
  std::vector<std::string> Text;

  /// @brief Whether the plan is done or abandoned and so changes no more.
  [[nodiscard]] bool ended() const noexcept {
    return Stage == PlanStage::Done || Stage == PlanStage::Abandoned;
  }

  /// @brief Whether this view of a plan is older than another one; an entry
  /// host that lags returns earlier views.
  /// @param Other Another view of the same plan.
  [[nodiscard]] bool isOlderThan(const PlanView &Other) const noexcept;
};

/// @brief Parses a plan. Thread-safe.
/// @param Answer The answer of /v1/plans/ID.
/// @throws InputError The answer is not a plan.
[[nodiscard]] PlanView readPlanView(const Json &Answer);

/// @brief Formats a plan's progress as one line. Thread-safe.
[[nodiscard]] std::string progressLine(const PlanView &Plan);

/// @brief Formats a whole plan as text. Thread-safe.
[[nodiscard]] std::string renderPlan(const PlanView &Plan);

/// @brief Formats the state as tables. Thread-safe.
/// @param Answer The answer of /v1/state.
/// @throws InputError The answer is not a state.
[[nodiscard]] std::string renderState(const Json &Answer);

/// @brief The differences between two states, a line each. Thread-safe.
/// @param Before An answer of /v1/state.
/// @param After A later answer of it.
/// @throws InputError One of them is not a state.
[[nodiscard]] std::vector<std::string> changesOf(const Json &Before,
                                                 const Json &After);

} // namespace coltsfoottrail

#endif
