/// @file
/// Which endpoints this host reaches, directly or through another entry host.
#ifndef COLTSFOOTTRAIL_REACH_TRACKER_HPP
#define COLTSFOOTTRAIL_REACH_TRACKER_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/reach/fwd.hpp"

#include <map>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// @brief An endpoint's address and its data centre.
struct ReachableEndpoint {
  EngineAddress Address;
  DataCentreName DataCentre;
};

/// @brief An entry host that forwards connections to endpoints for others.
struct Forwarder {
  EngineAddress Address;
  DataCentreName DataCentre;

  [[nodiscard]] friend bool operator==(const Forwarder &,
                                       const Forwarder &) = default;
};

/// How a connection to an endpoint is opened.
struct DirectDial {};
/// Through another entry host.
struct ForwardedDial {
  EngineAddress Forwarder;
};

/// @brief One attempt to open a connection; the next one follows if it has
/// failed or its time is up.
struct DialStep {
  std::variant<DirectDial, ForwardedDial> Way;
  milliseconds Timeout{0};
};

/// @brief Number of endpoints by the way in which this host reaches them.
struct ReachTally {
  std::uint32_t Direct = 0;
  /// Only through other entry hosts.
  std::uint32_t Forwarded = 0;
  /// Neither directly nor, as far as known, through another entry host.
  std::uint32_t Unreachable = 0;
};

/// A direct connection to an endpoint failed, and the ones before had not.
struct EndpointUnreachable {
  EngineAddress Endpoint;
};
/// A direct connection to an endpoint succeeded again.
struct EndpointReached {
  EngineAddress Endpoint;
  Duration UnreachableFor;
};
/// This host reaches most endpoints no longer.
struct CutOffBegan {
  TimePoint Since;
  ReachTally Tally;
};
/// This host reaches most endpoints again.
struct CutOffEnded {
  Duration Length;
};
using ReachChange = std::variant<EndpointUnreachable, EndpointReached,
                                 CutOffBegan, CutOffEnded>;

/// @brief Tracks whether direct connections to endpoints succeed, and decides
/// how connections are opened. Does no I/O and reads no clock. Not thread-safe;
/// times must not go back.
///
/// Failure guarded against: a host loses its links to the endpoints, and each
/// of its requests learns that anew, a second after it was sent, while other
/// hosts reach the same endpoints. Once direct connections to an endpoint have
/// failed, new ones go through another entry host first.
///
/// Failure guarded against: all endpoints of a service are gone, and the host
/// takes itself for cut off. Endpoints that other hosts do not reach either,
/// and failures beside endpoints that are reached meanwhile, do not count.
class ReachabilityTracker {
public:
  /// @brief Creates a tracker without endpoints.
  /// @param Seed Seed for the choice among forwarders.
  explicit ReachabilityTracker(std::uint64_t Seed) : Draw(Seed) {}

  /// @brief Replaces the known endpoints; evidence about others is dropped.
  void setEndpoints(std::span<const ReachableEndpoint> Known);
  /// @brief Whether an address is that of a known endpoint.
  [[nodiscard]] bool knows(const EngineAddress &Endpoint) const {
    return Endpoints.contains(Endpoint);
  }
  /// @brief Adds or confirms entry hosts that forward connections.
  void addForwarders(std::span<const Forwarder> Hosts, TimePoint Now);

  /// @brief Records that a direct connection was opened.
  void recordConnected(const EngineAddress &Endpoint, TimePoint Now);
  /// @brief Records that an open direct connection brought data.
  void recordData(const EngineAddress &Endpoint, TimePoint Now);
  /// @brief Records that a direct connection could not be opened.
  /// @param StartedAt When the attempt began.
  void recordDirectFailure(const EngineAddress &Endpoint, TimePoint StartedAt,
                           TimePoint Now);
  /// @brief Records that an open direct connection brought no data in time:
  /// connections that are idle now are not used any more.
  void recordSilence(const EngineAddress &Endpoint, TimePoint Now);
  /// @brief Records that a connection was opened through another host.
  void recordForwarded(const EngineAddress &Endpoint, TimePoint Now);
  /// @brief Records that another host does not reach an endpoint either.
  void recordUnreachableElsewhere(const EngineAddress &Endpoint, TimePoint Now);
  /// @brief Records that another host says that it forwards nothing: it is not
  /// asked again before it is added again.
  void removeForwarder(const EngineAddress &Host) { Forwarders.erase(Host); }
  /// @brief Records that another host did not answer.
  void recordForwarderFailure(const EngineAddress &Host, TimePoint Now);

