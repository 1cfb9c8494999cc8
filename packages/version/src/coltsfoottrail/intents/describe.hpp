/// @file
/// Plans as text for people.
#ifndef COLTSFOOTTRAIL_INTENTS_DESCRIBE_HPP
#define COLTSFOOTTRAIL_INTENTS_DESCRIBE_HPP

#include "coltsfoottrail/record/intent.hpp"

#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Text of a group's name, "PLAN/NUMBER". Thread-safe.
[[nodiscard]] std::string textOf(const GroupId &Group);

/// @brief One line that says what an intent asks for. Thread-safe.
[[nodiscard]] std::string describeIntent(const Intent &Asked);

/// @brief One line that says what a step does. Thread-safe.
[[nodiscard]] std::string describeStep(const Step &What);

/// @brief Lines for the operator who has to confirm a plan: what changes, in
/// which steps, the capacity at the worst step, what it will not do.
/// Thread-safe.
[[nodiscard]] std::vector<std::string> describePlan(const Plan &Proposal);

} // namespace coltsfoottrail

#endif
