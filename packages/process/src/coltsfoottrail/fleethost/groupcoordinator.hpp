/// @file
/// Holds the duty to drive the groups and carries the assembly's orders out.
#ifndef COLTSFOOTTRAIL_FLEETHOST_GROUPCOORDINATOR_HPP
#define COLTSFOOTTRAIL_FLEETHOST_GROUPCOORDINATOR_HPP

#include "coltsfoottrail/assembly/assembler.hpp"
#include "coltsfoottrail/boundary/engines.hpp"
#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/fleethost/candidacy.hpp"
#include "coltsfoottrail/fleethost/dutyterm.hpp"
#include "coltsfoottrail/fleethost/view.hpp"
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

/// @brief Times of the duty.
struct DutyTimes {
  LeaseTimes Lease;
  /// A renewal this often leaves room for two that are lost.
  milliseconds RenewEvery{400};
  /// After a renewal that failed, twice as long after each further one.
  milliseconds LongestRenewPause{1'600};
  /// While hosts start, the duty moves with each that joins, and whoever gets
  /// it learns so at its next call: calls are more frequent for a while.
  milliseconds StartupRenewEvery{150};
  milliseconds StartupTime{1'500};
  /// Between two looks at the groups, when nothing has changed.
  milliseconds PlanEvery{100};
  /// Time for a member to answer a question, which takes it a few milliseconds.
  milliseconds ProbeTimeout{320};
  /// A member is asked anew on another connection this often within that time:
  /// one that loses a packet answers a fifth of a second late.
  milliseconds ProbeRetryEvery{80};
  /// A leader whose members all answered is not asked about again for so long.
  milliseconds ProbeAgainAfter{1'500};
  /// Between two lines in the log on where the engines stand.
  milliseconds SummaryEvery{5'000};
  /// Orders under way beyond which no group or load is begun. Together with
  /// LookEvery they bound what a fleet that starts costs the coordinator, which
  /// has to renew its lease and relay the records that the orders change.
  std::size_t MaxOrdersInFlight = 96;
  /// A host that stands aside looks this often whether it is needed.
  milliseconds StandAsidePoll{100};
};

/// @brief Takes part in the duty and acts while it is held. Belongs to one
/// thread.
class GroupCoordinator {
public:
  /// @brief Makes a desk; what it is given must outlive it.
  /// @param Where The store.
  /// @param Given The engines.
  /// @param Believed What this host believes.
  /// @param Heard Which endpoints' streams move.
  /// @param Member Unique for this run of the process.
  /// @param Times Times of the assembly.
  /// @param Election Whether it stands aside for others.
  GroupCoordinator(FleetStore &Store, FleetEngines &Engines,
                   const FleetView &View, const SilenceWatch &Silence,
                   std::string Member, AssemblyTimes Times, Candidacy Election);

  /// @brief Joins the duty and renews it until it is cancelled.
  [[nodiscard]] Awaitable<void> holdDuty();
  /// @copydoc Candidacy::recordCoordinator
  void recordCoordinator(bool LeaseIsValid, TimePoint Now) noexcept {
    Election.recordCoordinator(LeaseIsValid, Now);
  }
  /// @brief Takes whether the store answers this host's reads.
  void recordStore(bool Answers, TimePoint Now) noexcept {
    Election.recordStore(Answers, Now);
  }
  /// @brief Looks at the groups until it is cancelled.
  [[nodiscard]] Awaitable<void> driveGroups();
  /// @brief Gives the duty up.
  [[nodiscard]] Awaitable<void> leave();

  /// @brief Whether this host drives the groups now.
  [[nodiscard]] bool holds(TimePoint Now) const noexcept {
    return Term.holds(Now);
  }
  /// @brief Whether this host was the last one to hold the duty, as far as it
  /// knows: its lease may have run out while the store is away.
  [[nodiscard]] bool isLastHolder() const noexcept {
    return Term.isLastHolder();
  }
  /// @brief The store answers again: renews the lease now.
  void renewNow() {
    if (RenewalTimer)
      RenewalTimer->cancel();
  }
  /// @brief A caller's request has been seen.
  void recordCaller() noexcept { HasCallers = true; }
  /// @brief An endpoint's streams fell silent: asks the members of the groups
  /// that it leads, if this host drives them.
  void probeMembers(const std::string &Leader,
                    const boost::asio::any_io_executor &Executor);
  /// @brief Looks at the groups now, if this host drives them: something has
  /// changed.
  void planNow();
  /// @brief Calls a function when orders that move seats were given: their
  /// effect shows in the endpoints' records soon.
  void onOrders(std::function<void()> Callback) {
    OnSeatOrders = std::move(Callback);
  }
  /// @brief Calls a function when the duty is gained or lost.
  void onDuty(std::function<void(bool)> Callback) {
    OnDutyChange = std::move(Callback);
  }

private:
  struct ProbeRound;

  /// @return Whether another host has the lease by now.
  [[nodiscard]] Awaitable<bool> hasSuccessor();
  void endTerm();
  [[nodiscard]] Awaitable<void> pauseRenewal(milliseconds Pause);
  void applyGrant(const DutyGrant &Grant, TimePoint RequestedAt);
  void planGroups(TimePoint Now, const boost::asio::any_io_executor &Executor);
  [[nodiscard]] Awaitable<void> execute(SeatCommand Command,
                                        std::uint64_t Fence);
  [[nodiscard]] std::size_t freeOrders() const noexcept;
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
                                             MemberQuestion Question);
  [[nodiscard]] Awaitable<void> probeMember(std::shared_ptr<ProbeRound> Round,
                                            std::size_t Index);
  void finishRound(const ProbeRound &Round);

  FleetStore &Store;
  FleetEngines &Engines;
  const FleetView &View;
  const SilenceWatch &Silence;
  std::string Self;
  DutyTimes Timing;
  /// One for each service with engines.
  std::map<ServiceName, Assembler> Assemblers;
  AssemblyTimes Times;
  Candidacy Election;
  DutyTerm Term{Timing.Lease};
  bool Leaving = false;
  std::size_t OrdersInFlight = 0;
  TimePoint SummaryDue{};
  bool HasCallers = false;
  /// Leaders whose members are not asked before a time.
  std::map<std::string, TimePoint> NextProbeAt;
  std::function<void(bool)> OnDutyChange;
  std::function<void()> OnSeatOrders;
  std::optional<boost::asio::any_io_executor> Executor;
  /// Pause before the next renewal.
  std::optional<boost::asio::steady_timer> RenewalTimer;
};

} // namespace coltsfoottrail

#endif
