#include "coltsfoottrail/record/codec.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/json/cbor.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <string>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxNameBytes = 128;
constexpr std::uint64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::string_view RecordSource = "record";

constexpr std::array<std::string_view, 3> RoleWords{"mixed", "prefill",
                                                    "decode"};
/// In the order of the alternatives of Intent.
constexpr std::array<std::string_view, std::variant_size_v<Intent> + 1>
    IntentWords{"apply_declaration", "set_capacity",      "set_version",
                "set_adapters",      "drain_data_centre", "return_data_centre",
                "drain_host",        "return_host",       "change_declaration"};
/// A change of the declaration has a word of its own, so that a reader that
/// does not know it refuses it and does not take the change for the whole.
constexpr std::size_t ChangeWord = IntentWords.size() - 1;
/// In the order of the alternatives of Step.
constexpr std::array<std::string_view, std::variant_size_v<Step>> StepWords{
    "form_group", "stop_group", "swap_adapters"};
/// In the order of the alternatives of Record.
constexpr std::array<std::string_view, std::variant_size_v<Record>> RecordWords{
    "entry_host_joined", "entry_host_left", "plan_proposed",  "plan_confirmed",
    "plan_abandoned",    "executor_taken",  "step_finished",  "group_confirmed",
    "group_broken",      "host_released",   "checkpoint_part"};

template <class NameType>
NameType readName(ObjectReader &From, std::string_view Key) {
  return NameType(From.text(Key, MaxNameBytes));
}

std::uint32_t readCount(ObjectReader &From, std::string_view Key) {
  return static_cast<std::uint32_t>(From.number(Key, 0, MaxCount));
}

template <class NameType> Json writeNames(const std::vector<NameType> &List) {
  Json Out = Json::array();
  for (const NameType &Name : List)
    Out.push_back(Name.Text);
  return Out;
}

template <class NameType>
std::vector<NameType> readNames(ObjectReader &From, std::string_view Key) {
  std::vector<NameType> Out;
  for (std::string &Text : From.texts(Key, MaxNameBytes))
    Out.emplace_back(std::move(Text));
  return Out;
}

/// Leaves an empty text out, as the reader refuses one that stands there.
void putText(Json &Into, const char *Key, const std::string &Text) {
  if (!Text.empty())
    Into[Key] = Text;
}

Json writeGroupId(const GroupId &Group) {
  return Json{{"plan", Group.Plan}, {"number", Group.Number}};
}

GroupId readGroupId(ObjectReader &Parent, std::string_view Key) {
  ObjectReader From = Parent.object(Key);
  GroupId Out;
  Out.Plan = From.number("plan");
  Out.Number = readCount(From, "number");
  From.finish();
  return Out;
}

Json writeRuns(const std::vector<Incarnation> &Runs) {
  Json Out = Json::array();
  for (const Incarnation Run : Runs)
    Out.push_back(Run);
  return Out;
}

std::vector<Incarnation> readRuns(ObjectReader &From, std::string_view Key) {
  std::vector<Incarnation> Out;
  const Json &List = From.raw(Key);
  if (!List.is_array())
    From.refuse(Key, "a list of whole numbers");
  for (const Json &Each : List) {
    if (!Each.is_number_unsigned())
      From.refuse(Key, "a list of whole numbers");
    Out.push_back(Each.get<Incarnation>());
  }
  return Out;
}

template <class Asked> Json writeDataCentre(const Asked &Each) {
  return Json{{"data_centre", Each.DataCentre.Text}};
}

template <class Asked> Json writeHostName(const Asked &Each) {
  return Json{{"host", Each.Host.Text}};
}

Json writeApply(const ApplyDeclaration &Each) {
  Json Out{{"declaration", writeDeclaration(Each.Wanted)}};
  if (Each.Dropped)
    Out["dropped"] = Json{{"teams", writeNames(Each.Dropped->Teams)},
                          {"hosts", writeNames(Each.Dropped->Hosts)},
                          {"models", writeNames(Each.Dropped->Models)},
                          {"services", writeNames(Each.Dropped->Services)}};
  return Out;
}

