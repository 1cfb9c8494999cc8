/// @file
/// Keeps the requests of all entry hosts at an endpoint below what it bears.
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

/// @brief Shares of one entry host: as a holder it asks for credits and counts
/// what it has in progress; as a steward of some endpoints it finds their bound
/// and grants. Pure: takes events and times, answers commands.
///
/// Not thread-safe: stands under one lock. Times must not go back.
class ShareManager {
public:
  /// @brief Makes a keeper that knows no peers and no endpoints.
  /// @param Limits Times and limits; Self and Run must be set.
  explicit ShareManager(ShareOptions Limits);
  ShareManager(const ShareManager &) = delete;
  ShareManager &operator=(const ShareManager &) = delete;

  /// @brief Takes the entry hosts of the agreed state. Every change must come,
  /// before the state's routes and before a proof that rests on it.
  /// @param Changed Offset of the record that changed them last.
  /// @param Joined The hosts; this one among them once it has joined.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void setMembers(Offset Changed, std::span<const ShareMember> Joined,
                  TimePoint Now, ShareCommands &Out);
  /// @brief Takes the routes of the agreed state.
  void configure(const RouteTable &Table, TimePoint Now, ShareCommands &Out);
  /// @brief Takes a proof that the members it knows are the agreed ones.
  /// @param ProvenAt When the read left that showed the end of the agreed
  /// stream, all below folded.
  void confirmMembership(TimePoint ProvenAt);

  /// @brief Says how many requests this host would have in progress at an
  /// endpoint, those in progress included.
  void setEndpointDemand(std::string_view EndpointKey, std::uint32_t Requests,
                         TimePoint Now, ShareCommands &Out);
  /// @brief Says how many requests wait for any endpoint of a pool; to be
  /// called at each change of that number, and now and then while the pool is
  /// in use. Stands for a want() for each endpoint that this host uses.
  /// @param PoolName The pool.
  /// @param Waiting Requests that wait.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void setPoolDemand(std::string_view PoolName, std::uint32_t Waiting,
                     TimePoint Now, ShareCommands &Out);
  /// @brief Asks for leave to send one request, at the act itself.
  /// @param EndpointKey Where to.
  /// @param Now The time, read just before.
  /// @return False when the share is used up or has lapsed: do not send. After
  /// true, finished() must follow.
  [[nodiscard]] bool tryStart(std::string_view EndpointKey, TimePoint Now);
  /// @brief A request that was started has ended.
  /// @param EndpointKey Where.
  /// @param Succeeded Whether the endpoint did its part.
  /// @param Latency What the endpoint took; only that of successes counts.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void finish(std::string_view EndpointKey, bool Succeeded, Duration Latency,
              TimePoint Now, ShareCommands &Out);
  /// @brief This host takes no more requests: it gives its credits back as its
  /// work ends. To be called first in a planned stop.
  void release(TimePoint Now, ShareCommands &Out);
  /// @brief Takes an endpoint's load report.
  void observe(const LoadReport &Report, TimePoint Now, ShareCommands &Out);

  /// @brief Takes a message from a peer; any number of times, in any order.
  void received(const HostName &From, const ShareMessage &Message,
                TimePoint Now, ShareCommands &Out);
  /// @brief Does what time alone brings.
  void advance(TimePoint Now, ShareCommands &Out);
  /// @brief When advance() should be called next.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;

  /// @brief Requests that this host may have in progress at an endpoint now.
  [[nodiscard]] std::uint32_t share(std::string_view EndpointKey,
                                    TimePoint Now) const;
  /// @brief The steward of an endpoint, as this host sees it; empty when
  /// unknown.
  [[nodiscard]] HostName stewardOf(std::string_view EndpointKey) const;
  /// @brief The endpoint's bound, where this host is its steward and grants.
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
    /// This host may use it.
    bool Used = false;
    std::optional<TimePoint> RemovedAt;
    Incarnation EngineRun = 0;

    // As its steward.
    Role As = Role::None;
    TimePoint WaitUntil;
    TimePoint ActiveSince;
    Ramp Bound;
    std::uint32_t WarmBound;
    CreditLedger Credits;

    // As a holder.
    std::uint32_t InFlight = 0;
    std::uint32_t Peak = 0;
    std::uint32_t Wanted = 0;
    std::uint32_t Share = 0;
    bool Contended = false;
    std::uint32_t KnownBound = 0;
    TimePoint Until;
    GrantNumber Adopted;
    Incarnation GrantedRun = 0;
    CompletedRequests Ended;
    TimePoint LastUsed;
    TimePoint LastAsk;
    std::optional<TimePoint> NextAsk;
    std::optional<TimePoint> Scheduled;
  };
  struct PoolUse {
    std::vector<EndpointHash> All;
    std::vector<EndpointHash> Used;
    std::uint32_t Waiting = 0;
    TimePoint Refreshed;
  };
  struct SentAsk {
    TimePoint Left;
    std::map<EndpointHash, GrantNumber> Adopted;
  };
  struct Peer {
    std::uint64_t LastNumber = 0;
    std::map<std::uint64_t, SentAsk> Asks;
    /// Highest ask taken from it, and of which run.
    std::uint64_t TakenNumber = 0;
    Incarnation TakenRun = 0;
  };
  /// The host with the highest rendezvous weight for a slice.
  struct Weighed {
    HostName Host;
    std::uint64_t Weight = 0;
  };
  struct Handover {
    StewardHandover Message;
    TimePoint RetryAt;
  };

  void handle(const HostName &From, const CreditRequest &Message, TimePoint Now,
              ShareCommands &Out);
  void handle(const HostName &From, const CreditGrant &Message, TimePoint Now,
              ShareCommands &Out);
  void handle(const HostName &From, const StewardHandover &Message,
              TimePoint Now, ShareCommands &Out);
  void handle(const HostName &From, const StewardHandoverAck &Message,
              TimePoint Now, ShareCommands &Out);
  void takeIn(const HostName &From, const ShareMessage &Message, TimePoint Now,
              ShareCommands &Out);
  void deliverLocal(TimePoint Now, ShareCommands &Out);

  [[nodiscard]] Endpoint *find(std::string_view EndpointKey);
  [[nodiscard]] const Endpoint *find(std::string_view EndpointKey) const;
  [[nodiscard]] bool isFresh(TimePoint Now) const;
  [[nodiscard]] Duration takeoverWait() const;
  [[nodiscard]] const HostName &stewardOfSlice(const std::string &Slice);
  void rankAnew(std::span<const ShareMember> Before);
  [[nodiscard]] Weighed weigh(const std::string &Slice) const;
  void assign(Endpoint &Placed, bool WasFresh, TimePoint Now);
  void relinquish(Endpoint &Placed);
  void takePools(const RouteTable &Table);
  void chooseUsed(PoolUse &Use);
  void activate(Endpoint &Placed, TimePoint Now);
  void grant(const HostName &From, const CreditRequest &Message,
             const CreditDemand &Want, TimePoint Now,
             std::vector<CreditShare> &Shares, ShareCommands &Out);
  void recall(Endpoint &Placed, const CreditDemand &Want, TimePoint Now);
  void refill(Endpoint &Placed, TimePoint Now, ShareCommands &Out);
  void adopt(Endpoint &Held, const CreditShare &Given, const SentAsk &Asked,
             TimePoint Now, ShareCommands &Out);
  void wantOne(Endpoint &Held, std::uint32_t Requests, TimePoint Now);
  void setShare(Endpoint &Held, std::uint32_t Share, ShareCommands &Out);
  [[nodiscard]] bool inUse(const Endpoint &Held, TimePoint Now) const;
  void plan(Endpoint &Held, TimePoint Now);
  void schedule(Endpoint &Held);
  void askSoon(Endpoint &Held, TimePoint Now);
  void sendAsks(const std::map<HostName, std::vector<EndpointHash>> &Due,
                TimePoint Now, ShareCommands &Out);
  void sendHandovers(TimePoint Now, ShareCommands &Out);
  void forgetGone(TimePoint Now);

  ShareOptions Options;
  Offset Epoch = 0;
  std::vector<ShareMember> Members;
  /// This run is not a member, but another run of this host is.
  bool Replaced = false;
  Offset TableVersion = 0;
  bool HasTable = false;
  std::optional<TimePoint> ProvenAt;
  std::unordered_map<EndpointHash, Endpoint> Endpoints;
  /// Endpoints that have ever been in a table.
  std::set<EndpointHash> Seen;
  /// The best member for each slice in use. A change of one member among a
  /// thousand is worked in here, as ranking all anew takes tens of
  /// milliseconds.
  std::map<std::string, Weighed> Ranks;
  std::map<std::string, PoolUse, std::less<>> Pools;
  std::map<HostName, Peer> Peers;
  std::map<HostName, Handover> Handovers;
  std::set<std::pair<TimePoint, EndpointHash>> Schedule;
  TimePoint NextSweep;
};

} // namespace coltsfoottrail

#endif