  /// @brief Decides how a connection to an endpoint is opened.
  /// @param MaxTime Time limit for all steps together.
  /// @return At least one step.
  [[nodiscard]] std::vector<DialStep> plan(const EngineAddress &Endpoint,
                                           milliseconds MaxTime, TimePoint Now);
  /// @brief Whether an open direct connection to an endpoint may be used for a
  /// further request.
  /// @param IdleSince When it last carried data.
  [[nodiscard]] bool mayReuse(const EngineAddress &Endpoint,
                              TimePoint IdleSince) const;

  /// @brief Since when this host has reached hardly any endpoint; empty while
  /// it is not cut off.
  [[nodiscard]] std::optional<TimePoint> cutOffSince() const noexcept {
    return CutOff;
  }
  /// @brief Whether endpoints fail and hardly any other has been heard from
  /// since: this host may be at fault, not the endpoints.
  [[nodiscard]] bool isDoubtful(TimePoint Now) const;
  /// @brief Whether new direct connections to an endpoint fail at present.
  [[nodiscard]] bool isUnreachable(const EngineAddress &Endpoint) const;
  /// @brief Whether this host is cut off, has heard from no endpoint since, and
  /// knows no other host that forwards: no request can be served.
  [[nodiscard]] bool reachesNothing(TimePoint Now) const;
  /// @brief Whether this host is cut off and has not heard from an endpoint
  /// lately.
  [[nodiscard]] bool isBehindCut(const EngineAddress &Endpoint,
                                 TimePoint Now) const;

  /// @brief Updates whether this host is cut off.
  void advance(TimePoint Now);
  /// @brief Records that an endpoint seems to be at fault: those that were not
  /// heard from lately are probed, to tell its fault from one of this host.
  void recordSuspicion(TimePoint Now);
  /// @brief Endpoints to which a direct connection should be tried now.
  [[nodiscard]] std::vector<EngineAddress> takeProbes(TimePoint Now);
  /// @brief Removes and returns what has changed since the last call.
  [[nodiscard]] std::vector<ReachChange> takeChanges() {
    return std::exchange(Changes, {});
  }
  /// @brief Number of endpoints with recent evidence by the way to them.
  [[nodiscard]] ReachTally tally(TimePoint Now) const;

  /// Time for a direct connection before another host is asked.
  static constexpr milliseconds DirectTimeout{150};
  /// Time for a connection through another host.
  static constexpr milliseconds ForwardTimeout{250};
  /// Interval between two direct probes while endpoints are not reached.
  static constexpr milliseconds ProbeInterval{400};
  /// Endpoints that must fail before this host counts as cut off, unless it
  /// knows fewer.
  static constexpr std::uint32_t MinFailing = 6;

private:
  struct EndpointState {
    DataCentreName DataCentre;
    /// When it was last heard from directly.
    std::optional<TimePoint> HeardAt;
    /// When the first attempt to connect began that failed, none having
    /// succeeded since.
    std::optional<TimePoint> FailingSince;
    /// Connections that have been idle since before this time are not used.
    TimePoint ReuseAfter{};
    std::optional<TimePoint> ForwardedAt;
    /// When another host last failed to reach it.
    std::optional<TimePoint> UnreachableElsewhereAt;
  };
  struct ForwarderState {
    DataCentreName DataCentre;
    TimePoint HeardAt;
    TimePoint AvoidUntil{};
  };

  [[nodiscard]] static bool isUsable(const ForwarderState &State,
                                     TimePoint Now);
  [[nodiscard]] static bool isGone(const EndpointState &State, TimePoint Now);
  [[nodiscard]] static bool isFailing(const EndpointState &State,
                                      TimePoint Now);
  [[nodiscard]] std::optional<TimePoint> onset(TimePoint Now) const;
  [[nodiscard]] std::uint32_t heardSince(TimePoint Since) const;
  [[nodiscard]] std::uint32_t failing(TimePoint Now) const;
  [[nodiscard]] std::vector<EngineAddress> failingEndpoints() const;
  [[nodiscard]] std::vector<EngineAddress> unheardSince(TimePoint Since) const;
  [[nodiscard]] std::vector<EngineAddress>
  drawSome(std::vector<EngineAddress> Candidates, std::size_t Limit);
  [[nodiscard]] std::vector<EngineAddress>
  chooseForwarders(const DataCentreName &Near, TimePoint Now);

  Random Draw;
  std::map<EngineAddress, EndpointState> Endpoints;
  std::map<EngineAddress, ForwarderState> Forwarders;
  std::optional<TimePoint> CutOff;
  TimePoint NextProbeAt{};
  TimePoint SuspicionAt{};
  std::vector<ReachChange> Changes;
};

} // namespace coltsfoottrail

#endif
