/// @file
/// Request scheduling for one pool: decides which request is sent to which
/// endpoint and when, and which requests are refused.
#ifndef COLTSFOOTTRAIL_DISPATCH_DISPATCHER_HPP
#define COLTSFOOTTRAIL_DISPATCH_DISPATCHER_HPP

#include "coltsfoottrail/choice/chooser.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/dispatch/held.hpp"
#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/quarantine/quarantine.hpp"
#include "coltsfoottrail/queues/fairqueue.hpp"
#include "coltsfoottrail/ranks/forecast.hpp"
#include "coltsfoottrail/ranks/order.hpp"
#include "coltsfoottrail/ranks/teamdemand.hpp"
#include "coltsfoottrail/ratelimit/limiter.hpp"
#include "coltsfoottrail/ratelimit/trafficshare.hpp"
#include "coltsfoottrail/retries/retry.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Configuration of one dispatcher.
struct DispatcherOptions {
  /// Data centre of this entry host.
  DataCentreName LocalDataCentre;
  std::size_t MaxWaiting = 4096;
  std::size_t MaxWaitingBytes = std::size_t{16} << 20U;
  std::uint64_t Seed = 1;
  /// Slots that teams above their share must leave free, for each slot that the
  /// other teams use within theirs.
  double ReservedSlotRatio = 1.0;
  /// How long a request waits for an endpoint that has cached its prefix, as a
  /// fraction of the time that the cache hit saves.
  double CacheDelay = 1.0;
  /// Most requests that wait for a cached prefix, as a fraction of the slots.
  double MaxCacheWaitRatio = 0.25;
  /// How endpoints are chosen. Policies other than the estimated wait are for
  /// comparison only.
  ChoicePolicy Policy;
  RetryLimits Retries;
  /// Retry tokens that the pools of a service share; the pool has its own when
  /// null.
  std::shared_ptr<SharedTokenBucket> RetryTokens;
  /// The rate limits of endpoints, which all pools share; none when null.
  std::shared_ptr<EndpointRateLimiter> RateLimits;
  /// What endpoints say of taking requests, for all pools; nothing when null.
  std::shared_ptr<EndpointAvailability> Availability;
  QuarantineLimits CrashLimits;
  /// Time that must be left when a request starts after a wait, as a multiple
  /// of the mean service time. With less, many requests time out after they
  /// have used an endpoint.
  double ServiceMargin = 2.0;
  /// The same for the start of a retry, for which an endpoint is idle.
  double RetryMargin = 0.5;
  /// How long requests are accepted and held while the pool has no endpoint.
  Duration NoEndpointHold = seconds(2);
  /// How long requests are held while the pool has endpoints but this entry
  /// host has no share of any.
  Duration NoShareHold = seconds(8);
  /// How long after requests have begun to wait the count from expectSlots() is
  /// used.
  Duration ShareGrace = seconds(1);
};

/// @brief Counters of a dispatcher since its start.
struct DispatchCounts {
  std::uint64_t Submitted = 0;
  std::uint64_t FirstSends = 0;
  std::uint64_t Resends = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t RefusedTooShort = 0;
  std::uint64_t RefusedOverloaded = 0;
  std::uint64_t RefusedQuarantined = 0;
  /// Requests refused because the retry budget was exhausted.
  std::uint64_t BudgetExhausted = 0;
};

/// @brief Scheduler of one pool. Does no I/O and reads no clock: takes events
/// and times, and returns commands.
///
/// Not thread-safe: guarded by the lock of its shard. Times must not go back.
class Dispatcher {
public:
  /// @brief Makes a dispatcher without endpoints.
  explicit Dispatcher(DispatcherOptions Limits);

  /// @brief Replaces the configuration of the pool.
  /// @param Config The pool. Endpoints that are no longer in it get no new
  /// requests; requests in progress there continue.
  /// @param Now The time.
  /// @param Output Receives the commands.
  void configure(const Pool &Config, TimePoint Now, Commands &Output);

