#include "coltsfoottrail/groups/releaser.hpp"

#include "coltsfoottrail/groups/spread.hpp"
#include "coltsfoottrail/intents/describe.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Entry hosts that act on one group, one after the other.
constexpr std::size_t MostTurns = 3;
/// Between two looks at the turn, which moves as entry hosts come and go.
constexpr Duration TurnLookEvery = seconds(5);

/// Where a host is, also when it was dropped while a broken group held it.
const HostSpec *findPlace(const State &Now, const HostName &Name) {
  if (const HostSpec *Host = findHost(Now.Declared, Name))
    return Host;
  const auto Gone = Now.DepartedHosts.find(Name);
  return Gone == Now.DepartedHosts.end() ? nullptr : &Gone->second;
}

} // namespace

struct Releaser::Pass {
  const State &Now;
  TimePoint At;
  EngineBook &Book;
  AppendPacer &Pace;
  GroupCommands &Out;
};

void Releaser::poll(const State &Now, std::span<const GroupId> Over,
                    TimePoint At, EngineBook &Book, AppendPacer &Pace,
                    GroupCommands &Out) {
  std::erase_if(Groups, [&Now](const auto &Entry) {
    return !Now.Groups.contains(Entry.first);
  });
  const Pass In{Now, At, Book, Pace, Out};
  for (const GroupId &Id : Over) {
    const Group &Known = Now.Groups.at(Id);
    const auto [Entry, Fresh] = Groups.try_emplace(Id);
    Leaving &How = Entry->second;
    if (Fresh || How.Phase != Known.Phase) {
      How = Leaving();
      How.Phase = Known.Phase;
      How.Since = At;
      How.Fence = Now.Next;
    }
    if (hasTurn(In, Id, How))
      releaseGroup(In, Id, Known, How);
  }
}

bool Releaser::hasTurn(const Pass &In, const GroupId &Id, Leaving &How) const {
  if (In.At >= How.NextTurnLook) {
    How.Turn = turnOf("release/" + textOf(Id), In.Now.EntryHosts, Self);
    How.NextTurnLook = In.At + TurnLookEvery;
  }
  const auto Turn = static_cast<std::int64_t>(How.Turn);
  return How.Turn < MostTurns && In.At - How.Since >= Turn * Times.Stagger;
}

void Releaser::releaseGroup(const Pass &In, const GroupId &Id,
                            const Group &Known, Leaving &How) const {
  // A group that never served has nothing to finish, and a broken one can't.
  const bool HasWork =
      Known.Phase == GroupPhase::Stopping && !Known.MemberRuns.empty();
  if (!HasWork)
    How.MayLeave = true;
  for (const HostName &Name : Known.HeldHosts) {
    const HostSpec *Host = findPlace(In.Now, Name);
    if (Host == nullptr)
      continue;
    In.Book.ask(*Host, In.At, In.Out);
    if (How.MayLeave)
      releaseHost(In, Id, *Host, How);
  }
  if (!How.MayLeave)
    watchQuiet(In, Id, Known, How);
}

void Releaser::watchQuiet(const Pass &In, const GroupId &Id, const Group &Known,
                          Leaving &How) const {
  bool Quiet = In.At - How.Since >= Times.StopSettle;
  for (const HostName &Name : Known.HeldHosts) {
    if (!In.Book.seemsCutOff(In.At) &&
        In.Book.silentFor(Name, In.At) >= Times.MemberSilent) {
      In.Pace.append(
          "break/" + textOf(Id),
          GroupBroken{Id, Name, "does not answer while its group stops"}, In.At,
          In.Out);
      return;
    }
    const EngineReport *Report =
        In.Book.reportSince(Name, How.Since + Times.StopSettle);
    Quiet = Quiet && Report != nullptr && Report->Running == 0 &&
            Report->Queued == 0;
  }
  if (!Quiet) {
    How.QuietSince.reset();
    return;
  }
  if (!How.QuietSince)
    How.QuietSince = In.At;
  How.MayLeave = In.At - *How.QuietSince >= Times.QuietFor;
}

void Releaser::releaseHost(const Pass &In, const GroupId &Id,
                           const HostSpec &Host, Leaving &How) const {
  if (In.Book.takeRefusedFence(Host.Name))
    How.Fence = In.Now.Next;
  const EngineReport *Report =
      In.Book.reportSince(Host.Name, In.At - Times.ConfirmWindow);
  if (Report == nullptr)
    return;
  const bool Out = Report->Group != Id;
  if (Out && isOutForGood(In, Host, *Report, How))
    return release(In, Id, Host.Name);
  const bool Obeyed = Report->Fence >= How.Fence;
  const bool Leaves = !Out && Report->Phase == EnginePhase::Leaving;
  const bool Waits = Out ? !Host.RefusesOldFences : Leaves && Obeyed;
  if (!Waits)
    In.Book.order(Host, EngineOrder{How.Fence, LeaveGroup{Id}},
                  TimePoint::max(), In.At, In.Out);
}

bool Releaser::isOutForGood(const Pass &In, const HostSpec &Host,
                            const EngineReport &Report,
                            const Leaving &How) const {
  if (Host.RefusesOldFences && Report.Fence >= How.Fence)
    return true;
  // Failure guarded against: the executor that ordered this engine into the
  // group is paused with one more such order on its way. The engine reports
  // itself out, the host goes to another group, and the late order takes it
  // back. Nobody may send that order once the lease is over by the holder's
  // slowest clock, so a report asked for after that stays true.
  const TimePoint Over = How.Since + Times.leaseOverAfter();
  return In.Book.reportSince(Host.Name, Over) != nullptr;
}

void Releaser::release(const Pass &In, const GroupId &Id,
                       const HostName &Host) const {
  In.Pace.append("release/" + textOf(Id) + "/" + Host.Text,
                 HostReleased{Host, Id}, In.At, In.Out);
}

} // namespace coltsfoottrail
