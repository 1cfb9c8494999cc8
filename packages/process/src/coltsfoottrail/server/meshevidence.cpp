#include "coltsfoottrail/server/meshevidence.hpp"

#include "coltsfoottrail/dissemination/noticewire.hpp"
#include "coltsfoottrail/server/evidencelog.hpp"

#include <nlohmann/json.hpp>

namespace coltsfoottrail {

void MeshEvidence::publish(std::string_view PoolName,
                           const EndpointNotice &Notice) {
  logNotice(PoolName, Notice, "self");
  const PoolNotice Published{std::string(PoolName), Notice};
  keep(Published);
  Peers.broadcast(Channel::Notices, writeNotice(Published));
}

void MeshEvidence::keep(const PoolNotice &Notice) {
  const std::lock_guard Guard(Lock);
  Board.addOwn(Notice.PoolName, Notice.Notice, BootClock::now());
}

// Failure guarded against: a host that has just started, or was cut off, does
// not know which requests crash endpoints, and loses endpoints of its own.
void MeshEvidence::sendKept(const HostName &Host) {
  const std::lock_guard Guard(Lock);
  const TimePoint Now = BootClock::now();
  for (std::uint64_t Next = 0; Board.hasSince(Next, Host);) {
    const NoticePage Page = Board.since(Next, Host, Now);
    for (const RelayedNotice &Kept : Page.Notices)
      if (!Peers.send(Host, Channel::Notices, writeNotice(Kept.Content)))
        return;
    Next = Page.Next;
  }
}

void MeshEvidence::recordOutageLoss(std::string_view PoolName,
                                    const std::string &EndpointKey) {
  logOutageLoss(PoolName, EndpointKey);
}

void MeshEvidence::recordPartChange(std::string_view PoolName,
                                    const PartChange &Change) {
  logPartChange(PoolName, Change);
}

} // namespace coltsfoottrail
