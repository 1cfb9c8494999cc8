/// @file
/// Chooses the endpoint for a request among those of one pool.
#ifndef COLTSFOOTTRAIL_CHOICE_CHOOSER_HPP
#define COLTSFOOTTRAIL_CHOICE_CHOOSER_HPP

#include "coltsfoottrail/availability/availability.hpp"
#include "coltsfoottrail/choice/ejector.hpp"
#include "coltsfoottrail/choice/hints.hpp"
#include "coltsfoottrail/choice/ring.hpp"
#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/queues/fairqueue.hpp"
#include "coltsfoottrail/ratelimit/limiter.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Properties of a request that its choice of endpoint depends on.
struct ChoiceQuery {
  /// Hash of the prompt's prefix; zero for none.
  std::uint64_t PrefixHash = 0;
  double Cost = 1.0;
  /// Endpoint to avoid because it has just failed the request.
  std::optional<CandidateId> Avoid = std::nullopt;
  /// The request is suspected of crashing endpoints and must not share one with
  /// another suspect.
  bool Suspect = false;
  /// The request may be sent again if the endpoint fails.
  bool Repeatable = false;
  /// If any endpoint has the prefix cached, choose one of those or none.
  bool CachedOnly = false;
  /// Time left until the request's deadline.
  Duration TimeToDeadline = Duration::max();
  /// Requests above an endpoint's bound that it may queue behind there; if
  /// negative, slots below the bound to leave free for others.
  std::int32_t Overcommit = 0;
  /// Number of tokens in its prompt.
  std::uint32_t PromptTokens = 0;
  /// Time left until the deadline of its first event.
  Duration FirstEventTimeLeft = Duration::max();
  /// Assumed fraction of the requests waiting at an endpoint that are served
  /// before this one, if their number is unknown.
  double QueueAheadFraction = 1.0;
  /// The request can no longer be on time and queues at an endpoint behind
  /// those that can.
  bool Late = false;
};

/// Outcome of an attempt, for the endpoint's health.
enum class AttemptOutcome : std::uint8_t {
  /// Answered completely.
  Answered,
  /// No answer, incomplete answer or time-out.
  Failed,
  /// Refused by the endpoint, for example because it is full.
  Refused,
  /// Given up for a reason other than the endpoint.
  GivenUp,
  /// Says nothing of the endpoint's health: it asked for a back-off, or the
  /// request was not sent after all.
  Deferred
};

/// @brief An attempt that ended.
struct EndedAttempt {
  AttemptOutcome Outcome = AttemptOutcome::GivenUp;
  std::uint64_t PrefixHash = 0;
  double Cost = 1.0;
  bool Suspect = false;
  /// Return value of sent().
  bool Hinted = false;
  /// From send to end.
  Duration Total{};
  bool Late = false;
  /// Whether responseStarted() was called for it.
  bool ResponseStarted = false;
  std::uint32_t PromptTokens = 0;
};

/// @brief The endpoints of one pool and the choice among them.
///
/// A choice examines a fixed number of endpoints regardless of the size of the
/// pool, except under the policies for comparison. Never exceeds an endpoint's
/// share. Pure and seeded. Not thread-safe: callers hold the lock of its shard.
/// Times must not go back.
class Chooser {
public:
  /// @brief Makes a chooser without endpoints.
  /// @param OwnDataCentre Data centre of this entry host.
  /// @param InitialPolicy How to choose.
  /// @param Seed Seed of the random numbers.
  Chooser(DataCentreName OwnDataCentre, ChoicePolicy InitialPolicy,
          std::uint64_t Seed);

  /// @brief Applies a new version of the pool. A removed endpoint is no longer
  /// chosen and its share becomes zero; it is erased when its last request
  /// ends.
  void configure(const Pool &NewPool);

  /// @brief Finds an endpoint by key; also one that was removed and not yet
  /// erased.
  [[nodiscard]] std::optional<CandidateId> find(std::string_view Key) const;

