/// @file
/// Decides which peers to dial and which connections to keep.
#ifndef COLTSFOOTTRAIL_MESH_TABLE_HPP
#define COLTSFOOTTRAIL_MESH_TABLE_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/core/slotmap.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/mesh/peer.hpp"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <tuple>
#include <vector>

namespace coltsfoottrail::internal {

/// @brief Redial backoff and lifetimes of connections.
struct DialPolicy {
  /// Mean delay after the first failure; doubles with each further one.
  Duration FirstDelay = milliseconds(200);
  /// Longest mean delay.
  Duration MaxDelay = seconds(10);
  /// A connection that lasted this long resets the failure count.
  Duration StableAfter = seconds(10);
  /// How long a message to a host that is not a neighbour keeps that host
  /// eligible for dialling.
  Duration DemandDuration = seconds(5);
  /// Time without a message after which the connection with a host that is not
  /// a neighbour is closed.
  Duration UnusedAfter = seconds(30);
};

/// An address to dial.
struct DialTarget {
  std::string Address;
  std::uint16_t Port = 0;
  [[nodiscard]] friend bool operator<(const DialTarget &Left,
                                      const DialTarget &Right) {
    return std::tie(Left.Address, Left.Port) <
           std::tie(Right.Address, Right.Port);
  }
};

/// @brief Decision on a newly authenticated connection.
struct Admission {
  /// Set when the connection has to be refused.
  std::optional<PeerRefusal> Refused;
  /// The older connection with the same run that the new one replaces. It sends
  /// nothing more and is closed after a delay, so that messages in flight still
  /// arrive.
  std::optional<LinkId> ReplacedLink;
  /// The connection with another run of the host; it is cut at once.
  std::optional<LinkId> SupersededLink;
  /// The new connection duplicates the one that is kept: it sends nothing and
  /// is closed after a delay.
  bool Redundant = false;
};

/// @brief A connection whose other end has proved that it has the shared key.
struct AuthenticatedLink {
  LinkId Link;
  HostName Host;
  Incarnation Run = 0;
  /// The address that was dialled; not set when the other end dialled.
  std::optional<DialTarget> Dialled;
};

/// @brief Decides which peers to dial and which connections to keep.
///
/// Not thread-safe. Does no I/O and has no clock: callers pass the time. Of two
/// connections between the same two runs, both ends keep the one that the host
/// with the lower name dialled; of two that the same end dialled, the newer
/// one.
///
/// Failure guarded against: a process resumes after a pause while a newer run
/// already uses its host name, and its late messages are attributed to the
/// newer run. Once the agreed state names another run for a host, or another
/// run has replaced it, the earlier run is retired: its connection is cut and
/// no further connection of it is admitted.
class PeerTable {
public:
  /// Retired runs that are remembered per host; the oldest is dropped first.
  static constexpr std::size_t MaxRetired = 8;
  /// Hosts neither listed in the agreed state nor connected whose retired runs
  /// are remembered.
  static constexpr std::size_t MaxFormerHosts = 1024;

  /// @brief Creates a table without peers.
  /// @param OwnName Name of this host.
  /// @param Dialling Redial backoff.
  /// @param Seed Seed of the jitter on redial delays.
  PeerTable(HostName OwnName, DialPolicy Dialling, std::uint64_t Seed)
      : Self(std::move(OwnName)), Policy(Dialling), JitterSource(Seed) {}

  /// @brief Sets the peers that the agreed state lists.
  /// @param Peers The complete list; an entry for this host is ignored.
  /// @param Now The time.
  /// @return Connections to cut.
  [[nodiscard]] std::vector<LinkId> setPeers(std::span<const MeshPeer> Peers,
                                             TimePoint Now);
  /// @brief Sets the seed addresses from the settings.
  void setSeeds(std::span<const MeshSeed> Seeds, TimePoint Now);

