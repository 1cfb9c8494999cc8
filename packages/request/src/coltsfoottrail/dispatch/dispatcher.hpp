/// @file
/// Decides for one pool which request goes to which endpoint when, and which is
/// refused.
#ifndef COLTSFOOTTRAIL_DISPATCH_DISPATCHER_HPP
#define COLTSFOOTTRAIL_DISPATCH_DISPATCHER_HPP

#include "coltsfoottrail/choice/chooser.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/dispatch/held.hpp"
#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/quarantine/quarantine.hpp"
#include "coltsfoottrail/queues/fairqueue.hpp"
#include "coltsfoottrail/retries/retry.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Limits of one dispatcher.
struct DispatcherOptions {
  DataCentreName LocalDataCentre;
  std::size_t MaxWaiting = 4096;
  std::size_t MaxWaitingBytes = std::size_t{16} << 20U;
  std::uint64_t Seed = 1;
  /// Places that teams above their share leave free, for each place that the
  /// others take within theirs.
  double ReservedSlotRatio = 1.0;
  /// How long a request waits for an endpoint that has its prefix, as a part of
  /// what the prefix saves.
  double CacheDelay = 1.0;
  /// Most requests that wait so, as a part of the places.
  double MaxCacheWaitRatio = 0.25;
  /// How endpoints are chosen; the estimated wait unless for comparisons.
  ChoicePolicy Policy;
  RetryLimits Retries;
  /// Retries that the pools of a service share; the pool's own when null.
  std::shared_ptr<SharedTokenBucket> RetryTokens;
  QuarantineLimits CrashLimits;
  /// Times the mean time of service that must be left when a request starts
  /// after a wait; less, and many run to their deadline for nothing.
  double ServiceMargin = 2.0;
  /// The same for the start of a retry, which stands before an idle endpoint.
  double RetryMargin = 0.5;
  /// How long requests are taken and held while the pool has no endpoint.
  Duration NoEndpointHold = seconds(2);
  /// How long requests are held while the pool has endpoints, but this entry
  /// host no share of any.
  Duration NoShareHold = seconds(8);
  /// How long expectSlots() counts after requests have begun to wait.
  Duration ShareGrace = seconds(1);
};

/// @brief What a dispatcher has done since its start.
struct DispatchCounts {
  std::uint64_t Submitted = 0;
  std::uint64_t FirstSends = 0;
  std::uint64_t Resends = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t RefusedTooShort = 0;
  std::uint64_t RefusedOverloaded = 0;
  std::uint64_t RefusedQuarantined = 0;
  /// Retries that were given up because the budget was used up.
  std::uint64_t BudgetExhausted = 0;
};

/// @brief The decisions of one pool. Pure: takes events and times, answers
/// commands.
///
/// Not thread-safe: stands in a shard under the shard's lock. Times must not go
/// back.
class Dispatcher {
public:
  /// @brief Makes a dispatcher without endpoints.
  /// @param Limits Its limits.
  explicit Dispatcher(DispatcherOptions Limits);

  /// @brief Takes over another version of the pool.
  /// @param Wanted The pool; endpoints that are gone get nothing more, work in
  /// progress there goes on.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void configure(const Pool &Wanted, TimePoint Now, Commands &Out);

