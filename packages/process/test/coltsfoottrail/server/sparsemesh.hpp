/// @file
/// Simulation of entry hosts with the production choice of connections, in
/// simulated time.
#ifndef COLTSFOOTTRAIL_TEST_SERVER_SPARSEMESH_HPP
#define COLTSFOOTTRAIL_TEST_SERVER_SPARSEMESH_HPP

#include "coltsfoottrail/membership/membership.hpp"
#include "coltsfoottrail/mesh/table.hpp"
#include "coltsfoottrail/server/meshpeers.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace coltsfoottrail::testing {

/// @brief A fleet of entry hosts: membership and peer tables are production
/// code; the log, the sockets and the time are simulated. Hosts join one after
/// the other, like processes started in a row.
class SparseMesh {
public:
  static constexpr Duration Step = milliseconds(50);
  static constexpr std::uint16_t Port = 7000;

  explicit SparseMesh(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      start(Index);
      run(2 * Step);
    }
  }

  /// Stops host number Index without a farewell.
  void kill(std::size_t Index) {
    Host &DepartedHosts = *Hosts[Index];
    DepartedHosts.Up = false;
    for (auto &[Other, Link] : std::map(DepartedHosts.Links))
      disconnect(DepartedHosts, Other);
  }

  void run(Duration Period) {
    for (const TimePoint End = Now + Period; Now < End;) {
      Now += Step;
      deliver();
      for (const auto &Member : Hosts)
        if (Member->Up)
          advance(*Member);
    }
  }

  [[nodiscard]] std::set<std::string> members() const {
    std::set<std::string> Names;
    for (const auto &[Name, HostRecord] : Agreed.EntryHosts)
      Names.insert(Name.Text);
    return Names;
  }
  [[nodiscard]] static std::string nameOf(std::size_t Index) {
    return "entry-" + std::to_string(Index);
  }
  [[nodiscard]] std::size_t maxLinks() const {
    std::size_t MaxCount = 0;
    for (const auto &Member : Hosts)
      MaxCount = std::max(MaxCount, Member->Links.size());
    return MaxCount;
  }

