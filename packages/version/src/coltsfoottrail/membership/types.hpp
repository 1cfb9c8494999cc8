/// @file
/// Messages between entry hosts about membership and about the freshness of the
/// agreed state.
#ifndef COLTSFOOTTRAIL_MEMBERSHIP_TYPES_HPP
#define COLTSFOOTTRAIL_MEMBERSHIP_TYPES_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/membership/fwd.hpp"
#include "coltsfoottrail/record/record.hpp"

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// @brief Timing of the membership and of the freshness of the state. All hosts
/// should use the same values.
struct MembershipOptions {
  /// Join record of this run; Host and Run must be set.
  EntryHostJoined Self;
  /// Number of watchers of each host.
  std::size_t Watchers = 5;
  milliseconds HeartbeatEvery{500};
  /// A watched host that is silent for this long is suspected.
  milliseconds SuspectAfter{3000};
  /// As above, for a host that the host list of the platform shows as leaving
  /// or does not contain.
  milliseconds SuspectListedAfter{1500};
  /// As above, for a run from which no heartbeat has arrived yet; doubled for
  /// each previous run of the host that was not heard either, up to 32 times.
  milliseconds SuspectUnheardAfter{120'000};
  /// How long the other watchers have to object.
  milliseconds ObjectionTime{1000};
  /// Delay between watchers of successive ranks: a watcher appends only if the
  /// previous one did not.
  milliseconds AppendStagger{1500};
  /// Random part of the delay until a watcher appends, so that the loss of many
  /// hosts at once does not reach the log in one burst.
  milliseconds AppendSpread{1000};
  /// An append that did not take effect is retried after this, with a random
  /// part, doubled up to MaxRetry.
  milliseconds RetryAfter{500};
  milliseconds MaxRetry{30'000};
  /// Without confirmation by another watcher, or while this host hears less
  /// than half of the hosts that it watches, a silent host is removed only
  /// after this.
  milliseconds SoloRemovalAfter{30'000};
  /// How long a proof of freshness is valid.
  milliseconds FreshFor{2000};
  /// Peers are queried if the newest proof is older than this.
  milliseconds AskPeersAfter{700};
  milliseconds AskPeersEvery{300};
  /// Number of peers that are queried.
  std::size_t FreshnessPeers = 15;
  std::uint64_t Seed = 1;
};

/// States that this run is alive.
struct Heartbeat {
  Incarnation Run = 0;
};
/// Asks whether a host has been heard from lately; sent by one of its watchers
/// to the others.
struct SuspicionQuery {
  std::uint64_t Number = 0;
  HostName Host;
  Incarnation Run = 0;
};
/// @brief Answer to a SuspicionQuery.
struct SuspicionReply {
  std::uint64_t Number = 0;
  HostName Host;
  /// The host has been heard from lately, so it is not gone.
  bool Heard = false;
};
/// Asks how much of the agreed stream a peer knows, and how lately it knew all
/// of it.
struct FreshnessQuery {
  std::uint64_t Number = 0;
};
/// @brief Answer to a FreshnessQuery.
struct FreshnessReply {
  std::uint64_t Number = 0;
  /// Next offset to fold: the state contains all records below it.
  Offset Version = 0;
  /// Whether the sender has a proof that it knew the whole stream, and how old
  /// the proof is.
  bool Proven = false;
  milliseconds ProofAge{0};
  /// Whether the sender's last read of the log failed.
  bool LogFails = false;
};
/// Any message between entry hosts about membership or freshness.
using MembershipMessage =
    std::variant<Heartbeat, SuspicionQuery, SuspicionReply, FreshnessQuery,
                 FreshnessReply>;

/// Send a message to a peer. It may be lost, repeated or late.
struct MembershipSend {
  HostName To;
  MembershipMessage Payload;
};
/// @brief The evidence on which a host reports another one as gone.
struct RemovalBasis {
  /// Time since its last heartbeat, or since another watcher confirmed that it
  /// is alive.
  Duration Silence{};
  /// Whether a heartbeat of this run has been received by the reporting host.
  bool Heard = false;
  /// Number of other watchers that have not heard from it either.
  std::size_t Agreeing = 0;
  std::size_t Watchers = 0;
};

/// Append a record to the agreed stream. The effect is seen in the state, so
/// the result need not be reported back.
struct MembershipAppend {
  Record Payload;
  /// Set if the record removes another host.
  std::optional<RemovalBasis> Basis = std::nullopt;
};
/// This run has been removed from the members: it must stop what it does under
/// this run and join again under a new one.
struct RunEnded {};
using MembershipCommand =
    std::variant<MembershipSend, MembershipAppend, RunEnded>;
using MembershipCommands = std::vector<MembershipCommand>;

/// @brief Encodes a message between entry hosts. Thread-safe.
[[nodiscard]] Json writeMembershipMessage(const MembershipMessage &Message);
/// @brief Decodes a message between entry hosts. Thread-safe.
/// @param Value An object.
/// @param Source Named in errors.
/// @throws InputError It is not such a message.
[[nodiscard]] MembershipMessage readMembershipMessage(const Json &Value,
                                                      std::string_view Source);

/// @brief The hosts with the highest rendezvous weights for a key. Thread-safe.
/// @param Key Key that the hosts are ranked for.
/// @param Candidates Names to choose from.
/// @param Count Maximum number of hosts to return.
/// @return The highest ranked first.
[[nodiscard]] std::vector<HostName>
rankedHosts(std::string_view Key, const std::vector<HostName> &Candidates,
            std::size_t Count);

} // namespace coltsfoottrail

#endif
