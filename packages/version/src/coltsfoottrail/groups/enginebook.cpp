#include "coltsfoottrail/groups/enginebook.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

constexpr Duration DropAfter = std::chrono::minutes(5);

EngineAddress addressOf(const HostSpec &Host) {
  return EngineAddress{Host.Address, Host.Port};
}

} // namespace

void EngineTracker::query(const HostSpec &Host, TimePoint Now,
                          GroupCommands &Out) {
  EngineView &Engine = Engines[Host.Name];
  Engine.LastUse = Now;
  if (Engine.QueryId || Engine.OrderId || Now < Engine.NextQuery)
    return;
  Engine.QueryId = CommandIds.nextId();
  Engine.QuerySentAt = Now;
  Engine.NextQuery = Now + Times.PollEvery;
  PendingQueries[*Engine.QueryId] = Host.Name;
  Out.emplace_back(
      AskEngine{*Engine.QueryId, Host.Name, addressOf(Host), Times.AskTimeout});
}

void EngineTracker::order(const HostSpec &Host, EngineOrder Order,
                          TimePoint NotAfter, TimePoint Now,
                          GroupCommands &Out) {
  EngineView &Engine = Engines[Host.Name];
  Engine.LastUse = Now;
  if (Engine.OrderId || Now < Engine.NextOrder)
    return;
  Engine.OrderId = CommandIds.nextId();
  Engine.NextOrder = Now + Times.OrderEvery;
  Engine.LastResult.reset();
  Engine.LastReport.reset();
  PendingOrders[*Engine.OrderId] = Host.Name;
  Out.emplace_back(OrderEngine{*Engine.OrderId, Host.Name, addressOf(Host),
                               std::move(Order), Times.OrderTimeout, NotAfter});
}

void EngineTracker::recordReport(CommandId Id,
                                 std::optional<EngineReport> Report,
                                 TimePoint Now) {
  const auto Pending = PendingQueries.find(Id);
  if (Pending == PendingQueries.end())
    return;
  const HostName Host = Pending->second;
  PendingQueries.erase(Pending);
  const auto Entry = Engines.find(Host);
  if (Entry == Engines.end() || Entry->second.QueryId != Id)
    return;
  EngineView &Engine = Entry->second;
  Engine.QueryId.reset();
  if (!Report) {
    if (!Engine.SilentSince)
      Engine.SilentSince = Engine.QuerySentAt;
    if (Now - *Engine.SilentSince > Times.SilentPollEvery)
      Engine.NextQuery = Now + Times.SilentPollEvery;
    Engine.LastReport.reset();
    return;
  }
  Engine.SilentSince.reset();
  LastAnswer = Now;
  // Failure guarded against: an order is sent while a query is in progress, and
  // the answer shows the engine as it was before the order.
  if (Engine.OrderId)
    return;
  Engine.LastReport = std::move(Report);
  Engine.LastQueriedAt = Engine.QuerySentAt;
}

void EngineTracker::recordOrder(CommandId Id, OrderResult Result,
                                TimePoint Now) {
  const auto Pending = PendingOrders.find(Id);
  if (Pending == PendingOrders.end())
    return;
  const HostName Host = Pending->second;
  PendingOrders.erase(Pending);
  const auto Entry = Engines.find(Host);
  if (Entry == Engines.end() || Entry->second.OrderId != Id)
    return;
  EngineView &Engine = Entry->second;
  Engine.OrderId.reset();
  Engine.LastResult = Result;
  Engine.LastReport.reset();
  Engine.QueryId.reset();
  Engine.NextQuery = Now;
}

const EngineReport *EngineTracker::reportSince(const HostName &Host,
                                               TimePoint Since) const {
  const EngineView *Engine = find(Host);
  if (Engine == nullptr || !Engine->LastReport || Engine->LastQueriedAt < Since)
    return nullptr;
  return &*Engine->LastReport;
}

const EngineView *EngineTracker::find(const HostName &Host) const {
  const auto Entry = Engines.find(Host);
  return Entry == Engines.end() ? nullptr : &Entry->second;
}

bool EngineTracker::takeRefusedFence(const HostName &Host) {
  const auto Entry = Engines.find(Host);
  if (Entry == Engines.end() ||
      Entry->second.LastResult != OrderResult::RefusedOldFence)
    return false;
  Entry->second.LastResult.reset();
  return true;
}

Duration EngineTracker::silentFor(const HostName &Host, TimePoint Now) const {
  const EngineView *Engine = find(Host);
  if (Engine == nullptr || !Engine->SilentSince)
    return Duration::zero();
  return Now - *Engine->SilentSince;
}

bool EngineTracker::seemsCutOff(TimePoint Now) const {
  if (LastAnswer && Now - *LastAnswer < Times.CutOffAfter)
    return false;
  for (const auto &[Host, Engine] : Engines)
    if (Engine.SilentSince && Now - *Engine.SilentSince >= Times.CutOffAfter)
      return true;
  return false;
}

void EngineTracker::forgetIdle(TimePoint Now) {
  std::erase_if(Engines, [Now](const auto &Entry) {
    return Now - Entry.second.LastUse > DropAfter;
  });
}

} // namespace coltsfoottrail
