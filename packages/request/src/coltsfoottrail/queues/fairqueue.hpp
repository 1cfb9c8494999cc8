/// @file
/// Weighted fair queue of the requests that wait for an endpoint.
#ifndef COLTSFOOTTRAIL_QUEUES_FAIRQUEUE_HPP
#define COLTSFOOTTRAIL_QUEUES_FAIRQUEUE_HPP

#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/queues/fwd.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief Weight and limit of a team at one entry host.
struct TeamShare {
  /// Share of a contended pool, relative to the other teams; above zero.
  double Weight = 1.0;
  /// Most requests of the team in progress at once; above zero.
  std::uint32_t MaxInFlight = 1024;
};

/// @brief Bounds of a queue.
struct QueueLimits {
  std::size_t MaxWaiting = 4096;
  std::size_t MaxBytes = std::size_t{16} << 20U;
  /// How many requests of higher priority of its team may overtake a request of
  /// lower priority before it goes first.
  std::uint32_t PassOverLimit = 8;
  /// Slots that teams above their share must leave free, for each slot that the
  /// other teams use within theirs.
  double ReservedSlotRatio = 1.0;
  /// Multiple of its share of the slots from which a team counts as above it.
  double ShareSlack = 1.5;
  /// Upper bound of the slots left free in this way, as a fraction of all
  /// slots.
  double MaxReservedFraction = 0.5;
};

/// @brief A waiting request.
struct QueueItem {
  Ticket Id;
  Priority Urgency = Priority::Normal;
  /// If it starts later than this, it cannot meet its deadline.
  TimePoint LatestStart;
  std::size_t Bytes = 0;
  double Cost = 1.0;
};

/// @brief Rate at which the endpoints serve the queue.
struct Throughput {
  /// Requests that the endpoints can serve at once.
  double Slots = 0.0;
  /// Mean service time for one unit of cost; zero when unknown.
  double SecondsPerCost = 0.0;

  /// @brief Whether a wait can be estimated from it.
  [[nodiscard]] bool known() const noexcept {
    return Slots > 0.0 && SecondsPerCost > 0.0;
  }
};

/// @brief Queue with levels of precedence, weighted fair shares over the teams
/// of a level (start-time fair queueing), priorities inside a team, and bounds
/// on count and bytes.
///
/// Requests of a lower level go before those of all higher levels. A team has a
/// number of its own on each level where it has requests; its limit holds for
/// all of them together.
///
/// An operation costs O(log teams + log waiting) unless it says otherwise.
/// Teams are never removed; their number is bounded by what the operators
/// declare. Not thread-safe: guarded by the lock of its shard.
class FairQueue {
public:
  /// @brief Makes an empty queue.
  explicit FairQueue(QueueLimits Bounds);

  /// @brief Finds or adds a team.
  /// @param Level Level of its requests; zero goes first. Levels are never
  /// removed.
  [[nodiscard]] TeamId team(const TeamName &Name, std::size_t Level = 0);

  /// @brief Sets the weight and the limit of a team, on all levels.
  /// @param Id From team() of this queue.
  /// @param Share Weight and limit, both above zero.
  void setTeam(TeamId Id, TeamShare Share);

  /// @brief Sets how many requests the endpoints can serve at once, and how
  /// many of these slots are free. Before the first call no slot is reserved.
  void setSlots(double Total, double Free) noexcept {
    Slots = Total;
    FreeSlots = Free;
  }

  /// @brief Whether a request would be refused because the queue has no room.
  /// @param Id Its team.
  /// @param Bytes Its size.
  /// @return Overloaded when the queue is full, TeamOverLimit when the team
  /// uses up the part of it that it may fill, nothing when there is room.
  [[nodiscard]] std::optional<Reason> refusal(TeamId Id,
                                              std::size_t Bytes) const;

  /// @brief Estimates how long a request that joins now would wait.
  /// @param Id Its team.
  /// @param Urgency Its priority.
  /// @param Cost Its amount of work.
  /// @param Speed A known() throughput.
  [[nodiscard]] Duration estimatedWait(TeamId Id, Priority Urgency, double Cost,
                                       Throughput Speed) const;

  /// @brief Adds a request. Precondition: refusal() returned nothing.
  void push(TeamId Id, const QueueItem &Item);

  /// @brief The request that pop() would return.
  [[nodiscard]] std::optional<Ticket> peek();

  /// @brief The request of a level that would be next without those of the
  /// other levels.
  [[nodiscard]] std::optional<Ticket> peek(std::size_t Level);

  /// @brief Number of levels.
  [[nodiscard]] std::size_t levels() const noexcept { return Levels.size(); }

  /// @brief Requests that wait on a level or before it.
  [[nodiscard]] std::size_t waitingUpTo(std::size_t Level) const noexcept;

  /// @brief Removes and returns the next request of the teams that are below
  /// their limit, and counts it as in progress until requestEnded().
  [[nodiscard]] std::optional<Ticket> pop();

  /// @brief The same for the request that peek() returns for a level.
  [[nodiscard]] std::optional<Ticket> pop(std::size_t Level);

  /// @brief Sets whether requests that wait on a level hold up new ones of the
  /// levels behind it, as they do at first.
  void setBlocking(std::size_t Level, bool Blocks);

  /// @brief Whether a request of the team may start without waiting: no request
  /// that could start is waiting on its level or on a blocking one before it,
  /// and the team is below its limit.
  [[nodiscard]] bool mayBypass(TeamId Id);

  /// @brief Charges a request that starts without waiting and counts it as in
  /// progress until requestEnded().
  void bypass(TeamId Id, double Cost);

  /// @brief Ends a request that pop() or bypass() counted as in progress.
  void requestEnded(TeamId Id);

