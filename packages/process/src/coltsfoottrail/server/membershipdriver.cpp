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
  MembershipOptions Options;
  Options.Self = Self;
  Options.Seed = Self.Run;
  return Options;
}

ShareOptions shareOptions(const EntryHostJoined &Self, milliseconds MaxWork) {
  ShareOptions Options;
  Options.MaxRequestDuration = MaxWork;
  Options.Self = Self.Host;
  Options.Run = Self.Run;
  return Options;
}

bool isFreshMessage(const MembershipMessage &Message) {
  return std::holds_alternative<FreshnessReply>(Message);
}

} // namespace

struct MembershipDriver::Impl {
  Impl(const EntryHostJoined &Name, milliseconds MaxWork,
       MembershipHooks Wanted)
      : Self(Name), Hooks(std::move(Wanted)), Members(memberOptions(Name)),
        Proof(memberOptions(Name)), Shares(shareOptions(Name, MaxWork)) {}

  void perform(const MembershipCommands &Commands);
  void append(const MembershipAppend &Commands);
  void perform(const ShareCommands &Commands);
  void confirmProvenMembership();

  /// Calls Call with the lock held and carries out the resulting commands after
  /// releasing it.
  template <class Function> void withShares(Function Call) {
    ShareCommands Commands;
    {
      const std::lock_guard Hold(Lock);
      Call(Commands);
    }
    perform(Commands);
  }

  EntryHostJoined Self;
  MembershipHooks Hooks;
  Membership Members;
  StateProof Proof;
  ShareManager Shares;
  Offset MembersChange = 0;
  /// Guards Shares, which callers' threads use immediately before sending.
  mutable std::mutex Lock;
};

MembershipDriver::MembershipDriver(const EntryHostJoined &Self,
                                   milliseconds MaxWork, MembershipHooks Hooks)
    : Pimpl(std::make_unique<Impl>(Self, MaxWork, std::move(Hooks))) {}

MembershipDriver::~MembershipDriver() = default;

void MembershipDriver::Impl::perform(const MembershipCommands &Commands) {
  for (const MembershipCommand &Command : Commands) {
    if (const auto *const Send = std::get_if<MembershipSend>(&Command))
      Hooks.SendMembership(Send->To, writeMembershipMessage(Send->Payload));
    else if (const auto *const Append = std::get_if<MembershipAppend>(&Command))
      append(*Append);
    else
      Hooks.OnRunRemoved();
  }
}

void MembershipDriver::Impl::append(const MembershipAppend &Commands) {
  const auto *const DepartedHosts =
      std::get_if<EntryHostLeft>(&Commands.Payload);
  if (DepartedHosts != nullptr && Commands.Basis)
    logEvent(Event::PeerRemoved,
             {{"host", DepartedHosts->Host},
              {"run", DepartedHosts->Run},
              {"silent_ms",
               std::chrono::duration_cast<milliseconds>(Commands.Basis->Silence)
                   .count()},
              {"heard", Commands.Basis->Heard},
              {"agreeing", Commands.Basis->Agreeing},
              {"watchers", Commands.Basis->Watchers}});
  Hooks.Append(Commands.Payload);
}

void MembershipDriver::Impl::perform(const ShareCommands &Commands) {
  std::map<std::string, std::uint32_t> Changed;
  for (const ShareCommand &Command : Commands) {
    if (const auto *const Send = std::get_if<ShareSend>(&Command)) {
      Hooks.SendShares(Send->To, writeShareMessage(Send->Message));
    } else {
      const auto &Set = std::get<SetShare>(Command);
      Changed[Set.EndpointKey] = Set.Share;
    }
  }
  if (!Changed.empty())
    Hooks.OnShares(Changed);
}

void MembershipDriver::Impl::confirmProvenMembership() {
  const std::optional<TimePoint> At = Proof.provenAt();
  if (!At)
    return;
  const std::lock_guard Hold(Lock);
  Shares.confirmMembership(*At);
}

void MembershipDriver::onState(const State &NewState,
                               const RouteTable &Routes) {
  const TimePoint Now = BootClock::now();
  std::vector<ShareMember> Joined;
  std::vector<HostName> Others;
  for (const auto &[Name, Host] : NewState.EntryHosts) {
    Joined.push_back({Name, Host.JoinRecord.Run});
    if (Name != Pimpl->Self.Host)
      Others.push_back(Name);
  }
  ShareCommands ShareUpdates;
  Pimpl->Proof.setMembers(Others);
  Pimpl->Proof.setVersion(NewState.Next);
  {
    const std::lock_guard Hold(Pimpl->Lock);
    if (NewState.EntryHostsChange != Pimpl->MembersChange) {
      Pimpl->MembersChange = NewState.EntryHostsChange;
      Pimpl->Shares.setMembers(Pimpl->MembersChange, Joined, Now, ShareUpdates);
    }
    Pimpl->Shares.configure(Routes, Now, ShareUpdates);
  }
  MembershipCommands MemberUpdates;
  Pimpl->Members.applyState(NewState, Now, MemberUpdates);
  Pimpl->perform(ShareUpdates);
  Pimpl->perform(MemberUpdates);
}

