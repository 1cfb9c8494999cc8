/// @file
/// Competes for the coordinator lease and, while holding it, forms and repairs
/// the engine groups.
#ifndef COLTSFOOTTRAIL_FLEETHOST_GROUPCOORDINATOR_HPP
#define COLTSFOOTTRAIL_FLEETHOST_GROUPCOORDINATOR_HPP

#include "coltsfoottrail/assembly/assembler.hpp"
#include "coltsfoottrail/boundary/engines.hpp"
#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/demand/rates.hpp"
#include "coltsfoottrail/fleethost/candidacy.hpp"
#include "coltsfoottrail/fleethost/divisionreport.hpp"
#include "coltsfoottrail/fleethost/dutyterm.hpp"
#include "coltsfoottrail/fleethost/servicedivisions.hpp"
#include "coltsfoottrail/fleethost/view.hpp"
#include "coltsfoottrail/reach/tracker.hpp"
#include "coltsfoottrail/silence/silencewatch.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Intervals and limits of the group coordinator.
struct DutyTimes {
  LeaseTimes Lease;
  /// Short enough that two renewals in a row may be lost before the lease
  /// expires.
  milliseconds RenewEvery{400};
  /// Upper bound of the pause after failed renewals, which doubles with each
  /// failure.
  milliseconds LongestRenewPause{1'600};
  /// While hosts start, the lease moves with each host that joins, and the new
  /// holder learns of it only from its next call. Calls are therefore more
  /// frequent during StartupTime.
  milliseconds StartupRenewEvery{150};
  milliseconds StartupTime{1'500};
  /// Interval between planning passes when nothing has changed.
  milliseconds PlanEvery{100};
  /// Total time for a member to answer a probe; a live one answers within a few
  /// milliseconds.
  milliseconds ProbeTimeout{320};
  /// Within ProbeTimeout the probe is repeated on another connection at this
  /// interval: a connection that loses a packet answers about 200 ms late.
  milliseconds ProbeRetryEvery{80};
  /// Minimum interval between two probe rounds for the same leader.
  milliseconds ProbeAgainAfter{1'500};
  /// Interval between log lines that summarise the state of the engines.
  milliseconds SummaryEvery{5'000};
  /// No group or model load is started while this many orders are in flight.
  /// Together with PlanEvery it bounds the work that a starting fleet causes on
  /// the coordinator, which also has to renew its lease and relay the records
  /// that the orders change.
  std::size_t MaxOrdersInFlight = 96;
  /// How often a host that leaves the lease to others checks whether it is
  /// needed.
  milliseconds StandAsidePoll{100};
  /// Planning passes for one service that may fail before the lease is given
  /// up, and for how long it is left to others then. Failures that lie further
  /// apart than that do not add up.
  std::size_t MaxFailedPasses = 5;
  milliseconds StandAsideAfterFailures{10'000};
};

/// @brief Competes for the coordinator lease and drives the engine groups while
/// holding it. Belongs to one thread.
class GroupCoordinator {
public:
  /// @brief Creates a coordinator; all references must outlive it.
  /// @param Store Grants the lease.
  /// @param Engines Receives orders and probes.
  /// @param View What this host knows of the fleet.
  /// @param Silence Which endpoints' streams make progress.
  /// @param Reach Which endpoints this host reaches.
  /// @param Member Name of this run of the process; unique per run.
  /// @param Times Timing of group formation.
  /// @param Election Whether this host competes for the lease or leaves it to
  /// others.
  GroupCoordinator(FleetStore &Store, FleetEngines &Engines,
                   const FleetView &View, const StallDetector &Silence,
                   ReachabilityTracker &Reach, std::string Member,
                   AssemblyTimes Times, Candidacy Election);

  /// @brief Requests the lease and renews it until cancelled.
  [[nodiscard]] Awaitable<void> holdDuty();
  /// @copydoc Candidacy::recordCoordinator
  void recordCoordinator(bool LeaseIsValid, TimePoint Now) noexcept {
    Election.recordCoordinator(LeaseIsValid, Now);
  }
  /// @brief Records whether the store answers this host's reads.
  void recordStore(bool Answers, TimePoint Now) noexcept {
    Election.recordStore(Answers, Now);
  }
  /// @brief Plans and orders group changes until cancelled.
  [[nodiscard]] Awaitable<void> driveGroups();
  /// @brief Releases the lease.
  [[nodiscard]] Awaitable<void> leave();

  /// @brief Whether this host holds a valid lease.
  [[nodiscard]] bool holds(TimePoint Now) const noexcept {
    return Term.holds(Now);
  }
  /// @brief Whether this host was the last one to hold the lease, as far as it
  /// knows. The lease may have expired while the store is unavailable.
  [[nodiscard]] bool isLastHolder() const noexcept {
    return Term.isLastHolder();
  }
  /// @brief Renews the lease immediately; called when the store answers again.
  void renewNow() {
    if (RenewalTimer)
      RenewalTimer->cancel();
  }
  /// @brief Releases the timer. To be called before its context is destroyed.
  /// Precondition: the context is stopped.
  void close() { RenewalTimer.reset(); }
  /// @brief Records that callers have begun to send requests.
  void recordCaller() noexcept { HasCallers = true; }
  /// @brief Probes the members of the groups that a leader leads, after its
  /// streams have stalled. Does nothing unless this host holds the lease.
  void probeMembers(const std::string &Leader,
                    const boost::asio::any_io_executor &Executor);
  /// @brief Plans immediately because something has changed. Does nothing
  /// unless this host holds the lease.
  void planNow();
  /// @brief Sets a function to call when orders that change seats are sent: the
  /// endpoints' records will show their effect soon.
  void onOrders(std::function<void()> Callback) {
    OnSeatOrders = std::move(Callback);
  }
  /// @brief Sets a function to call when the lease is gained (true) or lost
  /// (false).
  void onDuty(std::function<void(bool)> Callback) {
    OnDutyChange = std::move(Callback);
  }
  /// @brief Sets how the engines are divided among the models of a service. The
  /// division follows the shares of the configuration until this is called.
  void setDivision(const EngineSettings &Chosen) { Divisions.set(Chosen); }
  /// @brief Sets a function that returns the demand over all entry hosts.
  void onDemand(std::function<DemandSum(TimePoint)> Source) {
    DemandSource = std::move(Source);
  }
  /// @brief Sets a function that returns the number of entry hosts; zero if it
  /// is unknown. The division stays as it is until this is called.
  void onHostCount(std::function<std::size_t(TimePoint)> Source) {
    HostCount = std::move(Source);
  }
  /// @brief Appends the metrics of the division while this host holds the
  /// lease.
  void appendMetrics(std::string &Output, TimePoint Now) const {
    if (holds(Now))
      DivisionReport::appendTo(Output, Divisions);
  }

private:
  struct ProbeRound;
  struct FailureCount {
    std::size_t Failures = 0;
    TimePoint LastAt{};
  };
  class TermPolicy;

  /// @return Whether another host holds the lease.
  [[nodiscard]] Awaitable<bool> hasSuccessor();
  void endTerm();
  [[nodiscard]] Awaitable<void> pauseRenewal(milliseconds Pause);
  void applyGrant(const DutyGrant &Grant, TimePoint RequestedAt);
  void planGroups(TimePoint Now, const boost::asio::any_io_executor &Executor);
  void tryPlan(const ServiceProfile &Service, TimePoint Now,
               const boost::asio::any_io_executor &Executor);
  void planService(const ServiceProfile &Service, Assembler &Groups,
                   TimePoint Now, const boost::asio::any_io_executor &Executor);
  /// Gives the lease up and leaves it to others for a while.
  void resign(TimePoint Now, const boost::asio::any_io_executor &Executor);
  [[nodiscard]] Awaitable<void> execute(SeatCommand Command,
                                        std::uint64_t Fence);
  [[nodiscard]] std::size_t freeOrders() const noexcept;
  void followDemand(AssemblyView &Snapshot, TimePoint Now);
  void logGroupNotes();
  void logSummary(const Assembler &ServiceAssembler,
                  const AssemblyView &Snapshot, TimePoint Now);
  [[nodiscard]] bool hasLiveNeighbour(const ProbeRound &Round,
                                      TimePoint Now) const;
  [[nodiscard]] Awaitable<bool> isAlive(EngineAddress Address,
                                        EndpointName Name);
  [[nodiscard]] Awaitable<void>
  probeAfter(EngineAddress Address, EndpointName Name, milliseconds After);
  [[nodiscard]] Awaitable<void> probeMissing(ServiceName Service,
                                             MemberProbe Question);
  [[nodiscard]] Awaitable<void> readStatus(ServiceName Service,
                                           MemberProbe Read);
  [[nodiscard]] Awaitable<void> probeMember(std::shared_ptr<ProbeRound> Round,
                                            std::size_t Index);
  [[nodiscard]] bool isCredible(const ProbeRound &Round, TimePoint Now) const;
  void finishRound(const ProbeRound &Round);

  FleetStore &Store;
  FleetEngines &Engines;
  const FleetView &View;
  const StallDetector &Silence;
  ReachabilityTracker &Reach;
  std::string Self;
  DutyTimes Timing;
  /// One per service that has engines.
  std::map<ServiceName, Assembler> Assemblers;
  AssemblyTimes Times;
  Candidacy Election;
  DutyTerm Term{Timing.Lease};
  bool Leaving = false;
  /// Failed planning passes by service.
  std::map<ServiceName, FailureCount> FailedPasses;
  TimePoint StandsAsideUntil{};
  std::size_t OrdersInFlight = 0;
  TimePoint SummaryDue{};
  bool HasCallers = false;
  /// By leader, the earliest time of its next probe round.
  std::map<std::string, TimePoint> NextProbeAt;
  std::function<void(bool)> OnDutyChange;
  std::function<void()> OnSeatOrders;
  ServiceDivisions Divisions;
  DivisionReport DivisionLog;
  std::function<DemandSum(TimePoint)> DemandSource;
  std::function<std::size_t(TimePoint)> HostCount;
  std::optional<boost::asio::any_io_executor> Executor;
  /// Timer of the pause before the next renewal.
  std::optional<boost::asio::steady_timer> RenewalTimer;
};

} // namespace coltsfoottrail

#endif
