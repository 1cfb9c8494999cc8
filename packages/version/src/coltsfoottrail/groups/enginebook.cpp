#include "coltsfoottrail/groups/enginebook.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

constexpr Duration ForgetAfter = std::chrono::minutes(5);

EngineAddress addressOf(const HostSpec &Host) {
  return EngineAddress{Host.Address, Host.Port};
}

} // namespace

void EngineTracker::ask(const HostSpec &Whom, TimePoint Now,
                        GroupCommands &Out) {
  EngineView &View = Known[Whom.Name];
  View.LastUse = Now;
  if (View.Asking || View.Ordering || Now < View.NextAsk)
    return;
  View.Asking = Draw.drawTicket();
  View.AskingSince = Now;
  View.NextAsk = Now + Times.PollEvery;
  Asked[*View.Asking] = Whom.Name;
  Out.emplace_back(
      AskEngine{*View.Asking, Whom.Name, addressOf(Whom), Times.AskTimeout});
}

void EngineTracker::order(const HostSpec &To, EngineOrder Order,
                          TimePoint NotAfter, TimePoint Now,
                          GroupCommands &Out) {
  EngineView &View = Known[To.Name];
  View.LastUse = Now;
  if (View.Ordering || Now < View.NextOrder)
    return;
  View.Ordering = Draw.drawTicket();
  View.NextOrder = Now + Times.OrderEvery;
  View.LastResult.reset();
  View.Last.reset();
  Ordered[*View.Ordering] = To.Name;
  Out.emplace_back(OrderEngine{*View.Ordering, To.Name, addressOf(To),
                               std::move(Order), Times.OrderTimeout, NotAfter});
}

void EngineTracker::recordReport(CommandId Which,
                                 std::optional<EngineReport> Report,
                                 TimePoint Now) {
  const auto Found = Asked.find(Which);
  if (Found == Asked.end())
    return;
  const HostName Host = Found->second;
  Asked.erase(Found);
  const auto Entry = Known.find(Host);
  if (Entry == Known.end() || Entry->second.Asking != Which)
    return;
  EngineView &View = Entry->second;
  View.Asking.reset();
  if (!Report) {
    if (!View.SilentSince)
      View.SilentSince = View.AskingSince;
    if (Now - *View.SilentSince > Times.SilentPollEvery)
      View.NextAsk = Now + Times.SilentPollEvery;
    View.Last.reset();
    return;
  }
  View.SilentSince.reset();
  LastAnswer = Now;
  // Failure guarded against: an order is given while a question is under way,
  // and the answer shows the engine as it was before the order.
  if (View.Ordering)
    return;
  View.Last = std::move(Report);
  View.AskedAt = View.AskingSince;
}

void EngineTracker::recordOrder(CommandId Which, OrderResult Result,
                                TimePoint Now) {
  const auto Found = Ordered.find(Which);
  if (Found == Ordered.end())
    return;
  const HostName Host = Found->second;
  Ordered.erase(Found);
  const auto Entry = Known.find(Host);
  if (Entry == Known.end() || Entry->second.Ordering != Which)
    return;
  EngineView &View = Entry->second;
  View.Ordering.reset();
  View.LastResult = Result;
  View.Last.reset();
  View.Asking.reset();
  View.NextAsk = Now;
}

const EngineReport *EngineTracker::reportSince(const HostName &Of,
                                               TimePoint Since) const {
  const EngineView *View = find(Of);
  if (View == nullptr || !View->Last || View->AskedAt < Since)
    return nullptr;
  return &*View->Last;
}

const EngineView *EngineTracker::find(const HostName &Of) const {
  const auto Entry = Known.find(Of);
  return Entry == Known.end() ? nullptr : &Entry->second;
}

bool EngineTracker::takeRefusedFence(const HostName &Of) {
  const auto Entry = Known.find(Of);
  if (Entry == Known.end() ||
      Entry->second.LastResult != OrderResult::RefusedOldFence)
    return false;
  Entry->second.LastResult.reset();
  return true;
}

Duration EngineTracker::silentFor(const HostName &Of, TimePoint Now) const {
  const EngineView *View = find(Of);
  if (View == nullptr || !View->SilentSince)
    return Duration::zero();
  return Now - *View->SilentSince;
}

bool EngineTracker::seemsCutOff(TimePoint Now) const {
  if (LastAnswer && Now - *LastAnswer < Times.CutOffAfter)
    return false;
  for (const auto &[Host, View] : Known)
    if (View.SilentSince && Now - *View.SilentSince >= Times.CutOffAfter)
      return true;
  return false;
}

void EngineTracker::forgetIdle(TimePoint Now) {
  std::erase_if(Known, [Now](const auto &Entry) {
    return Now - Entry.second.LastUse > ForgetAfter;
  });
}

} // namespace coltsfoottrail