DroppedNames readDropped(ObjectReader &Parent) {
  ObjectReader From = Parent.object("dropped");
  DroppedNames Out;
  Out.Teams = readNames<TeamName>(From, "teams");
  Out.Hosts = readNames<HostName>(From, "hosts");
  Out.Models = readNames<ModelName>(From, "models");
  Out.Services = readNames<ServiceName>(From, "services");
  From.finish();
  return Out;
}

Json writeIntentBody(const Intent &Asked) {
  return std::visit(
      Overloaded{
          [](const ApplyDeclaration &Each) { return writeApply(Each); },
          [](const SetCapacity &Each) {
            return Json{{"model", Each.Model.Text},
                        {"data_centre", Each.DataCentre.Text},
                        {"groups", Each.Groups}};
          },
          [](const SetVersion &Each) {
            return Json{{"model", Each.Model.Text},
                        {"version", Each.Version.Text}};
          },
          [](const SetAdapters &Each) {
            return Json{{"model", Each.Model.Text},
                        {"adapters", writeNames(Each.Adapters)}};
          },
          [](const DrainDataCentre &Each) { return writeDataCentre(Each); },
          [](const ReturnDataCentre &Each) { return writeDataCentre(Each); },
          [](const DrainHost &Each) { return writeHostName(Each); },
          [](const ReturnHost &Each) { return writeHostName(Each); },
      },
      Asked);
}

SetCapacity readSetCapacity(ObjectReader &From) {
  SetCapacity Out;
  Out.Model = readName<ModelName>(From, "model");
  Out.DataCentre = readName<DataCentreName>(From, "data_centre");
  Out.Groups = readCount(From, "groups");
  return Out;
}

SetVersion readSetVersion(ObjectReader &From) {
  SetVersion Out;
  Out.Model = readName<ModelName>(From, "model");
  Out.Version = readName<VersionName>(From, "version");
  return Out;
}

SetAdapters readSetAdapters(ObjectReader &From) {
  SetAdapters Out;
  Out.Model = readName<ModelName>(From, "model");
  Out.Adapters = readNames<AdapterName>(From, "adapters");
  return Out;
}

Intent readIntentBody(std::size_t Kind, ObjectReader &From,
                      std::string_view Source, UnknownKeys Policy) {
  switch (Kind) {
  case 0:
    return ApplyDeclaration{
        readDeclaration(From.raw("declaration"), Source, Policy)};
  case 1:
    return readSetCapacity(From);
  case 2:
    return readSetVersion(From);
  case 3:
    return readSetAdapters(From);
  case 4:
    return DrainDataCentre{readName<DataCentreName>(From, "data_centre")};
  case 5:
    return ReturnDataCentre{readName<DataCentreName>(From, "data_centre")};
  case 6:
    return DrainHost{readName<HostName>(From, "host")};
  case ChangeWord:
    return ApplyDeclaration{
        readDeclaration(From.raw("declaration"), Source, Policy),
        readDropped(From)};
  default:
    return ReturnHost{readName<HostName>(From, "host")};
  }
}

Json writeStepBody(const Step &Planned) {
  return std::visit(
      Overloaded{
          [](const FormGroup &Each) {
            return Json{
                {"number", Each.Number},
                {"model", Each.Model.Text},
                {"version", Each.Version.Text},
                {"adapters", writeNames(Each.Adapters)},
                {"role", RoleWords.at(static_cast<std::size_t>(Each.Role))},
                {"data_centre", Each.DataCentre.Text},
                {"members", writeNames(Each.Members)}};
          },
          [](const StopGroup &Each) {
            return Json{{"group", writeGroupId(Each.Group)}};
          },
          [](const SwapAdapters &Each) {
            return Json{{"group", writeGroupId(Each.Group)},
                        {"adapters", writeNames(Each.Adapters)}};
          },
      },
      Planned);
}

