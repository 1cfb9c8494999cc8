/// @file
/// The table of the fault matrix, printed when all cells have run.
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

/// @brief Collects what each cell came to. Not thread-safe.
class Report {
public:
  /// @brief Notes a cell that has run to its end, or has not.
  /// @param Fault Index into FaultNames.
  /// @param Step Index into StepNames.
  /// @param Passed Whether the cell's test has passed.
  void add(std::size_t Fault, std::size_t Step, const Events &All, bool Passed);
  /// @brief Both tables, as Markdown.
  [[nodiscard]] std::string text() const;

private:
  struct Line {
    std::array<std::uint64_t, 5> Ends{};
    std::map<std::string, std::uint64_t> Reasons;
    bool Passed = false;
  };
  std::map<std::pair<std::size_t, std::size_t>, Line> Cells;
};

} // namespace coltsfoottrail::testing

#endif
