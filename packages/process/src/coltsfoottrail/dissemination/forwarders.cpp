#include "coltsfoottrail/dissemination/forwarders.hpp"

namespace coltsfoottrail {

namespace {

/// A few reports.
constexpr Duration EntryLife = seconds(2);

} // namespace

void ForwarderDirectory::add(const Forwarder &Host, TimePoint Now) {
  Hosts.insert_or_assign(Host.Address, Entry{Host.DataCentre, Now});
}

void ForwarderDirectory::remove(const EngineAddress &Address) {
  Hosts.erase(Address);
}

std::vector<Forwarder> ForwarderDirectory::choose(const EngineAddress &Asker,
                                                  TimePoint Now) {
  std::erase_if(Hosts, [&](const auto &Item) {
    return Now - Item.second.HeardAt > EntryLife;
  });
  std::vector<Forwarder> Result;
  auto Next = Hosts.upper_bound(Last);
  for (std::size_t Seen = 0; Seen < Hosts.size() && Result.size() < MaxNamed;
       ++Seen) {
    if (Next == Hosts.end())
      Next = Hosts.begin();
    if (Next->first != Asker)
      Result.push_back({Next->first, Next->second.DataCentre});
    Last = Next->first;
    ++Next;
  }
  return Result;
}

} // namespace coltsfoottrail
