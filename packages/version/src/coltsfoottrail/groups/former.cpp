#include "coltsfoottrail/groups/former.hpp"

#include "coltsfoottrail/intents/describe.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

struct GroupFormer::PollContext {
  const State &Agreed;
  TimePoint Now;
  LeaseKeeper &Leases;
  EngineTracker &Engines;
  AppendPacer &Appends;
  GroupCommands &Out;
};

namespace {

/// Returns the groups that may load: the oldest ones, as many as the weight
/// store supports.
std::vector<GroupId> groupsAllowedToLoad(const State &Agreed,
                                         std::span<const GroupId> Forming) {
  std::vector<std::pair<Offset, GroupId>> ByAge;
  for (const GroupId &Id : Forming)
    ByAge.emplace_back(Agreed.Groups.at(Id).Generation, Id);
  const std::size_t Limit =
      std::max<std::size_t>(1, Agreed.Declared.WeightLoadsAtOnce);
  const std::size_t Count = std::min(ByAge.size(), Limit);
  const auto End = ByAge.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(ByAge.begin(), End, ByAge.end());
  std::vector<GroupId> Allowed;
  for (auto Entry = ByAge.begin(); Entry != End; ++Entry)
    Allowed.push_back(Entry->second);
  return Allowed;
}

JoinGroup joinOrder(const State &Agreed, const GroupId &Id,
                    const Group &Current, std::size_t Rank) {
  JoinGroup Join;
  Join.Group = Id;
  Join.Model = Current.Spec.Model;
  Join.Version = Current.Spec.Version;
  Join.Adapters = Current.Spec.Adapters;
  Join.Role = Current.Spec.Role;
  Join.Rank = static_cast<std::uint32_t>(Rank);
  for (const HostName &Member : Current.Spec.Members) {
    const HostSpec *Host = findHost(Agreed.Declared, Member);
    Join.Members.push_back(Host == nullptr
                               ? EngineAddress{}
                               : EngineAddress{Host->Address, Host->Port});
  }
  return Join;
}

bool isReady(const EngineReport &Report, const GroupId &Id,
             const Group &Current) {
  return Report.Group == Id && Report.Phase == EnginePhase::Ready &&
         Report.Version == Current.Spec.Version;
}

} // namespace

void GroupFormer::poll(const State &Agreed, std::span<const GroupId> Forming,
                       TimePoint Now, LeaseKeeper &Leases,
                       EngineTracker &Engines, AppendPacer &Appends,
                       GroupCommands &Out) {
  std::erase_if(LoadAllowedSince, [&Agreed](const auto &Entry) {
    const auto Found = Agreed.Groups.find(Entry.first);
    return Found == Agreed.Groups.end() ||
           Found->second.Phase != GroupPhase::Forming;
  });
  const PollContext Context{Agreed, Now, Leases, Engines, Appends, Out};
  for (const GroupId &Id : groupsAllowedToLoad(Agreed, Forming)) {
    const auto Lease = Leases.held(Id.Plan, Now);
    if (!Lease) {
      LoadAllowedSince.erase(Id);
      continue;
    }
    LoadAllowedSince.try_emplace(Id, Now);
    formGroup(Context, Id, Agreed.Groups.at(Id), *Lease);
  }
}

void GroupFormer::formGroup(const PollContext &Context, const GroupId &Id,
                            const Group &Current, const PlanLease &Lease) {
  const std::vector<HostName> &Members = Current.Spec.Members;
  std::size_t ReadyCount = 0;
  const HostName *NotReady = nullptr;
  for (std::size_t Rank = 0; Rank < Members.size(); ++Rank) {
    if (advanceMember(Context, Id, Current, Lease, Rank))
      ++ReadyCount;
    else if (NotReady == nullptr)
      NotReady = &Members[Rank];
    if (Context.Engines.silentFor(Members[Rank], Context.Now) >=
        silenceLimit(Context))
      return abandonGroup(Context, Id, Members[Rank],
                          "does not answer while it forms");
  }
  if (NotReady == nullptr)
    return confirm(Context, Id, Current, Lease);
  if (Context.Now - LoadAllowedSince.at(Id) >= Times.FormTimeout)
    abandonGroup(Context, Id, *NotReady,
                 "has not become ready in the time allowed");
}

Duration GroupFormer::silenceLimit(const PollContext &Context) const {
  // Failure guarded against: this host is the one that is cut off, and it
  // abandons groups that are healthy. While it is cut off, it lets its leases
  // lapse, and another host has the plan before this longer time is over.
  if (Context.Engines.seemsCutOff(Context.Now))
    return Times.MemberSilenceLimit + 2 * Times.leaseExpiredAfter();
  return Times.MemberSilenceLimit;
}

bool GroupFormer::advanceMember(const PollContext &Context, const GroupId &Id,
                                const Group &Current, const PlanLease &Lease,
                                std::size_t Rank) const {
  const HostSpec *Host =
      findHost(Context.Agreed.Declared, Current.Spec.Members[Rank]);
  if (Host == nullptr)
    return false;
  if (Context.Engines.takeRefusedFence(Host->Name))
    Context.Leases.renewNow(Id.Plan);
  Context.Engines.query(*Host, Context.Now, Context.Out);
  const EngineReport *Report = Context.Engines.reportSince(
      Host->Name, Context.Now - Times.ConfirmWindow);
  if (Report == nullptr)
    return false;
  if (isReady(*Report, Id, Current))
    return true;
  const bool Joining =
      Report->Group == Id && Report->Phase == EnginePhase::Loading;
  if (Joining)
    return false;
  // An engine that a late order has put back into a group that no longer exists
  // must leave it first.
  EngineOrder Order{Lease.Fence, joinOrder(Context.Agreed, Id, Current, Rank)};
  if (Report->Group && Report->Group != Id)
    Order.What = LeaveGroup{*Report->Group};
  Context.Engines.order(*Host, std::move(Order), Lease.End, Context.Now,
                        Context.Out);
  return false;
}

void GroupFormer::confirm(const PollContext &Context, const GroupId &Id,
                          const Group &Current, const PlanLease &Lease) const {
  GroupConfirmed Confirmation;
  Confirmation.Group = Id;
  Confirmation.Lease = Lease.Fence;
  for (const HostName &Member : Current.Spec.Members)
    Confirmation.MemberRuns.push_back(
        Context.Engines.reportSince(Member, Context.Now - Times.ConfirmWindow)
            ->Run);
  Context.Appends.append("confirm/" + textOf(Id) + "/" +
                             std::to_string(Lease.Fence),
                         std::move(Confirmation), Context.Now, Context.Out);
}

void GroupFormer::abandonGroup(const PollContext &Context, const GroupId &Id,
                               const HostName &FailedHost, std::string Reason) {
  FailedHosts.push_back(FailedHost);
  Context.Appends.append("break/" + textOf(Id),
                         GroupBroken{Id, FailedHost, std::move(Reason)},
                         Context.Now, Context.Out);
}

} // namespace coltsfoottrail
