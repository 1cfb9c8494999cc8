/// @file
/// Decides which engines form groups, and repairs groups that have lost a
/// member.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_ASSEMBLER_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_ASSEMBLER_HPP

#include "coltsfoottrail/assembly/conversion.hpp"
#include "coltsfoottrail/assembly/layout.hpp"
#include "coltsfoottrail/assembly/loadpacer.hpp"
#include "coltsfoottrail/assembly/outstandingjoins.hpp"
#include "coltsfoottrail/assembly/stagingplan.hpp"
#include "coltsfoottrail/division/types.hpp"
#include "coltsfoottrail/fleet/catalogue.hpp"
#include "coltsfoottrail/fleet/config.hpp"
#include "coltsfoottrail/fleet/order.hpp"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Timing of the group assembly.
struct AssemblyTimes {
  /// An order whose effect does not show in the records is repeated after this:
  /// several round trips and two polls of the feed.
  Duration OrderRetry = milliseconds(900);
  /// Pause after becoming coordinator, since records written under the
  /// predecessor are still on their way: one poll of the feed and a margin.
  Duration TakeOverPause = milliseconds(500);
  /// Before the first request, groups are formed once no new endpoint has
  /// appeared for this long. Engines that start together publish themselves
  /// over about three seconds, and groups made of the first few would fragment
  /// the domains.
  Duration SettleTime = milliseconds(700);
  /// Groups are formed no later than this after becoming coordinator.
  Duration MaxSettleTime = seconds(4);
  /// Time that a group has to become ready in addition to its load times.
  Duration JoinSlack = seconds(4);
  /// Interval between two probes of a member whose record is missing.
  Duration ProbeInterval = milliseconds(700);
  /// A member that has not answered a probe within this counts as lost; a probe
  /// takes a third of a second.
  Duration ProbeTimeout = milliseconds(600);
  /// How long an engine that did not join in time is excluded from new groups.
  Duration ExclusionTime = seconds(6);
  /// An order that was not answered may be carried out up to this much later,
  /// after newer orders.
  Duration LatestExecution = seconds(12);
  /// The record that shows the effect of an order is known up to this much
  /// after its execution.
  Duration RecordLag = milliseconds(500);
  /// Interval between two reads of an engine's status, which lags by some
  /// hundred milliseconds.
  Duration StatusReadInterval = milliseconds(300);
  /// A conversion whose group has not been formed within this is given up; the
  /// time during which closed groups finish their requests does not count.
  Duration ConversionTimeout = seconds(8);
  /// Pause after the end of a conversion before the next one in its domain.
  Duration ConversionPause = seconds(6);
  /// How long the survivors of a large group are kept for another one: the time
  /// of a load and a margin.
  Duration MaxReservation = seconds(24);

  /// @brief How long after its answer was given up an order may still have an
  /// effect that no record shows yet. Thread-safe.
  [[nodiscard]] Duration latestEffect() const noexcept {
    return LatestExecution + RecordLag;
  }
};

/// @brief Inputs of the assembly.
struct AssemblyView {
  const EndpointCatalogue &Endpoints;
  /// A service whose Engine is set.
  const ServiceProfile &Service;
  const std::set<DataCentreName> &Drained;
  /// Fencing number of the coordinator's term.
  std::uint64_t Fence = 0;
  /// Whether requests have begun to arrive: from then on loads are slow and
  /// their limits apply.
  bool TrafficStarted = false;
  /// Limit on the orders, and on the reads of statuses, of one call; no group
  /// or load is started beyond it. Sending an order takes the host a
  /// millisecond, and a fleet that starts needs thousands.
  std::size_t MaxOrders = std::numeric_limits<std::size_t>::max();
  /// Which part of the engines each model is to have; the shares of the
  /// configuration if null.
  const EngineTargets *Targets = nullptr;
  /// Whether groups may be closed so that their engines serve a model that
  /// lacks groups. Needs Targets.
  bool ConvertsGroups = false;
  /// Whether engines that serve one model hold the weights of another.
  bool StagesAhead = false;
};

/// @brief An order to be sent to an engine.
struct SeatCommand {
  EndpointName To;
  EngineAddress Address;
  SeatOrder Order;
  /// The seat that the engine's record showed when the order was decided, and
  /// when that record was received.
  std::optional<GroupSeat> KnownSeat{};
  TimePoint KnownAt{};
};

