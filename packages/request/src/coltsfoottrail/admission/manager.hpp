/// @file
/// Keeps the requests in progress of all entry hosts at an endpoint within its
/// bound.
#ifndef COLTSFOOTTRAIL_ADMISSION_MANAGER_HPP
#define COLTSFOOTTRAIL_ADMISSION_MANAGER_HPP

#include "coltsfoottrail/admission/credits.hpp"
#include "coltsfoottrail/admission/ramp.hpp"
#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfoottrail {

/// @brief Manages the shares of one entry host. As a holder it requests credits
/// and counts its requests in progress; as the steward of some endpoints it
/// determines their bounds and grants credits. Pure: takes events and times and
/// returns commands.
///
/// Not thread-safe: callers hold one lock. Times must not go back.
class ShareManager {
public:
  /// @brief Starts without members and endpoints.
  /// @param Configured Times and limits; Self and Run must be set.
  explicit ShareManager(ShareOptions Configured);
  ShareManager(const ShareManager &) = delete;
  ShareManager &operator=(const ShareManager &) = delete;

  /// @brief Sets the entry hosts of the agreed state. Must be called for every
  /// change, before configure() and confirmMembership() for a state that
  /// includes the change.
  /// @param Changed Log offset of the last membership change.
  /// @param Joined The members; this host among them once it has joined.
  /// @param Now The time.
  /// @param Commands Receives the commands.
  void setMembers(Offset Changed, std::span<const ShareMember> Joined,
                  TimePoint Now, ShareCommands &Commands);
  /// @brief Applies the routes of the agreed state.
  void configure(const RouteTable &Table, TimePoint Now,
                 ShareCommands &Commands);
  /// @brief Confirms that the members set last are the current ones.
  /// @param ReadSentAt When the read was sent that reached the end of the
  /// agreed stream; all records before that end must have been folded.
  void confirmMembership(TimePoint ReadSentAt);

  /// @brief Sets the demand on an endpoint: the requests that this host would
  /// have in progress there, those in progress included.
  void setEndpointDemand(std::string_view EndpointKey, std::uint32_t Requests,
                         TimePoint Now, ShareCommands &Commands);
  /// @brief Sets the number of requests waiting for any endpoint of a pool. To
  /// be called at each change of that number, and from time to time while the
  /// pool is in use. Sets the demand on each endpoint that this host uses, as
  /// setEndpointDemand() does.
  /// @param PoolName The pool.
  /// @param Waiting Number of waiting requests.
  /// @param Now The time.
  /// @param Commands Receives the commands.
  void setPoolDemand(std::string_view PoolName, std::uint32_t Waiting,
                     TimePoint Now, ShareCommands &Commands);
  /// @brief Takes one unit of the share; to be called just before a request is
  /// sent.
  /// @param EndpointKey The endpoint.
  /// @param Now The time, read just before the call.
  /// @return False if the share is used up or has expired: do not send. After
  /// true, finish() must follow.
  [[nodiscard]] bool tryStart(std::string_view EndpointKey, TimePoint Now);
  /// @brief Ends a request for which tryStart() returned true.
  /// @param EndpointKey The endpoint.
  /// @param Succeeded Whether the endpoint served the request.
  /// @param Latency Time that the endpoint took; used only for successes.
  /// @param Now The time.
  /// @param Commands Receives the commands.
  void finish(std::string_view EndpointKey, bool Succeeded, Duration Latency,
              TimePoint Now, ShareCommands &Commands);
  /// @brief Gives the credits back as requests in progress end. To be called
  /// first in a planned stop, when this host accepts no more requests.
  void release(TimePoint Now, ShareCommands &Commands);
  /// @brief Applies an endpoint's load report.
  void observe(const LoadReport &Report, TimePoint Now,
               ShareCommands &Commands);

  /// @brief Handles a message from a peer; messages may be repeated and
  /// reordered.
  void received(const HostName &From, const ShareMessage &Message,
                TimePoint Now, ShareCommands &Commands);
  /// @brief Processes everything that is due by Now.
  void advance(TimePoint Now, ShareCommands &Commands);
  /// @brief When advance() should be called next.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;

  /// @brief Number of requests that this host may have in progress at an
  /// endpoint now.
  [[nodiscard]] std::uint32_t share(std::string_view EndpointKey,
                                    TimePoint Now) const;
  /// @brief The steward of an endpoint in this host's view; empty if unknown.
  [[nodiscard]] HostName stewardOf(std::string_view EndpointKey) const;
  /// @brief The endpoint's bound if this host is its active steward.
  [[nodiscard]] std::optional<std::uint32_t>
  boundOf(std::string_view EndpointKey) const;

private:
  enum class Role : std::uint8_t { None, Waiting, Active };
  struct Endpoint {
    explicit Endpoint(const EndpointSpec &Spec)
        : Key(Spec.Key), Bound(Spec.ColdBound, Spec.WarmBound),
          WarmBound(Spec.WarmBound) {}

    std::string Key;
    std::string Slice;
    HostName Steward;
    /// Whether this host sends requests to the endpoint.
    bool Used = false;
    std::optional<TimePoint> RemovedAt;
    Incarnation EngineRun = 0;