FormGroup readFormGroup(ObjectReader &From) {
  FormGroup Out;
  Out.Number = readCount(From, "number");
  Out.Model = readName<ModelName>(From, "model");
  Out.Version = readName<VersionName>(From, "version");
  Out.Adapters = readNames<AdapterName>(From, "adapters");
  Out.Role = static_cast<EngineRole>(From.word("role", RoleWords));
  Out.DataCentre = readName<DataCentreName>(From, "data_centre");
  Out.Members = readNames<HostName>(From, "members");
  return Out;
}

SwapAdapters readSwapAdapters(ObjectReader &From) {
  SwapAdapters Out;
  Out.Group = readGroupId(From, "group");
  Out.Adapters = readNames<AdapterName>(From, "adapters");
  return Out;
}

Step readStepFrom(ObjectReader &From) {
  switch (From.word("kind", StepWords)) {
  case 0:
    return readFormGroup(From);
  case 1:
    return StopGroup{readGroupId(From, "group")};
  default:
    return readSwapAdapters(From);
  }
}

Json writeForecast(const CapacityForecast &Each) {
  return Json{{"model", Each.Model.Text},
              {"groups_now", Each.GroupsNow},
              {"groups_at_worst", Each.GroupsAtWorst},
              {"groups_after", Each.GroupsAfter},
              {"groups_wanted", Each.GroupsWanted}};
}

CapacityForecast readForecast(ObjectReader &From) {
  CapacityForecast Out;
  Out.Model = readName<ModelName>(From, "model");
  Out.GroupsNow = readCount(From, "groups_now");
  Out.GroupsAtWorst = readCount(From, "groups_at_worst");
  Out.GroupsAfter = readCount(From, "groups_after");
  Out.GroupsWanted = readCount(From, "groups_wanted");
  return Out;
}

Json writeProposed(const PlanProposed &Each) {
  Json Out{{"proposal", writePlan(Each.Proposal)}};
  putText(Out, "operator", Each.Operator);
  return Out;
}

Json writeConfirmed(const PlanConfirmed &Each) {
  Json Out{{"plan", Each.Plan}};
  putText(Out, "operator", Each.Operator);
  return Out;
}

Json writeAbandoned(const PlanAbandoned &Each) {
  Json Out{{"plan", Each.Plan}};
  putText(Out, "why", Each.Why);
  return Out;
}

Json writeBroken(const GroupBroken &Each) {
  Json Out{{"group", writeGroupId(Each.Group)}, {"lost", Each.Lost.Text}};
  putText(Out, "why", Each.Why);
  return Out;
}

Json writeRecordBody(const Record &Written) {
  return std::visit(
      Overloaded{
          [](const EntryHostJoined &Each) {
            return Json{{"host", Each.Host.Text},
                        {"run", Each.Run},
                        {"data_centre", Each.DataCentre.Text},
                        {"address", Each.Address},
                        {"mesh_port", Each.MeshPort},
                        {"caller_port", Each.CallerPort}};
          },
          [](const EntryHostLeft &Each) {
            return Json{{"host", Each.Host.Text}, {"run", Each.Run}};
          },
          [](const PlanProposed &Each) { return writeProposed(Each); },
          [](const PlanConfirmed &Each) { return writeConfirmed(Each); },
          [](const PlanAbandoned &Each) { return writeAbandoned(Each); },
          [](const ExecutorTaken &Each) {
            return Json{{"plan", Each.Plan},
                        {"host", Each.Host.Text},
                        {"run", Each.Run},
                        {"replaces", Each.Replaces}};
          },
          [](const StepFinished &Each) {
            return Json{{"plan", Each.Plan},
                        {"lease", Each.Lease},
                        {"step", Each.StepIndex}};
          },
          [](const GroupConfirmed &Each) {
            return Json{{"group", writeGroupId(Each.Group)},
                        {"lease", Each.Lease},
                        {"member_runs", writeRuns(Each.MemberRuns)}};
          },
          [](const GroupBroken &Each) { return writeBroken(Each); },
          [](const HostReleased &Each) {
            return Json{{"host", Each.Host.Text},
                        {"group", writeGroupId(Each.Group)}};
          },
          [](const CheckpointPart &Each) {
            return Json{{"at", Each.At},
                        {"part", Each.Part},
                        {"parts", Each.Parts},
                        {"digest", Each.Digest},
                        {"bytes", Json::binary(Each.Bytes)}};
          },
      },
      Written);
}