  /// @brief Limits this host's requests in progress at an endpoint.
  void setShare(CandidateId Id, std::uint32_t Share);

  /// @brief Chooses an endpoint with a free slot.
  /// @return Nothing if the request has to wait for one.
  [[nodiscard]] std::optional<CandidateId> choose(const ChoiceQuery &Query,
                                                  TimePoint Now);
  /// @brief Why the endpoint that choose() returned last is in another data
  /// centre.
  [[nodiscard]] AwayReason away() const noexcept { return Away; }

  /// @brief Endpoints that probably have a prefix cached and are not failing.
  [[nodiscard]] std::vector<CandidateId>
  endpointsWithPrefix(std::uint64_t PrefixHash, TimePoint Now) const;

  /// @brief Records that a request is sent to an endpoint.
  /// @return Whether a hint says that the endpoint has its prefix cached.
  bool sent(CandidateId Id, const ChoiceQuery &Query, TimePoint Now);

  /// @brief Records that the response to a request has started.
  void responseStarted(CandidateId Id, bool Late,
                       std::uint32_t PromptTokens = 0);

  /// @brief This host's requests at each endpoint where it has any.
  [[nodiscard]] std::vector<EndpointLoad> ownLoads() const;
  /// @brief Sets the other entry hosts' requests at all endpoints; an endpoint
  /// that is not listed has none of theirs.
  void setOtherHostLoads(std::span<const EndpointLoad> Others, TimePoint Now);

  /// @brief Records that a request at the endpoint ended.
  void ended(CandidateId Id, const EndedAttempt &Attempt, TimePoint Now);

  /// @brief Applies a load report.
  /// @return Whether the endpoint has restarted since the last report; its
  /// health and service times are reset in that case.
  bool observe(CandidateId Id, const LoadReport &Report, TimePoint Now);

  /// @brief Applies an event of an endpoint's prefix cache.
  void observeCache(CandidateId Id, const CacheChange &Change, TimePoint Now);

  /// @brief Sets the rate limits of the endpoints, which others may share.
  void limitRates(std::shared_ptr<EndpointRateLimiter> Limits) {
    RateLimits = std::move(Limits);
  }
  /// @brief Sets what the endpoints say of taking requests, which others may
  /// share.
  void observeAvailability(std::shared_ptr<EndpointAvailability> Shared) {
    Availability = std::move(Shared);
  }
  /// @brief Makes endpoints available, or not, as their rate limits and
  /// back-offs allow. To be called before a choice.
  /// @param Share This host's part of each rate limit.
  /// @param Now The time.
  void updateLimits(const RateShare &Share, TimePoint Now);
  /// @brief Whether each endpoint with a share that is not ejected has a rate
  /// limit or backs off, and there is one.
  [[nodiscard]] bool allLimited() const noexcept;
  /// @brief Whether each endpoint with a share that is not ejected backs off,
  /// and there is one.
  [[nodiscard]] bool allBackOff() const noexcept;
  /// @brief When rate limits and back-offs first allow a request; empty if an
  /// endpoint has neither, or allows one now.
  [[nodiscard]] std::optional<TimePoint> earliestPermit() const noexcept;
  /// @brief How long after earliestPermit() back-offs allow a further request.
  /// @param Ahead Requests that go before it.
  [[nodiscard]] Duration resumeDelay(std::size_t Ahead) const;

  /// @brief Makes endpoints whose ejection has ended available for probes.
  void advance(TimePoint Now);
  /// @brief Time of the next call to advance() that has an effect.
  [[nodiscard]] std::optional<TimePoint> nextChange() const;

  /// @brief State of an endpoint; null if it was erased.
  [[nodiscard]] const Candidate *candidate(CandidateId Id) const noexcept {
    return Table.find(Id);
  }