/// @brief An engine that is to be asked: whether it is alive, or for its
/// status.
struct MemberProbe {
  EndpointName Name;
  EngineAddress Address;
};

/// Kind of a group event.
enum class GroupFate : std::uint8_t {
  Formed,
  Adopted,
  Lost,
  Retired,
  /// It is closed so that its engines serve another model.
  ConversionBegun,
  /// It serves, formed of engines of closed groups.
  ConversionFinished,
  /// No group of the other model was formed in time.
  ConversionGivenUp,
  /// No group is closed although a model lacks groups; it has no group.
  ConversionNotBegun
};

/// @brief A change of a group, for the log.
struct GroupEvent {
  GroupFate Fate = GroupFate::Formed;
  std::string Group;
  GroupEpoch Epoch = 0;
  ModelName Model;
  /// The endpoint that caused the event; may be empty.
  EndpointName Cause;
  std::string_view Why;
  /// Of a conversion: the model that is to get the engines.
  ModelName Receiver{};
  /// Phase of the leader's seat in the group; nothing if its record shows
  /// none.
  std::optional<SeatPhase> LeaderPhase{};
  /// Whether an order to open the group may still be carried out.
  bool MayBeOpened = false;
};

/// @brief Counts of the endpoints of one fabric domain by state.
struct DomainSummary {
  DataCentreName DataCentre;
  FabricDomainName Domain;
  /// Endpoints whose records show a seat: in open groups, and in all others.
  std::uint32_t Open = 0;
  std::uint32_t OtherSeats = 0;
  /// Endpoints that could take a seat, in total and by staged model.
  std::uint32_t Free = 0;
  std::map<ModelName, std::uint32_t> FreeByModel;
  /// Endpoints whose host holds the weights of a model beside the model that
  /// they serve or last served, by staged model.
  std::map<ModelName, std::uint32_t> SecondByModel;
  /// Endpoints that load weights, and endpoints that may not take a seat yet.
  std::uint32_t Loading = 0;
  std::uint32_t Locked = 0;
};

/// @brief Forms and repairs the groups of one service. Pure: takes the
/// endpoints' records and a time, returns orders. Not thread-safe; times must
/// not go back.
///
/// Its state consists of what the records say and of orders in progress: a new
/// coordinator starts from the records alone. Invariants:
/// - a group is opened only after the record of each member has shown it ready
/// under this group, epoch and member list;
/// - a member takes a seat elsewhere only after its leader was seen closed,
/// broken, restarted or in another group, or after its own record showed that
/// it has left;
/// - if a late join may seat it again, the order to take a seat elsewhere names
/// the number of orders that the engine has accepted while it had no seat: it
/// is carried out only if the late join was not;
/// - whatever ends a group, its engines are free only once its leader does not
/// serve and no order, of this coordinator or a predecessor, can make it serve;
/// - a leader that serves keeps its engines even if its group was given up;
/// - a group that a predecessor formed and did not open is formed anew: a join
/// that the predecessor ordered may still be carried out, and its epoch is
/// above that of the group;
/// - a group that gives its engines to another model is closed like one that
/// has lost a member, but finishes its requests;
/// - an epoch is used once, and epochs grow with the fencing number, so that an
/// order that is carried out late meets a higher epoch and is refused.
class Assembler {
public:
  /// @brief Makes an assembler without groups.
  explicit Assembler(AssemblyTimes Timing)
      : Times(Timing), Joins(Timing.latestEffect()) {}

  /// @brief Starts a term as coordinator and drops the state of any earlier
  /// term.
  void begin(TimePoint Now);

  /// @brief Decides which orders to send now.
  [[nodiscard]] std::vector<SeatCommand> plan(const AssemblyView &View,
                                              TimePoint Now);

  /// @brief Records the outcome of an order.
  void recordOutcome(const EndpointName &Endpoint, const SeatOrder &Order,
                     OrderOutcome Outcome, TimePoint Now);

  /// @brief Marks an endpoint as dead because it did not answer while others
  /// did. It is left out of new groups, and its group counts as lost, until its
  /// record lapses or shows that the endpoint has restarted.
  void declareDead(const KnownEndpoint &Endpoint, TimePoint Now);