  /// @brief Sets this entry host's share of an endpoint's concurrency limit.
  /// @param EndpointKey The endpoint.
  /// @param Share Concurrent requests; zero for none.
  /// @param Now The time.
  /// @param Output Receives the commands.
  void setShare(std::string_view EndpointKey, std::uint32_t Share,
                TimePoint Now, Commands &Output);

  /// @brief Sets how many concurrent requests this entry host can expect to get
  /// shares for once it has demand. Where shares are granted on demand, the
  /// wait is estimated from this count until the shares have had time to
  /// arrive.
  /// @param Count Zero, the initial value, when shares do not follow the
  /// demand.
  void expectSlots(double Count) noexcept { ExpectedSlots = Count; }

  /// @brief Sets the weight and the limit of a team; the default weight is 1.
  /// @param Team The team.
  /// @param Share Its weight and limit, both above zero.
  /// @param Now The time.
  /// @param Output Receives the commands.
  void setTeam(const TeamName &Team, TeamShare Share, TimePoint Now,
               Commands &Output);

  /// @copydoc RetryBudget::setAllowance
  void setRetryAllowance(RetryAllowance Allowance, TimePoint Now) {
    Budget.setAllowance(Allowance, Now);
  }

  /// @brief This host's part of the pool's requests, by which rate limits are
  /// divided.
  [[nodiscard]] TrafficShare &traffic() noexcept { return Traffic; }

  /// @brief Accepts a request. Adds at most one command for it to Output;
  /// further commands follow from later calls. A request that cannot meet its
  /// deadline after the estimated wait is refused at once.
  /// @param Item The request.
  /// @param Now The time.
  /// @param Output Receives the commands.
  /// @return Identifies the request until its last command or cancel().
  [[nodiscard]] Ticket submit(WorkItem Item, TimePoint Now, Commands &Output);

  /// @brief Records that the response to the current attempt has started, or
  /// goes on.
  void responseProgressed(Ticket Id, TimePoint Now);

  /// @brief This host's requests at each endpoint that has any of them, and in
  /// a pool with several ranks the rates of each rank.
  [[nodiscard]] std::vector<EndpointLoad> ownLoads() const;
  /// @brief Replaces what the other entry hosts' ownLoads() add up to; waiting
  /// requests may be sent as a result.
  void setRemoteLoads(std::span<const EndpointLoad> Others, TimePoint Now,
                      Commands &Output);

  /// @brief Records how an attempt ended. Unless it was answered, a SendCommand
  /// or a RefuseCommand for the ticket follows, now or from a later advance().
  /// SendCommands for waiting requests are added to Output as well.
  /// @param Id The request.
  /// @param Result How it ended.
  /// @param Now The time.
  /// @param Output Receives the commands.
  void attemptEnded(Ticket Id, const AttemptResult &Result, TimePoint Now,
                    Commands &Output);

  /// @brief Whether a request could start at another endpoint in time if its
  /// current attempt were given up.
  /// @param Id The request; its current endpoint has no share.
  /// @param Now The time.
  [[nodiscard]] bool mayResend(Ticket Id, TimePoint Now) const;

  /// @brief Whether a stream that its caller has part of would find a retry and
  /// a slot at another endpoint now, in time for its caller and for the last
  /// answers of this host. If only a retry is missing, other requests leave the
  /// next one for it.
  /// @param Id The request, whose attempt is in progress.
  /// @param Now The time.
  [[nodiscard]] bool mayBeginMove(Ticket Id, TimePoint Now);
  /// @brief Takes a retry and a slot at another endpoint for a stream that its
  /// caller has part of and whose endpoint is silent. The attempt in progress
  /// goes on; one of completeMove(), abandonMove() and cancel() must follow.
  /// @param Id The request, whose attempt is in progress.
  /// @param Now The time.
  /// @return Where to send it as well; nothing if no other endpoint can take it
  /// now.
  [[nodiscard]] std::optional<SendCommand> beginMove(Ticket Id, TimePoint Now);
  /// @brief Records that the other endpoint of beginMove() answers: its attempt
  /// is the one in progress from now on.
  /// @param Id The request.
  /// @param Now The time.
  /// @param Output Receives commands for other requests.
  void completeMove(Ticket Id, TimePoint Now, Commands &Output);
  /// @brief Records that the other endpoint of beginMove() has not answered;
  /// the first attempt remains the one in progress.
  /// @param Id The request.
  /// @param Result How the attempt at the other endpoint ended.
  /// @param Now The time.
  /// @param Output Receives commands for other requests.
  void abandonMove(Ticket Id, const AttemptResult &Result, TimePoint Now,
                   Commands &Output);

