/// @file
/// Decides whom to dial and which connections to keep.
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

/// @brief When to dial again.
struct DialPolicy {
  /// Mean wait after the first failure; doubles with each further one.
  Duration FirstDelay = milliseconds(200);
  /// Longest mean wait.
  Duration MaxDelay = seconds(10);
  /// A connection that lasted this long makes the failures before it forgotten.
  Duration StableAfter = seconds(10);
  /// How long after a message to it a host that is no neighbour is dialled.
  Duration DemandLife = seconds(5);
  /// A connection with a host that is no neighbour is closed after this time
  /// without a message.
  Duration UnusedAfter = seconds(30);
};

/// An address that is dialled.
struct DialTarget {
  std::string Address;
  std::uint16_t Port = 0;
  [[nodiscard]] friend bool operator<(const DialTarget &Left,
                                      const DialTarget &Right) {
    return std::tie(Left.Address, Left.Port) <
           std::tie(Right.Address, Right.Port);
  }
};

/// @brief What happens with a connection that has proved the key.
struct Admission {
  /// Set when it has to be closed.
  std::optional<PeerRefusal> Refused;
  /// The connection of the same run that it takes the place of: it sends
  /// nothing more and is closed a little later, so that what is under way
  /// still arrives.
  std::optional<LinkId> Replaces;
  /// The connection of another run of the host: it is cut at once.
  std::optional<LinkId> SupersededLink;
  /// It is itself the one that is not kept: it sends nothing and is closed a
  /// little later.
  bool Redundant = false;
};

/// @brief A connection that has proved the key.
struct ProvedLink {
  LinkId Link;
  HostName Host;
  Incarnation Run = 0;
  /// The address that was dialled; nothing when the other end dialled.
  std::optional<DialTarget> Dialled;
};

/// @brief Decides whom to dial and which connections to keep.
///
/// Not thread-safe; no I/O, and the time is given. Of two connections between
/// the same two runs both ends keep the one that the host with the lower name
/// dialled, and of two that the same end dialled, the newer one.
///
/// Failure guarded against: a process that was paused wakes up under a name
/// that a newer run has taken, and its late messages are taken for those of the
/// newer run. Once the agreed state has named another run for a host, or
/// another run has taken its place, the earlier one is retired: its connection
/// is cut and none of it is admitted again.
class PeerTable {
public:
  /// Retired runs that are remembered for each host.
  static constexpr std::size_t MaxRetired = 8;
  /// Hosts that are neither named nor connected of which retired runs are
  /// remembered.
  static constexpr std::size_t MaxFormerHosts = 1024;

  /// @brief Starts without peers.
  /// @param Own This host.
  /// @param Dialling When to dial again.
  /// @param Seed For the jitter.
  PeerTable(HostName Own, DialPolicy Dialling, std::uint64_t Seed)
      : Self(std::move(Own)), Policy(Dialling), Source(Seed) {}

  /// @brief Takes the peers that the agreed state names.
  /// @param Wanted All of them; this host among them is passed over.
  /// @param Now The time.
  /// @return Connections to cut.
  [[nodiscard]] std::vector<LinkId> setPeers(std::span<const MeshPeer> Wanted,
                                             TimePoint Now);
  /// @brief Takes the addresses from the settings.
  void setSeeds(std::span<const MeshSeed> Wanted, TimePoint Now);

  /// @brief Decides on a connection that has proved the key.
  [[nodiscard]] Admission admit(const ProvedLink &Proved, TimePoint Now);
  /// @brief Learns that an admitted connection is over.
  /// @return Whether it was the host's current one.
  bool linkClosed(LinkId Link, TimePoint Now);
  /// @brief Learns that this end closes an admitted connection that is unused.
  void release(LinkId Link);
  /// @brief Learns that a dialled connection ended before it was admitted.
  /// @param Target What was dialled.
  /// @param Why Nothing when it could not be reached.
  void dialFailed(const DialTarget &Target, std::optional<PeerRefusal> Why,
                  TimePoint Now);
  /// @brief Notes that there is a message for a host that is not connected.
  /// @return Whether a connection is under way, so that the message may wait.
  [[nodiscard]] bool demand(const HostName &Host, TimePoint Now);
  /// @brief Tells whether a connection with a host is under way.
  [[nodiscard]] bool expects(const HostName &Host, TimePoint Now) const;
  /// @brief Tells whether the current connection with a host may be closed: it
  /// is no neighbour, this end dialled, and no messages come.
  /// @param LastUsed When the last message went either way.
  [[nodiscard]] bool isUnused(const HostName &Host, TimePoint LastUsed,
                              TimePoint Now) const;
  /// @brief Whom to dial now. Each is taken as being dialled until admit(),
  /// dialFailed() or lost() is told.
  [[nodiscard]] std::vector<DialTarget> due(TimePoint Now);
  /// @brief The host that is expected at an address.
  [[nodiscard]] std::optional<HostName>
  expectedAt(const DialTarget &Target) const;

  /// @brief Counts the hosts of which something is remembered.
  [[nodiscard]] std::size_t knownHosts() const noexcept { return Hosts.size(); }

private:
  struct Current {
    LinkId Link;
    Incarnation Run = 0;
    bool DialledByUs = false;
    TimePoint Since;
  };
  struct Known {
    /// The run that the agreed state names, and where it listens.
    std::optional<Incarnation> Listed;
    DialTarget At;
    std::optional<Current> Link;
    std::deque<Incarnation> Retired;
  };
  struct Target {
    /// Empty for a seed whose host has not been seen.
    HostName Host;
    bool FromSeed = false;
    /// The address is this host's own.
    bool IsSelf = false;
    bool Neighbour = false;
    /// There are messages for a host that is no neighbour.
    TimePoint WantedUntil;
    bool Busy = false;
    unsigned Failures = 0;
    TimePoint Next;
  };

  [[nodiscard]] Admission decide(const ProvedLink &Proved, TimePoint Now);
  [[nodiscard]] Duration delayAfter(unsigned Failures);
  void retire(Known &Its, Incarnation Run);
  [[nodiscard]] static bool isRetired(const Known &Its, Incarnation Run);
  void want(const MeshPeer &Peer, bool NewRun, TimePoint Now);
  void unlist(std::span<const MeshPeer> Wanted, std::vector<LinkId> &Cut);
  void forgetOldHosts();
  [[nodiscard]] bool connected(const HostName &Host) const;
  [[nodiscard]] static bool isSpareable(const Known &Its);
  [[nodiscard]] static bool isWanted(const Target &Peer, TimePoint Now);
  [[nodiscard]] const Target *targetOf(const HostName &Host) const;

  HostName Self;
  DialPolicy Policy;
  Random Source;
  std::map<HostName, Known> Hosts;
  std::map<DialTarget, Target> Targets;
};

} // namespace coltsfoottrail::internal

#endif
