/// @file
/// Decides which engines form groups, and repairs groups that lost a member.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_ASSEMBLER_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_ASSEMBLER_HPP

#include "coltsfoottrail/assembly/layout.hpp"
#include "coltsfoottrail/assembly/loadpacer.hpp"
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

/// @brief Times of the assembly.
struct AssemblyTimes {
  /// An order whose effect is not seen is given again after this: several round
  /// trips and two polls of the feed.
  Duration OrderRetry = milliseconds(900);
  /// After the duty was gained, records written under the predecessor are still
  /// on their way; one poll of the feed and a margin.
  Duration TakeOverPause = milliseconds(500);
  /// Before the first caller, groups are formed once no endpoint has come for
  /// so long: engines that start together publish themselves over about three
  /// seconds, and groups made of the first few would cut domains up badly.
  Duration FleetSettle = milliseconds(700);
  /// At the latest this long after the duty was gained.
  Duration LongestSettle = seconds(4);
  /// Beyond the time of its loads, for a group to become ready.
  Duration JoinSlack = seconds(4);
  /// A member whose record is missing is asked again this often.
  Duration AskMissing = milliseconds(700);
  /// One that has not been answered for within this counts as lost: the
  /// question takes a third of a second.
  Duration AnswerMissing = milliseconds(600);
  /// How long an engine that did not join in time is left out.
  Duration LeaveOut = seconds(6);
};

/// @brief What the assembly decides on.
struct AssemblyView {
  const EndpointCatalogue &Endpoints;
  /// A service whose Engine is set.
  const ServiceProfile &Service;
  const std::set<DataCentreName> &Drained;
  /// Fencing number of the duty.
  std::uint64_t Fence = 0;
  /// Whether callers have begun: loads are counted and slow from then on.
  bool TrafficStarted = false;
  /// No group or load is begun beyond so many orders of one call: an order
  /// takes the host a millisecond, and a fleet that starts needs thousands.
  std::size_t MaxOrders = std::numeric_limits<std::size_t>::max();
};

/// @brief An order to be given.
struct SeatCommand {
  EndpointName To;
  EngineAddress Address;
  SeatOrder Order;
};

/// @brief A member whose record is missing, to be asked whether it is alive.
struct MemberProbe {
  EndpointName Name;
  EngineAddress Address;
};

/// What became of a group.
enum class GroupFate : std::uint8_t { Formed, Adopted, Lost, Retired };

/// @brief A change worth a line in the log.
struct GroupEvent {
  GroupFate Fate = GroupFate::Formed;
  std::string Group;
  GroupEpoch Epoch = 0;
  ModelName Model;
  /// The endpoint that caused it; may be empty.
  EndpointName Cause;
  std::string_view Why;
};

/// @brief Where the endpoints of one fabric domain stand.
struct DomainSummary {
  DataCentreName DataCentre;
  FabricDomainName Domain;
  /// Endpoints whose records show a seat, by its phase.
  std::uint32_t Open = 0;
  std::uint32_t OtherSeats = 0;
  /// Endpoints that could take a seat, and the weights that they have.
  std::uint32_t Free = 0;
  std::map<ModelName, std::uint32_t> FreeByModel;
  /// Endpoints that load weights, and those that must not take a seat yet.
  std::uint32_t Loading = 0;
  std::uint32_t Locked = 0;
};

/// @brief Forms and repairs the groups of one service. Pure: takes the
/// endpoints' records and a time, answers orders. Not thread-safe; times must
/// not go back.
///
/// Its state is what the records say, and beside them only orders under way: a
/// successor starts from the records alone. Invariants:
/// - a group is opened only after each member's own record showed it ready
///   under this group, epoch and list;
/// - a member takes a seat elsewhere only after its leader was seen closed,
///   broken, restarted or in another group, or after its own record showed that
///   it has left;
/// - a group that a predecessor formed and did not open is formed anew: a join
///   that the predecessor gave may still be carried out, and its epoch is above
///   that of the group;
/// - an epoch is used once, and epochs grow with the fencing number, so that an
///   order that is carried out late meets a higher epoch and is refused.
class Assembler {
public:
  /// @brief Starts with nothing known.
  explicit Assembler(AssemblyTimes Given) : Times(Given) {}