    // State of the steward.
    Role StewardRole = Role::None;
    TimePoint ActivateAt;
    TimePoint ActiveSince;
    Ramp Bound;
    std::uint32_t WarmBound;
    CreditLedger Credits;

    // State of the holder.
    std::uint32_t InFlight = 0;
    std::uint32_t Peak = 0;
    std::uint32_t Wanted = 0;
    std::uint32_t Share = 0;
    bool Contended = false;
    std::uint32_t GrantedBound = 0;
    TimePoint ShareExpiry;
    GrantNumber Adopted;
    Incarnation GrantedEngineRun = 0;
    CompletedRequests Completed;
    TimePoint LastUsed;
    TimePoint LastRequestAt;
    std::optional<TimePoint> NextRequestAt;
    std::optional<TimePoint> ScheduledAt;
  };
  struct PoolState {
    std::vector<EndpointHash> All;
    std::vector<EndpointHash> Used;
    std::uint32_t Waiting = 0;
    TimePoint RefreshedAt;
  };
  struct SentRequest {
    TimePoint SentAt;
    std::map<EndpointHash, GrantNumber> Adopted;
  };
  struct Peer {
    std::uint64_t LastRequestNumber = 0;
    std::map<std::uint64_t, SentRequest> SentRequests;
    /// Highest number of a request received from the peer, and the run that
    /// sent it.
    std::uint64_t LastReceivedNumber = 0;
    Incarnation LastReceivedRun = 0;
  };
  /// The host with the highest rendezvous weight for a slice.
  struct RankedHost {
    HostName Host;
    std::uint64_t Weight = 0;
  };
  struct Handover {
    StewardHandover Message;
    TimePoint RetryAt;
  };

  void handle(const HostName &From, const CreditRequest &Message, TimePoint Now,
              ShareCommands &Commands);
  void handle(const HostName &From, const CreditGrant &Message, TimePoint Now,
              ShareCommands &Commands);
  void handle(const HostName &From, const StewardHandover &Message,
              TimePoint Now, ShareCommands &Commands);
  void handle(const HostName &From, const StewardHandoverAck &Message,
              TimePoint Now, ShareCommands &Commands);
  void dispatch(const HostName &From, const ShareMessage &Message,
                TimePoint Now, ShareCommands &Commands);
  void deliverLocal(TimePoint Now, ShareCommands &Commands);

  [[nodiscard]] Endpoint *find(std::string_view EndpointKey);
  [[nodiscard]] const Endpoint *find(std::string_view EndpointKey) const;
  [[nodiscard]] bool isMembershipProven(TimePoint Now) const;
  [[nodiscard]] Duration takeoverWait() const;
  [[nodiscard]] const HostName &stewardOfSlice(const std::string &Slice);
  void updateSliceRanks(std::span<const ShareMember> PreviousMembers);
  [[nodiscard]] RankedHost highestRanked(const std::string &Slice) const;
  void assignRole(Endpoint &State, bool WasProven, TimePoint Now);
  void queueHandover(Endpoint &State);
  void updatePools(const RouteTable &Table);
  void selectEndpoints(PoolState &PoolUsage);
  void activate(Endpoint &State, TimePoint Now);
  void grant(const HostName &From, const CreditRequest &Message,
             const CreditDemand &Demand, TimePoint Now,
             std::vector<CreditShare> &Shares, ShareCommands &Commands);
  void recoverBound(Endpoint &State, const CreditDemand &Demand, TimePoint Now);
  void refill(Endpoint &State, TimePoint Now, ShareCommands &Commands);
  void adopt(Endpoint &State, const CreditShare &Grant,
             const SentRequest &Request, TimePoint Now,
             ShareCommands &Commands);
  void setDemand(Endpoint &State, std::uint32_t Requests, TimePoint Now);
  void setShare(Endpoint &State, std::uint32_t Share, ShareCommands &Commands);
  [[nodiscard]] bool inUse(const Endpoint &State, TimePoint Now) const;
  void scheduleRenewal(Endpoint &State, TimePoint Now);
  void updateSchedule(Endpoint &State);
  void requestSoon(Endpoint &State, TimePoint Now);
  void
  sendRequests(const std::map<HostName, std::vector<EndpointHash>> &DueRequests,
               TimePoint Now, ShareCommands &Commands);
  void sendHandovers(TimePoint Now, ShareCommands &Commands);
  void eraseRemoved(TimePoint Now);

  ShareOptions Options;
  Offset Epoch = 0;
  std::vector<ShareMember> Members;
  /// Another run of this host is a member.
  bool Replaced = false;
  Offset TableVersion = 0;
  bool HasTable = false;
  std::optional<TimePoint> ProvenAt;
  std::unordered_map<EndpointHash, Endpoint> Endpoints;
  /// All endpoints that have ever been in a table.
  std::set<EndpointHash> SeenEndpoints;
  /// The highest-ranked member for each slice in use, updated incrementally:
  /// with a thousand members, ranking all slices anew takes tens of
  /// milliseconds.
  std::map<std::string, RankedHost> SliceRanks;
  std::map<std::string, PoolState, std::less<>> Pools;
  std::map<HostName, Peer> Peers;
  std::map<HostName, Handover> Handovers;
  std::set<std::pair<TimePoint, EndpointHash>> Schedule;
  TimePoint NextSweep;
};

} // namespace coltsfoottrail

#endif