  /// @brief Removes a waiting request.
  /// @return Whether it was waiting.
  bool remove(Ticket Id);

  /// @brief Removes and returns one request whose latest start has passed.
  [[nodiscard]] std::optional<Ticket> popExpired(TimePoint Now);

  /// @brief Finds the requests that cannot start in time by the estimated wait,
  /// after the endpoints have become slower or fewer. O(waiting).
  /// @param Speed A known() throughput.
  [[nodiscard]] std::vector<Ticket> unmeetable(Throughput Speed,
                                               TimePoint Now) const;

  /// @brief All waiting requests, by latest start.
  [[nodiscard]] std::vector<Ticket> all() const;

  /// @brief When popExpired() next returns a request.
  [[nodiscard]] std::optional<TimePoint> earliestExpiry() const;

  [[nodiscard]] std::size_t size() const noexcept { return Items.size(); }
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes; }
  /// @brief Requests of a team in progress.
  [[nodiscard]] std::uint32_t inFlight(TeamId Id) const;

private:
  static constexpr std::size_t PriorityCount = 3;

  /// Which of the lists of teams that may start a request contains a team.
  enum class ReadyList : std::uint8_t { None, WithinShare, AboveShare };
  using ReadyTeams = std::set<std::pair<double, TeamId>>;

  struct PriorityQueue {
    /// By order of arrival.
    std::map<std::uint64_t, Ticket> ByArrival;
    double Cost = 0.0;
    std::uint32_t PassedOver = 0;
  };
  /// The teams that have requests on one level.
  struct Level {
    /// Teams that have waiting requests and are below their limit, by virtual
    /// start: those within their share of the slots, and those above it.
    ReadyTeams WithinShare;
    ReadyTeams AboveShare;
    bool Blocks = true;
    double VirtualTime = 0.0;
    /// Sum of the weights of the teams that have waiting requests.
    double WaitingWeight = 0.0;
    double WaitingCost = 0.0;
    std::size_t Waiting = 0;
    /// Sum of the weights of the teams that have requests waiting or in
    /// progress.
    double ActiveWeight = 0.0;
    std::size_t ActiveCount = 0;
    /// Requests in progress that are within their team's share, over all teams.
    double SlotsWithinShare = 0.0;
  };
  /// A team on one level.
  struct Team {
    TeamShare Share;
    std::size_t LevelIndex = 0;
    /// Index in ByAccount.
    std::size_t Account = 0;
    /// Virtual time at which its next request starts.
    double Start = 0.0;
    /// Virtual time at which its last request ends.
    double Finish = 0.0;
    std::array<PriorityQueue, PriorityCount> Priorities;
    std::size_t Waiting = 0;
    std::size_t Bytes = 0;
    std::uint32_t InFlight = 0;
    /// Requests in progress that are within its share.
    double SlotsWithinShare = 0.0;
    bool Active = false;
    ReadyList InList = ReadyList::None;
  };
  struct Waiting {
    TeamId Owner;
    QueueItem Item;
    std::uint64_t Sequence = 0;
  };

  [[nodiscard]] Team &teamState(TeamId Id);
  [[nodiscard]] const Team &teamState(TeamId Id) const;
  [[nodiscard]] static PriorityQueue &priorityQueue(Team &Owner,
                                                    Priority Urgency);
  [[nodiscard]] std::size_t nextPriority(const Team &Owner) const;
  static void countPassedOver(Team &Owner, std::size_t Chosen);
  [[nodiscard]] double waitingWeightWith(const Team &JoiningTeam) const;
  [[nodiscard]] bool fits(std::size_t Used, std::size_t Total,
                          std::size_t Added, std::size_t Max,
                          double ShareFraction) const;
  void charge(Team &Owner, double Cost);
  void removeWaiting(std::unordered_map<Ticket, Waiting>::iterator Entry);
  [[nodiscard]] bool isAboveShare(const Team &Owner) const;
  [[nodiscard]] bool mustYield(const Team &Owner) const;
  [[nodiscard]] double fairSlots(const Team &Owner) const;
  [[nodiscard]] std::optional<TeamId> nextTeam(std::size_t LevelIndex);
  [[nodiscard]] std::optional<std::size_t> nextLevel();
  [[nodiscard]] bool isHeldUp(std::size_t LevelIndex);
  [[nodiscard]] Level &levelOf(const Team &Owner) {
    return Levels[Owner.LevelIndex];
  }
  [[nodiscard]] const Level &levelOf(const Team &Owner) const {
    return Levels[Owner.LevelIndex];
  }
  [[nodiscard]] std::uint32_t accountInFlight(const Team &Owner) const;
  [[nodiscard]] bool isBelowLimit(const Team &Owner) const;
  void updateReadyLists(const Team &Owner);
  [[nodiscard]] double costBefore(std::size_t LevelIndex) const;
  void updateActive(Team &Owner);
  void updateSlotsWithinShare(Team &Owner);
  void addToReadyList(TeamId Id);
  void removeFromReadyList(TeamId Id);

  QueueLimits Limits;
  std::vector<Team> Teams;
  /// Accounts by name, and each account's team on each of its levels.
  std::unordered_map<TeamName, std::size_t> ByName;
  std::vector<std::vector<TeamId>> ByAccount;
  std::unordered_map<Ticket, Waiting> Items;
  /// By latest start, then by order of arrival.
  std::map<std::pair<TimePoint, std::uint64_t>, Ticket> ByLatestStart;
  std::vector<Level> Levels = std::vector<Level>(1);
  double Slots = 0.0;
  double FreeSlots = 0.0;
  std::size_t Bytes = 0;
  std::uint64_t NextSequence = 0;
};

} // namespace coltsfoottrail

#endif
