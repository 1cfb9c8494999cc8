/// @file
/// Requests that wait for an endpoint, in the order of weighted fair shares.
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

/// @brief What a team is entitled to at one entry host.
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
  /// How often a request of a lower priority is passed over by higher ones of
  /// its team before it goes first.
  std::uint32_t PassOverLimit = 8;
  /// Places that teams above their share leave free, for each place that the
  /// others take within theirs.
  double ReservedSlotRatio = 1.0;
  /// Times its share of the places from which a team counts as above it.
  double ShareSlack = 1.5;
  /// Most places that are left free so, as a part of all.
  double MaxReservedFraction = 0.5;
};

/// @brief A request that waits.
struct QueueItem {
  Ticket Id;
  Priority Urgency = Priority::Normal;
  /// Started later than this, it cannot make its deadline.
  TimePoint LatestStart;
  std::size_t Bytes = 0;
  double Cost = 1.0;
};

/// @brief How fast the endpoints take work off the queue.
struct Throughput {
  /// Requests that the endpoints bear at once.
  double Slots = 0.0;
  /// Mean time of service for one unit of cost; zero when not known.
  double SecondsPerCost = 0.0;

  /// @brief Tells whether a wait can be estimated from it.
  [[nodiscard]] bool known() const noexcept {
    return Slots > 0.0 && SecondsPerCost > 0.0;
  }
};

/// @brief Queue with weighted fair shares over teams (start-time fair
/// queueing), priorities inside a team, and bounds on count and bytes.
///
/// An operation costs O(log teams + log waiting). Teams are never forgotten;
/// there are as many as the operators declared. Not thread-safe: stands under
/// the lock of its shard.
class FairQueue {
public:
  /// @brief Makes an empty queue.
  explicit FairQueue(QueueLimits Bounds);

  /// @brief Finds or makes a team.
  [[nodiscard]] TeamId team(const TeamName &Name);

  /// @brief Sets what a team is entitled to.
  /// @param Which From team() of this queue.
  /// @param Wanted Weight and limit, both above zero.
  void setTeam(TeamId Which, TeamShare Wanted);

  /// @brief Tells how many requests the endpoints bear at once, and how many of
  /// these places are free. Until it is told, no place is kept.
  void setSlots(double Count, double Free) noexcept {
    Places = Count;
    FreePlaces = Free;
  }

  /// @brief Tells whether a request would be refused for want of room.
  /// @param Which Its team.
  /// @param Bytes Its size.
  /// @return Overloaded when the queue is full, TeamOverLimit when the team
  /// fills the part of it that it may, nothing when there is room.
  [[nodiscard]] std::optional<Reason> refusal(TeamId Which,
                                              std::size_t Bytes) const;

  /// @brief Estimates when a request that joins now would start.
  /// @param Which Its team.
  /// @param Urgency Its priority.
  /// @param Cost Its work.
  /// @param Speed A known() throughput.
  [[nodiscard]] Duration estimatedWait(TeamId Which, Priority Urgency,
                                       double Cost, Throughput Speed) const;

  /// @brief Adds a request. Precondition: refusal() gave nothing.
  void push(TeamId Which, const QueueItem &Item);

  /// @brief Tells which request pop() would give.
  [[nodiscard]] std::optional<Ticket> peek();

  /// @brief Takes the next request of the teams that are below their limit;
  /// counts it as in progress until ended().
  [[nodiscard]] std::optional<Ticket> pop();

  /// @brief Tells whether a request of the team may start without waiting:
  /// nothing that could start waits, and the team is below its limit.
  [[nodiscard]] bool mayBypass(TeamId Which);

  /// @brief Charges a request that starts without waiting and counts it as in
  /// progress until ended().
  void bypass(TeamId Which, double Cost);

  /// @brief Ends a request that pop() or pass() counted.
  void requestEnded(TeamId Which);

  /// @brief Takes out a request that waits.
  /// @return Whether it waited.
  bool remove(Ticket Which);

