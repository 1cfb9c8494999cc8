/// @file
/// Entry hosts with the real choice of connections, in simulated time.
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

/// @brief A fleet of entry hosts: membership and peer tables are the product's
/// own, the log, the sockets and the time are simulated. Hosts join one after
/// the other, as processes that are started in a row.
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

  /// Host number Index stops without a word.
  void kill(std::size_t Index) {
    Host &Gone = *Hosts[Index];
    Gone.Up = false;
    for (auto &[Other, Link] : std::map(Gone.Links))
      disconnect(Gone, Other);
  }

  void run(Duration Span) {
    for (const TimePoint End = Now + Span; Now < End;) {
      Now += Step;
      deliver();
      for (const auto &Member : Hosts)
        if (Member->Up)
          advance(*Member);
    }
  }

  [[nodiscard]] std::set<std::string> members() const {
    std::set<std::string> Names;
    for (const auto &[Name, Known] : Agreed.EntryHosts)
      Names.insert(Name.Text);
    return Names;
  }
  [[nodiscard]] static std::string nameOf(std::size_t Index) {
    return "entry-" + std::to_string(Index);
  }
  [[nodiscard]] std::size_t mostLinks() const {
    std::size_t Most = 0;
    for (const auto &Member : Hosts)
      Most = std::max(Most, Member->Links.size());
    return Most;
  }

private:
  struct Host {
    HostName Name;
    Incarnation Run = 0;
    std::string Address;
    bool Up = true;
    Offset SeenChange = 0;
    std::unique_ptr<Membership> Part;
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
    MembershipMessage What;
  };

  void start(std::size_t Index) {
    auto Made = std::make_unique<Host>();
    Made->Name = HostName(nameOf(Index));
    Made->Run = Index + 1;
    Made->Address = "10.0.0." + std::to_string(Index);
    MembershipOptions Options;
    Options.Self.Host = Made->Name;
    Options.Self.Run = Made->Run;
    Options.Self.DataCentre = DataCentreName("dc-" + std::to_string(Index % 3));
    Options.Self.Address = Made->Address;
    Options.Self.MeshPort = Port;
    Options.Seed = Made->Run;
    Made->Part = std::make_unique<Membership>(Options);
    Made->Table = std::make_unique<internal::PeerTable>(
        Made->Name, internal::DialPolicy{}, Made->Run);
    Hosts.push_back(std::move(Made));
  }

  void advance(Host &At) {
    MembershipCommands Commands;
    if (At.SeenChange != Agreed.EntryHostsChange) {
      At.SeenChange = Agreed.EntryHostsChange;
      At.Part->state(Agreed, Now, Commands);
      for (const internal::LinkId Cut :
           At.Table->setPeers(meshPeers(At.Name, Agreed), Now))
        cut(At, Cut);
    }
    At.Part->advance(Now, Commands);
    perform(At, Commands);
    closeUnused(At);
    for (const internal::DialTarget &Target : At.Table->due(Now))
      dial(At, Target);
    std::erase_if(At.Pending, [&](const auto &Entry) {
      return !At.Table->expects(Entry.first, Now);
    });
  }

  void perform(Host &At, const MembershipCommands &Due) {
    for (const MembershipCommand &Command : Due)
      if (const auto *const Sent = std::get_if<MembershipSend>(&Command))
        send(At, *Sent);
      else if (const auto *const Made = std::get_if<MembershipAppend>(&Command))
        append(Made->What);
  }

  void send(Host &From, const MembershipSend &Sent) {
    const auto Link = From.Links.find(Sent.To);
    if (Link != From.Links.end()) {
      Link->second.LastUsed = Now;
      Network.push_back({From.Name, Sent.To, Sent.What});
    } else if (From.Table->demand(Sent.To, Now)) {
      From.Pending[Sent.To].push_back(Sent.What);
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
      To.Part->received(Sent.From, Sent.What, Now, Commands);
      perform(To, Commands);
    }
  }

  void append(const Record &What) {
    const Offset At = Agreed.Next++;
    if (const auto *const Came = std::get_if<EntryHostJoined>(&What)) {
      Agreed.EntryHosts[Came->Host] = EntryHost{*Came, At};
    } else {
      const auto &Gone = std::get<EntryHostLeft>(What);
      const auto Found = Agreed.EntryHosts.find(Gone.Host);
      if (Found == Agreed.EntryHosts.end() ||
          Found->second.JoinRecord.Run != Gone.Run)
        return;
      Agreed.EntryHosts.erase(Found);
    }
    Agreed.EntryHostsChange = At + 1;
  }

  void dial(Host &From, const internal::DialTarget &Target) {
    Host *To = nullptr;
    for (const auto &Member : Hosts)
      if (Member->Address == Target.Address && Member->Up)
        To = Member.get();
    if (To == nullptr)
      return From.Table->dialFailed(Target, std::nullopt, Now);
    const internal::LinkId Link{++LastLink, 1};
    const internal::Admission Near =
        From.Table->admit({Link, To->Name, To->Run, Target}, Now);
    const internal::Admission Far =
        To->Table->admit({Link, From.Name, From.Run, std::nullopt}, Now);
    if (Near.Refused || Far.Refused || Near.Spare || Far.Spare)
      return;
    connect(From, *To, Link, true);
    connect(*To, From, Link, false);
  }

  void connect(Host &At, const Host &Other, internal::LinkId Link,
               bool Dialled) {
    At.Links[Other.Name] = {Link, Dialled, Now};
    for (MembershipMessage &Held : std::exchange(At.Pending[Other.Name], {}))
      Network.push_back({At.Name, Other.Name, std::move(Held)});
    At.Pending.erase(Other.Name);
  }

  void disconnect(Host &At, const HostName &With) {
    Host &Other = host(With);
    for (auto *const End : {&At, &Other}) {
      const HostName &Peer = End == &At ? With : At.Name;
      const auto Found = End->Links.find(Peer);
      if (Found == End->Links.end())
        continue;
      (void)End->Table->lost(Found->second.Link, Now);
      End->Links.erase(Found);
    }
  }

  void cut(Host &At, internal::LinkId Link) {
    for (const auto &[Peer, Connection] : std::map(At.Links))
      if (Connection.Link == Link)
        disconnect(At, Peer);
  }

  void closeUnused(Host &At) {
    for (const auto &[Peer, Connection] : std::map(At.Links))
      if (At.Table->isUnused(Peer, Connection.LastUsed, Now)) {
        At.Table->release(Connection.Link);
        disconnect(At, Peer);
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
