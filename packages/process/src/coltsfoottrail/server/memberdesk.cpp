#include "coltsfoottrail/server/memberdesk.hpp"

#include "coltsfoottrail/admission/keeper.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/membership/membership.hpp"
#include "coltsfoottrail/membership/stateproof.hpp"

#include <mutex>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::string_view MemberSource = "message about members";
constexpr std::string_view ShareSource = "message about shares";

MembershipOptions memberOptions(const EntryHostJoined &Self) {
  MembershipOptions Out;
  Out.Self = Self;
  Out.Seed = Self.Run;
  return Out;
}

ShareOptions shareOptions(const EntryHostJoined &Self, milliseconds MaxWork) {
  ShareOptions Out;
  Out.MaxWork = MaxWork;
  Out.Self = Self.Host;
  Out.Run = Self.Run;
  return Out;
}

bool isFreshMessage(const MembershipMessage &Message) {
  return std::holds_alternative<FreshAnswer>(Message);
}

} // namespace

struct MemberDesk::Inner {
  Inner(const EntryHostJoined &Name, milliseconds MaxWork, MemberHooks Wanted)
      : Self(Name), Hooks(std::move(Wanted)), Members(memberOptions(Name)),
        Proof(memberOptions(Name)), Shares(shareOptions(Name, MaxWork)) {}

  void perform(const MembershipCommands &Due);
  void append(const MembershipAppend &Due);
  void perform(const ShareCommands &Due);
  void prove();

  /// Calls the shares under their lock and carries commands out after it.
  template <class Function> void withShares(Function Call) {
    ShareCommands Due;
    {
      const std::lock_guard Hold(Lock);
      Call(Due);
    }
    perform(Due);
  }

  EntryHostJoined Self;
  MemberHooks Hooks;
  Membership Members;
  StateProof Proof;
  ShareKeeper Shares;
  Offset MembersChange = 0;
  /// Guards the shares, which callers' threads ask at the act of sending.
  mutable std::mutex Lock;
};

MemberDesk::MemberDesk(const EntryHostJoined &Self, milliseconds MaxWork,
                       MemberHooks Hooks)
    : Own(std::make_unique<Inner>(Self, MaxWork, std::move(Hooks))) {}

MemberDesk::~MemberDesk() = default;

void MemberDesk::Inner::perform(const MembershipCommands &Due) {
  for (const MembershipCommand &One : Due) {
    if (const auto *const Send = std::get_if<MembershipSend>(&One))
      Hooks.SendMembership(Send->To, writeMembershipMessage(Send->What));
    else if (const auto *const Append = std::get_if<MembershipAppend>(&One))
      append(*Append);
    else
      Hooks.OnEnded();
  }
}

void MemberDesk::Inner::append(const MembershipAppend &Due) {
  const auto *const Gone = std::get_if<EntryHostLeft>(&Due.What);
  if (Gone != nullptr && Due.Basis)
    logEvent(
        Event::PeerRemoved,
        {{"host", Gone->Host},
         {"run", Gone->Run},
         {"silent_ms",
          std::chrono::duration_cast<milliseconds>(Due.Basis->Silence).count()},
         {"heard", Due.Basis->Heard},
         {"agreeing", Due.Basis->Agreeing},
         {"watchers", Due.Basis->Watchers}});
  Hooks.Append(Due.What);
}

void MemberDesk::Inner::perform(const ShareCommands &Due) {
  std::map<std::string, std::uint32_t> Changed;
  for (const ShareCommand &One : Due) {
    if (const auto *const Send = std::get_if<ShareSend>(&One)) {
      Hooks.SendShares(Send->To, writeShareMessage(Send->What));
    } else {
      const auto &Set = std::get<SetShare>(One);
      Changed[Set.EndpointKey] = Set.Share;
    }
  }
  if (!Changed.empty())
    Hooks.OnShares(Changed);
}

void MemberDesk::Inner::prove() {
  const std::optional<TimePoint> At = Proof.provenAt();
  if (!At)
    return;
  const std::lock_guard Hold(Lock);
  Shares.fresh(*At);
}