  /// @brief Takes out one request whose latest start has passed.
  [[nodiscard]] std::optional<Ticket> popExpired(TimePoint Now);

  /// @brief Finds the requests that by the estimated wait cannot start in time,
  /// after the endpoints have become slower or fewer. O(waiting).
  /// @param Speed A known() throughput.
  [[nodiscard]] std::vector<Ticket> unmeetable(Throughput Speed,
                                               TimePoint Now) const;

  /// @brief All that wait, by latest start.
  [[nodiscard]] std::vector<Ticket> all() const;

  /// @brief When popExpired() has something next.
  [[nodiscard]] std::optional<TimePoint> earliestExpiry() const;

  [[nodiscard]] std::size_t size() const noexcept { return Items.size(); }
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes; }
  /// @brief Requests of a team in progress.
  [[nodiscard]] std::uint32_t inFlight(TeamId Which) const;

private:
  static constexpr std::size_t Classes = 3;

  /// Which list of teams that could start a request one stands in.
  enum class Standing : std::uint8_t { Out, Within, Above };
  using ReadyTeams = std::set<std::pair<double, TeamId>>;

  struct Line {
    /// By order of arrival.
    std::map<std::uint64_t, Ticket> Order;
    double Cost = 0.0;
    std::uint32_t PassedOver = 0;
  };
  struct Team {
    TeamShare Share;
    /// Virtual time at which its next request starts.
    double Start = 0.0;
    /// Virtual time at which its last request ends.
    double Finish = 0.0;
    std::array<Line, Classes> Lines;
    std::size_t Waiting = 0;
    std::size_t Bytes = 0;
    std::uint32_t InFlight = 0;
    /// Those of them within its share.
    double InShare = 0.0;
    bool Active = false;
    Standing Stands = Standing::Out;
  };
  struct Waiting {
    TeamId Owner;
    QueueItem Item;
    std::uint64_t Sequence = 0;
  };

  [[nodiscard]] Team &at(TeamId Which);
  [[nodiscard]] const Team &at(TeamId Which) const;
  [[nodiscard]] static Line &lineOf(Team &Owner, Priority Urgency);
  [[nodiscard]] std::size_t nextClass(const Team &Owner) const;
  static void passOver(Team &Owner, std::size_t Chosen);
  [[nodiscard]] double weightWaiting(const Team &Joining) const;
  [[nodiscard]] bool fits(std::size_t Held, std::size_t Total, std::size_t More,
                          std::size_t Max, double Part) const;
  void charge(Team &Owner, double Cost);
  void takeOut(std::unordered_map<Ticket, Waiting>::iterator Entry);
  [[nodiscard]] bool isAbove(const Team &Owner) const;
  [[nodiscard]] bool mustLeave(const Team &Owner) const;
  [[nodiscard]] double fairPlaces(const Team &Owner) const;
  [[nodiscard]] std::optional<TeamId> nextTeam();
  void setActive(Team &Owner);
  void countInShare(Team &Owner);
  void place(TeamId Which);
  void unplace(TeamId Which);

  QueueLimits Limits;
  std::vector<Team> Teams;
  std::unordered_map<TeamName, TeamId> ByName;
  std::unordered_map<Ticket, Waiting> Items;
  /// By latest start, then by order of arrival.
  std::map<std::pair<TimePoint, std::uint64_t>, Ticket> ByLatestStart;
  /// Teams that wait and are below their limit, by virtual start: those within
  /// their share of the places, and those above it.
  ReadyTeams Within;
  ReadyTeams Above;
  double VirtualTime = 0.0;
  /// Weights of the teams that wait.
  double WaitingWeight = 0.0;
  double WaitingCost = 0.0;
  /// Weights of the teams that wait or have requests in progress.
  double ActiveWeight = 0.0;
  std::size_t ActiveCount = 0;
  double Places = 0.0;
  double FreePlaces = 0.0;
  /// Requests in progress within their team's share.
  double InShare = 0.0;
  std::size_t Bytes = 0;
  std::uint64_t NextSequence = 0;
};

} // namespace coltsfoottrail

#endif
