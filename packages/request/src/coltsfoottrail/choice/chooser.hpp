/// @file
/// Chooses the endpoint for a request among those of one pool.
#ifndef COLTSFOOTTRAIL_CHOICE_CHOOSER_HPP
#define COLTSFOOTTRAIL_CHOICE_CHOOSER_HPP

#include "coltsfoottrail/choice/ejector.hpp"
#include "coltsfoottrail/choice/hints.hpp"
#include "coltsfoottrail/choice/ring.hpp"
#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/queues/fairqueue.hpp"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief What matters of a request when its endpoint is chosen.
struct ChoiceQuery {
  /// Hash of the prompt's head; zero for none.
  std::uint64_t PrefixHash = 0;
  double Cost = 1.0;
  /// Endpoint that just failed it.
  std::optional<CandidateId> Avoid = std::nullopt;
  /// It is suspected of crashing endpoints: keep it apart from other suspects.
  bool Suspect = false;
  /// It may be sent again if the endpoint fails it.
  bool Repeatable = false;
  /// Rather no endpoint than one without its prefix, if some have it.
  bool CachedOnly = false;
  /// Time left to its deadline.
  Duration TimeToDeadline = Duration::max();
  /// Requests beyond an endpoint's bound that it may wait behind there; below
  /// zero, places that it leaves to others.
  std::int32_t Overcommit = 0;
  /// Tokens of its prompt.
  std::uint32_t PromptTokens = 0;
  /// Time left until its first event is late.
  Duration FirstEventTimeLeft = Duration::max();
  /// Part of the requests waiting at an endpoint that go before this one, where
  /// it is not known how many do.
  double QueueAheadFraction = 1.0;
  /// It waits at an endpoint behind those that can still be on time.
  bool Late = false;
};

/// How an attempt ended, as far as the endpoint's health goes.
enum class AttemptOutcome : std::uint8_t {
  /// Answered whole.
  Answered,
  /// Did not answer, broke off or took too long.
  Failed,
  /// Said that it would not, as when it is full.
  Refused,
  /// Given up for a cause elsewhere.
  GivenUp
};

/// @brief An attempt that ended.
struct EndedAttempt {
  AttemptOutcome Outcome = AttemptOutcome::GivenUp;
  std::uint64_t PrefixHash = 0;
  double Cost = 1.0;
  bool Suspect = false;
  /// What sent() told.
  bool Hinted = false;
  /// From send to end.
  Duration Total{};
  bool Late = false;
  /// Whether begun() was called for it.
  bool ResponseStarted = false;
  std::uint32_t PromptTokens = 0;
};

/// @brief The endpoints of one pool and the choice among them.
///
/// A choice looks at a fixed number of endpoints however many there are, except
/// under the policies for comparison. Never passes an endpoint's share. Pure
/// and seeded; not thread-safe: stands under the lock of its shard. Times must
/// not go back.
class Chooser {
public:
  /// @brief Makes a chooser without endpoints.
  /// @param Own Data centre of this entry host.
  /// @param Wanted How to choose.
  /// @param Seed Starts the randomness.
  Chooser(DataCentreName Own, ChoicePolicy Wanted, std::uint64_t Seed);

  /// @brief Takes over another version of the pool. An endpoint that is gone is
  /// not chosen any more and its share falls to zero; it is forgotten when its
  /// last request ends.
  void configure(const Pool &Wanted);

  /// @brief Finds an endpoint by key, one that is leaving included.
  [[nodiscard]] std::optional<CandidateId> find(std::string_view Key) const;

  /// @brief Bounds the own requests in progress at an endpoint.
  void setShare(CandidateId Which, std::uint32_t Share);

  /// @brief Chooses an endpoint with room.
  /// @return Nothing when the request has to wait for one.
  [[nodiscard]] std::optional<CandidateId> choose(const ChoiceQuery &Query,
                                                  TimePoint Now);

  /// @brief Endpoints that are thought to have a prefix, and do not fail.
  [[nodiscard]] std::vector<CandidateId>
  endpointsWithPrefix(std::uint64_t PrefixHash, TimePoint Now) const;

  /// @brief Notes that a request goes to an endpoint.
  /// @return Whether the endpoint was thought to have its prefix cached.
  bool sent(CandidateId Which, const ChoiceQuery &Query, TimePoint Now);

  /// @brief Notes that a request's answer has begun.
  void responseStarted(CandidateId Which, bool Late,
                       std::uint32_t PromptTokens = 0);

  /// @brief Own requests at each endpoint that has any.
  [[nodiscard]] std::vector<EndpointLoad> ownLoads() const;
  /// @brief Takes what the other entry hosts have at all endpoints; one that is
  /// not named has nothing of theirs.
  void setOtherHostLoads(std::span<const EndpointLoad> Others, TimePoint Now);

  /// @brief Notes that a request ended there.
  void ended(CandidateId Which, const EndedAttempt &Attempt, TimePoint Now);

  /// @brief Takes a load report.
  /// @return Whether the endpoint has restarted since the last report; all that
  /// was learned of its speed is forgotten then.
  bool observe(CandidateId Which, const LoadReport &Report, TimePoint Now);

  /// @brief Takes an event of an endpoint's prefix cache.
  void observeCache(CandidateId Which, const CacheChange &Change,
                    TimePoint Now);

  /// @brief Lets endpoints whose ejection is over be tried again.
  void advance(TimePoint Now);
  /// @brief When advance() has something to do next.
  [[nodiscard]] std::optional<TimePoint> nextChange() const;

