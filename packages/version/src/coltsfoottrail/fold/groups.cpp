#include "coltsfoottrail/fold/apply.hpp"

#include <algorithm>

namespace coltsfoottrail::internal {

namespace {

std::string describe(const GroupId &Id) {
  return "group " + std::to_string(Id.Plan) + "." + std::to_string(Id.Number);
}

/// Erases a group if all its hosts are released.
void eraseIfReleased(State &Current, std::map<GroupId, Group>::iterator It) {
  if (It->second.HeldHosts.empty())
    Current.Groups.erase(It);
}

bool isStopped(GroupPhase Phase) {
  return Phase == GroupPhase::Stopping || Phase == GroupPhase::Broken;
}

} // namespace

bool hostsAreFree(const State &Current, const FormGroup &Spec) {
  return std::ranges::none_of(Spec.Members, [&](const HostName &Host) {
    return Current.OccupiedHosts.contains(Host);
  });
}

void formGroup(State &Current, Offset RecordOffset, Offset Plan,
               const FormGroup &Spec) {
  const GroupId Id{Plan, Spec.Number};
  Group &NewGroup = Current.Groups[Id];
  NewGroup.Spec = Spec;
  NewGroup.Generation = RecordOffset;
  NewGroup.HeldHosts.insert(Spec.Members.begin(), Spec.Members.end());
  for (const HostName &Host : Spec.Members)
    Current.OccupiedHosts[Host] = Id;
  Current.Plans.at(Plan).FormedGroups.insert(Spec.Number);
}

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const GroupConfirmed &Body) {
  const auto It = Current.Groups.find(Body.Group);
  if (It == Current.Groups.end())
    return voided(describe(Body.Group) + " does not exist");
  Group &Existing = It->second;
  if (Existing.Phase != GroupPhase::Forming)
    return voided(describe(Body.Group) + " is not forming");
  const auto Plan = Current.Plans.find(Body.Group.Plan);
  if (Plan == Current.Plans.end() || Plan->second.Phase != PlanPhase::Running)
    return voided("the plan of " + describe(Body.Group) + " is not running");
  if (Body.Lease == 0 || Plan->second.Lease != Body.Lease)
    return voided("the executor's lease has been taken over",
                  Plan->second.Lease);
  if (Body.MemberRuns.size() != Existing.Spec.Members.size())
    return voided("not every member of " + describe(Body.Group) +
                  " is confirmed");
  Existing.Phase = GroupPhase::Serving;
  Existing.MemberRuns = Body.MemberRuns;
  Current.LastChange = RecordOffset;
  return applied();
}

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const GroupBroken &Body) {
  const auto It = Current.Groups.find(Body.Group);
  if (It == Current.Groups.end())
    return voided(describe(Body.Group) + " does not exist");
  Group &Existing = It->second;
  if (Existing.Phase == GroupPhase::Broken)
    return voided(describe(Body.Group) + " is broken already");
  if (std::ranges::find(Existing.Spec.Members, Body.LostMember) ==
      Existing.Spec.Members.end())
    return voided("host " + Body.LostMember.Text + " is no member of " +
                  describe(Body.Group));
  Existing.Phase = GroupPhase::Broken;
  markModelChanged(Current, RecordOffset, Existing.Spec.Model);
  return applied();
}

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const HostReleased &Body) {
  const auto It = Current.Groups.find(Body.Group);
  if (It == Current.Groups.end() || !It->second.HeldHosts.contains(Body.Host))
    return voided(describe(Body.Group) + " does not hold host " +
                  Body.Host.Text);
  if (!isStopped(It->second.Phase))
    return voided(describe(Body.Group) + " is neither stopping nor broken");
  It->second.HeldHosts.erase(Body.Host);
  Current.OccupiedHosts.erase(Body.Host);
  Current.DepartedHosts.erase(Body.Host);
  Current.LastChange = RecordOffset;
  eraseIfReleased(Current, It);
  return applied();
}

} // namespace coltsfoottrail::internal