void MemberDesk::onState(const State &Now, const RouteTable &Routes) {
  const TimePoint At = BootClock::now();
  std::vector<ShareMember> Joined;
  std::vector<HostName> Others;
  for (const auto &[Name, Host] : Now.EntryHosts) {
    Joined.push_back({Name, Host.JoinRecord.Run});
    if (Name != Own->Self.Host)
      Others.push_back(Name);
  }
  ShareCommands ShareDue;
  Own->Proof.members(Others);
  Own->Proof.version(Now.Next);
  {
    const std::lock_guard Hold(Own->Lock);
    if (Now.EntryHostsChange != Own->MembersChange) {
      Own->MembersChange = Now.EntryHostsChange;
      Own->Shares.members(Own->MembersChange, Joined, At, ShareDue);
    }
    Own->Shares.configure(Routes, At, ShareDue);
  }
  MembershipCommands MemberDue;
  Own->Members.state(Now, At, MemberDue);
  Own->perform(ShareDue);
  Own->perform(MemberDue);
}

void MemberDesk::logAnswered(TimePoint Left) {
  Own->Proof.logAnswered(Left);
  Own->prove();
}

void MemberDesk::logFailed() { Own->Proof.logFailed(); }

void MemberDesk::listed(const std::vector<ListedHost> &Hosts) {
  Own->Members.listed(Hosts);
}

void MemberDesk::receivedMembership(const HostName &From, const Json &Message) {
  try {
    const MembershipMessage Read = readMembershipMessage(Message, MemberSource);
    const TimePoint Now = BootClock::now();
    if (const auto *const Ask = std::get_if<FreshAsk>(&Read)) {
      Own->Hooks.SendMembership(
          From, writeMembershipMessage(Own->Proof.answer(*Ask, Now)));
      return;
    }
    if (isFreshMessage(Read)) {
      Own->Proof.answered(From, std::get<FreshAnswer>(Read), Now);
      Own->prove();
      return;
    }
    MembershipCommands Due;
    Own->Members.received(From, Read, Now, Due);
    Own->perform(Due);
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void MemberDesk::receivedShares(const HostName &From, const Json &Message) {
  try {
    const ShareMessage Read = readShareMessage(Message, ShareSource);
    Own->withShares([&](ShareCommands &Due) {
      Own->Shares.received(From, Read, BootClock::now(), Due);
    });
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void MemberDesk::observe(const LoadReport &Report) {
  Own->withShares([&](ShareCommands &Due) {
    Own->Shares.observe(Report, BootClock::now(), Due);
  });
}

void MemberDesk::demand(std::string_view PoolName, std::uint32_t Waiting) {
  Own->withShares([&](ShareCommands &Due) {
    Own->Shares.demand(PoolName, Waiting, BootClock::now(), Due);
  });
}

void MemberDesk::finished(std::string_view EndpointKey, bool Succeeded,
                          Duration Latency) {
  Own->withShares([&](ShareCommands &Due) {
    Own->Shares.finished(EndpointKey, Succeeded, Latency, BootClock::now(),
                         Due);
  });
}

bool MemberDesk::start(std::string_view EndpointKey) {
  const std::lock_guard Hold(Own->Lock);
  return Own->Shares.start(EndpointKey, BootClock::now());
}

void MemberDesk::tick() {
  const TimePoint Now = BootClock::now();
  if (Own->Members.nextWake() <= Now) {
    MembershipCommands Due;
    Own->Members.advance(Now, Due);
    Own->perform(Due);
  }
  if (const auto Wake = Own->Proof.nextWake(); Wake && *Wake <= Now) {
    MembershipCommands Due;
    Own->Proof.advance(Now, Due);
    Own->perform(Due);
    Own->prove();
  }
  Own->withShares([&](ShareCommands &Due) {
    if (const auto Wake = Own->Shares.nextWake(); Wake && *Wake <= Now)
      Own->Shares.advance(Now, Due);
  });
}

void MemberDesk::leave() {
  const TimePoint Now = BootClock::now();
  Own->withShares([&](ShareCommands &Due) { Own->Shares.release(Now, Due); });
  MembershipCommands Due;
  Own->Members.leave(Now, Due);
  Own->perform(Due);
}

bool MemberDesk::joined() const { return Own->Members.joined(); }

std::uint32_t MemberDesk::share(std::string_view EndpointKey) const {
  const std::lock_guard Hold(Own->Lock);
  return Own->Shares.share(EndpointKey, BootClock::now());
}

bool MemberDesk::isSteward(std::string_view EndpointKey) const {
  const std::lock_guard Hold(Own->Lock);
  return Own->Shares.stewardOf(EndpointKey) == Own->Self.Host;
}

} // namespace coltsfoottrail
