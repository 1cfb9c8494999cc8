#include "coltsfoottrail/hub/hub.hpp"

#include <algorithm>

namespace coltsfoottrail {

void Hub::took(Feed Which, const FeedPage &Page,
               const std::vector<bool> &Changed, TimePoint AskedAt) {
  Relay &Its = Relays[static_cast<std::size_t>(Which)];
  // Failure guarded against: another hub read for this host for a while. What
  // it relayed is missing here, and a host that was served across that gap
  // would never hear of it.
  if (Page.From != Its.Log.next())
    Its.Log.restart(Page.From);
  for (std::size_t Index = 0; Index < Page.Raw.size(); ++Index)
    if (Changed[Index])
      Its.Log.add(Page.Raw[Index].At, Page.Raw[Index].Bytes);
  Its.Log.readTo(Page.Next);
  Its.AsOf = std::max(Its.AsOf, AskedAt);
}

void Hub::report(const HostReport &Told, TimePoint Now) {
  Board.advance(Now);
  Board.report(Told.Host, Told.Loads, Now);
}

bool Hub::hasNews(const HostReport &Told) const {
  return std::any_of(
      Told.Next.begin(), Told.Next.end(), [&](const auto &Entry) {
        const RelayLog &Its = of(Entry.first).Log;
        return Its.beyond(Entry.second) || Its.hasSince(Entry.second);
      });
}

HubAnswer Hub::answer(const HostReport &Told, bool Drives,
                      TimePoint Now) const {
  HubAnswer Out;
  Out.Hosts = Board.hosts(Now);
  Out.Drives = Drives;
  Out.Loads = Board.others(Told.Host, Now);
  for (const auto &[Which, From] : Told.Next) {
    const Relay &Its = of(Which);
    if (Its.Log.beyond(From))
      Out.Beyond.insert(Which);
    if (!Its.Log.covers(From))
      continue;
    RelayedFeed Relayed;
    Relayed.Next = Its.Log.next();
    Relayed.Age = std::chrono::ceil<milliseconds>(Now - Its.AsOf);
    Relayed.Records = Its.Log.since(From);
    Out.Feeds.emplace(Which, std::move(Relayed));
  }
  return Out;
}

} // namespace coltsfoottrail