  /// @brief Removes a request whose caller has left, in whichever state it is.
  /// @param Id The request.
  /// @param Now The time.
  /// @param Output Receives commands for other requests.
  void cancel(Ticket Id, TimePoint Now, Commands &Output);

  /// @brief Processes a load report. A new run of the endpoint resets its
  /// learned speed and cache contents, and counts as a crash for the requests
  /// in flight there.
  void observe(const LoadReport &Report, TimePoint Now, Commands &Output);

  /// @brief Processes an event of an endpoint's prefix cache.
  /// @param EndpointKey The endpoint; an unknown one is ignored.
  /// @param Change What changed.
  /// @param Now The time.
  void observeCache(std::string_view EndpointKey, const CacheChange &Change,
                    TimePoint Now);

  /// @brief Records that an endpoint stopped serving under a key without having
  /// crashed; broken streams there are no evidence against their requests.
  void observeClosed(std::string_view EndpointKey, TimePoint Now);

  /// @brief Removes and returns the notices for the dispatchers of this pool on
  /// the other entry hosts, to be passed to observeNotice() there. Call it
  /// after attemptEnded() and observe().
  [[nodiscard]] std::vector<EndpointNotice> takeNotices(TimePoint Now);
  /// @brief Decides anew which parts of prompts are refused, and refuses the
  /// requests that wait with them. Call it before takeNotices().
  void reviewEvidence(TimePoint Now, Commands &Output);
  /// @brief Removes and returns the parts of prompts that are refused since the
  /// last call, or no longer.
  [[nodiscard]] std::vector<PartChange> takePartChanges() {
    return CrashHistory.parts().takeChanges();
  }
  /// @brief Records that another pool refuses a part of prompts.
  void addPartRefusedElsewhere(PromptPartId Part, TimePoint Now) {
    CrashHistory.parts().addRefusedElsewhere(Part, Now);
  }

  /// @copydoc Quarantine::takeOutageLosses
  [[nodiscard]] std::vector<std::string> takeOutageLosses() {
    return CrashHistory.takeOutageLosses();
  }

  /// @copydoc Quarantine::dismissOwnLosses
  void dismissOwnLosses(TimePoint Since) {
    CrashHistory.dismissOwnLosses(Since);
  }

  /// @brief Processes a notice from a dispatcher of this pool on another entry
  /// host.
  /// @return Whether it changed anything here.
  bool observeNotice(const EndpointNotice &Notice, TimePoint Now);

  /// @brief Begins the planned stop of this host: a request that is not
  /// expected to end in time is refused instead of begun.
  /// @param LastAnswer When the last answers of this host are sent.
  /// @param Now The time.
  /// @param Output Receives the commands.
  void announceStop(TimePoint LastAnswer, TimePoint Now, Commands &Output);
  /// @brief Applies a stage of the planned stop of this host to the requests
  /// that wait and to those that come.
  /// @param NewStage The stage; stages only go forward.
  /// @param Now The time.
  /// @param Output Receives the commands.
  void stop(StopStage NewStage, TimePoint Now, Commands &Output);

  /// @brief Performs the work that is due: refuses requests that can no longer
  /// meet their deadline, sends held requests again, tries ejected endpoints.
  /// @param Now The time.
  /// @param Output Receives the commands.
  void advance(TimePoint Now, Commands &Output);

  /// @brief When advance() should be called next, if no other call is made
  /// before.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;

  /// @brief Requests that wait for an endpoint or for their next attempt.
  [[nodiscard]] std::size_t waiting() const noexcept;

