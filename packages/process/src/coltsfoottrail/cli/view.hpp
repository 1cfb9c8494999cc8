/// @file
/// Answers of an entry host as text for people.
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

/// A line of a table.
using TableRow = std::vector<std::string>;

/// @brief Sets a table in columns, two blanks between them. Control characters
/// become '?'. Pure; thread-safe.
/// @param Head Names of the columns.
/// @param Rows Each as long as the head.
/// @return Lines, each with its end.
[[nodiscard]] std::string renderTable(const TableRow &Head,
                                      std::span<const TableRow> Rows);

/// How far a plan has come.
enum class PlanStage : std::uint8_t { Proposed, Running, Done, Abandoned };

/// @brief What is printed of a plan's progress.
struct PlanView {
  std::uint64_t Id = 0;
  PlanStage Stage = PlanStage::Proposed;
  std::uint64_t StepsDone = 0;
  std::uint64_t Steps = 0;
  std::string Operator;
  std::string Executor;
  std::string Reason;
  std::vector<std::string> Text;

  /// @brief Tells whether it will not change any more.
  [[nodiscard]] bool ended() const noexcept {
    return Stage == PlanStage::Done || Stage == PlanStage::Abandoned;
  }

  /// @brief Orders looks at one plan: an entry host that lags shows a plan as
  /// it was.
  /// @return Whether this look is older than another one.
  [[nodiscard]] bool isOlderThan(const PlanView &Other) const noexcept;
};

/// @brief Reads a plan out of an answer. Thread-safe.
/// @param Answer What /v1/plans/ID answered.
/// @throws InputError It is no plan.
[[nodiscard]] PlanView readPlanView(const Json &Answer);

/// @brief One line that says how far a plan has come. Thread-safe.
[[nodiscard]] std::string progressLine(const PlanView &Plan);

/// @brief A whole plan for people. Thread-safe.
[[nodiscard]] std::string renderPlan(const PlanView &Plan);

/// @brief The state as tables. Thread-safe.
/// @param Answer What /v1/state answered.
/// @throws InputError It is no state.
[[nodiscard]] std::string renderState(const Json &Answer);

/// @brief The differences between two looks at the state, a line each.
/// Thread-safe.
/// @param Before What /v1/state answered first.
/// @param After What it answered later.
/// @throws InputError One of them is no state.
[[nodiscard]] std::vector<std::string> changesOf(const Json &Before,
                                                 const Json &After);

} // namespace coltsfoottrail

#endif
