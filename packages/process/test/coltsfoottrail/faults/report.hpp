/// @file
/// The result table of the fault matrix, printed after all cells have run.
#ifndef COLTSFOOTTRAIL_TEST_FAULTS_REPORT_HPP
#define COLTSFOOTTRAIL_TEST_FAULTS_REPORT_HPP

#include "checkers.hpp"

#include <array>
#include <map>
#include <string>
#include <utility>

namespace coltsfoottrail::testing {

inline constexpr std::array<std::string_view, 9> FaultNames{
    "none",
    "log down",
    "log slow",
    "log answers lost",
    "entry host dies",
    "engine restarts",
    "engine crashes on a prompt",
    "stream cut",
    "service loses answers"};
inline constexpr std::array<std::string_view, 5> StepNames{
    "orders", "drafts", "drain", "planned stop", "plan"};

/// @brief Collects the result of each cell. Not thread-safe.
class Report {
public:
  /// @brief Adds the result of a cell.
  /// @param Fault Index into FaultNames.
  /// @param Step Index into StepNames.
  /// @param Passed Whether the cell's test passed.
  void add(std::size_t Fault, std::size_t Step, const Events &All, bool Passed);
  /// @brief The results by cell and the counts of call outcomes, as two
  /// Markdown tables.
  [[nodiscard]] std::string text() const;

private:
  struct Line {
    std::array<std::uint64_t, 5> EndCounts{};
    std::map<std::string, std::uint64_t> Reasons;
    bool Passed = false;
  };
  std::map<std::pair<std::size_t, std::size_t>, Line> Cells;
};

} // namespace coltsfoottrail::testing

#endif