  /// @brief Counters since its start.
  [[nodiscard]] const DispatchCounts &counts() const noexcept { return Counts; }
  /// @brief Endpoints that are currently excluded as slow or failing.
  [[nodiscard]] std::size_t ejected() const noexcept {
    return Choice.ejected();
  }
  /// @brief Requests suspected or refused for crashing endpoints.
  [[nodiscard]] std::size_t suspects() const noexcept {
    return CrashHistory.size();
  }
  /// @brief Parts of prompts suspected of crashing endpoints.
  [[nodiscard]] std::size_t suspectedParts() const noexcept {
    return CrashHistory.parts().size();
  }
  /// @brief Parts of prompts refused for crashing endpoints.
  [[nodiscard]] std::size_t refusedParts() const noexcept {
    return CrashHistory.parts().refused();
  }

private:
  /// An attempt in progress.
  struct SentAttempt {
    CandidateId Endpoint;
    TimePoint At;
    Incarnation Run = 0;
    /// Sent to an endpoint that was believed to have cached its prefix.
    bool Hinted = false;
    /// When the response started, if it has.
    std::optional<TimePoint> ResponseStartedAt;
    /// It has shown that its prompt crashes nothing.
    bool IsSound = false;
  };
  struct RequestState {
    WorkItem Item;
    TeamId Team;
    /// Furthest run state that any attempt so far has reached.
    RunState State = RunState::NotRun;
    /// Why the last attempt failed, and when.
    Reason LastFailureReason = Reason::Internal;
    std::optional<TimePoint> LastFailureTime;
    std::uint32_t Attempts = 0;
    /// Attempts that ended before the request ran.
    std::uint32_t NotRunAttempts = 0;
    /// Those of them that endpoints refused and asked for a back-off.
    std::uint32_t DeferredAttempts = 0;
    /// Its first send was counted.
    bool IsCounted = false;
    std::uint32_t Delays = 0;
    std::uint32_t BudgetWaits = 0;
    /// When the response to the current attempt started, if it has.
    std::optional<TimePoint> ResponseStartedAt;
    /// The current attempt has shown that its prompt crashes nothing.
    bool IsSound = false;
    /// Its caller has received part of a stream that can be resumed elsewhere.
    bool Resumable = false;
    /// Counted by the queue as in progress.
    bool InProgress = false;
    bool Suspect = false;
    /// Counted by the budget as a begun stream that waits for a token.
    bool WaitsForToken = false;
    /// End of its wait for an endpoint that has cached its prefix.
    std::optional<TimePoint> CacheWaitUntil;
    /// Sent to an endpoint that was believed to have cached its prefix.
    bool Hinted = false;
    /// Why the endpoint that was chosen last is in another data centre.
    AwayReason Away = AwayReason::None;
    /// Endpoint of the attempt in progress.
    std::optional<CandidateId> SentTo;
    /// Endpoint of the last attempt that ended.
    std::optional<CandidateId> LastFailedEndpoint;
    TimePoint SentAt;
    Incarnation SentRun = 0;
    /// The attempt at another endpoint that is to take over.
    std::optional<SentAttempt> Move;

    /// Returns the attempt in progress, and leaves none.
    [[nodiscard]] SentAttempt takeAttempt();
    void setAttempt(const SentAttempt &Attempt);
  };
  enum class PlaceResult : std::uint8_t { Handled, HeldAside, NoSlot };