  /// @brief What is known of an endpoint; null when it was forgotten.
  [[nodiscard]] const Candidate *candidate(CandidateId Which) const noexcept {
    return Table.find(Which);
  }

  /// @brief Whether some endpoint has room.
  [[nodiscard]] bool hasRoom() const noexcept;
  /// @brief Whether some endpoint gives this entry host a share, those left out
  /// at present included.
  [[nodiscard]] bool usable() const noexcept {
    return Table.usable() > 0 || Outliers.ejected() > 0;
  }
  /// @brief Endpoints in the pool.
  [[nodiscard]] std::size_t size() const noexcept { return Table.all().size(); }
  /// @brief Endpoints left out at present.
  [[nodiscard]] std::size_t ejected() const noexcept {
    return Outliers.ejected();
  }
  /// @brief Part of the service that a cached prefix saves, as learned.
  [[nodiscard]] double cacheSaving() const noexcept { return Saving; }
  /// @brief Own requests that could be sent at once.
  [[nodiscard]] std::uint64_t freeSlots() const noexcept {
    return Table.freeSlots();
  }
  /// @brief How fast the pool serves this entry host.
  [[nodiscard]] Throughput throughput() const noexcept;

private:
  /// The best candidate so far.
  struct Best {
    std::optional<CandidateId> Which;
    double Score = 0.0;
  };

  [[nodiscard]] std::optional<CandidateId>
  pick(const EstimatedWaitPolicy &Chosen, const ChoiceQuery &Query,
       TimePoint Now);
  [[nodiscard]] std::optional<CandidateId>
  pick(const RandomPolicy &Chosen, const ChoiceQuery &Query, TimePoint Now);
  [[nodiscard]] std::optional<CandidateId>
  pick(const RoundRobinPolicy &Chosen, const ChoiceQuery &Query, TimePoint Now);
  [[nodiscard]] std::optional<CandidateId>
  pick(const LeastInFlightPolicy &Chosen, const ChoiceQuery &Query,
       TimePoint Now);

  [[nodiscard]] static double
  loadAhead(const Candidate &Endpoint, const ChoiceQuery &Query, TimePoint Now);
  [[nodiscard]] bool isFull(CandidateId Which, const ChoiceQuery &Query,
                            const EstimatedWaitPolicy &Chosen,
                            TimePoint Now) const;
  [[nodiscard]] std::optional<CandidateId>
  anyBelowBound(const EstimatedWaitPolicy &Chosen, const ChoiceQuery &Query,
                TimePoint Now) const;
  [[nodiscard]] bool eligible(CandidateId Which,
                              const ChoiceQuery &Query) const;
  [[nodiscard]] bool mayCache(const Candidate &Endpoint,
                              const EstimatedWaitPolicy &Chosen) const;
  [[nodiscard]] double secondsOf(const Candidate &Endpoint,
                                 TimePoint Now) const;
  [[nodiscard]] double timeToAnswer(const Candidate &Endpoint, double Saving,
                                    const ChoiceQuery &Query,
                                    TimePoint Now) const;
  [[nodiscard]] double failing(const Candidate &Endpoint, TimePoint Now) const;
  [[nodiscard]] double score(const Candidate &Endpoint, double Saving,
                             const EstimatedWaitPolicy &Chosen,
                             const ChoiceQuery &Query, TimePoint Now) const;
  void consider(CandidateId Which, double Saving,
                const EstimatedWaitPolicy &Chosen, const ChoiceQuery &Query,
                TimePoint Now, Best &Found) const;
  /// @return Whether some endpoint is thought to have the prefix.
  bool considerHinted(const EstimatedWaitPolicy &Chosen,
                      const ChoiceQuery &Query, TimePoint Now,
                      Best &Found) const;
  void considerRing(const EstimatedWaitPolicy &Chosen, const ChoiceQuery &Query,
                    TimePoint Now, Best &Found) const;
  void considerDrawn(Listing From, std::uint32_t Draws,
                     const EstimatedWaitPolicy &Chosen,
                     const ChoiceQuery &Query, TimePoint Now, Best &Found);
  [[nodiscard]] std::optional<CandidateId>
  probeCandidate(const ChoiceQuery &Query, TimePoint Now) const;
  [[nodiscard]] std::optional<CandidateId>
  anyEligible(const ChoiceQuery &Query) const;
  [[nodiscard]] bool lastResort(const ChoiceQuery &Query) const;

  void learn(Candidate &Endpoint, const EndedAttempt &Attempt, TimePoint Now);
  void learnAnswer(Candidate &Endpoint, double Seconds, TimePoint Now);
  void learnSaving(double Seconds, bool Hinted, TimePoint Now);
  [[nodiscard]] bool hintHolds(const PrefixHints::Hint &Hint,
                               std::uint64_t PrefixHash, TimePoint Now) const;
  void hint(CandidateId Which, std::uint64_t PrefixHash, Duration Life,
            TimePoint Now);

  ChoicePolicy Policy;
  EnginePace Pace;
  Random Draw;
  CandidateTable Table;
  Ejector Outliers;
  PrefixHints Hints;
  HashRing Ring;
  /// Recent failures of each data centre.
  std::vector<LatencyModel> Failures;
  LatencyModel Service = poolService();
  /// The same for requests whose prefix was thought cached, and for others.
  LatencyModel HintedService = poolService();
  LatencyModel OtherService = poolService();
  /// Part of the service that a cached prefix saves, as learned.
  double Saving;
  /// Own requests in progress.
  std::uint64_t OwnTotal = 0;
  std::size_t Cursor = 0;
};

} // namespace coltsfoottrail

#endif
