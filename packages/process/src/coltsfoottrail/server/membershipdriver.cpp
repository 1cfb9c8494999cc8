#include "coltsfoottrail/server/membershipdriver.hpp"

#include "coltsfoottrail/admission/manager.hpp"
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
  Out.MaxRequestDuration = MaxWork;
  Out.Self = Self.Host;
  Out.Run = Self.Run;
  return Out;
}

bool isFreshMessage(const MembershipMessage &Message) {
  return std::holds_alternative<FreshnessReply>(Message);
}

} // namespace

struct MembershipDriver::Inner {
  Inner(const EntryHostJoined &Name, milliseconds MaxWork,
        MembershipHooks Wanted)
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
  MembershipHooks Hooks;
  Membership Members;
  StateProof Proof;
  ShareManager Shares;
  Offset MembersChange = 0;
  /// Guards the shares, which callers' threads ask at the act of sending.
  mutable std::mutex Lock;
};

MembershipDriver::MembershipDriver(const EntryHostJoined &Self,
                                   milliseconds MaxWork, MembershipHooks Hooks)
    : Own(std::make_unique<Inner>(Self, MaxWork, std::move(Hooks))) {}

MembershipDriver::~MembershipDriver() = default;

void MembershipDriver::Inner::perform(const MembershipCommands &Due) {
  for (const MembershipCommand &One : Due) {
    if (const auto *const Send = std::get_if<MembershipSend>(&One))
      Hooks.SendMembership(Send->To, writeMembershipMessage(Send->Payload));
    else if (const auto *const Append = std::get_if<MembershipAppend>(&One))
      append(*Append);
    else
      Hooks.OnRunRemoved();
  }
}

void MembershipDriver::Inner::append(const MembershipAppend &Due) {
  const auto *const Gone = std::get_if<EntryHostLeft>(&Due.Payload);
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
  Hooks.Append(Due.Payload);
}

void MembershipDriver::Inner::perform(const ShareCommands &Due) {
  std::map<std::string, std::uint32_t> Changed;
  for (const ShareCommand &One : Due) {
    if (const auto *const Send = std::get_if<ShareSend>(&One)) {
      Hooks.SendShares(Send->To, writeShareMessage(Send->Message));
    } else {
      const auto &Set = std::get<SetShare>(One);
      Changed[Set.EndpointKey] = Set.Share;
    }
  }
  if (!Changed.empty())
    Hooks.OnShares(Changed);
}

void MembershipDriver::Inner::prove() {
  const std::optional<TimePoint> At = Proof.provenAt();
  if (!At)
    return;
  const std::lock_guard Hold(Lock);
  Shares.confirmMembership(*At);
}

void MembershipDriver::onState(const State &Now, const RouteTable &Routes) {
  const TimePoint At = BootClock::now();
  std::vector<ShareMember> Joined;
  std::vector<HostName> Others;
  for (const auto &[Name, Host] : Now.EntryHosts) {
    Joined.push_back({Name, Host.Joined.Run});
    if (Name != Own->Self.Host)
      Others.push_back(Name);
  }
  ShareCommands ShareDue;
  Own->Proof.setMembers(Others);
  Own->Proof.setVersion(Now.Next);
  {
    const std::lock_guard Hold(Own->Lock);
    if (Now.EntryHostsChange != Own->MembersChange) {
      Own->MembersChange = Now.EntryHostsChange;
      Own->Shares.setMembers(Own->MembersChange, Joined, At, ShareDue);
    }
    Own->Shares.configure(Routes, At, ShareDue);
  }
  MembershipCommands MemberDue;
  Own->Members.applyState(Now, At, MemberDue);
  Own->perform(ShareDue);
  Own->perform(MemberDue);
}

void MembershipDriver::recordLogRead(TimePoint Left) {
  Own->Proof.recordLogRead(Left);
  Own->prove();
}

void MembershipDriver::recordLogFailure() { Own->Proof.recordLogFailure(); }

void MembershipDriver::applyHostList(const std::vector<ListedHost> &Hosts) {
  Own->Members.applyHostList(Hosts);
}

void MembershipDriver::receiveMembership(const HostName &From,
                                         const Json &Message) {
  try {
    const MembershipMessage Read = readMembershipMessage(Message, MemberSource);
    const TimePoint Now = BootClock::now();
    if (const auto *const Ask = std::get_if<FreshnessQuery>(&Read)) {
      Own->Hooks.SendMembership(
          From, writeMembershipMessage(Own->Proof.answer(*Ask, Now)));
      return;
    }
    if (isFreshMessage(Read)) {
      Own->Proof.recordReply(From, std::get<FreshnessReply>(Read), Now);
      Own->prove();
      return;
    }
    MembershipCommands Due;
    Own->Members.receive(From, Read, Now, Due);
    Own->perform(Due);
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void MembershipDriver::receiveShares(const HostName &From,
                                     const Json &Message) {
  try {
    const ShareMessage Read = readShareMessage(Message, ShareSource);
    Own->withShares([&](ShareCommands &Due) {
      Own->Shares.received(From, Read, BootClock::now(), Due);
    });
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void MembershipDriver::observe(const LoadReport &Report) {
  Own->withShares([&](ShareCommands &Due) {
    Own->Shares.observe(Report, BootClock::now(), Due);
  });
}

void MembershipDriver::setPoolDemand(std::string_view PoolName,
                                     std::uint32_t Waiting) {
  Own->withShares([&](ShareCommands &Due) {
    Own->Shares.setPoolDemand(PoolName, Waiting, BootClock::now(), Due);
  });
}

void MembershipDriver::finish(std::string_view EndpointKey, bool Succeeded,
                              Duration Latency) {
  Own->withShares([&](ShareCommands &Due) {
    Own->Shares.finish(EndpointKey, Succeeded, Latency, BootClock::now(), Due);
  });
}

bool MembershipDriver::tryStart(std::string_view EndpointKey) {
  const std::lock_guard Hold(Own->Lock);
  return Own->Shares.tryStart(EndpointKey, BootClock::now());
}

void MembershipDriver::tick() {
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

void MembershipDriver::leave() {
  const TimePoint Now = BootClock::now();
  Own->withShares([&](ShareCommands &Due) { Own->Shares.release(Now, Due); });
  MembershipCommands Due;
  Own->Members.leave(Now, Due);
  Own->perform(Due);
}

bool MembershipDriver::joined() const { return Own->Members.joined(); }

std::uint32_t MembershipDriver::share(std::string_view EndpointKey) const {
  const std::lock_guard Hold(Own->Lock);
  return Own->Shares.share(EndpointKey, BootClock::now());
}

bool MembershipDriver::isSteward(std::string_view EndpointKey) const {
  const std::lock_guard Hold(Own->Lock);
  return Own->Shares.stewardOf(EndpointKey) == Own->Self.Host;
}

} // namespace coltsfoottrail
