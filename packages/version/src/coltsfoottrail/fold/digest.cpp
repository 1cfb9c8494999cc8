#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/fold/fold.hpp"

#include <array>
#include <bit>
#include <string>

namespace coltsfoottrail {

namespace {

/// Hashes values in the order in which they are added. Texts, lists and maps
/// are preceded by their length, so that no two states produce the same bytes.
class StateHasher {
public:
  void add(std::uint64_t Value) {
    std::array<char, sizeof Value> Raw{};
    for (char &Byte : Raw) {
      Byte = static_cast<char>(Value & 0xFFU);
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
void hash(StateHasher &Hasher, Enum Value) {
  Hasher.add(static_cast<std::uint64_t>(Value));
}
void hash(StateHasher &Hasher, std::uint64_t Value) { Hasher.add(Value); }
void hash(StateHasher &Hasher, const std::string &Text) {
  Hasher.add(std::string_view(Text));
}
template <class Tag> void hash(StateHasher &Hasher, const Name<Tag> &Value) {
  Hasher.add(std::string_view(Value.Text));
}
void hash(StateHasher &Hasher, const GroupId &Value) {
  hash(Hasher, Value.Plan);
  hash(Hasher, Value.Number);
}

template <class List> void hashList(StateHasher &Hasher, const List &Values) {
  hash(Hasher, Values.size());
  for (const auto &Item : Values)
    hash(Hasher, Item);
}

template <class Map> void hashMap(StateHasher &Hasher, const Map &Values) {
  hash(Hasher, Values.size());
  for (const auto &[Key, Value] : Values) {
    hash(Hasher, Key);
    hash(Hasher, Value);
  }
}

void hash(StateHasher &Hasher, const TeamSpec &Value) {
  hash(Hasher, Value.Name);
  hash(Hasher, Value.CredentialSha256);
  hash(Hasher, std::bit_cast<std::uint64_t>(Value.Weight));
  hash(Hasher, Value.MaxInFlight);
}

void hash(StateHasher &Hasher, const HostSpec &Value) {
  hash(Hasher, Value.Name);
  hash(Hasher, Value.DataCentre);
  hash(Hasher, Value.FabricDomain);
  hash(Hasher, Value.Address);
  hash(Hasher, Value.Port);
  hash(Hasher, Value.Accelerators);
  hash(Hasher, std::uint64_t{Value.RefusesOldFences});
}

void hash(StateHasher &Hasher, const ModelSpec &Value) {
  hash(Hasher, Value.Name);
  hash(Hasher, Value.Version);
  hashList(Hasher, Value.Adapters);
  hash(Hasher, Value.Role);
  hash(Hasher, Value.MembersPerGroup);
  hashMap(Hasher, Value.Groups);
  hash(Hasher, Value.WarmBound);
  hash(Hasher, Value.ColdBound);
}

void hash(StateHasher &Hasher, const ServiceInstance &Value) {
  hash(Hasher, Value.Host);
  hash(Hasher, Value.DataCentre);
  hash(Hasher, Value.Address);
  hash(Hasher, Value.Port);
}

void hash(StateHasher &Hasher, const ServiceSpec &Value) {
  hash(Hasher, Value.Name);
  hashList(Hasher, Value.RepeatablePaths);
  hash(Hasher, Value.WarmBound);
  hash(Hasher, Value.ColdBound);
  hashList(Hasher, Value.Instances);
}

void hash(StateHasher &Hasher, const Declaration &Value) {
  hashList(Hasher, Value.DataCentres);
  hashList(Hasher, Value.Teams);
  hashList(Hasher, Value.Hosts);
  hashList(Hasher, Value.Models);
  hashList(Hasher, Value.Services);
  hash(Hasher, Value.WeightLoadsAtOnce);
}

void hash(StateHasher &Hasher, const EntryHost &Value) {
  hash(Hasher, Value.JoinRecord.Host);
  hash(Hasher, Value.JoinRecord.Run);
  hash(Hasher, Value.JoinRecord.DataCentre);
  hash(Hasher, Value.JoinRecord.Address);
  hash(Hasher, Value.JoinRecord.MeshPort);
  hash(Hasher, Value.JoinRecord.CallerPort);
  hash(Hasher, Value.JoinOffset);
}

void hash(StateHasher &Hasher, const FormGroup &Value) {
  hash(Hasher, Value.Number);
  hash(Hasher, Value.Model);
  hash(Hasher, Value.Version);
  hashList(Hasher, Value.Adapters);
  hash(Hasher, Value.Role);
  hash(Hasher, Value.DataCentre);
  hashList(Hasher, Value.Members);
}
void hash(StateHasher &Hasher, const StopGroup &Value) {
  hash(Hasher, Value.Group);
}
void hash(StateHasher &Hasher, const SwapAdapters &Value) {
  hash(Hasher, Value.Group);
  hashList(Hasher, Value.Adapters);
}

void hash(StateHasher &Hasher, const ApplyDeclaration &Value) {
  hash(Hasher, Value.Desired);
  hash(Hasher, std::uint64_t{Value.Dropped.has_value()});
  const DroppedNames Dropped = Value.Dropped.value_or(DroppedNames{});
  hashList(Hasher, Dropped.Teams);
  hashList(Hasher, Dropped.Hosts);
  hashList(Hasher, Dropped.Models);
  hashList(Hasher, Dropped.Services);
}
void hash(StateHasher &Hasher, const SetCapacity &Value) {
  hash(Hasher, Value.Model);
  hash(Hasher, Value.DataCentre);
  hash(Hasher, Value.Groups);
}
void hash(StateHasher &Hasher, const SetVersion &Value) {
  hash(Hasher, Value.Model);
  hash(Hasher, Value.Version);
}
void hash(StateHasher &Hasher, const SetAdapters &Value) {
  hash(Hasher, Value.Model);
  hashList(Hasher, Value.Adapters);
}
void hash(StateHasher &Hasher, const DrainDataCentre &Value) {
  hash(Hasher, Value.DataCentre);
}
void hash(StateHasher &Hasher, const ReturnDataCentre &Value) {
  hash(Hasher, Value.DataCentre);
}
void hash(StateHasher &Hasher, const DrainHost &Value) {
  hash(Hasher, Value.Host);
}
void hash(StateHasher &Hasher, const ReturnHost &Value) {
  hash(Hasher, Value.Host);
}

template <class... Kinds>
void hash(StateHasher &Hasher, const std::variant<Kinds...> &Value) {
  hash(Hasher, Value.index());
  std::visit([&](const auto &Alternative) { hash(Hasher, Alternative); },
             Value);
}

void hash(StateHasher &Hasher, const CapacityForecast &Value) {
  hash(Hasher, Value.Model);
  hash(Hasher, Value.GroupsNow);
  hash(Hasher, Value.GroupsAtWorst);
  hash(Hasher, Value.GroupsAfter);
  hash(Hasher, Value.GroupsWanted);
}

void hash(StateHasher &Hasher, const Plan &Value) {
  hash(Hasher, Value.RequestedIntent);
  hash(Hasher, Value.PlannedAt);
  hashList(Hasher, Value.Steps);
  hashList(Hasher, Value.Forecast);
  hashList(Hasher, Value.WillNotDo);
}

void hash(StateHasher &Hasher, const Group &Value) {
  hash(Hasher, Value.Spec);
  hash(Hasher, Value.Phase);
  hash(Hasher, Value.Generation);
  hashList(Hasher, Value.MemberRuns);
  hashList(Hasher, Value.HeldHosts);
}

void hash(StateHasher &Hasher, const PlanProgress &Value) {
  hash(Hasher, Value.ProposalRecord.Proposal);
  hash(Hasher, Value.ProposalRecord.Operator);
  hash(Hasher, Value.Phase);
  hash(Hasher, Value.Lease);
  hash(Hasher, Value.Executor);
  hash(Hasher, Value.ExecutorRun);
  hash(Hasher, Value.StepsDone);
  hash(Hasher, Value.Reason);
  hash(Hasher, Value.ConfirmedAt);
  hash(Hasher, Value.EndedAt);
  hashList(Hasher, Value.FormedGroups);
}

void hash(StateHasher &Hasher, const WriterMark &Value) {
  hash(Hasher, Value.Sequence);
  hash(Hasher, Value.LastOffset);
}

} // namespace

std::uint64_t digestOf(const State &Source) {
  StateHasher Hasher;
  hash(Hasher, Source.Next);
  hash(Hasher, Source.Declared);
  hashMap(Hasher, Source.EntryHosts);
  hashList(Hasher, Source.DrainedDataCentres);
  hashList(Hasher, Source.DrainedHosts);
  hashMap(Hasher, Source.Groups);
  hashMap(Hasher, Source.OccupiedHosts);
  hashMap(Hasher, Source.DepartedHosts);
  hashMap(Hasher, Source.Plans);
  hashMap(Hasher, Source.Writers);
  hash(Hasher, Source.Checkpoint.StateNext);
  hash(Hasher, Source.Checkpoint.Digest);
  hash(Hasher, Source.Checkpoint.AnnouncedAt);
  hash(Hasher, Source.EntryHostsChange);
  hash(Hasher, Source.LastChange);
  hash(Hasher, Source.DeclaredChange);
  hashMap(Hasher, Source.ModelChanges);
  hashMap(Hasher, Source.DataCentreChanges);
  hashMap(Hasher, Source.HostChanges);
  return Hasher.finish();
}

} // namespace coltsfoottrail