  /// @brief Returns and clears the pending probes. The result of each must be
  /// passed to recordProbeResult().
  [[nodiscard]] std::vector<MemberProbe> takeProbes();
  /// @brief Records the result of a probe.
  void recordProbeResult(const EndpointName &Endpoint, bool Alive,
                         TimePoint Now);

  /// @brief Returns and clears the pending reads of engines' statuses. The
  /// result of each must be passed to recordStatus().
  [[nodiscard]] std::vector<MemberProbe> takeStatusReads();
  /// @brief Records the status that an engine reported; nothing if it did not
  /// answer.
  void recordStatus(const EndpointName &Endpoint,
                    const std::optional<EngineStatus> &Status);

  /// @brief Members of the groups that an endpoint leads.
  [[nodiscard]] std::vector<EndpointName>
  membersLedBy(const EndpointName &Leader) const;

  /// @brief Summarises the state of the endpoints by domain.
  [[nodiscard]] std::vector<DomainSummary> summary(const AssemblyView &View,
                                                   TimePoint Now) const;

  /// @brief Returns and clears the group events since the last call.
  [[nodiscard]] std::vector<GroupEvent> takeEvents();

private:
  struct GroupMember {
    EndpointName Name;
    std::uint64_t StartedAtMs = 0;
    EngineAddress Address;
  };
  /// Probing state of a member whose record is missing.
  struct ProbeState {
    /// When the last probe was sent, or its result came.
    TimePoint UpdatedAt;
    bool Answered = false;
    bool Alive = true;
  };
  struct GroupState {
    std::string Name;
    GroupEpoch Epoch = 0;
    ModelName Model;
    /// The leader comes first. A name is empty where the record is missing.
    std::vector<GroupMember> Members;
    /// Time by which its members must be ready.
    TimePoint JoinBy;
    std::optional<TimePoint> OpenOrdered;
    /// An order to open was sent, or may have been, and no record has shown its
    /// effect yet.
    bool OpenPending = false;
    bool WasOpen = false;
    /// Orders to open that have no outcome yet.
    std::uint32_t OpensInFlight = 0;
    /// An order to open that was not answered may be carried out until then.
    TimePoint OpenMayArriveUntil{};
    /// Formed by a previous coordinator.
    bool Adopted = false;
    std::optional<TimePoint> CloseOrdered;
    bool CloseEvicts = false;
    std::optional<TimePoint> LeaveOrdered;
    bool LossReported = false;
    /// It is being closed so that its engines serve another model.
    bool Converts = false;
  };
  struct PendingJoin {
    GroupEpoch Epoch = 0;
    std::uint64_t StartedAtMs = 0;
    TimePoint OrderedAt;
    bool Answered = false;
    /// Number of orders that the engine must have accepted before.
    std::optional<std::uint64_t> ExpectedOrders = std::nullopt;
    /// A copy got no answer and may have been carried out.
    bool MayBeExecuted = false;
  };
  /// What is known of an engine that a late join may seat again.
  struct StatusState {
    TimePoint AskedAt;
    std::optional<EngineStatus> Reported;
  };
  struct DeadMark {
    std::uint64_t StartedAtMs = 0;
    TimePoint Until;
  };
  /// Seat of an endpoint according to its record and to orders in progress.
  struct SeatState {
    GroupEpoch Epoch = 0;
    SeatPhase Phase = SeatPhase::Joining;
  };
  /// A group that could be formed.
  struct Candidate {
    const ServedModel *Model = nullptr;
    std::vector<const KnownEndpoint *> Members;
    std::uint32_t LoadCount = 0;
    /// Groups of the domain that serve other models, and groups that serve this
    /// one.
    std::size_t OtherGroups = 0;
    std::size_t SameModelGroups = 0;
  };
  using DomainKey = std::pair<DataCentreName, FabricDomainName>;
  /// A domain with free endpoints.
  struct DomainState {
    std::vector<const KnownEndpoint *> Free;
    std::map<ModelName, std::size_t> Groups;
    /// At most one per model.
    std::vector<Candidate> Candidates;
    /// The only model of which a group may be formed.
    std::optional<ModelName> ReservedFor;
    /// Free engines that can join a group of this model without a load form no
    /// other group.
    std::optional<ModelName> KeptFor;
  };
  /// A conversion in progress.
  struct Conversion {
    ModelName Model;
    std::set<GroupEpoch> Closing;
    /// Members of the closed groups, and groups to be formed.
    std::uint32_t Engines = 0;
    std::uint32_t Gained = 0;
    /// When it is given up.
    TimePoint FormBy;
    /// Epoch of the group that was formed of the engines.
    std::optional<GroupEpoch> Formed;
  };
  /// Properties of the service's endpoints as a whole.
  struct Fleet {
    double Usable = 0;
    bool MixesModels = false;
  };
  struct PlanContext;

