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

constexpr std::array<std::string_view, 3> RoleNames{"mixed", "prefill",
                                                    "decode"};
/// In the order of the alternatives of Intent.
constexpr std::array<std::string_view, std::variant_size_v<Intent> + 1>
    IntentKinds{"apply_declaration", "set_capacity",      "set_version",
                "set_adapters",      "drain_data_centre", "return_data_centre",
                "drain_host",        "return_host",       "change_declaration"};
/// A change of the declaration has a kind of its own, so that a reader that
/// does not know it refuses it instead of taking the change for a whole
/// declaration.
constexpr std::size_t ChangeIntentKind = IntentKinds.size() - 1;
/// In the order of the alternatives of Step.
constexpr std::array<std::string_view, std::variant_size_v<Step>> StepKinds{
    "form_group", "stop_group", "swap_adapters"};
/// In the order of the alternatives of Record.
constexpr std::array<std::string_view, std::variant_size_v<Record>> RecordKinds{
    "entry_host_joined", "entry_host_left", "plan_proposed",  "plan_confirmed",
    "plan_abandoned",    "executor_taken",  "step_finished",  "group_confirmed",
    "group_broken",      "host_released",   "checkpoint_part"};

template <class NameType>
NameType readName(ObjectReader &Reader, std::string_view Key) {
  return NameType(Reader.text(Key, MaxNameBytes));
}

std::uint32_t readCount(ObjectReader &Reader, std::string_view Key) {
  return static_cast<std::uint32_t>(Reader.number(Key, 0, MaxCount));
}

template <class NameType> Json writeNames(const std::vector<NameType> &List) {
  Json Result = Json::array();
  for (const NameType &Name : List)
    Result.push_back(Name.Text);
  return Result;
}

template <class NameType>
std::vector<NameType> readNames(ObjectReader &Reader, std::string_view Key) {
  std::vector<NameType> Result;
  for (std::string &Text : Reader.texts(Key, MaxNameBytes))
    Result.emplace_back(std::move(Text));
  return Result;
}

/// Omits an empty text, as the reader refuses empty texts.
void putNonEmpty(Json &Object, const char *Key, const std::string &Text) {
  if (!Text.empty())
    Object[Key] = Text;
}

Json writeGroupId(const GroupId &Group) {
  return Json{{"plan", Group.Plan}, {"number", Group.Number}};
}

GroupId readGroupId(ObjectReader &Parent, std::string_view Key) {
  ObjectReader Reader = Parent.object(Key);
  GroupId Result;
  Result.Plan = Reader.number("plan");
  Result.Number = readCount(Reader, "number");
  Reader.finish();
  return Result;
}

Json writeRuns(const std::vector<Incarnation> &Runs) {
  Json Result = Json::array();
  for (const Incarnation Run : Runs)
    Result.push_back(Run);
  return Result;
}

std::vector<Incarnation> readRuns(ObjectReader &Reader, std::string_view Key) {
  std::vector<Incarnation> Result;
  const Json &List = Reader.raw(Key);
  if (!List.is_array())
    Reader.refuse(Key, "a list of whole numbers");
  for (const Json &Item : List) {
    if (!Item.is_number_unsigned())
      Reader.refuse(Key, "a list of whole numbers");
    Result.push_back(Item.get<Incarnation>());
  }
  return Result;
}

template <class IntentType> Json writeDataCentre(const IntentType &Value) {
  return Json{{"data_centre", Value.DataCentre.Text}};
}

template <class IntentType> Json writeHostName(const IntentType &Value) {
  return Json{{"host", Value.Host.Text}};
}

Json writeApply(const ApplyDeclaration &Value) {
  Json Result{{"declaration", writeDeclaration(Value.Desired)}};
  if (Value.Dropped)
    Result["dropped"] = Json{{"teams", writeNames(Value.Dropped->Teams)},
                             {"hosts", writeNames(Value.Dropped->Hosts)},
                             {"models", writeNames(Value.Dropped->Models)},
                             {"services", writeNames(Value.Dropped->Services)}};
  return Result;
}