  /// @brief Sets how many requests this entry host may have in progress at an
  /// endpoint: its share of the bound.
  /// @param EndpointKey The endpoint.
  /// @param Share Requests at once; zero for none.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void setShare(std::string_view EndpointKey, std::uint32_t Share,
                TimePoint Now, Commands &Out);

  /// @brief Tells how many requests at once this entry host can expect shares
  /// for when it needs them. Where shares are given on demand, the wait is
  /// estimated by them until they have had time to come.
  /// @param Count Zero, as at the start, when shares do not follow the demand.
  void expectSlots(double Count) noexcept { ExpectedPlaces = Count; }

  /// @brief Sets what a team is entitled to; without it a team has weight 1.
  /// @param Team The team.
  /// @param Wanted Its weight and limit, both above zero.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void setTeam(const TeamName &Team, TeamShare Wanted, TimePoint Now,
               Commands &Out);

  /// @brief Sets how many retries are saved up at most.
  void setRetryBurst(double Most) { Budget.setBurst(Most); }

  /// @brief Takes a request. Out gets at most one command for it now; the rest
  /// comes later. A request that by the estimated wait cannot make its deadline
  /// is refused at once.
  /// @param Item The request.
  /// @param Now The time.
  /// @param Out Commands are added here.
  /// @return Names the request until its last command or release().
  [[nodiscard]] Ticket submit(WorkItem Item, TimePoint Now, Commands &Out);

  /// @brief Tells that the answer of an attempt has begun.
  void responseStarted(Ticket Which);

  /// @brief Own requests at each endpoint that has any.
  [[nodiscard]] std::vector<EndpointLoad> ownLoads() const {
    return Choice.ownLoads();
  }
  /// @brief Takes what the other entry hosts have at all endpoints; requests
  /// that wait may find a place by it.
  void setRemoteLoads(std::span<const EndpointLoad> Others, TimePoint Now,
                      Commands &Out);

  /// @brief Tells how an attempt ended. Unless it was answered, a SendCommand
  /// or a RefuseCommand for the ticket follows, now or from a later advance();
  /// Out also gets SendCommands for those that waited.
  /// @param Which The request.
  /// @param Result How it ended.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void attemptEnded(Ticket Which, const AttemptResult &Result, TimePoint Now,
                    Commands &Out);

  /// @brief Forgets a request whose caller has gone, wherever it stands.
  /// @param Which The request.
  /// @param Now The time.
  /// @param Out Commands for others are added here.
  void cancel(Ticket Which, TimePoint Now, Commands &Out);

  /// @brief Takes a load report. A new run of the endpoint makes its learned
  /// speed and cache void, and counts as a crash for what is in flight there.
  void observe(const LoadReport &Report, TimePoint Now, Commands &Out);

  /// @brief Takes an event of an endpoint's prefix cache.
  /// @param EndpointKey The endpoint; an unknown one is ignored.
  /// @param Change What changed.
  /// @param Now The time.
  void observeCache(std::string_view EndpointKey, const CacheChange &Change,
                    TimePoint Now);

  /// @brief Notes that an endpoint stopped serving under a key and lives on;
  /// streams that break there do not speak against their requests.
  void observeClosed(std::string_view EndpointKey, TimePoint Now);

  /// @brief Hands out what the dispatchers of this pool on the other entry
  /// hosts should be told by observeNotice(). Call it after finished() and
  /// observe().
  [[nodiscard]] std::vector<QuarantineNotice> takeNotices(TimePoint Now);

  /// @brief Takes what a dispatcher of this pool on another entry host told.
  /// @return Whether it was news here.
  bool observeNotice(const QuarantineNotice &Told, TimePoint Now);

  /// @brief Does what time alone brings: refuses what can no longer make its
  /// deadline, sends again what was held back, tries ejected endpoints.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void advance(TimePoint Now, Commands &Out);

  /// @brief When advance() should be called next, if no event comes before.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;

  /// @brief Requests that wait for an endpoint or for their next attempt.
  [[nodiscard]] std::size_t waiting() const noexcept;

  /// @brief What it has done since its start.
  [[nodiscard]] const DispatchCounts &counts() const noexcept { return Counts; }
  /// @brief Endpoints left out at present as slow or failing.
  [[nodiscard]] std::size_t ejected() const noexcept {
    return Choice.ejected();
  }
  /// @brief Requests suspected or refused for crashing endpoints.
  [[nodiscard]] std::size_t suspects() const noexcept { return Crashes.size(); }