  /// @brief The duty was gained: forgets what an earlier term knew.
  void begin(TimePoint Now);

  /// @brief Decides what to order now.
  [[nodiscard]] std::vector<SeatCommand> plan(const AssemblyView &View,
                                              TimePoint Now);

  /// @brief Takes an order's outcome.
  void recordOutcome(const EndpointName &To, const SeatOrder &Order,
                     OrderOutcome Outcome, TimePoint Now);

  /// @brief An endpoint did not answer, while others did: it is left out of new
  /// groups, and its group counts as lost, until its record lapses or shows
  /// another life.
  void declareDead(const KnownEndpoint &Which, TimePoint Now);

  /// @brief Hands over whom to ask; each is to be answered by asked().
  [[nodiscard]] std::vector<MemberProbe> takeProbes();
  /// @brief Takes the answer to a question.
  void recordProbeResult(const EndpointName &Which, bool Alive, TimePoint Now);

  /// @brief Members of the groups that an endpoint leads.
  [[nodiscard]] std::vector<EndpointName>
  membersLedBy(const EndpointName &Leader) const;

  /// @brief Tells where the endpoints stand, by domain.
  [[nodiscard]] std::vector<DomainSummary> summary(const AssemblyView &View,
                                                   TimePoint Now) const;

  /// @brief Hands over what is worth a line in the log since the last call.
  [[nodiscard]] std::vector<GroupEvent> takeEvents();

private:
  struct Member {
    EndpointName Name;
    std::uint64_t Born = 0;
    EngineAddress Address;
  };
  /// What is known of a member whose record is missing.
  struct Doubt {
    TimePoint AskedAt;
    bool Answered = false;
    bool Alive = true;
  };
  struct Group {
    std::string Name;
    GroupEpoch Epoch = 0;
    ModelName Model;
    /// The leader first; an empty name where a record is missing.
    std::vector<Member> Members;
    /// Until when its members must be ready.
    TimePoint JoinBy;
    std::optional<TimePoint> OpenOrdered;
    /// An order to open was given, or may have been, and no record has shown
    /// its effect yet.
    bool OpenPending = false;
    bool WasOpen = false;
    /// Formed by a predecessor in the duty.
    bool Adopted = false;
    std::optional<TimePoint> CloseOrdered;
    bool CloseEvicts = false;
    std::optional<TimePoint> LeaveOrdered;
    bool LossNoted = false;
  };
  struct PendingJoin {
    GroupEpoch Epoch = 0;
    std::uint64_t Born = 0;
    TimePoint OrderedAt;
    bool Answered = false;
  };
  struct Death {
    std::uint64_t Born = 0;
    TimePoint Until;
  };
  /// An endpoint's seat by its record and by orders under way.
  struct Seating {
    GroupEpoch Epoch = 0;
    SeatPhase Phase = SeatPhase::Joining;
  };
  /// A group that could be formed.
  struct Candidate {
    const ServedModel *Model = nullptr;
    std::vector<const KnownEndpoint *> Members;
    std::uint32_t Loads = 0;
    /// Groups in the domain that serve other models, and this one.
    std::size_t Others = 0;
    std::size_t Alike = 0;
  };
  using DomainKey = std::pair<DataCentreName, FabricDomainName>;
  /// A domain with endpoints that are free.
  struct DomainState {
    std::vector<const KnownEndpoint *> Free;
    std::map<ModelName, std::size_t> Groups;
    /// At most one a model.
    std::vector<Candidate> Candidates;
  };
  /// What holds for the service's endpoints as a whole.
  struct Fleet {
    double Usable = 0;
    bool MixesModels = false;
  };
  struct Pass;

