/// @file
/// Checks a recorded history against invariants.
#ifndef COLTSFOOTTRAIL_TEST_FAULTS_CHECKERS_HPP
#define COLTSFOOTTRAIL_TEST_FAULTS_CHECKERS_HPP

#include "history.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail::testing {

/// Each line describes one violated invariant; empty if all hold.
using Violations = std::vector<std::string>;

/// Each answered caller got the complete response to its own request.
[[nodiscard]] Violations checkWholeAnswers(const Events &All);
/// An order ran no more often than callers were told that it ran or may have
/// run, and an order that was answered ran.
[[nodiscard]] Violations checkNotRunIsTrue(const Events &All);
/// A caller that was told that its key ran or may have run is never told later
/// that it has not run.
[[nodiscard]] Violations checkVerdictsNeverGoBack(const Events &All);
/// No order ran twice, however often it was sent with its key.
[[nodiscard]] Violations checkAtMostOnce(const Events &All);
/// No engine had more requests at once than its bound.
[[nodiscard]] Violations checkWarmBounds(const Events &All);
/// No engine of a drained data centre began a request while the drain was in
/// force.
[[nodiscard]] Violations checkDrains(const Events &All);
/// No planned stop cut a request.
[[nodiscard]] Violations checkPlannedStops(const Events &All);
/// No host's state went back to an earlier offset, and states at equal offsets
/// have equal digests.
[[nodiscard]] Violations checkNoReversal(const Events &All);
/// No host is a member of two groups in one state.
[[nodiscard]] Violations checkOneGroup(const Events &All);

/// @brief An invariant check and its name.
struct Checker {
  std::string_view Name;
  Violations (*Check)(const Events &);
};

/// @brief All checkers.
[[nodiscard]] const std::vector<Checker> &checkers();

/// @brief Runs all checkers; each violation begins with the name of its
/// checker.
[[nodiscard]] Violations checkAll(const Events &All);

} // namespace coltsfoottrail::testing

#endif