void MembershipDriver::recordLogRead(TimePoint Left) {
  Pimpl->Proof.recordLogRead(Left);
  Pimpl->confirmProvenMembership();
}

void MembershipDriver::recordLogFailure() { Pimpl->Proof.recordLogFailure(); }

void MembershipDriver::applyHostList(const std::vector<ListedHost> &Hosts) {
  Pimpl->Members.applyHostList(Hosts);
}

void MembershipDriver::receiveMembership(const HostName &From,
                                         const Json &Message) {
  try {
    const MembershipMessage Read = readMembershipMessage(Message, MemberSource);
    const TimePoint Now = BootClock::now();
    if (const auto *const Ask = std::get_if<FreshnessQuery>(&Read)) {
      Pimpl->Hooks.SendMembership(
          From, writeMembershipMessage(Pimpl->Proof.answer(*Ask, Now)));
      return;
    }
    if (isFreshMessage(Read)) {
      Pimpl->Proof.recordReply(From, std::get<FreshnessReply>(Read), Now);
      Pimpl->confirmProvenMembership();
      return;
    }
    MembershipCommands Commands;
    Pimpl->Members.receive(From, Read, Now, Commands);
    Pimpl->perform(Commands);
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void MembershipDriver::receiveShares(const HostName &From,
                                     const Json &Message) {
  try {
    const ShareMessage Read = readShareMessage(Message, ShareSource);
    Pimpl->withShares([&](ShareCommands &Commands) {
      Pimpl->Shares.received(From, Read, BootClock::now(), Commands);
    });
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void MembershipDriver::observe(const LoadReport &Report) {
  Pimpl->withShares([&](ShareCommands &Commands) {
    Pimpl->Shares.observe(Report, BootClock::now(), Commands);
  });
}

void MembershipDriver::setPoolDemand(std::string_view PoolName,
                                     std::uint32_t Waiting) {
  Pimpl->withShares([&](ShareCommands &Commands) {
    Pimpl->Shares.setPoolDemand(PoolName, Waiting, BootClock::now(), Commands);
  });
}

void MembershipDriver::finish(std::string_view EndpointKey, bool Succeeded,
                              Duration Latency) {
  Pimpl->withShares([&](ShareCommands &Commands) {
    Pimpl->Shares.finish(EndpointKey, Succeeded, Latency, BootClock::now(),
                         Commands);
  });
}

bool MembershipDriver::tryStart(std::string_view EndpointKey) {
  const std::lock_guard Hold(Pimpl->Lock);
  return Pimpl->Shares.tryStart(EndpointKey, BootClock::now());
}

void MembershipDriver::tick() {
  const TimePoint Now = BootClock::now();
  if (Pimpl->Members.nextWake() <= Now) {
    MembershipCommands Commands;
    Pimpl->Members.advance(Now, Commands);
    Pimpl->perform(Commands);
  }
  if (const auto Wake = Pimpl->Proof.nextWake(); Wake && *Wake <= Now) {
    MembershipCommands Commands;
    Pimpl->Proof.advance(Now, Commands);
    Pimpl->perform(Commands);
    Pimpl->confirmProvenMembership();
  }
  Pimpl->withShares([&](ShareCommands &Commands) {
    if (const auto Wake = Pimpl->Shares.nextWake(); Wake && *Wake <= Now)
      Pimpl->Shares.advance(Now, Commands);
  });
}

void MembershipDriver::leave() {
  const TimePoint Now = BootClock::now();
  Pimpl->withShares(
      [&](ShareCommands &Commands) { Pimpl->Shares.release(Now, Commands); });
  MembershipCommands Commands;
  Pimpl->Members.leave(Now, Commands);
  Pimpl->perform(Commands);
}

bool MembershipDriver::joined() const { return Pimpl->Members.joined(); }

std::uint32_t MembershipDriver::share(std::string_view EndpointKey) const {
  const std::lock_guard Hold(Pimpl->Lock);
  return Pimpl->Shares.share(EndpointKey, BootClock::now());
}

bool MembershipDriver::isSteward(std::string_view EndpointKey) const {
  const std::lock_guard Hold(Pimpl->Lock);
  return Pimpl->Shares.stewardOf(EndpointKey) == Pimpl->Self.Host;
}

} // namespace coltsfoottrail