  [[nodiscard]] bool fleetSettled(const AssemblyView &View, TimePoint Now);
  void settle(const Pass &In);
  void adopt(const Pass &In);
  void watch(Pass &In);
  /// @return Whether the group is over.
  [[nodiscard]] bool advanceGroup(Pass &In, Group &Of);
  [[nodiscard]] bool leaderGone(Pass &In, Group &Of);
  [[nodiscard]] bool memberLost(Pass &In, Group &Of, const Seating &Leader,
                                bool Evict);
  [[nodiscard]] bool allReady(const Pass &In, const Group &Of) const;
  void open(Pass &In, Group &Of);
  void close(Pass &In, Group &Of, bool Evict);
  void leave(Pass &In, Group &Of, const EndpointName &Who);
  void dismissLeader(Pass &In, Group &Of);
  [[nodiscard]] static bool seated(const Pass &In, GroupEpoch Epoch);
  void repeatJoins(Pass &In, const Group &Of);
  void retire(const Group &Of, std::string_view Why);

  void form(Pass &In);
  void stage(Pass &In, const std::map<DomainKey, DomainState> &Domains,
             const std::map<ModelName, double> &Missing);
  void start(Pass &In, const Candidate &Chosen);
  [[nodiscard]] IdleDomain idleDomain(const Pass &In, const DomainKey &Domain,
                                      const DomainState &State) const;
  void standBy(Pass &In, const KnownEndpoint &Spare);
  [[nodiscard]] GroupEpoch nextEpoch(const Pass &In);
  bool stageAt(Pass &In, const KnownEndpoint &Where, const ServedModel &Model);
  /// @return Endpoints of a domain that load a model's weights now.
  [[nodiscard]] std::size_t stagingIn(const Pass &In, const DomainKey &Domain,
                                      const ModelName &Model) const;
  [[nodiscard]] std::map<DomainKey, DomainState>
  freeDomains(const Pass &In) const;
  [[nodiscard]] Fleet measureFleet(const Pass &In) const;
  [[nodiscard]] static bool mixesModels(const Pass &In, std::size_t Largest);
  [[nodiscard]] static std::vector<Candidate>
  candidatesOf(const Pass &In, const DomainState &Domain);
  /// @return Null when no group can be formed.
  [[nodiscard]] static const Candidate *
  bestCandidate(const std::map<DomainKey, DomainState> &Domains,
                const std::map<ModelName, double> &Missing, bool Mixing);
  [[nodiscard]] std::map<ModelName, double> deficits(const Pass &In,
                                                     const Fleet &Whole) const;
  [[nodiscard]] bool isFree(const Pass &In, const KnownEndpoint &Of) const;
  [[nodiscard]] bool holds(const Pass &In, const Member &Of,
                           GroupEpoch Epoch) const;
  /// @return Whether a member is there, or answers although its record is
  /// missing.
  [[nodiscard]] bool present(const Pass &In, const Member &Of,
                             GroupEpoch Epoch);
  [[nodiscard]] bool isDead(const KnownEndpoint &Of) const;
  [[nodiscard]] std::optional<Seating> seatOf(const KnownEndpoint &Of) const;
  void note(GroupFate Fate, const Group &Of, const EndpointName &Cause,
            std::string_view Why);

  AssemblyTimes Times;
  LoadPacer Pacer;
  TimePoint ActFrom;
  TimePoint BeganAt;
  /// Endpoints known, and when one more came.
  std::size_t FleetSize = 0;
  TimePoint GrewAt;
  /// Groups formed by this process: never begins anew, so that no epoch is used
  /// twice even if two terms have one fencing number.
  std::uint64_t Counter = 0;
  std::map<GroupEpoch, Group> Groups;
  /// Epochs of groups that are over: seats that still name them are free.
  std::set<GroupEpoch> Retired;
  std::map<EndpointName, PendingJoin> Pending;
  /// Endpoints that may not take a seat before a time.
  std::map<EndpointName, TimePoint> LockedUntil;
  std::map<EndpointName, Death> Dead;
  std::map<EndpointName, Doubt> Doubts;
  std::vector<MemberProbe> Questions;
  /// Models whose weights endpoints were told to load.
  std::map<EndpointName, ModelName> Staging;
  std::vector<GroupEvent> Notes;
};

} // namespace coltsfoottrail

#endif