DroppedNames readDropped(ObjectReader &Parent) {
  ObjectReader Reader = Parent.object("dropped");
  DroppedNames Result;
  Result.Teams = readNames<TeamName>(Reader, "teams");
  Result.Hosts = readNames<HostName>(Reader, "hosts");
  Result.Models = readNames<ModelName>(Reader, "models");
  Result.Services = readNames<ServiceName>(Reader, "services");
  Reader.finish();
  return Result;
}

Json writeIntentBody(const Intent &Request) {
  return std::visit(
      Overloaded{
          [](const ApplyDeclaration &Value) { return writeApply(Value); },
          [](const SetCapacity &Value) {
            return Json{{"model", Value.Model.Text},
                        {"data_centre", Value.DataCentre.Text},
                        {"groups", Value.Groups}};
          },
          [](const SetVersion &Value) {
            return Json{{"model", Value.Model.Text},
                        {"version", Value.Version.Text}};
          },
          [](const SetAdapters &Value) {
            return Json{{"model", Value.Model.Text},
                        {"adapters", writeNames(Value.Adapters)}};
          },
          [](const DrainDataCentre &Value) { return writeDataCentre(Value); },
          [](const ReturnDataCentre &Value) { return writeDataCentre(Value); },
          [](const DrainHost &Value) { return writeHostName(Value); },
          [](const ReturnHost &Value) { return writeHostName(Value); },
      },
      Request);
}

SetCapacity readSetCapacity(ObjectReader &Reader) {
  SetCapacity Result;
  Result.Model = readName<ModelName>(Reader, "model");
  Result.DataCentre = readName<DataCentreName>(Reader, "data_centre");
  Result.Groups = readCount(Reader, "groups");
  return Result;
}

SetVersion readSetVersion(ObjectReader &Reader) {
  SetVersion Result;
  Result.Model = readName<ModelName>(Reader, "model");
  Result.Version = readName<VersionName>(Reader, "version");
  return Result;
}

SetAdapters readSetAdapters(ObjectReader &Reader) {
  SetAdapters Result;
  Result.Model = readName<ModelName>(Reader, "model");
  Result.Adapters = readNames<AdapterName>(Reader, "adapters");
  return Result;
}

Intent readIntentBody(std::size_t Kind, ObjectReader &Reader,
                      std::string_view Source, UnknownKeys Policy) {
  switch (Kind) {
  case 0:
    return ApplyDeclaration{
        readDeclaration(Reader.raw("declaration"), Source, Policy)};
  case 1:
    return readSetCapacity(Reader);
  case 2:
    return readSetVersion(Reader);
  case 3:
    return readSetAdapters(Reader);
  case 4:
    return DrainDataCentre{readName<DataCentreName>(Reader, "data_centre")};
  case 5:
    return ReturnDataCentre{readName<DataCentreName>(Reader, "data_centre")};
  case 6:
    return DrainHost{readName<HostName>(Reader, "host")};
  case ChangeIntentKind:
    return ApplyDeclaration{
        readDeclaration(Reader.raw("declaration"), Source, Policy),
        readDropped(Reader)};
  default:
    return ReturnHost{readName<HostName>(Reader, "host")};
  }
}

Json writeStepBody(const Step &PlanStep) {
  return std::visit(
      Overloaded{
          [](const FormGroup &Value) {
            return Json{
                {"number", Value.Number},
                {"model", Value.Model.Text},
                {"version", Value.Version.Text},
                {"adapters", writeNames(Value.Adapters)},
                {"role", RoleNames.at(static_cast<std::size_t>(Value.Role))},
                {"data_centre", Value.DataCentre.Text},
                {"members", writeNames(Value.Members)}};
          },
          [](const StopGroup &Value) {
            return Json{{"group", writeGroupId(Value.Group)}};
          },
          [](const SwapAdapters &Value) {
            return Json{{"group", writeGroupId(Value.Group)},
                        {"adapters", writeNames(Value.Adapters)}};
          },
      },
      PlanStep);
}

