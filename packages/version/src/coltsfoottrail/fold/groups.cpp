#include "coltsfoottrail/fold/apply.hpp"

#include <algorithm>

namespace coltsfoottrail::internal {

namespace {

std::string describe(const GroupId &Which) {
  return "group " + std::to_string(Which.Plan) + "." +
         std::to_string(Which.Number);
}

/// Removes a group whose hosts are all released.
void dropIfReleased(State &Into, std::map<GroupId, Group>::iterator Which) {
  if (Which->second.HeldHosts.empty())
    Into.Groups.erase(Which);
}

bool isStopped(GroupPhase Phase) {
  return Phase == GroupPhase::Stopping || Phase == GroupPhase::Broken;
}

} // namespace

bool hostsAreFree(const State &In, const FormGroup &Wanted) {
  return std::ranges::none_of(Wanted.Members, [&](const HostName &Host) {
    return In.OccupiedHosts.contains(Host);
  });
}

void formGroup(State &Into, Offset At, Offset Plan, const FormGroup &Wanted) {
  const GroupId Which{Plan, Wanted.Number};
  Group &Made = Into.Groups[Which];
  Made.Spec = Wanted;
  Made.Generation = At;
  Made.HeldHosts.insert(Wanted.Members.begin(), Wanted.Members.end());
  for (const HostName &Host : Wanted.Members)
    Into.OccupiedHosts[Host] = Which;
  Into.Plans.at(Plan).Formed.insert(Wanted.Number);
}

FoldResult applyRecord(State &Into, Offset At, const GroupConfirmed &Said) {
  const auto Found = Into.Groups.find(Said.Group);
  if (Found == Into.Groups.end())
    return voided(describe(Said.Group) + " does not exist");
  Group &Known = Found->second;
  if (Known.Phase != GroupPhase::Forming)
    return voided(describe(Said.Group) + " is not forming");
  const auto Plan = Into.Plans.find(Said.Group.Plan);
  if (Plan == Into.Plans.end() || Plan->second.Phase != PlanPhase::Running)
    return voided("the plan of " + describe(Said.Group) + " is not running");
  if (Said.Lease == 0 || Plan->second.Lease != Said.Lease)
    return voided("the executor's lease has been taken over",
                  Plan->second.Lease);
  if (Said.MemberRuns.size() != Known.Spec.Members.size())
    return voided("not every member of " + describe(Said.Group) +
                  " is confirmed");
  Known.Phase = GroupPhase::Serving;
  Known.MemberRuns = Said.MemberRuns;
  Into.LastChange = At;
  return applied();
}

FoldResult applyRecord(State &Into, Offset At, const GroupBroken &Said) {
  const auto Found = Into.Groups.find(Said.Group);
  if (Found == Into.Groups.end())
    return voided(describe(Said.Group) + " does not exist");
  Group &Known = Found->second;
  if (Known.Phase == GroupPhase::Broken)
    return voided(describe(Said.Group) + " is broken already");
  if (std::ranges::find(Known.Spec.Members, Said.LostMember) ==
      Known.Spec.Members.end())
    return voided("host " + Said.LostMember.Text + " is no member of " +
                  describe(Said.Group));
  Known.Phase = GroupPhase::Broken;
  touchModel(Into, At, Known.Spec.Model);
  return applied();
}

FoldResult applyRecord(State &Into, Offset At, const HostReleased &Said) {
  const auto Found = Into.Groups.find(Said.Group);
  if (Found == Into.Groups.end() ||
      !Found->second.HeldHosts.contains(Said.Host))
    return voided(describe(Said.Group) + " does not hold host " +
                  Said.Host.Text);
  if (!isStopped(Found->second.Phase))
    return voided(describe(Said.Group) + " is neither stopping nor broken");
  Found->second.HeldHosts.erase(Said.Host);
  Into.OccupiedHosts.erase(Said.Host);
  Into.DepartedHosts.erase(Said.Host);
  Into.LastChange = At;
  dropIfReleased(Into, Found);
  return applied();
}

} // namespace coltsfoottrail::internal
