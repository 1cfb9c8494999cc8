/// @file
/// Describes plans in text for operators.
#ifndef COLTSFOOTTRAIL_INTENTS_DESCRIBE_HPP
#define COLTSFOOTTRAIL_INTENTS_DESCRIBE_HPP

#include "coltsfoottrail/record/intent.hpp"

#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Formats a group identifier as "PLAN/NUMBER". Thread-safe.
[[nodiscard]] std::string textOf(const GroupId &Group);

/// @brief Describes an intent in one line. Thread-safe.
[[nodiscard]] std::string describeIntent(const Intent &Request);

/// @brief Describes a step in one line. Thread-safe.
[[nodiscard]] std::string describeStep(const Step &PlanStep);

/// @brief Describes a plan to the operator who has to confirm it: the intent,
/// the steps, the capacity now, at the worst step and after, and what the plan
/// will not do. Thread-safe.
/// @return One line each.
[[nodiscard]] std::vector<std::string> describePlan(const Plan &Proposal);

} // namespace coltsfoottrail

#endif