FormGroup readFormGroup(ObjectReader &Reader) {
  FormGroup Result;
  Result.Number = readCount(Reader, "number");
  Result.Model = readName<ModelName>(Reader, "model");
  Result.Version = readName<VersionName>(Reader, "version");
  Result.Adapters = readNames<AdapterName>(Reader, "adapters");
  Result.Role = static_cast<EngineRole>(Reader.word("role", RoleNames));
  Result.DataCentre = readName<DataCentreName>(Reader, "data_centre");
  Result.Members = readNames<HostName>(Reader, "members");
  return Result;
}

SwapAdapters readSwapAdapters(ObjectReader &Reader) {
  SwapAdapters Result;
  Result.Group = readGroupId(Reader, "group");
  Result.Adapters = readNames<AdapterName>(Reader, "adapters");
  return Result;
}

Step readStepBody(ObjectReader &Reader) {
  switch (Reader.word("kind", StepKinds)) {
  case 0:
    return readFormGroup(Reader);
  case 1:
    return StopGroup{readGroupId(Reader, "group")};
  default:
    return readSwapAdapters(Reader);
  }
}

Json writeForecast(const CapacityForecast &Value) {
  return Json{{"model", Value.Model.Text},
              {"groups_now", Value.GroupsNow},
              {"groups_at_worst", Value.GroupsAtWorst},
              {"groups_after", Value.GroupsAfter},
              {"groups_wanted", Value.GroupsWanted}};
}

CapacityForecast readForecast(ObjectReader &Reader) {
  CapacityForecast Result;
  Result.Model = readName<ModelName>(Reader, "model");
  Result.GroupsNow = readCount(Reader, "groups_now");
  Result.GroupsAtWorst = readCount(Reader, "groups_at_worst");
  Result.GroupsAfter = readCount(Reader, "groups_after");
  Result.GroupsWanted = readCount(Reader, "groups_wanted");
  return Result;
}

Json writePlanProposed(const PlanProposed &Value) {
  Json Result{{"proposal", writePlan(Value.Proposal)}};
  putNonEmpty(Result, "operator", Value.Operator);
  return Result;
}

Json writePlanConfirmed(const PlanConfirmed &Value) {
  Json Result{{"plan", Value.Plan}};
  putNonEmpty(Result, "operator", Value.Operator);
  return Result;
}

Json writePlanAbandoned(const PlanAbandoned &Value) {
  Json Result{{"plan", Value.Plan}};
  putNonEmpty(Result, "why", Value.Reason);
  return Result;
}

Json writeGroupBroken(const GroupBroken &Value) {
  Json Result{{"group", writeGroupId(Value.Group)},
              {"lost", Value.LostMember.Text}};
  putNonEmpty(Result, "why", Value.Reason);
  return Result;
}

Json writeRecordBody(const Record &Body) {
  return std::visit(
      Overloaded{
          [](const EntryHostJoined &Value) {
            return Json{{"host", Value.Host.Text},
                        {"run", Value.Run},
                        {"data_centre", Value.DataCentre.Text},
                        {"address", Value.Address},
                        {"mesh_port", Value.MeshPort},
                        {"caller_port", Value.CallerPort}};
          },
          [](const EntryHostLeft &Value) {
            return Json{{"host", Value.Host.Text}, {"run", Value.Run}};
          },
          [](const PlanProposed &Value) { return writePlanProposed(Value); },
          [](const PlanConfirmed &Value) { return writePlanConfirmed(Value); },
          [](const PlanAbandoned &Value) { return writePlanAbandoned(Value); },
          [](const ExecutorTaken &Value) {
            return Json{{"plan", Value.Plan},
                        {"host", Value.Host.Text},
                        {"run", Value.Run},
                        {"replaces", Value.ReplacedLease}};
          },
          [](const StepFinished &Value) {
            return Json{{"plan", Value.Plan},
                        {"lease", Value.Lease},
                        {"step", Value.StepIndex}};
          },
          [](const GroupConfirmed &Value) {
            return Json{{"group", writeGroupId(Value.Group)},
                        {"lease", Value.Lease},
                        {"member_runs", writeRuns(Value.MemberRuns)}};
          },
          [](const GroupBroken &Value) { return writeGroupBroken(Value); },
          [](const HostReleased &Value) {
            return Json{{"host", Value.Host.Text},
                        {"group", writeGroupId(Value.Group)}};
          },
          [](const CheckpointPart &Value) {
            return Json{{"at", Value.StateNext},
                        {"part", Value.Part},
                        {"parts", Value.Parts},
                        {"digest", Value.Digest},
                        {"bytes", Json::binary(Value.Bytes)}};
          },
      },
      Body);
}

