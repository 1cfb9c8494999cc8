#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/fold/fold.hpp"

#include <array>
#include <bit>
#include <string>

namespace coltsfoottrail {

namespace {

/// Hashes values in the order in which they are added. Each is written with its
/// length, so that no two states feed the same bytes.
class Feed {
public:
  void add(std::uint64_t Value) {
    std::array<char, sizeof Value> Raw{};
    for (char &Each : Raw) {
      Each = static_cast<char>(Value & 0xFFU);
      Value >>= 8U;
    }
    Buffer.append(Raw.data(), Raw.size());
    if (Buffer.size() >= BlockBytes)
      flush();
  }

  void add(std::string_view Text) {
    add(static_cast<std::uint64_t>(Text.size()));
    Buffer += Text;
  }

  [[nodiscard]] std::uint64_t finish() {
    flush();
    return Hash;
  }

private:
  static constexpr std::size_t BlockBytes = std::size_t{1} << 16U;

  void flush() {
    Hash = hashText(Buffer, Hash);
    Buffer.clear();
  }

  std::string Buffer;
  std::uint64_t Hash = 0;
};

template <class Enum>
requires std::is_enum_v<Enum>
void feed(Feed &Into, Enum Value) {
  Into.add(static_cast<std::uint64_t>(Value));
}
void feed(Feed &Into, std::uint64_t Value) { Into.add(Value); }
void feed(Feed &Into, const std::string &Text) {
  Into.add(std::string_view(Text));
}
template <class Tag> void feed(Feed &Into, const Name<Tag> &Value) {
  Into.add(std::string_view(Value.Text));
}
void feed(Feed &Into, const GroupId &Value) {
  feed(Into, Value.Plan);
  feed(Into, Value.Number);
}

template <class List> void feedList(Feed &Into, const List &Values) {
  feed(Into, Values.size());
  for (const auto &Each : Values)
    feed(Into, Each);
}

template <class Map> void feedMap(Feed &Into, const Map &Values) {
  feed(Into, Values.size());
  for (const auto &[Key, Value] : Values) {
    feed(Into, Key);
    feed(Into, Value);
  }
}

void feed(Feed &Into, const TeamSpec &Value) {
  feed(Into, Value.Name);
  feed(Into, Value.CredentialSha256);
  feed(Into, std::bit_cast<std::uint64_t>(Value.Weight));
  feed(Into, Value.MaxInFlight);
}

void feed(Feed &Into, const HostSpec &Value) {
  feed(Into, Value.Name);
  feed(Into, Value.DataCentre);
  feed(Into, Value.FabricDomain);
  feed(Into, Value.Address);
  feed(Into, Value.Port);
  feed(Into, Value.Accelerators);
  feed(Into, std::uint64_t{Value.RefusesOldFences});
}

void feed(Feed &Into, const ModelSpec &Value) {
  feed(Into, Value.Name);
  feed(Into, Value.Version);
  feedList(Into, Value.Adapters);
  feed(Into, Value.Role);
  feed(Into, Value.MembersPerGroup);
  feedMap(Into, Value.Groups);
  feed(Into, Value.WarmBound);
  feed(Into, Value.ColdBound);
}

void feed(Feed &Into, const ServiceInstance &Value) {
  feed(Into, Value.Host);
  feed(Into, Value.DataCentre);
  feed(Into, Value.Address);
  feed(Into, Value.Port);
}

void feed(Feed &Into, const ServiceSpec &Value) {
  feed(Into, Value.Name);
  feedList(Into, Value.RepeatablePaths);
  feed(Into, Value.WarmBound);
  feed(Into, Value.ColdBound);
  feedList(Into, Value.Instances);
}

void feed(Feed &Into, const Declaration &Value) {
  feedList(Into, Value.DataCentres);
  feedList(Into, Value.Teams);
  feedList(Into, Value.Hosts);
  feedList(Into, Value.Models);
  feedList(Into, Value.Services);
  feed(Into, Value.WeightLoadsAtOnce);
}

void feed(Feed &Into, const EntryHost &Value) {
  feed(Into, Value.Joined.Host);
  feed(Into, Value.Joined.Run);
  feed(Into, Value.Joined.DataCentre);
  feed(Into, Value.Joined.Address);
  feed(Into, Value.Joined.MeshPort);
  feed(Into, Value.Joined.CallerPort);
  feed(Into, Value.Since);
}

void feed(Feed &Into, const FormGroup &Value) {
  feed(Into, Value.Number);
  feed(Into, Value.Model);
  feed(Into, Value.Version);
  feedList(Into, Value.Adapters);
  feed(Into, Value.Role);
  feed(Into, Value.DataCentre);
  feedList(Into, Value.Members);
}
void feed(Feed &Into, const StopGroup &Value) { feed(Into, Value.Group); }
void feed(Feed &Into, const SwapAdapters &Value) {
  feed(Into, Value.Group);
  feedList(Into, Value.Adapters);
}

void feed(Feed &Into, const ApplyDeclaration &Value) {
  feed(Into, Value.Desired);
  feed(Into, std::uint64_t{Value.Dropped.has_value()});
  const DroppedNames Dropped = Value.Dropped.value_or(DroppedNames{});
  feedList(Into, Dropped.Teams);
  feedList(Into, Dropped.Hosts);
  feedList(Into, Dropped.Models);
  feedList(Into, Dropped.Services);
}
void feed(Feed &Into, const SetCapacity &Value) {
  feed(Into, Value.Model);
  feed(Into, Value.DataCentre);
  feed(Into, Value.Groups);
}
void feed(Feed &Into, const SetVersion &Value) {
  feed(Into, Value.Model);
  feed(Into, Value.Version);
}
void feed(Feed &Into, const SetAdapters &Value) {
  feed(Into, Value.Model);
  feedList(Into, Value.Adapters);
}
void feed(Feed &Into, const DrainDataCentre &Value) {
  feed(Into, Value.DataCentre);
}
void feed(Feed &Into, const ReturnDataCentre &Value) {
  feed(Into, Value.DataCentre);
}
void feed(Feed &Into, const DrainHost &Value) { feed(Into, Value.Host); }
void feed(Feed &Into, const ReturnHost &Value) { feed(Into, Value.Host); }

template <class... Kinds>
void feed(Feed &Into, const std::variant<Kinds...> &Value) {
  feed(Into, Value.index());
  std::visit([&](const auto &Each) { feed(Into, Each); }, Value);
}

void feed(Feed &Into, const CapacityForecast &Value) {
  feed(Into, Value.Model);
  feed(Into, Value.GroupsNow);
  feed(Into, Value.GroupsAtWorst);
  feed(Into, Value.GroupsAfter);
  feed(Into, Value.GroupsWanted);
}

void feed(Feed &Into, const Plan &Value) {
  feed(Into, Value.RequestedIntent);
  feed(Into, Value.PlannedAt);
  feedList(Into, Value.Steps);
  feedList(Into, Value.Forecast);
  feedList(Into, Value.WillNotDo);
}

void feed(Feed &Into, const Group &Value) {
  feed(Into, Value.Spec);
  feed(Into, Value.Phase);
  feed(Into, Value.Generation);
  feedList(Into, Value.MemberRuns);
  feedList(Into, Value.HeldHosts);
}

void feed(Feed &Into, const PlanProgress &Value) {
  feed(Into, Value.Proposed.Proposal);
  feed(Into, Value.Proposed.Operator);
  feed(Into, Value.Phase);
  feed(Into, Value.Lease);
  feed(Into, Value.Executor);
  feed(Into, Value.ExecutorRun);
  feed(Into, Value.StepsDone);
  feed(Into, Value.Reason);
  feed(Into, Value.ConfirmedAt);
  feed(Into, Value.EndedAt);
  feedList(Into, Value.Formed);
}

void feed(Feed &Into, const WriterMark &Value) {
  feed(Into, Value.Sequence);
  feed(Into, Value.LastOffset);
}

} // namespace

std::uint64_t digestOf(const State &Of) {
  Feed Into;
  feed(Into, Of.Next);
  feed(Into, Of.Declared);
  feedMap(Into, Of.EntryHosts);
  feedList(Into, Of.DrainedDataCentres);
  feedList(Into, Of.DrainedHosts);
  feedMap(Into, Of.Groups);
  feedMap(Into, Of.OccupiedHosts);
  feedMap(Into, Of.DepartedHosts);
  feedMap(Into, Of.Plans);
  feedMap(Into, Of.Writers);
  feed(Into, Of.Checkpoint.StateNext);
  feed(Into, Of.Checkpoint.Digest);
  feed(Into, Of.Checkpoint.AnnouncedAt);
  feed(Into, Of.EntryHostsChange);
  feed(Into, Of.LastChange);
  feed(Into, Of.DeclaredChange);
  feedMap(Into, Of.ModelChanges);
  feedMap(Into, Of.DataCentreChanges);
  feedMap(Into, Of.HostChanges);
  return Into.finish();
}

} // namespace coltsfoottrail