EntryHostJoined readJoined(ObjectReader &From) {
  EntryHostJoined Out;
  Out.Host = readName<HostName>(From, "host");
  Out.Run = From.number("run", 1);
  Out.DataCentre = readName<DataCentreName>(From, "data_centre");
  Out.Address = From.text("address", MaxNameBytes);
  if (!isIpAddress(Out.Address))
    From.refuse("address", "an IP number");
  Out.MeshPort =
      static_cast<std::uint16_t>(From.number("mesh_port", 0, MaxPort));
  Out.CallerPort =
      static_cast<std::uint16_t>(From.number("caller_port", 0, MaxPort));
  return Out;
}

ExecutorTaken readTaken(ObjectReader &From) {
  ExecutorTaken Out;
  Out.Plan = From.number("plan");
  Out.Host = readName<HostName>(From, "host");
  Out.Run = From.number("run", 1);
  Out.Replaces = From.number("replaces");
  return Out;
}

StepFinished readFinished(ObjectReader &From) {
  StepFinished Out;
  Out.Plan = From.number("plan");
  Out.Lease = From.number("lease");
  Out.StepIndex = readCount(From, "step");
  return Out;
}

GroupConfirmed readGroupConfirmed(ObjectReader &From) {
  GroupConfirmed Out;
  Out.Group = readGroupId(From, "group");
  Out.Lease = From.number("lease");
  Out.MemberRuns = readRuns(From, "member_runs");
  return Out;
}

GroupBroken readBroken(ObjectReader &From) {
  GroupBroken Out;
  Out.Group = readGroupId(From, "group");
  Out.Lost = readName<HostName>(From, "lost");
  Out.Why = From.textOr("why", "");
  return Out;
}

CheckpointPart readPart(ObjectReader &From) {
  CheckpointPart Out;
  Out.At = From.number("at");
  Out.Part = readCount(From, "part");
  Out.Parts = readCount(From, "parts");
  Out.Digest = From.number("digest");
  const Json &Bytes = From.raw("bytes");
  if (!Bytes.is_binary())
    From.refuse("bytes", "a string of bytes");
  Out.Bytes = Bytes.get_binary();
  return Out;
}

Record readRecordBody(std::size_t Kind, ObjectReader &From) {
  switch (Kind) {
  case 0:
    return readJoined(From);
  case 1: {
    HostName Host = readName<HostName>(From, "host");
    return EntryHostLeft{std::move(Host), From.number("run", 1)};
  }
  case 2: {
    Plan Proposal =
        readPlan(From.raw("proposal"), RecordSource, UnknownKeys::Ignore);
    return PlanProposed{std::move(Proposal), From.textOr("operator", "")};
  }
  case 3: {
    const Offset Which = From.number("plan");
    return PlanConfirmed{Which, From.textOr("operator", "")};
  }
  case 4: {
    const Offset Which = From.number("plan");
    return PlanAbandoned{Which, From.textOr("why", "")};
  }
  case 5:
    return readTaken(From);
  case 6:
    return readFinished(From);
  case 7:
    return readGroupConfirmed(From);
  case 8:
    return readBroken(From);
  case 9: {
    HostName Host = readName<HostName>(From, "host");
    return HostReleased{std::move(Host), readGroupId(From, "group")};
  }
  default:
    return readPart(From);
  }
}

} // namespace