  [[nodiscard]] std::optional<Verdict> quarantineRefusal(const WorkItem &Item,
                                                         TimePoint Now) const;
  [[nodiscard]] std::optional<Verdict>
  immediateRefusal(const RequestState &Request, TimePoint Now) const;
  [[nodiscard]] std::optional<Verdict>
  admissionRefusal(const RequestState &Request, TimePoint Now) const;
  [[nodiscard]] TimePoint latestResume(const RequestState &Request,
                                       TimePoint Now) const;
  [[nodiscard]] Verdict limitRefusal(const RequestState &Request, Duration Wait,
                                     TimePoint Now) const;
  [[nodiscard]] Duration expectedService(const WorkItem &Item) const;
  [[nodiscard]] TimePoint latestStart(const WorkItem &Item,
                                      double Margin) const;
  [[nodiscard]] TimePoint latestStart(const RequestState &Request) const;
  [[nodiscard]] Throughput expectedThroughput(TimePoint Now) const;
  [[nodiscard]] std::optional<TimePoint> holdDeadline() const;
  [[nodiscard]] bool holdExpired(TimePoint Now) const;
  [[nodiscard]] Verdict noCapacityVerdict() const;

  void resubmit(Ticket Id, TimePoint Now, Commands &Output);
  [[nodiscard]] bool startNow(Ticket Id, TimePoint Now, Commands &Output);
  void enqueue(Ticket Id, TimePoint Now);
  void configureRanks(const Pool &Config);
  [[nodiscard]] static bool isLate(const WorkItem &Item) noexcept {
    return Item.Urgency == Priority::Batch;
  }
  [[nodiscard]] bool leavesRoom(const RequestState &Request,
                                TimePoint Now) const;
  [[nodiscard]] bool isHeldBack(const RequestState &Request,
                                TimePoint Now) const;
  [[nodiscard]] RankPart rankPart(const WorkItem &Item, TimePoint Now) const;
  [[nodiscard]] TeamId queueTeam(const WorkItem &Item, TimePoint Now);
  [[nodiscard]] std::optional<double> otherTeamsBefore(const WorkItem &Item,
                                                       TimePoint Now) const;
  void setRankTerms(const RequestState &Request, TimePoint Now,
                    ChoiceQuery &Query) const;
  void addRates(std::vector<EndpointLoad> &Loads) const;
  void setRemoteRates(std::span<const EndpointLoad> Others, TimePoint Now);
  [[nodiscard]] std::optional<milliseconds>
  retryAfterOfRank(const WorkItem &Item) const;
  [[nodiscard]] ChoiceQuery choiceQuery(const RequestState &Request,
                                        TimePoint Now) const;
  [[nodiscard]] TimePoint cacheDelayEnd(const RequestState &Request,
                                        TimePoint Now) const;
  [[nodiscard]] static bool waitsForCache(const RequestState &Request,
                                          TimePoint Now);
  [[nodiscard]] std::optional<CandidateId> chooseEndpoint(RequestState &Request,
                                                          TimePoint Now);
  void pump(TimePoint Now, Commands &Output);
  void expire(TimePoint Now, Commands &Output);
  void holdAside(Ticket Id, TimePoint Now, Commands &Output);
  void expireHeld(Ticket Id, TimePoint Now, Commands &Output);
  void sendHeld(TimePoint Now, Commands &Output);
  void sendWaiting(TimePoint Now, Commands &Output);
  [[nodiscard]] PlaceResult sendFirst(std::size_t Level, TimePoint Now,
                                      Commands &Output);
  void sendMinimumStarts(TimePoint Now, Commands &Output);
  void sendCacheWaiters(CandidateId FreedEndpoint, TimePoint Now,
                        Commands &Output);
  void holdForCache(Ticket Id, TimePoint Now);
  [[nodiscard]] PlaceResult placeHeld(Ticket Id, TimePoint Now,
                                      Commands &Output);
  void send(Ticket Id, CandidateId Target, TimePoint Now, Commands &Output);
  [[nodiscard]] bool canMove(const RequestState &Request, TimePoint Now) const;
  [[nodiscard]] bool mayHold(const RequestState &Request) const;
  [[nodiscard]] bool hasAttemptLeft(const RequestState &Request) const noexcept;
  [[nodiscard]] Verdict retryRefusal(const RequestState &Request,
                                     TimePoint Now) const;
  [[nodiscard]] std::optional<RetryStop> holdForRetry(Ticket Id, TimePoint Now);
  [[nodiscard]] bool mayTakeToken(RequestState &Request, TimePoint Now);
  void endTokenWait(RequestState &Request);
  void waitForBudget(Ticket Id, TimePoint Now, Commands &Output);
  void handleFailure(Ticket Id, const AttemptResult &Result, TimePoint Now,
                     Commands &Output);
  void endAttempt(RequestState &Request, const AttemptResult &Result,
                  TimePoint Now);
  void takeBackSend(Ticket Id, TimePoint Now, Commands &Output);
  [[nodiscard]] bool mayHaveBegun(const RequestState &Request,
                                  TimePoint Now) const;
  [[nodiscard]] static SuspectedRequest suspectedRequest(const WorkItem &Item);
  [[nodiscard]] static bool hasJustBegun(const RequestState &Request,
                                         TimePoint Now);
  void recordSound(RequestState &Request, TimePoint Now);
  void suspectParts(const RequestState &Request, TimePoint Now);
  void recordCrashEvidence(RequestState &Request, const AttemptResult &Result,
                           TimePoint Now);
  void recordRestart(CandidateId Id, Incarnation OldRun, TimePoint Now);