  /// @brief Decides on a newly authenticated connection.
  [[nodiscard]] Admission admit(const AuthenticatedLink &NewLink,
                                TimePoint Now);
  /// @brief Records that an admitted connection has closed.
  /// @return Whether it was the host's active connection.
  bool linkClosed(LinkId Link, TimePoint Now);
  /// @brief Records that this end closes an unused connection; the next dial is
  /// not delayed.
  void release(LinkId Link);
  /// @brief Records that a dialled connection ended before it was admitted.
  /// @param Target The dialled address.
  /// @param Refusal Why it was refused; not set when the address could not be
  /// reached.
  void dialFailed(const DialTarget &Target, std::optional<PeerRefusal> Refusal,
                  TimePoint Now);
  /// @brief Records that there is a message for a host that is not connected.
  /// @return Whether a connection is due or being opened, so that the message
  /// may be queued.
  [[nodiscard]] bool demand(const HostName &Host, TimePoint Now);
  /// @brief Whether a connection with a host is due or being opened.
  [[nodiscard]] bool expects(const HostName &Host, TimePoint Now) const;
  /// @brief Whether the active connection with a host may be closed: the host
  /// is not a neighbour, this end dialled, and the connection has been without
  /// messages for DialPolicy::UnusedAfter.
  /// @param LastUsed When the last message was sent or received.
  [[nodiscard]] bool isUnused(const HostName &Host, TimePoint LastUsed,
                              TimePoint Now) const;
  /// @brief The addresses to dial now. Each one returned counts as being
  /// dialled until admit() or dialFailed() is called for it.
  [[nodiscard]] std::vector<DialTarget> due(TimePoint Now);
  /// @brief The host that the agreed state lists at an address; not set for a
  /// seed address.
  [[nodiscard]] std::optional<HostName>
  expectedAt(const DialTarget &Target) const;

  /// @brief Number of hosts with a record.
  [[nodiscard]] std::size_t hostCount() const noexcept { return Hosts.size(); }

private:
  struct ActiveLink {
    LinkId Link;
    Incarnation Run = 0;
    bool DialledHere = false;
    TimePoint Since;
  };
  struct HostRecord {
    /// The run that the agreed state lists, and the address it listens on.
    std::optional<Incarnation> ListedRun;
    DialTarget ListedAddress;
    std::optional<ActiveLink> Active;
    std::deque<Incarnation> RetiredRuns;
  };
  struct TargetStatus {
    /// Empty for a seed address whose host is not known yet.
    HostName Host;
    bool FromSeed = false;
    /// This host itself answered at the address.
    bool IsOwnAddress = false;
    bool Neighbour = false;
    /// Until when a host that is not a neighbour is dialled because of messages
    /// for it.
    TimePoint DemandedUntil;
    bool Dialling = false;
    unsigned Failures = 0;
    /// When to dial it next.
    TimePoint NextDial;
  };

  [[nodiscard]] Admission decide(const AuthenticatedLink &NewLink,
                                 TimePoint Now);
  [[nodiscard]] Duration delayAfter(unsigned Failures);
  void retire(HostRecord &Record, Incarnation Run);
  [[nodiscard]] static bool isRetired(const HostRecord &Record,
                                      Incarnation Run);
  void updateTarget(const MeshPeer &Peer, bool NewRun, TimePoint Now);
  void removeUnlisted(std::span<const MeshPeer> Peers,
                      std::vector<LinkId> &LinksToCut);
  void forgetFormerHosts();
  [[nodiscard]] bool isConnected(const HostName &Host) const;
  [[nodiscard]] static bool isFormer(const HostRecord &Record);
  [[nodiscard]] static bool isWanted(const TargetStatus &Status, TimePoint Now);
  [[nodiscard]] const TargetStatus *findTarget(const HostName &Host) const;

  HostName Self;
  DialPolicy Policy;
  Random JitterSource;
  std::map<HostName, HostRecord> Hosts;
  std::map<DialTarget, TargetStatus> Targets;
};

} // namespace coltsfoottrail::internal

#endif