  void recordJoin(const EndpointName &Endpoint, GroupEpoch Epoch,
                  OrderOutcome Outcome, TimePoint Now);
  void recordOpen(const EndpointName &Endpoint, GroupEpoch Epoch,
                  OrderOutcome Outcome, TimePoint Now);
  [[nodiscard]] bool isFleetSettled(const AssemblyView &View, TimePoint Now);
  void dropCompleted(const PlanContext &Context);
  /// Forgets that groups were given up whose leaders serve.
  void restoreGroups(const PlanContext &Context);
  void adoptGroups(const PlanContext &Context);
  /// Most members that a group of a model can have.
  [[nodiscard]] static std::size_t maxMembers(const PlanContext &Context,
                                              const ModelName &Model);
  void advanceGroups(PlanContext &Context);
  /// @return Whether the group has ended.
  [[nodiscard]] bool advanceGroup(PlanContext &Context, GroupState &Group);
  [[nodiscard]] bool handleLeaderLoss(PlanContext &Context, GroupState &Group);
  [[nodiscard]] bool handleMemberLoss(PlanContext &Context, GroupState &Group,
                                      const SeatState &Leader, bool Evict);
  [[nodiscard]] bool isEveryMemberReady(const PlanContext &Context,
                                        const GroupState &Group) const;
  /// Seat of a group's leader: what its record shows of the group goes before
  /// an order to take another seat.
  [[nodiscard]] std::optional<SeatState>
  leaderSeat(const GroupState &Group, const KnownEndpoint &Leader) const;
  /// Whether the leader of a group serves, or orders that are carried out late
  /// may make it serve.
  [[nodiscard]] bool mayServe(const PlanContext &Context,
                              const GroupState &Group) const;
  /// Retires a group, or first makes sure that its leader cannot serve.
  /// @return Whether the group has ended.
  [[nodiscard]] bool endGroup(PlanContext &Context, GroupState &Group,
                              std::string_view Reason);
  /// Keeps the members of a group that are not ready out of new groups for a
  /// while.
  void excludeUnready(const PlanContext &Context, const GroupState &Group);
  /// Whether an engine has no seat and a late join may seat it in a group that
  /// serves.
  [[nodiscard]] bool mayBeSeatedAgain(const KnownEndpoint &Endpoint) const;
  /// Reads the statuses of engines that a late join may seat again.
  void readStatuses(const PlanContext &Context);
  /// Number of orders that an engine had accepted when it reported that it has
  /// no seat; nothing if it has not reported that.
  [[nodiscard]] std::optional<std::uint64_t>
  ordersWithoutSeat(const KnownEndpoint &Endpoint) const;
  /// Whether an engine may be ordered to take a seat, as far as late joins are
  /// concerned.
  [[nodiscard]] bool isJoinSafe(const KnownEndpoint &Endpoint) const {
    return !mayBeSeatedAgain(Endpoint) || ordersWithoutSeat(Endpoint);
  }
  /// Whether an order to open a group may still be carried out, or may have
  /// been since the leader's record.
  [[nodiscard]] static bool mayBeOpened(const PlanContext &Context,
                                        const GroupState &Group);
  void orderOpen(PlanContext &Context, GroupState &Group);
  void orderClose(PlanContext &Context, GroupState &Group, bool Evict);
  void orderLeave(PlanContext &Context, GroupState &Group,
                  const EndpointName &Name);
  /// Orders the first copy of a join. Precondition: isJoinSafe().
  void beginJoin(PlanContext &Context, const KnownEndpoint &Engine,
                 JoinSeat Join);
  /// Orders a copy of a join.
  void orderJoin(PlanContext &Context, const KnownEndpoint &Engine,
                 JoinSeat Join);
  /// Orders a leader to leave its group and, where a late join may seat it
  /// there again, to take a seat of its own.
  void dismissLeader(PlanContext &Context, GroupState &Group);
  [[nodiscard]] static bool isAnySeated(const PlanContext &Context,
                                        GroupEpoch Epoch);
  void reorderJoins(PlanContext &Context, const GroupState &Group);
  void retire(const PlanContext &Context, const GroupState &Group,
              std::string_view Reason);