  void updateQueueSlots();
  void trackCapacity(TimePoint Now);
  void refuseUnmeetable(TimePoint Now, Commands &Output);
  void refuseLimited(TimePoint Now, Commands &Output);
  void refuseWaiting(const Verdict &Refusal, Commands &Output);
  [[nodiscard]] bool endsAfterStop(const RequestState &Request,
                                   TimePoint Now) const;
  [[nodiscard]] bool isRefusedForStop(const RequestState &Request,
                                      TimePoint Now) const;
  [[nodiscard]] static Verdict stopRefusal(const RequestState &Request);
  void refuseForStop(TimePoint Now, Commands &Output);
  [[nodiscard]] std::vector<Ticket>
  takeWaiting(const std::function<bool(Ticket)> &IsTaken);
  void refuse(Ticket Id, Verdict Refusal, RetryStop Stop, Commands &Output);
  [[nodiscard]] static RetryStop retryStop(const RequestState &Request,
                                           RetryStop StopIfTried) noexcept;
  void removeRequest(Ticket Id);

  DispatcherOptions Options;
  TrafficShare Traffic;
  Random Rng;
  Chooser Choice;
  FairQueue Queue;
  HeldRequests Held;
  RetryBudget Budget;
  Quarantine CrashHistory;
  RankOrder Ranks;
  RankForecast Forecast;
  /// By place.
  std::array<TeamDemand, RankOrder::MaxPlaces> Demands;
  /// Mean concurrency limit of the pool's endpoints when warm.
  double SlotsPerEndpoint = 1.0;
  /// Place whose next request leaves no slots free.
  std::optional<std::size_t> PlaceBelowMinimum;
  /// When advance() or another call with a time was last made.
  TimePoint LastCallAt{};
  /// Keys of the rates of each place among the loads; a team's is the hash of
  /// its name and this.
  std::array<std::uint64_t, RankOrder::MaxPlaces> RateKeys{};
  StopStage Stage = StopStage::None;
  /// When this host sends its last answers; never if it does not stop.
  TimePoint LastAnswerAt = TimePoint::max();
  SlotMap<RequestState, Ticket> Requests;
  DispatchCounts Counts;
  double ExpectedSlots = 0.0;
  /// Since when no endpoint has been usable.
  std::optional<TimePoint> UnusableSince;
  /// The hold deadline at which waiting requests were last refused; none if
  /// others have begun to wait since.
  std::optional<TimePoint> EndedHold;
  /// Since when at least one request has been waiting without interruption.
  std::optional<TimePoint> WaitingSince;
  /// When the queue is next checked for requests that can no longer meet their
  /// deadline, after the capacity has dropped or shares have not arrived.
  std::optional<TimePoint> ShedCheckAt;
  /// Chooser::earliestPermit() for which waiting requests were last checked.
  std::optional<TimePoint> CheckedPermit;
  /// Slots with which the present ones are compared to detect a drop.
  double ReferenceSlots = 0.0;
};

} // namespace coltsfoottrail

#endif
