/// @file
/// Checks a recorded history against what must always hold.
#ifndef COLTSFOOTTRAIL_TEST_FAULTS_CHECKERS_HPP
#define COLTSFOOTTRAIL_TEST_FAULTS_CHECKERS_HPP

#include "history.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail::testing {

/// Each line names one thing that must not have been; none means it holds.
using Violations = std::vector<std::string>;

/// Each answered caller has the whole answer to its own request.
[[nodiscard]] Violations checkWholeAnswers(const Events &All);
/// An order ran no more often than callers were told that it may have run, and
/// a caller that has its answer had it run.
[[nodiscard]] Violations checkNotRunIsTrue(const Events &All);
/// A caller that heard that its key has run, or may have, is never told
/// afterwards that it has not.
[[nodiscard]] Violations checkVerdictsNeverGoBack(const Events &All);
/// No order ran twice, however often it was sent with its key.
[[nodiscard]] Violations checkAtMostOnce(const Events &All);
/// No engine had more requests at once than its bound.
[[nodiscard]] Violations checkWarmBounds(const Events &All);
/// No engine of a drained data centre began a request under the drain.
[[nodiscard]] Violations checkDrains(const Events &All);
/// No planned stop cut a request.
[[nodiscard]] Violations checkPlannedStops(const Events &All);
/// No host's state went back, and equal offsets have equal digests.
[[nodiscard]] Violations checkNoReversal(const Events &All);
/// No host is in two groups of one state.
[[nodiscard]] Violations checkOneGroup(const Events &All);

/// @brief A check and its name.
struct Checker {
  std::string_view Name;
  Violations (*Check)(const Events &);
};

/// @brief All of them.
[[nodiscard]] const std::vector<Checker> &checkers();

/// @brief Runs all; each violation is led by its checker's name.
[[nodiscard]] Violations checkAll(const Events &All);

} // namespace coltsfoottrail::testing

#endif