  /// @brief Whether any endpoint has a free slot.
  [[nodiscard]] bool hasRoom() const noexcept;
  /// @brief Whether another endpoint than one of the pool has a free slot.
  [[nodiscard]] bool hasRoomBeside(CandidateId Id) const noexcept;
  /// @brief Whether this entry host has a share of any endpoint, including
  /// those that are ejected or back off.
  [[nodiscard]] bool usable() const noexcept {
    return Table.usable() > 0 || Ejections.ejected() > 0 || backsOff() > 0;
  }
  /// @brief Endpoints in the pool.
  [[nodiscard]] std::size_t size() const noexcept { return Table.all().size(); }
  /// @brief Number of ejected endpoints.
  [[nodiscard]] std::size_t ejected() const noexcept {
    return Ejections.ejected();
  }
  /// @brief Learned fraction of the service time that a cached prefix saves.
  [[nodiscard]] double cacheSaving() const noexcept { return Saving; }
  /// @brief Number of requests that this host could send at once.
  [[nodiscard]] std::uint64_t freeSlots() const noexcept {
    return Table.freeSlots();
  }
  /// @brief Slots that requests which can be on time may use over all
  /// endpoints.
  /// @param Reserved Slots of each endpoint that they leave free.
  [[nodiscard]] double room(std::int32_t Reserved, TimePoint Now) const;
  /// @brief Throughput of the pool for this entry host.
  [[nodiscard]] Throughput throughput() const noexcept;

private:
  /// The candidate with the lowest score so far.
  struct Best {
    std::optional<CandidateId> Id;
    double Score = 0.0;
  };

  [[nodiscard]] std::optional<CandidateId>
  pick(const EstimatedWaitPolicy &Settings, const ChoiceQuery &Query,
       TimePoint Now);
  [[nodiscard]] std::optional<CandidateId>
  pick(const RandomPolicy &Settings, const ChoiceQuery &Query, TimePoint Now);
  [[nodiscard]] std::optional<CandidateId>
  pick(const RoundRobinPolicy &Settings, const ChoiceQuery &Query,
       TimePoint Now);
  [[nodiscard]] std::optional<CandidateId>
  pick(const LeastInFlightPolicy &Settings, const ChoiceQuery &Query,
       TimePoint Now);

  [[nodiscard]] static double requestsAhead(const Candidate &Endpoint,
                                            const ChoiceQuery &Query,
                                            TimePoint Now);
  [[nodiscard]] bool isFull(CandidateId Id, const ChoiceQuery &Query,
                            const EstimatedWaitPolicy &Settings,
                            TimePoint Now) const;
  [[nodiscard]] std::optional<CandidateId>
  anyBelowBound(const EstimatedWaitPolicy &Settings, const ChoiceQuery &Query,
                TimePoint Now, std::uint64_t Start) const;
  [[nodiscard]] bool isAtBound(CandidateId Id, const ChoiceQuery &Query,
                               TimePoint Now) const;
  [[nodiscard]] bool isHomeFirst(const EstimatedWaitPolicy &Settings,
                                 const ChoiceQuery &Query) const;
  [[nodiscard]] double idleTimeToAnswer(const ChoiceQuery &Query) const;
  [[nodiscard]] double loadFraction(CandidateId Id, const ChoiceQuery &Query,
                                    TimePoint Now) const;
  [[nodiscard]] HomeFit considerHome(const EstimatedWaitPolicy &Settings,
                                     double Bound, const ChoiceQuery &Query,
                                     TimePoint Now, Best &BestSoFar);
  [[nodiscard]] std::optional<CandidateId>
  pickHomeFirst(const EstimatedWaitPolicy &Settings, const ChoiceQuery &Query,
                TimePoint Now);
  [[nodiscard]] std::optional<CandidateId>
  anyOther(const EstimatedWaitPolicy &Settings, const ChoiceQuery &Query,
           TimePoint Now, std::uint64_t Start) const;
  [[nodiscard]] AwayReason awayReason(CandidateId Chosen) const;
  [[nodiscard]] bool eligible(CandidateId Id, const ChoiceQuery &Query) const;
  [[nodiscard]] bool
  isBelowCacheLoadLimit(const Candidate &Endpoint,
                        const EstimatedWaitPolicy &Settings) const;
  [[nodiscard]] double serviceSeconds(const Candidate &Endpoint,
                                      TimePoint Now) const;
  [[nodiscard]] double timeToAnswer(const Candidate &Endpoint, double Saving,
                                    const ChoiceQuery &Query,
                                    TimePoint Now) const;
  [[nodiscard]] double failureRate(const Candidate &Endpoint,
                                   TimePoint Now) const;
  [[nodiscard]] double score(const Candidate &Endpoint, double Saving,
                             const EstimatedWaitPolicy &Settings,
                             const ChoiceQuery &Query, TimePoint Now) const;
  void consider(CandidateId Id, double Saving,
                const EstimatedWaitPolicy &Settings, const ChoiceQuery &Query,
                TimePoint Now, Best &BestSoFar) const;
  /// @return Whether a valid hint says that an endpoint has the prefix.
  bool considerHinted(const EstimatedWaitPolicy &Settings,
                      const ChoiceQuery &Query, TimePoint Now,
                      Best &BestSoFar) const;
  void considerRing(const EstimatedWaitPolicy &Settings,
                    const ChoiceQuery &Query, TimePoint Now,
                    Best &BestSoFar) const;
  void considerSampled(Listing List, std::uint32_t SampleCount,
                       const EstimatedWaitPolicy &Settings,
                       const ChoiceQuery &Query, TimePoint Now,
                       Best &BestSoFar);
  [[nodiscard]] std::optional<CandidateId>
  probeCandidate(const ChoiceQuery &Query, TimePoint Now) const;
  [[nodiscard]] std::optional<CandidateId>
  anyEligible(const ChoiceQuery &Query) const;
  [[nodiscard]] bool isOnlyEndpoint(const ChoiceQuery &Query) const;

