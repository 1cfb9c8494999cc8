#include "coltsfoottrail/groups/former.hpp"

#include "coltsfoottrail/intents/describe.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

struct Former::Pass {
  const State &Now;
  TimePoint At;
  LeaseKeeper &Leases;
  EngineBook &Book;
  AppendPacer &Pace;
  GroupCommands &Out;
};

namespace {

/// The groups that may load: the oldest, as many as the weight store bears.
std::vector<GroupId> groupsInTurn(const State &Now,
                                  std::span<const GroupId> Forming) {
  std::vector<std::pair<Offset, GroupId>> Waiting;
  for (const GroupId &Id : Forming)
    Waiting.emplace_back(Now.Groups.at(Id).Generation, Id);
  const std::size_t Bears =
      std::max<std::size_t>(1, Now.Declared.WeightLoadsAtOnce);
  const std::size_t Count = std::min(Waiting.size(), Bears);
  const auto End = Waiting.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(Waiting.begin(), End, Waiting.end());
  std::vector<GroupId> InTurn;
  for (auto Each = Waiting.begin(); Each != End; ++Each)
    InTurn.push_back(Each->second);
  return InTurn;
}

JoinGroup joinOrder(const State &Now, const GroupId &Id, const Group &Known,
                    std::size_t Rank) {
  JoinGroup Join;
  Join.Group = Id;
  Join.Model = Known.Spec.Model;
  Join.Version = Known.Spec.Version;
  Join.Adapters = Known.Spec.Adapters;
  Join.Role = Known.Spec.Role;
  Join.Rank = static_cast<std::uint32_t>(Rank);
  for (const HostName &Member : Known.Spec.Members) {
    const HostSpec *Host = findHost(Now.Declared, Member);
    Join.Members.push_back(Host == nullptr
                               ? EngineAddress{}
                               : EngineAddress{Host->Address, Host->Port});
  }
  return Join;
}

bool isReady(const EngineReport &Report, const GroupId &Id,
             const Group &Known) {
  return Report.Group == Id && Report.Phase == EnginePhase::Ready &&
         Report.Version == Known.Spec.Version;
}

} // namespace

void Former::poll(const State &Now, std::span<const GroupId> Forming,
                  TimePoint At, LeaseKeeper &Leases, EngineBook &Book,
                  AppendPacer &Pace, GroupCommands &Out) {
  std::erase_if(TurnSince, [&Now](const auto &Entry) {
    const auto Found = Now.Groups.find(Entry.first);
    return Found == Now.Groups.end() ||
           Found->second.Phase != GroupPhase::Forming;
  });
  const Pass In{Now, At, Leases, Book, Pace, Out};
  for (const GroupId &Id : groupsInTurn(Now, Forming)) {
    const auto Lease = Leases.held(Id.Plan, At);
    if (!Lease) {
      TurnSince.erase(Id);
      continue;
    }
    TurnSince.try_emplace(Id, At);
    formGroup(In, Id, Now.Groups.at(Id), *Lease);
  }
}

void Former::formGroup(const Pass &In, const GroupId &Id, const Group &Known,
                       const PlanLease &Lease) {
  const std::vector<HostName> &Members = Known.Spec.Members;
  std::size_t Ready = 0;
  const HostName *Waiting = nullptr;
  for (std::size_t Rank = 0; Rank < Members.size(); ++Rank) {
    if (joinMember(In, Id, Known, Lease, Rank))
      ++Ready;
    else if (Waiting == nullptr)
      Waiting = &Members[Rank];
    if (In.Book.silentFor(Members[Rank], In.At) >= silenceAllowed(In))
      return giveUp(In, Id, Members[Rank], "does not answer while it forms");
  }
  if (Waiting == nullptr)
    return confirm(In, Id, Known, Lease);
  if (In.At - TurnSince.at(Id) >= Times.FormPatience)
    giveUp(In, Id, *Waiting, "has not become ready in the time allowed");
}

Duration Former::silenceAllowed(const Pass &In) const {
  // Failure guarded against: this host is the one that is cut off, and gives up
  // groups that are well. It lets its leases lapse, and another host has the
  // plan before this time is over.
  if (In.Book.seemsCutOff(In.At))
    return Times.MemberSilent + 2 * Times.leaseOverAfter();
  return Times.MemberSilent;
}

bool Former::joinMember(const Pass &In, const GroupId &Id, const Group &Known,
                        const PlanLease &Lease, std::size_t Rank) const {
  const HostSpec *Host = findHost(In.Now.Declared, Known.Spec.Members[Rank]);
  if (Host == nullptr)
    return false;
  if (In.Book.takeRefusedFence(Host->Name))
    In.Leases.renewNow(Id.Plan);
  In.Book.ask(*Host, In.At, In.Out);
  const EngineReport *Report =
      In.Book.reportSince(Host->Name, In.At - Times.ConfirmWindow);
  if (Report == nullptr)
    return false;
  if (isReady(*Report, Id, Known))
    return true;
  const bool Joining =
      Report->Group == Id && Report->Phase == EnginePhase::Loading;
  if (Joining)
    return false;
  // An engine that a late order has put back into a group that is gone must
  // leave it first.
  EngineOrder Order{Lease.Fence, joinOrder(In.Now, Id, Known, Rank)};
  if (Report->Group && Report->Group != Id)
    Order.What = LeaveGroup{*Report->Group};
  In.Book.order(*Host, std::move(Order), Lease.End, In.At, In.Out);
  return false;
}

void Former::confirm(const Pass &In, const GroupId &Id, const Group &Known,
                     const PlanLease &Lease) const {
  GroupConfirmed Said;
  Said.Group = Id;
  Said.Lease = Lease.Fence;
  for (const HostName &Member : Known.Spec.Members)
    Said.MemberRuns.push_back(
        In.Book.reportSince(Member, In.At - Times.ConfirmWindow)->Run);
  In.Pace.append("confirm/" + textOf(Id) + "/" + std::to_string(Lease.Fence),
                 std::move(Said), In.At, In.Out);
}

void Former::giveUp(const Pass &In, const GroupId &Id, const HostName &Lost,
                    std::string Why) {
  GivenUp.push_back(Lost);
  In.Pace.append("break/" + textOf(Id), GroupBroken{Id, Lost, std::move(Why)},
                 In.At, In.Out);
}

} // namespace coltsfoottrail