EntryHostJoined readEntryHostJoined(ObjectReader &Reader) {
  EntryHostJoined Result;
  Result.Host = readName<HostName>(Reader, "host");
  Result.Run = Reader.number("run", 1);
  Result.DataCentre = readName<DataCentreName>(Reader, "data_centre");
  Result.Address = Reader.text("address", MaxNameBytes);
  if (!isIpAddress(Result.Address))
    Reader.refuse("address", "an IP number");
  Result.MeshPort =
      static_cast<std::uint16_t>(Reader.number("mesh_port", 0, MaxPort));
  Result.CallerPort =
      static_cast<std::uint16_t>(Reader.number("caller_port", 0, MaxPort));
  return Result;
}

ExecutorTaken readExecutorTaken(ObjectReader &Reader) {
  ExecutorTaken Result;
  Result.Plan = Reader.number("plan");
  Result.Host = readName<HostName>(Reader, "host");
  Result.Run = Reader.number("run", 1);
  Result.ReplacedLease = Reader.number("replaces");
  return Result;
}

StepFinished readStepFinished(ObjectReader &Reader) {
  StepFinished Result;
  Result.Plan = Reader.number("plan");
  Result.Lease = Reader.number("lease");
  Result.StepIndex = readCount(Reader, "step");
  return Result;
}

GroupConfirmed readGroupConfirmed(ObjectReader &Reader) {
  GroupConfirmed Result;
  Result.Group = readGroupId(Reader, "group");
  Result.Lease = Reader.number("lease");
  Result.MemberRuns = readRuns(Reader, "member_runs");
  return Result;
}

GroupBroken readGroupBroken(ObjectReader &Reader) {
  GroupBroken Result;
  Result.Group = readGroupId(Reader, "group");
  Result.LostMember = readName<HostName>(Reader, "lost");
  Result.Reason = Reader.textOr("why", "");
  return Result;
}

CheckpointPart readCheckpointPart(ObjectReader &Reader) {
  CheckpointPart Result;
  Result.StateNext = Reader.number("at");
  Result.Part = readCount(Reader, "part");
  Result.Parts = readCount(Reader, "parts");
  Result.Digest = Reader.number("digest");
  const Json &Bytes = Reader.raw("bytes");
  if (!Bytes.is_binary())
    Reader.refuse("bytes", "a string of bytes");
  Result.Bytes = Bytes.get_binary();
  return Result;
}

Record readRecordBody(std::size_t Kind, ObjectReader &Reader) {
  switch (Kind) {
  case 0:
    return readEntryHostJoined(Reader);
  case 1: {
    HostName Host = readName<HostName>(Reader, "host");
    return EntryHostLeft{std::move(Host), Reader.number("run", 1)};
  }
  case 2: {
    Plan Proposal =
        readPlan(Reader.raw("proposal"), RecordSource, UnknownKeys::Ignore);
    return PlanProposed{std::move(Proposal), Reader.textOr("operator", "")};
  }
  case 3: {
    const Offset PlanOffset = Reader.number("plan");
    return PlanConfirmed{PlanOffset, Reader.textOr("operator", "")};
  }
  case 4: {
    const Offset PlanOffset = Reader.number("plan");
    return PlanAbandoned{PlanOffset, Reader.textOr("why", "")};
  }
  case 5:
    return readExecutorTaken(Reader);
  case 6:
    return readStepFinished(Reader);
  case 7:
    return readGroupConfirmed(Reader);
  case 8:
    return readGroupBroken(Reader);
  case 9: {
    HostName Host = readName<HostName>(Reader, "host");
    return HostReleased{std::move(Host), readGroupId(Reader, "group")};
  }
  default:
    return readCheckpointPart(Reader);
  }
}

} // namespace

