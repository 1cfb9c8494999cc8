#include "coltsfoottrail/groups/executor.hpp"

namespace coltsfoottrail {

GroupCommands GroupExecutor::poll(const State &Agreed, TimePoint Now) {
  GroupCommands Commands;
  sortGroups(Agreed);
  Leases.poll(Agreed, Now, Engines.seemsCutOff(Now), Appends, Commands);
  Former.poll(Agreed, Forming, Now, Leases, Engines, Appends, Commands);
  Steps.poll(Agreed, Now, Leases, Engines, Appends, Commands);
  Releaser.poll(Agreed, Ended, Now, Engines, Appends, Commands);
  for (const HostName &Host : Former.takeFailedHosts())
    Repairer.avoid(Host, Now);
  Repairer.poll(Agreed, Now, Engines, Appends, Commands);
  Engines.forgetIdle(Now);
  return Commands;
}

void GroupExecutor::sortGroups(const State &Agreed) {
  if (SortedNext == Agreed.Next)
    return;
  SortedNext = Agreed.Next;
  Forming.clear();
  Ended.clear();
  for (const auto &[Id, Current] : Agreed.Groups) {
    if (Current.Phase == GroupPhase::Forming)
      Forming.push_back(Id);
    else if (Current.Phase != GroupPhase::Serving)
      Ended.push_back(Id);
  }
}

} // namespace coltsfoottrail
