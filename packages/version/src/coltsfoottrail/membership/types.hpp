/// @file
/// What entry hosts tell each other about who is there and what is known.
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

/// @brief Times of the membership and of the freshness. All hosts should have
/// the same.
struct MembershipOptions {
  /// What this run says of itself when it joins; Host and Run must be set.
  EntryHostJoined Self;
  /// Hosts that watch one host.
  std::size_t Watchers = 5;
  milliseconds HeartbeatEvery{500};
  /// A watched host that is silent for this long is suspected.
  milliseconds SuspectAfter{3000};
  /// The same for a host that the platform's list shows as gone or leaving.
  milliseconds SuspectListedAfter{1500};
  /// The same for a run of which no heartbeat has come yet; doubled for each
  /// run of the host before it that was not heard either, up to 32 times.
  milliseconds SuspectUnheardAfter{120'000};
  /// How long the other watchers have to object.
  milliseconds ObjectionTime{1000};
  /// The next watcher in rank appends after this, if the one before did not.
  milliseconds AppendStagger{1500};
  /// Random part of the time until a watcher appends, so that the loss of many
  /// hosts at once does not come to the log in one moment.
  milliseconds AppendSpread{1000};
  /// An append that did not take effect is tried again after this, with a
  /// random part, doubled up to MaxRetry.
  milliseconds RetryAfter{500};
  milliseconds MaxRetry{30'000};
  /// Without any other watcher's word, or while this host hears less than half
  /// of those that it watches, a host counts as gone after this.
  milliseconds SoloRemovalAfter{30'000};
  /// A proof of freshness is good for this long.
  milliseconds FreshFor{2000};
  /// Peers are asked when the newest proof is older than this.
  milliseconds AskPeersAfter{700};
  milliseconds AskPeersEvery{300};
  /// Peers that are asked.
  std::size_t FreshnessPeers = 15;
  std::uint64_t Seed = 1;
};

/// This run is there.
struct Heartbeat {
  Incarnation Run = 0;
};
/// Have you heard from this host? Asked by one of its watchers of the others.
struct SuspicionQuery {
  std::uint64_t Number = 0;
  HostName Host;
  Incarnation Run = 0;
};
/// @brief Answer to a SuspicionQuery.
struct SuspicionReply {
  std::uint64_t Number = 0;
  HostName Host;
  /// The host has been heard of lately: it is not gone.
  bool Heard = false;
};
/// How much of the agreed stream do you know, and how lately was it all?
struct FreshnessQuery {
  std::uint64_t Number = 0;
};
/// @brief Answer to a FreshnessQuery.
struct FreshnessReply {
  std::uint64_t Number = 0;
  /// Next offset to fold: all below it are in its state.
  Offset Version = 0;
  /// It has a proof, this old, that it knew the whole stream.
  bool Proven = false;
  milliseconds ProofAge{0};
  /// Its last read of the log failed.
  bool LogFails = false;
};
/// What entry hosts tell each other here.
using MembershipMessage =
    std::variant<Heartbeat, SuspicionQuery, SuspicionReply, FreshnessQuery,
                 FreshnessReply>;

/// Send a message to a peer; may be lost, repeated or late.
struct MembershipSend {
  HostName To;
  MembershipMessage Payload;
};
/// @brief What a host goes by when it reports another one as gone.
struct RemovalBasis {
  /// Since its last heartbeat, or another watcher's word for it.
  Duration Silence{};
  /// A heartbeat of this run has come here.
  bool Heard = false;
  /// Other watchers that have not heard of it either.
  std::size_t Agreeing = 0;
  std::size_t Watchers = 0;
};

/// Append this record to the agreed stream; the effect is seen in the state,
/// so the result need not be told.
struct MembershipAppend {
  Record Payload;
  /// Set for the end of another host.
  std::optional<RemovalBasis> Basis = std::nullopt;
};
/// This run has been found gone: it must stop what it does under it and join
/// again under a new run.
struct RunEnded {};
using MembershipCommand =
    std::variant<MembershipSend, MembershipAppend, RunEnded>;
using MembershipCommands = std::vector<MembershipCommand>;

/// @brief Writes a message between entry hosts. Thread-safe.
[[nodiscard]] Json writeMembershipMessage(const MembershipMessage &Message);
/// @brief Reads a message between entry hosts. Thread-safe.
/// @param Value An object.
/// @param Source Named in errors.
/// @throws InputError It is not such a message.
[[nodiscard]] MembershipMessage readMembershipMessage(const Json &Value,
                                                      std::string_view Source);

/// @brief The members with the highest rendezvous weights for a key.
/// Thread-safe.
/// @param Key What they are wanted for.
/// @param Among Names to choose from.
/// @param Count Most that are wanted.
/// @return The highest first.
[[nodiscard]] std::vector<HostName>
rankedHosts(std::string_view Key, const std::vector<HostName> &Among,
            std::size_t Count);

} // namespace coltsfoottrail

#endif