  void learnFrom(Candidate &Endpoint, const EndedAttempt &Attempt,
                 TimePoint Now);
  void learnAnswer(Candidate &Endpoint, double Seconds, TimePoint Now);
  void learnSaving(double Seconds, bool Hinted, TimePoint Now);
  [[nodiscard]] bool isHintValid(const PrefixHints::Hint &Hint,
                                 std::uint64_t PrefixHash, TimePoint Now) const;
  void addHint(CandidateId Id, std::uint64_t PrefixHash, Duration Life,
               TimePoint Now);
  [[nodiscard]] std::uint64_t limitsVersion() const noexcept;
  [[nodiscard]] bool isLimited(const Candidate &Endpoint) const;
  [[nodiscard]] std::size_t backsOff() const noexcept;
  void findLimited();
  void applyLimits(CandidateId Id, TimePoint Now);
  void countWithheld() const;

  ChoicePolicy Policy;
  std::shared_ptr<EndpointRateLimiter> RateLimits;
  std::shared_ptr<EndpointAvailability> Availability;
  /// limitsVersion() for which Limited was found; empty if it has to be found
  /// anew.
  std::optional<std::uint64_t> LimitsVersion;
  /// Endpoints with a rate limit, a back-off, or that leave.
  std::vector<CandidateId> Limited;
  RateShare LimitShare;
  EnginePace Pace;
  Random Rng;
  CandidateTable Table;
  Ejector Ejections;
  PrefixHints Hints;
  HashRing Ring;
  /// Recent failure rate of each data centre.
  std::vector<LatencyModel> Failures;
  LatencyModel Service = poolService();
  /// Service times of requests with a cache hint, and of those without.
  LatencyModel HintedService = poolService();
  LatencyModel OtherService = poolService();
  /// Learned fraction of the service time that a cached prefix saves.
  double Saving;
  /// This host's requests in progress.
  std::uint64_t OwnTotal = 0;
  std::size_t Cursor = 0;
  AwayReason Away = AwayReason::None;
  /// Why the last request to which the rule of its own data centre applied was
  /// not held there.
  AwayReason HomeMissed = AwayReason::None;
};

} // namespace coltsfoottrail

#endif
