#include "coltsfoottrail/membership/stateproof.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxAsks = 64;

milliseconds roundedUp(Duration Span) {
  return std::chrono::ceil<milliseconds>(Span);
}

/// An age measured by a peer whose clock may run one in a hundred slower.
Duration widened(milliseconds Age) { return Age + Age / 100; }

} // namespace

StateProof::StateProof(const MembershipOptions &Limits) : Options(Limits) {}

void StateProof::setMembers(const std::vector<HostName> &Others) {
  Jury = rankedHosts(Options.Self.Host.Text, Others, Options.FreshnessPeers);
  std::erase_if(Words, [&](const auto &Entry) {
    return std::find(Jury.begin(), Jury.end(), Entry.first) == Jury.end();
  });
}

void StateProof::setVersion(Offset Next) { Version = std::max(Version, Next); }

void StateProof::prove(TimePoint At, FreshSource Source) {
  if (Source != FreshSource::LogDownForAll &&
      (!ProvenByLog || *ProvenByLog < At))
    ProvenByLog = At;
  if (Proven && *Proven >= At)
    return;
  Proven = At;
  By = Source;
}

void StateProof::recordLogRead(TimePoint Left) {
  LogFails = false;
  prove(Left, FreshSource::Log);
}

void StateProof::recordLogFailure() { LogFails = true; }

FreshnessReply StateProof::answer(const FreshnessQuery &Asked,
                                  TimePoint Now) const {
  FreshnessReply Answer;
  Answer.Number = Asked.Number;
  Answer.Version = Version;
  Answer.LogFails = LogFails;
  if (ProvenByLog && Now - *ProvenByLog < Options.FreshFor) {
    Answer.Proven = true;
    Answer.ProofAge = roundedUp(Now - *ProvenByLog);
  }
  return Answer;
}

void StateProof::recordReply(const HostName &From,
                             const FreshnessReply &Message, TimePoint Now) {
  const auto Asked = Asks.find(Message.Number);
  if (Asked == Asks.end())
    return;
  PeerVersion = std::max(PeerVersion, Message.Version);
  // A peer that knows more proves that this host is behind: its records come
  // over the mesh first.
  if (Message.Version > Version) {
    Words.erase(From);
    return;
  }
  if (Message.Proven) {
    Words.erase(From);
    // Counted from when the ask left: the answer may have been on its way for
    // any time since.
    prove(Asked->second - widened(Message.ProofAge), FreshSource::Peer);
    return;
  }
  if (std::find(Jury.begin(), Jury.end(), From) == Jury.end())
    return;
  Word &Last = Words[From];
  if (Asked->second >= Last.AskLeft)
    Last = Word{Asked->second, Message.LogFails};
  weigh(Now);
}

void StateProof::weigh(TimePoint Now) {
  // Failure guarded against: this host alone is cut off from the log, takes it
  // for an outage and serves on, while a drain stands on the log. Only when
  // most of those asked say that the log fails them too is it down for all.
  if (!LogFails || PeerVersion > Version)
    return;
  std::vector<TimePoint> Failing;
  for (const auto &[Host, Last] : Words)
    if (Last.LogFails && Now - Last.AskLeft < Options.FreshFor)
      Failing.push_back(Last.AskLeft);
  const std::size_t Needed = (Jury.size() + 1) / 2 + 1;
  if (Failing.size() + 1 < Needed)
    return;
  std::sort(Failing.rbegin(), Failing.rend());
  prove(Needed < 2 ? Now : Failing[Needed - 2], FreshSource::LogDownForAll);
}

void StateProof::advance(TimePoint Now, MembershipCommands &Out) {
  const bool Young =
      Proven && By == FreshSource::Log && Now - *Proven < Options.AskPeersAfter;
  if (Young || Now < NextAsk)
    return;
  NextAsk = Now + Options.AskPeersEvery;
  if (Jury.empty()) {
    // Alone: nobody else could have changed anything but through the log, and
    // there is nobody to be behind of.
    weigh(Now);
    return;
  }
  const std::uint64_t Number = NextNumber++;
  Asks[Number] = Now;
  while (Asks.size() > MaxAsks)
    Asks.erase(Asks.begin());
  for (const HostName &Peer : Jury)
    Out.emplace_back(MembershipSend{Peer, FreshnessQuery{Number}});
}

std::optional<TimePoint> StateProof::nextWake() const {
  if (!Proven)
    return NextAsk;
  return std::max(NextAsk, *Proven + Options.AskPeersAfter);
}

LeaseGuard StateProof::lease() const {
  return Proven ? LeaseGuard(*Proven + Options.FreshFor) : LeaseGuard();
}

FreshSource StateProof::source(TimePoint Now) const {
  return lease().holds(Now) ? By : FreshSource::None;
}

} // namespace coltsfoottrail
