#include "coltsfoottrail/membership/stateproof.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxPendingQueries = 64;

milliseconds ceilMilliseconds(Duration Span) {
  return std::chrono::ceil<milliseconds>(Span);
}

/// Extends an age measured by a peer, whose clock may run one in a hundred
/// slower.
Duration withClockDrift(milliseconds Age) { return Age + Age / 100; }

} // namespace

StateProof::StateProof(const MembershipOptions &Settings) : Options(Settings) {}

void StateProof::setMembers(const std::vector<HostName> &Others) {
  Peers = rankedHosts(Options.Self.Host.Text, Others, Options.FreshnessPeers);
  std::erase_if(Replies, [&](const auto &Entry) {
    return std::find(Peers.begin(), Peers.end(), Entry.first) == Peers.end();
  });
}

void StateProof::setVersion(Offset Next) { Version = std::max(Version, Next); }

void StateProof::prove(TimePoint ProofTime, FreshSource Source) {
  if (Source != FreshSource::LogDownForAll &&
      (!ProvenByLog || *ProvenByLog < ProofTime))
    ProvenByLog = ProofTime;
  if (ProvenAt && *ProvenAt >= ProofTime)
    return;
  ProvenAt = ProofTime;
  ProvenBy = Source;
}

void StateProof::recordLogRead(TimePoint SentAt) {
  LogFails = false;
  prove(SentAt, FreshSource::Log);
}

void StateProof::recordLogFailure() { LogFails = true; }

FreshnessReply StateProof::answer(const FreshnessQuery &Query,
                                  TimePoint Now) const {
  FreshnessReply Reply;
  Reply.Number = Query.Number;
  Reply.Version = Version;
  Reply.LogFails = LogFails;
  if (ProvenByLog && Now - *ProvenByLog < Options.FreshFor) {
    Reply.Proven = true;
    Reply.ProofAge = ceilMilliseconds(Now - *ProvenByLog);
  }
  return Reply;
}

void StateProof::recordReply(const HostName &From,
                             const FreshnessReply &Message, TimePoint Now) {
  const auto Query = PendingQueries.find(Message.Number);
  if (Query == PendingQueries.end())
    return;
  PeerVersion = std::max(PeerVersion, Message.Version);
  // A peer that knows more proves that this host is behind: the missing records
  // have to come over the mesh first.
  if (Message.Version > Version) {
    Replies.erase(From);
    return;
  }
  if (Message.Proven) {
    Replies.erase(From);
    // Counted from when the query was sent, since the answer may have taken any
    // time to arrive.
    prove(Query->second - withClockDrift(Message.ProofAge), FreshSource::Peer);
    return;
  }
  if (std::find(Peers.begin(), Peers.end(), From) == Peers.end())
    return;
  PeerReply &LastReply = Replies[From];
  if (Query->second >= LastReply.QuerySentAt)
    LastReply = PeerReply{Query->second, Message.LogFails};
  evaluateReplies(Now);
}

void StateProof::evaluateReplies(TimePoint Now) {
  // Failure guarded against: this host alone is cut off from the log, takes it
  // for an outage and continues to serve, while a drain is on the log. The log
  // counts as down for all only if most of the queried peers report that they
  // cannot read it either.
  if (!LogFails || PeerVersion > Version)
    return;
  std::vector<TimePoint> FailedReadTimes;
  for (const auto &[Host, Reply] : Replies)
    if (Reply.LogFails && Now - Reply.QuerySentAt < Options.FreshFor)
      FailedReadTimes.push_back(Reply.QuerySentAt);
  const std::size_t Needed = (Peers.size() + 1) / 2 + 1;
  if (FailedReadTimes.size() + 1 < Needed)
    return;
  std::sort(FailedReadTimes.rbegin(), FailedReadTimes.rend());
  prove(Needed < 2 ? Now : FailedReadTimes[Needed - 2],
        FreshSource::LogDownForAll);
}

void StateProof::advance(TimePoint Now, MembershipCommands &Out) {
  const bool IsFresh = ProvenAt && ProvenBy == FreshSource::Log &&
                       Now - *ProvenAt < Options.AskPeersAfter;
  if (IsFresh || Now < NextQuery)
    return;
  NextQuery = Now + Options.AskPeersEvery;
  if (Peers.empty()) {
    // Without peers, the agreed stream can change only through the log, and
    // there is no host to be behind of.
    evaluateReplies(Now);
    return;
  }
  const std::uint64_t Number = NextNumber++;
  PendingQueries[Number] = Now;
  while (PendingQueries.size() > MaxPendingQueries)
    PendingQueries.erase(PendingQueries.begin());
  for (const HostName &Peer : Peers)
    Out.emplace_back(MembershipSend{Peer, FreshnessQuery{Number}});
}

std::optional<TimePoint> StateProof::nextWake() const {
  if (!ProvenAt)
    return NextQuery;
  return std::max(NextQuery, *ProvenAt + Options.AskPeersAfter);
}

LeaseGuard StateProof::lease() const {
  return ProvenAt ? LeaseGuard(*ProvenAt + Options.FreshFor) : LeaseGuard();
}

FreshSource StateProof::source(TimePoint Now) const {
  return lease().holds(Now) ? ProvenBy : FreshSource::None;
}

} // namespace coltsfoottrail
