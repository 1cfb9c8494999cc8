#include "coltsfoottrail/groups/executor.hpp"

namespace coltsfoottrail {

GroupCommands GroupExecutor::poll(const State &Now, TimePoint At) {
  GroupCommands Out;
  sortGroups(Now);
  Leases.poll(Now, At, Book.seemsCutOff(At), Pace, Out);
  Form.poll(Now, Forming, At, Leases, Book, Pace, Out);
  Steps.poll(Now, At, Leases, Book, Pace, Out);
  Release.poll(Now, Over, At, Book, Pace, Out);
  for (const HostName &Host : Form.takeFailedHosts())
    Repair.avoid(Host, At);
  Repair.poll(Now, At, Book, Pace, Out);
  Book.forgetIdle(At);
  return Out;
}

void GroupExecutor::sortGroups(const State &Now) {
  if (SortedAt == Now.Next)
    return;
  SortedAt = Now.Next;
  Forming.clear();
  Over.clear();
  for (const auto &[Id, Known] : Now.Groups) {
    if (Known.Phase == GroupPhase::Forming)
      Forming.push_back(Id);
    else if (Known.Phase != GroupPhase::Serving)
      Over.push_back(Id);
  }
}

} // namespace coltsfoottrail
