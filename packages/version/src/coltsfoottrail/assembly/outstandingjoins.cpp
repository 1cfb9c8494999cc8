#include "coltsfoottrail/assembly/outstandingjoins.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

OutstandingJoins::Join *OutstandingJoins::find(const EndpointName &Engine,
                                               GroupEpoch Epoch) {
  const auto Entry = Joins.find(Engine);
  if (Entry == Joins.end())
    return nullptr;
  const auto Found =
      std::find_if(Entry->second.begin(), Entry->second.end(),
                   [&](const Join &Order) { return Order.Epoch == Epoch; });
  return Found == Entry->second.end() ? nullptr : &*Found;
}

OutstandingJoins::Join &OutstandingJoins::findOrAdd(const EndpointName &Engine,
                                                    std::uint64_t StartedAtMs,
                                                    GroupEpoch Epoch) {
  Join *Order = find(Engine, Epoch);
  if (Order == nullptr) {
    Joins[Engine].push_back({Epoch, StartedAtMs});
    Order = &Joins[Engine].back();
  }
  return *Order;
}

void OutstandingJoins::sent(const EndpointRecord &Engine, GroupEpoch Epoch) {
  ++findOrAdd(Engine.Name, Engine.StartedAtMs, Epoch).InFlight;
}

void OutstandingJoins::ended(const EndpointName &Engine, GroupEpoch Epoch,
                             OrderOutcome Outcome, TimePoint Now) {
  Join *const Order = find(Engine, Epoch);
  if (Order == nullptr || Order->InFlight == 0)
    return;
  --Order->InFlight;
  if (Outcome == OrderOutcome::Unknown)
    Order->Until = Now + LatestExecution;
}

void OutstandingJoins::assume(const EndpointName &Engine,
                              std::uint64_t StartedAtMs, GroupEpoch Epoch,
                              TimePoint Until) {
  Join &Order = findOrAdd(Engine, StartedAtMs, Epoch);
  Order.Until = std::max(Order.Until, Until);
  Order.GroupOpened = true;
}

void OutstandingJoins::groupOpened(const EndpointName &Engine,
                                   GroupEpoch Epoch) {
  if (Join *const Order = find(Engine, Epoch))
    Order->GroupOpened = true;
}

void OutstandingJoins::forgetOutcomes(TimePoint Now) {
  for (auto &[Engine, Orders] : Joins)
    for (Join &Order : Orders)
      if (std::exchange(Order.InFlight, 0) > 0)
        Order.Until = Now + LatestExecution;
}

void OutstandingJoins::expire(TimePoint AsOf) {
  for (auto &[Engine, Orders] : Joins)
    std::erase_if(
        Orders, [&](const Join &Order) { return !Order.isOutstanding(AsOf); });
  std::erase_if(Joins, [](const auto &Entry) { return Entry.second.empty(); });
}

bool OutstandingJoins::isAccepted(const Join &Order,
                                  const EndpointRecord &Engine) noexcept {
  return Order.StartedAtMs == Engine.StartedAtMs &&
         (!Engine.Seat || Order.Epoch >= Engine.Seat->Epoch);
}

bool OutstandingJoins::mayArrive(const EndpointRecord &Engine, GroupEpoch Epoch,
                                 TimePoint AsOf) const {
  const auto Entry = Joins.find(Engine.Name);
  return Entry != Joins.end() &&
         std::any_of(Entry->second.begin(), Entry->second.end(),
                     [&](const Join &Order) {
                       return Order.Epoch == Epoch &&
                              isAccepted(Order, Engine) &&
                              Order.isOutstanding(AsOf);
                     });
}

bool OutstandingJoins::mayReturn(const EndpointRecord &Engine,
                                 TimePoint AsOf) const {
  const auto Entry = Joins.find(Engine.Name);
  return !Engine.Seat && Entry != Joins.end() &&
         std::any_of(Entry->second.begin(), Entry->second.end(),
                     [&](const Join &Order) {
                       return Order.GroupOpened && isAccepted(Order, Engine) &&
                              Order.isOutstanding(AsOf);
                     });
}

} // namespace coltsfoottrail