private:
  struct Request {
    WorkItem Item;
    TeamId Team;
    /// Latest of all attempts so far.
    RunState State = RunState::NotRun;
    /// Why the last attempt failed, and when.
    Reason LastWhy = Reason::Internal;
    std::optional<TimePoint> FailedWhen;
    std::uint32_t Attempts = 0;
    std::uint32_t Delays = 0;
    std::uint32_t BudgetWaits = 0;
    /// The answer of its attempt has begun.
    bool Begun = false;
    /// Its caller has part of a stream.
    bool Resumable = false;
    /// Counted by the queue as in progress.
    bool InProgress = false;
    bool Suspect = false;
    /// Until when it waits for an endpoint that has its prefix.
    std::optional<TimePoint> CachedUntil;
    /// Sent to an endpoint that was thought to have its prefix.
    bool Hinted = false;
    /// Where it is, while an attempt runs.
    std::optional<CandidateId> SentTo;
    /// Where the last attempt failed.
    std::optional<CandidateId> FailedAt;
    TimePoint SentAt;
    Incarnation SentRun = 0;
  };
  enum class Placing : std::uint8_t { Done, NoRoom };

  [[nodiscard]] std::optional<Verdict> refusalAtOnce(const Request &Asked,
                                                     TimePoint Now) const;
  [[nodiscard]] std::optional<Verdict> refusalToWait(const Request &Asked,
                                                     TimePoint Now) const;
  [[nodiscard]] Duration expectedService(const WorkItem &Item) const;
  [[nodiscard]] TimePoint latestStart(const WorkItem &Item,
                                      double Margin) const;
  [[nodiscard]] TimePoint latestStart(const Request &Asked) const;
  [[nodiscard]] Throughput speed(TimePoint Now) const;
  [[nodiscard]] std::optional<TimePoint> holdEnd() const;
  [[nodiscard]] bool heldTooLong(TimePoint Now) const;
  [[nodiscard]] Verdict emptyVerdict() const;

  [[nodiscard]] bool startNow(Ticket Which, TimePoint Now, Commands &Out);
  void enqueue(Ticket Which, TimePoint Now);
  [[nodiscard]] ChoiceQuery queryOf(const Request &Asked, TimePoint Now) const;
  [[nodiscard]] TimePoint cacheDelayEnd(const Request &Asked,
                                        TimePoint Now) const;
  [[nodiscard]] static bool waitsForCache(const Request &Asked, TimePoint Now);
  [[nodiscard]] std::optional<CandidateId> chooseFor(Request &Asked,
                                                     TimePoint Now);
  void pump(TimePoint Now, Commands &Out);
  void expire(TimePoint Now, Commands &Out);
  void stepAside(Ticket Which, TimePoint Now, Commands &Out);
  void expireHeld(Ticket Which, TimePoint Now, Commands &Out);
  void sendHeld(TimePoint Now, Commands &Out);
  void sendWaiting(TimePoint Now, Commands &Out);
  void sendChoosy(CandidateId Freed, TimePoint Now, Commands &Out);
  void holdForCache(Ticket Which, TimePoint Now);
  [[nodiscard]] Placing placeHeld(Ticket Which, TimePoint Now, Commands &Out);
  void send(Ticket Which, CandidateId To, TimePoint Now, Commands &Out);
  [[nodiscard]] bool mayHold(const Request &Asked) const;
  [[nodiscard]] std::optional<RetryStop> holdForRetry(Ticket Which,
                                                      TimePoint Now);
  void waitForBudget(Ticket Which, TimePoint Now, Commands &Out);
  void failed(Ticket Which, const AttemptResult &Result, TimePoint Now,
              Commands &Out);
  void endAttempt(Request &Asked, const AttemptResult &Result, TimePoint Now);
  void noteEvidence(const Request &Asked, const AttemptResult &Result,
                    TimePoint Now);
  void noteRestart(CandidateId Which, Incarnation OldRun, TimePoint Now);

  void countPlaces();
  void watchCapacity(TimePoint Now);
  void refuseHopeless(TimePoint Now, Commands &Out);
  void refuseAllWaiting(const Verdict &Final, Commands &Out);
  void refuse(Ticket Which, Verdict Final, RetryStop Stop, Commands &Out);
  [[nodiscard]] static RetryStop stopOf(const Request &Asked,
                                        RetryStop IfTried) noexcept;
  void forget(Ticket Which);

  DispatcherOptions Options;
  Random Draw;
  Chooser Choice;
  FairQueue Queue;
  HeldRequests Held;
  RetryBudget Budget;
  Quarantine Crashes;
  SlotMap<Request, Ticket> Requests;
  DispatchCounts Counts;
  double ExpectedPlaces = 0.0;
  /// Since when no endpoint may be used.
  std::optional<TimePoint> EmptySince;
  /// Since when there is always a request that waits.
  std::optional<TimePoint> WaitingSince;
  /// When the queue is looked through after endpoints went.
  std::optional<TimePoint> ShedAt;
  double ShedSlots = 0.0;
};

} // namespace coltsfoottrail

#endif