  void formGroups(PlanContext &Context);
  void stageSpares(PlanContext &Context,
                   const std::map<DomainKey, DomainState> &Domains,
                   const std::map<ModelName, double> &Deficits);
  [[nodiscard]] static bool isKeptForAnother(const PlanContext &Context,
                                             const DomainState &Domain,
                                             const PlannedLoad &Load);
  void startGroup(PlanContext &Context, const Candidate &Chosen);
  [[nodiscard]] IdleDomain idleDomain(const PlanContext &Context,
                                      const DomainKey &Domain,
                                      const DomainState &State) const;
  void prepareSpare(PlanContext &Context, const KnownEndpoint &Spare);
  void orderStandby(PlanContext &Context, const KnownEndpoint &Engine,
                    const ModelName &Model);
  [[nodiscard]] GroupEpoch nextEpoch(const PlanContext &Context);
  bool orderStaging(PlanContext &Context, const KnownEndpoint &Endpoint,
                    const ServedModel &Model);
  /// @return Endpoints of a domain that are loading the weights of a model.
  [[nodiscard]] std::size_t countStaging(const PlanContext &Context,
                                         const DomainKey &Domain,
                                         const ModelName &Model) const;
  [[nodiscard]] std::map<DomainKey, DomainState>
  freeDomains(const PlanContext &Context) const;
  [[nodiscard]] Fleet measureFleet(const PlanContext &Context) const;
  [[nodiscard]] static bool mixesModels(const PlanContext &Context,
                                        std::size_t Largest);
  [[nodiscard]] static std::vector<Candidate>
  findCandidates(const PlanContext &Context, const DomainState &Domain);
  /// @return Null when no group can be formed.
  [[nodiscard]] static const Candidate *
  bestCandidate(const std::map<DomainKey, DomainState> &Domains,
                const std::map<ModelName, double> &Deficits, bool Mixing);
  [[nodiscard]] std::map<ModelName, double> deficits(const PlanContext &Context,
                                                     const Fleet &Totals) const;
  [[nodiscard]] bool isFree(const PlanContext &Context,
                            const KnownEndpoint &Endpoint) const;
  /// Ends the conversions whose group serves, is lost, or was not formed in
  /// time.
  void advanceConversions(const PlanContext &Context);
  /// Whether a group that is closed for a conversion finishes its requests.
  [[nodiscard]] bool isAnyDraining(const PlanContext &Context,
                                   const Conversion &State) const;
  /// Ends the closing of the groups that have not ended yet.
  void keepRemaining(const Conversion &State);
  void endConversion(const PlanContext &Context, const DomainKey &Domain,
                     const Conversion &Ended, GroupFate Fate,
                     std::string_view Reason);
  /// Closes a group so that its engines serve another model.
  /// @return Whether the group has ended.
  [[nodiscard]] bool closeForConversion(PlanContext &Context, GroupState &Group,
                                        const SeatState &Leader);
  void recordConverted(const Candidate &Chosen, GroupEpoch Epoch);
  /// Decides for which models the free engines of the domains are reserved.
  void reserveForConversions(const PlanContext &Context, const Fleet &Totals,
                             std::map<DomainKey, DomainState> &Domains);
  void keepForLargeGroups(const PlanContext &Context, const Fleet &Totals,
                          std::map<DomainKey, DomainState> &Domains);
  /// Engines of a domain that hold a model, are loading it, or are free and
  /// without weights.
  [[nodiscard]] std::size_t potentialMembers(const PlanContext &Context,
                                             const DomainKey &Domain,
                                             const ModelName &Model) const;
  void beginConversions(PlanContext &Context, const Fleet &Totals);
  void beginConversion(PlanContext &Context, const DomainKey &Domain,
                       const PlannedConversion &Planned);
  [[nodiscard]] std::map<DomainKey, ConversionDomain>
  conversionDomains(const PlanContext &Context) const;
  /// Whether a group can be closed and its members be used elsewhere at once.
  [[nodiscard]] bool isDonor(const PlanContext &Context,
                             const GroupState &Group) const;
  /// Groups by model that serve or are being formed, without those that close
  /// or have lost a member.
  [[nodiscard]] CountByModel lastingGroups(const PlanContext &Context) const;
  /// The same with the groups that conversions in progress are to form.
  [[nodiscard]] CountByModel expectedGroups(const PlanContext &Context) const;
  /// Limit on the members of further groups that are closed.
  [[nodiscard]] std::uint32_t convertibleEngines(const PlanContext &Context,
                                                 const Fleet &Totals) const;
  /// Adds an event for each obstacle that is new.
  void reportObstacles(std::map<ModelName, ConversionObstacle> Current);
  /// @return Whether the weights of a model are at hand: the engine can join a
  /// group of it without a load from the shared store.
  [[nodiscard]] static bool holds(const EndpointRecord &Record,
                                  const ModelName &Model);
  void stageAhead(PlanContext &Context,
                  const std::map<ModelName, double> &Deficits);
  [[nodiscard]] bool mayPredecessorLoad(const PlanContext &Context) const;
  [[nodiscard]] bool isWarm(const PlanContext &Context,
                            const KnownEndpoint &Endpoint) const;
  /// Whether an engine is loading weights that its next group needs.
  [[nodiscard]] bool isLoading(const EndpointName &Endpoint) const {
    return Pacer.isLoading(Endpoint) && !StagingAhead.contains(Endpoint);
  }
  [[nodiscard]] bool holdsSeat(const PlanContext &Context,
                               const GroupMember &Member,
                               GroupEpoch Epoch) const;
  /// @return Whether a member holds its seat, or answers probes although its
  /// record is missing.
  [[nodiscard]] bool isPresent(const PlanContext &Context,
                               const GroupMember &Member, GroupEpoch Epoch);
  [[nodiscard]] bool isDead(const KnownEndpoint &Endpoint) const;
  [[nodiscard]] std::optional<SeatState>
  seatOf(const KnownEndpoint &Endpoint) const;
  void addEvent(const PlanContext &Context, GroupFate Fate,
                const GroupState &Group, const EndpointName &Cause,
                std::string_view Reason);