Json writeIntent(const Intent &Request) {
  Json Result = writeIntentBody(Request);
  const auto *const Apply = std::get_if<ApplyDeclaration>(&Request);
  const bool IsChange = Apply != nullptr && Apply->Dropped;
  Result["kind"] =
      IntentKinds.at(IsChange ? ChangeIntentKind : Request.index());
  return Result;
}

Intent readIntent(const Json &Value, std::string_view Source,
                  UnknownKeys Policy) {
  ObjectReader Reader(Value, Source, {}, Policy);
  const std::size_t Kind = Reader.word("kind", IntentKinds);
  Intent Result = readIntentBody(Kind, Reader, Source, Policy);
  Reader.finish();
  return Result;
}

Json writeStep(const Step &PlanStep) {
  Json Result = writeStepBody(PlanStep);
  Result["kind"] = StepKinds.at(PlanStep.index());
  return Result;
}

Step readStep(const Json &Value, std::string_view Source, UnknownKeys Policy) {
  ObjectReader Reader(Value, Source, {}, Policy);
  Step Result = readStepBody(Reader);
  Reader.finish();
  return Result;
}

Json writePlan(const Plan &Proposal) {
  Json Steps = Json::array();
  for (const Step &Item : Proposal.Steps)
    Steps.push_back(writeStep(Item));
  Json Forecast = Json::array();
  for (const CapacityForecast &Item : Proposal.Forecast)
    Forecast.push_back(writeForecast(Item));
  return Json{{"intent", writeIntent(Proposal.RequestedIntent)},
              {"planned_at", Proposal.PlannedAt},
              {"steps", std::move(Steps)},
              {"forecast", std::move(Forecast)},
              {"will_not_do", Proposal.WillNotDo}};
}

Plan readPlan(const Json &Value, std::string_view Source, UnknownKeys Policy) {
  ObjectReader Reader(Value, Source, {}, Policy);
  Plan Result;
  Result.RequestedIntent = readIntent(Reader.raw("intent"), Source, Policy);
  Result.PlannedAt = Reader.number("planned_at");
  Reader.eachObject("steps", [&](ObjectReader &ItemReader) {
    Result.Steps.push_back(readStepBody(ItemReader));
  });
  Reader.eachObject("forecast", [&](ObjectReader &ItemReader) {
    Result.Forecast.push_back(readForecast(ItemReader));
  });
  Result.WillNotDo = Reader.texts("will_not_do");
  Reader.finish();
  return Result;
}

Json writeRecord(const Record &Body) {
  Json Result = writeRecordBody(Body);
  Result["kind"] = RecordKinds.at(Body.index());
  return Result;
}

Record readRecord(const Json &Value, std::string_view Source) {
  ObjectReader Reader(Value, Source, {}, UnknownKeys::Ignore);
  const std::size_t Kind = Reader.word("kind", RecordKinds);
  return readRecordBody(Kind, Reader);
}

std::vector<std::byte> encodeRecord(const Envelope &Source) {
  const Json Value{{"form", RecordFormatVersion},
                   {"run", Source.Writer.Run},
                   {"sequence", Source.Writer.Sequence},
                   {"record", writeRecord(Source.Body)}};
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
  ObjectReader Reader(Value, RecordSource, {}, UnknownKeys::Ignore);
  static_cast<void>(Reader.number("form", 1, RecordFormatVersion));
  Envelope Result;
  Result.Writer.Run = Reader.number("run", 1);
  Result.Writer.Sequence = Reader.number("sequence");
  Result.Body = readRecord(Reader.raw("record"), RecordSource);
  return Result;
}

} // namespace coltsfoottrail
