#include "report.hpp"

#include <sstream>

namespace coltsfoottrail::testing {

void Report::add(std::size_t Fault, std::size_t Step, const Events &All,
                 bool Passed) {
  Line &Cell = Cells[{Fault, Step}];
  Cell.Passed = Passed;
  for (const CallRecord &Call : eventsOf<CallRecord>(All)) {
    ++Cell.EndCounts.at(static_cast<std::size_t>(Call.End));
    if (!Call.Reason.empty())
      ++Cell.Reasons[Call.Reason];
  }
}

std::string Report::text() const {
  std::ostringstream Out;
  Out << "| fault |";
  for (const std::string_view Step : StepNames)
    Out << " " << Step << " |";
  Out << "\n|---|---|---|---|---|---|\n";
  for (std::size_t Fault = 0; Fault < FaultNames.size(); ++Fault) {
    Out << "| " << FaultNames.at(Fault) << " |";
    for (std::size_t Step = 0; Step < StepNames.size(); ++Step) {
      const auto Cell = Cells.find({Fault, Step});
      if (Cell == Cells.end())
        Out << " - |";
      else
        Out << (Cell->second.Passed ? " ok |" : " VIOLATION |");
    }
    Out << "\n";
  }
  Out << "\n| fault | step | answered | not run | may have run | cut | no open "
         "port | reasons told |\n|---|---|---|---|---|---|---|---|\n";
  for (const auto &[Index, Cell] : Cells) {
    Out << "| " << FaultNames.at(Index.first) << " | "
        << StepNames.at(Index.second) << " |";
    for (const std::uint64_t Count : Cell.EndCounts)
      Out << " " << Count << " |";
    for (const auto &[ReasonCode, Count] : Cell.Reasons)
      Out << " " << ReasonCode << " " << Count;
    Out << " |\n";
  }
  return Out.str();
}

} // namespace coltsfoottrail::testing