  AssemblyTimes Times;
  LoadPacer Pacer;
  TimePoint PlanFrom;
  TimePoint TermStartedAt;
  /// Number of endpoints, and when it last grew.
  std::size_t FleetSize = 0;
  TimePoint LastGrowthAt;
  /// Groups formed by this process. Never reset, so that no epoch is used twice
  /// even if two terms have the same fencing number.
  std::uint64_t Counter = 0;
  std::map<GroupEpoch, GroupState> Groups;
  /// Epochs of groups that have ended: engines whose seats still name them are
  /// free.
  std::set<GroupEpoch> Retired;
  std::map<EndpointName, PendingJoin> Pending;
  /// Endpoints that may not take a seat, and until when.
  std::map<EndpointName, TimePoint> LockedUntil;
  OutstandingJoins Joins;
  /// Whether a predecessor had given orders, judged by the first records of the
  /// term.
  std::optional<bool> FollowsPredecessor;
  std::map<EndpointName, StatusState> Statuses;
  std::vector<MemberProbe> PendingStatusReads;
  std::map<EndpointName, DeadMark> DeadEndpoints;
  std::map<EndpointName, ProbeState> ProbeStates;
  std::vector<MemberProbe> PendingProbes;
  /// Models whose weights endpoints were ordered to load.
  std::map<EndpointName, ModelName> Staging;
  /// Those of them that can serve another model meanwhile.
  std::set<EndpointName> StagingAhead;
  std::map<DomainKey, Conversion> Conversions;
  std::map<DomainKey, TimePoint> ConversionsEndedAt;
  /// Since when the free engines of a domain are kept for a large group.
  std::map<DomainKey, TimePoint> KeptSince;
  /// Reasons that were reported for not beginning a conversion.
  std::map<ModelName, ConversionObstacle> Obstacles;
  std::vector<GroupEvent> Events;
};

} // namespace coltsfoottrail

#endif