private:
  struct Host {
    HostName Name;
    Incarnation Run = 0;
    std::string Address;
    bool Up = true;
    Offset SeenChange = 0;
    std::unique_ptr<Membership> LocalMembership;
    std::unique_ptr<internal::PeerTable> Table;
    struct Connection {
      internal::LinkId Link;
      bool Dialled = false;
      TimePoint LastUsed;
    };
    std::map<HostName, Connection> Links;
    std::map<HostName, std::vector<MembershipMessage>> Pending;
  };
  struct Envelope {
    HostName From;
    HostName To;
    MembershipMessage Message;
  };

  void start(std::size_t Index) {
    auto NewHost = std::make_unique<Host>();
    NewHost->Name = HostName(nameOf(Index));
    NewHost->Run = Index + 1;
    NewHost->Address = "10.0.0." + std::to_string(Index);
    MembershipOptions Options;
    Options.Self.Host = NewHost->Name;
    Options.Self.Run = NewHost->Run;
    Options.Self.DataCentre = DataCentreName("dc-" + std::to_string(Index % 3));
    Options.Self.Address = NewHost->Address;
    Options.Self.MeshPort = Port;
    Options.Seed = NewHost->Run;
    NewHost->LocalMembership = std::make_unique<Membership>(Options);
    NewHost->Table = std::make_unique<internal::PeerTable>(
        NewHost->Name, internal::DialPolicy{}, NewHost->Run);
    Hosts.push_back(std::move(NewHost));
  }

  void advance(Host &Local) {
    MembershipCommands Commands;
    if (Local.SeenChange != Agreed.EntryHostsChange) {
      Local.SeenChange = Agreed.EntryHostsChange;
      Local.LocalMembership->applyState(Agreed, Now, Commands);
      for (const internal::LinkId StaleLink :
           Local.Table->setPeers(meshPeers(Local.Name, Agreed), Now))
        cut(Local, StaleLink);
    }
    Local.LocalMembership->advance(Now, Commands);
    perform(Local, Commands);
    closeUnused(Local);
    for (const internal::DialTarget &Target : Local.Table->due(Now))
      dial(Local, Target);
    std::erase_if(Local.Pending, [&](const auto &Entry) {
      return !Local.Table->expects(Entry.first, Now);
    });
  }

  void perform(Host &Local, const MembershipCommands &Due) {
    for (const MembershipCommand &Command : Due)
      if (const auto *const Sent = std::get_if<MembershipSend>(&Command))
        send(Local, *Sent);
      else if (const auto *const NewHost =
                   std::get_if<MembershipAppend>(&Command))
        append(NewHost->Payload);
  }

  void send(Host &From, const MembershipSend &Sent) {
    const auto Link = From.Links.find(Sent.To);
    if (Link != From.Links.end()) {
      Link->second.LastUsed = Now;
      Network.push_back({From.Name, Sent.To, Sent.Payload});
    } else if (From.Table->demand(Sent.To, Now)) {
      From.Pending[Sent.To].push_back(Sent.Payload);
    }
  }

  void deliver() {
    for (Envelope &Sent : std::exchange(Network, {})) {
      Host &To = host(Sent.To);
      const auto Link = To.Links.find(Sent.From);
      if (!To.Up || Link == To.Links.end())
        continue;
      Link->second.LastUsed = Now;
      MembershipCommands Commands;
      To.LocalMembership->receive(Sent.From, Sent.Message, Now, Commands);
      perform(To, Commands);
    }
  }

  void append(const Record &NewRecord) {
    const Offset RecordOffset = Agreed.Next++;
    if (const auto *const Arrival = std::get_if<EntryHostJoined>(&NewRecord)) {
      Agreed.EntryHosts[Arrival->Host] = EntryHost{*Arrival, RecordOffset};
    } else {
      const auto &DepartedHosts = std::get<EntryHostLeft>(NewRecord);
      const auto Found = Agreed.EntryHosts.find(DepartedHosts.Host);
      if (Found == Agreed.EntryHosts.end() ||
          Found->second.JoinRecord.Run != DepartedHosts.Run)
        return;
      Agreed.EntryHosts.erase(Found);
    }
    Agreed.EntryHostsChange = RecordOffset + 1;
  }

  void dial(Host &From, const internal::DialTarget &Target) {
    Host *To = nullptr;
    for (const auto &Member : Hosts)
      if (Member->Address == Target.Address && Member->Up)
        To = Member.get();
    if (To == nullptr)
      return From.Table->dialFailed(Target, std::nullopt, Now);
    const internal::LinkId Link{++LastLink, 1};
    const internal::Admission LocalResult =
        From.Table->admit({Link, To->Name, To->Run, Target}, Now);
    const internal::Admission RemoteResult =
        To->Table->admit({Link, From.Name, From.Run, std::nullopt}, Now);
    if (LocalResult.Refused || RemoteResult.Refused || LocalResult.Redundant ||
        RemoteResult.Redundant)
      return;
    connect(From, *To, Link, true);
    connect(*To, From, Link, false);
  }

  void connect(Host &Local, const Host &Other, internal::LinkId Link,
               bool Dialled) {
    Local.Links[Other.Name] = {Link, Dialled, Now};
    for (MembershipMessage &Queued :
         std::exchange(Local.Pending[Other.Name], {}))
      Network.push_back({Local.Name, Other.Name, std::move(Queued)});
    Local.Pending.erase(Other.Name);
  }

  void disconnect(Host &Local, const HostName &With) {
    Host &Other = host(With);
    for (auto *const End : {&Local, &Other}) {
      const HostName &Peer = End == &Local ? With : Local.Name;
      const auto Found = End->Links.find(Peer);
      if (Found == End->Links.end())
        continue;
      (void)End->Table->linkClosed(Found->second.Link, Now);
      End->Links.erase(Found);
    }
  }

  void cut(Host &Local, internal::LinkId Link) {
    for (const auto &[Peer, Connection] : std::map(Local.Links))
      if (Connection.Link == Link)
        disconnect(Local, Peer);
  }

  void closeUnused(Host &Local) {
    for (const auto &[Peer, Connection] : std::map(Local.Links))
      if (Local.Table->isUnused(Peer, Connection.LastUsed, Now)) {
        Local.Table->release(Connection.Link);
        disconnect(Local, Peer);
      }
  }

  [[nodiscard]] Host &host(const HostName &Name) {
    return **std::find_if(Hosts.begin(), Hosts.end(), [&](const auto &Member) {
      return Member->Name == Name;
    });
  }

  TimePoint Now{seconds(1'000)};
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Envelope> Network;
  State Agreed;
  std::uint32_t LastLink = 0;
};

} // namespace coltsfoottrail::testing

#endif