Json writeIntent(const Intent &Asked) {
  Json Out = writeIntentBody(Asked);
  const auto *const Apply = std::get_if<ApplyDeclaration>(&Asked);
  const bool IsChange = Apply != nullptr && Apply->Dropped;
  Out["kind"] = IntentWords.at(IsChange ? ChangeWord : Asked.index());
  return Out;
}

Intent readIntent(const Json &Value, std::string_view Source,
                  UnknownKeys Policy) {
  ObjectReader From(Value, Source, {}, Policy);
  const std::size_t Kind = From.word("kind", IntentWords);
  Intent Out = readIntentBody(Kind, From, Source, Policy);
  From.finish();
  return Out;
}

Json writeStep(const Step &Planned) {
  Json Out = writeStepBody(Planned);
  Out["kind"] = StepWords.at(Planned.index());
  return Out;
}

Step readStep(const Json &Value, std::string_view Source, UnknownKeys Policy) {
  ObjectReader From(Value, Source, {}, Policy);
  Step Out = readStepFrom(From);
  From.finish();
  return Out;
}

Json writePlan(const Plan &Proposal) {
  Json Steps = Json::array();
  for (const Step &Each : Proposal.Steps)
    Steps.push_back(writeStep(Each));
  Json Forecast = Json::array();
  for (const CapacityForecast &Each : Proposal.Forecast)
    Forecast.push_back(writeForecast(Each));
  return Json{{"intent", writeIntent(Proposal.Asked)},
              {"planned_at", Proposal.PlannedAt},
              {"steps", std::move(Steps)},
              {"forecast", std::move(Forecast)},
              {"will_not_do", Proposal.WillNotDo}};
}

Plan readPlan(const Json &Value, std::string_view Source, UnknownKeys Policy) {
  ObjectReader From(Value, Source, {}, Policy);
  Plan Out;
  Out.Asked = readIntent(From.raw("intent"), Source, Policy);
  Out.PlannedAt = From.number("planned_at");
  From.eachObject("steps", [&](ObjectReader &Each) {
    Out.Steps.push_back(readStepFrom(Each));
  });
  From.eachObject("forecast", [&](ObjectReader &Each) {
    Out.Forecast.push_back(readForecast(Each));
  });
  Out.WillNotDo = From.texts("will_not_do");
  From.finish();
  return Out;
}

Json writeRecord(const Record &Written) {
  Json Out = writeRecordBody(Written);
  Out["kind"] = RecordWords.at(Written.index());
  return Out;
}

Record readRecord(const Json &Value, std::string_view Source) {
  ObjectReader From(Value, Source, {}, UnknownKeys::Ignore);
  const std::size_t Kind = From.word("kind", RecordWords);
  return readRecordBody(Kind, From);
}

std::vector<std::byte> encodeRecord(const Envelope &Written) {
  const Json Value{{"form", RecordFormVersion},
                   {"run", Written.Writer.Run},
                   {"sequence", Written.Writer.Sequence},
                   {"record", writeRecord(Written.Body)}};
  std::vector<std::byte> Bytes = writeCbor(Value);
  if (Bytes.size() > MaxRecordBytes)
    throw Error("a record of " + std::to_string(Bytes.size()) +
                " bytes does not fit the limit of " +
                std::to_string(MaxRecordBytes));
  return Bytes;
}

Envelope decodeRecord(ByteView Bytes) {
  if (Bytes.size() > MaxRecordBytes)
    throw InputError(RecordSource, "", std::to_string(Bytes.size()) + " bytes",
                     "at most " + std::to_string(MaxRecordBytes) + " bytes");
  const Json Value = parseCbor(Bytes, RecordSource);
  ObjectReader From(Value, RecordSource, {}, UnknownKeys::Ignore);
  static_cast<void>(From.number("form", 1, RecordFormVersion));
  Envelope Out;
  Out.Writer.Run = From.number("run", 1);
  Out.Writer.Sequence = From.number("sequence");
  Out.Body = readRecord(From.raw("record"), RecordSource);
  return Out;
}

} // namespace coltsfoottrail
