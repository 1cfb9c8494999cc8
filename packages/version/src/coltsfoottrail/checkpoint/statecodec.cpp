#include "coltsfoottrail/checkpoint/statecodec.hpp"

#include "coltsfoottrail/json/cbor.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/record/codec.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <string>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::string_view Source = "checkpoint";
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t EntriesPerItem = 256;
constexpr std::uint64_t MaxCount = 0xFFFFFFFFU;

constexpr std::array<std::string_view, 4> GroupPhaseNames{"forming", "serving",
                                                          "stopping", "broken"};
constexpr std::array<std::string_view, 4> PlanPhaseNames{"proposed", "running",
                                                         "done", "abandoned"};

/// Writes a sequence of CBOR items, each preceded by its length.
class ItemWriter {
public:
  void add(const Json &Item) {
    const std::vector<std::byte> Bytes = writeCbor(Item);
    for (std::size_t Index = 0; Index < LengthBytes; ++Index)
      Buffer.push_back(static_cast<std::byte>(Bytes.size() >> (8 * Index)));
    Buffer.insert(Buffer.end(), Bytes.begin(), Bytes.end());
  }

  /// Writes the entries of a range as lists of at most EntriesPerItem entries.
  template <class Range, class Write>
  void addList(const char *Kind, const Range &Entries, const Write &WriteOne) {
    Json List = Json::array();
    for (const auto &Entry : Entries) {
      List.push_back(WriteOne(Entry));
      if (List.size() == EntriesPerItem)
        flush(Kind, List);
    }
    if (!List.empty())
      flush(Kind, List);
  }

  [[nodiscard]] std::vector<std::byte> finish() { return std::move(Buffer); }

private:
  void flush(const char *Kind, Json &List) {
    add(Json{{Kind, std::exchange(List, Json::array())}});
  }

  std::vector<std::byte> Buffer;
};

/// Calls a function for each item.
void forEachItem(ByteView Bytes,
                 const std::function<void(const Json &)> &Handler) {
  while (!Bytes.empty()) {
    std::size_t Size = 0;
    if (Bytes.size() < LengthBytes)
      throw InputError(Source, "", "a length that is cut off", "a whole item");
    for (std::size_t Index = 0; Index < LengthBytes; ++Index)
      Size |= std::to_integer<std::size_t>(Bytes[Index]) << (8 * Index);
    Bytes = Bytes.subspan(LengthBytes);
    if (Bytes.size() < Size)
      throw InputError(Source, "", "an item that is cut off", "a whole item");
    Handler(parseCbor(Bytes.first(Size), Source));
    Bytes = Bytes.subspan(Size);
  }
}

template <class Key> Json writeChanges(const std::map<Key, Offset> &Changes) {
  Json Result = Json::object();
  for (const auto &[Name, At] : Changes)
    Result[Name.Text] = At;
  return Result;
}

template <class Key>
std::map<Key, Offset> readChanges(ObjectReader &Reader,
                                  std::string_view Member) {
  std::map<Key, Offset> Result;
  ObjectReader Changes = Reader.object(Member);
  for (const auto &Change : Reader.raw(Member).items())
    Result[Key(Change.key())] = Changes.number(Change.key());
  return Result;
}

template <class Names> Json writeNames(const Names &List) {
  Json Result = Json::array();
  for (const auto &Name : List)
    Result.push_back(Name.Text);
  return Result;
}

template <class NameType>
std::set<NameType> readNames(ObjectReader &Reader, std::string_view Member) {
  std::set<NameType> Result;
  for (std::string &Text : Reader.texts(Member))
    Result.emplace(std::move(Text));
  return Result;
}

Json writeHeader(const State &Current) {
  return Json{{"form", StateFormatVersion},
              {"next", Current.Next},
              {"entry_hosts_change", Current.EntryHostsChange},
              {"last_change", Current.LastChange},
              {"declared_change", Current.DeclaredChange},
              {"model_changes", writeChanges(Current.ModelChanges)},
              {"data_centre_changes", writeChanges(Current.DataCentreChanges)},
              {"host_changes", writeChanges(Current.HostChanges)},
              {"drained_data_centres", writeNames(Current.DrainedDataCentres)},
              {"drained_hosts", writeNames(Current.DrainedHosts)},
              {"checkpoint_at", Current.Checkpoint.StateNext},
              {"checkpoint_digest", Current.Checkpoint.Digest},
              {"checkpoint_announced_at", Current.Checkpoint.AnnouncedAt}};
}

void readHeader(const Json &Item, State &Target) {
  ObjectReader Reader(Item, Source);
  static_cast<void>(
      Reader.number("form", StateFormatVersion, StateFormatVersion));
  Target.Next = Reader.number("next");
  Target.EntryHostsChange = Reader.number("entry_hosts_change");
  Target.LastChange = Reader.number("last_change");
  Target.DeclaredChange = Reader.number("declared_change");
  Target.ModelChanges = readChanges<ModelName>(Reader, "model_changes");
  Target.DataCentreChanges =
      readChanges<DataCentreName>(Reader, "data_centre_changes");
  Target.HostChanges = readChanges<HostName>(Reader, "host_changes");
  Target.DrainedDataCentres =
      readNames<DataCentreName>(Reader, "drained_data_centres");
  Target.DrainedHosts = readNames<HostName>(Reader, "drained_hosts");
  Target.Checkpoint.StateNext = Reader.number("checkpoint_at");
  Target.Checkpoint.Digest = Reader.number("checkpoint_digest");
  Target.Checkpoint.AnnouncedAt = Reader.number("checkpoint_announced_at");
  Reader.finish();
}

/// Writes the declaration: first everything but the hosts, then the hosts in
/// parts, each a declaration that holds only hosts and the data centres.
void addDeclaration(const Declaration &Declared, ItemWriter &Writer) {
  Declaration Part = Declared;
  Part.Hosts.clear();
  Writer.add(Json{{"declared", writeDeclaration(Part)}});
  Part = Declaration{};
  Part.DataCentres = Declared.DataCentres;
  for (auto First = Declared.Hosts.begin(); First != Declared.Hosts.end();) {
    const auto Left = std::distance(First, Declared.Hosts.end());
    const auto Last = First + std::min<std::ptrdiff_t>(Left, EntriesPerItem);
    Part.Hosts.assign(First, Last);
    Writer.add(Json{{"hosts", writeDeclaration(Part)}});
    First = Last;
  }
}

void readHosts(const Json &Item, State &Target) {
  Declaration Part =
      readDeclaration(Item.at("hosts"), Source, UnknownKeys::Refuse);
  std::ranges::move(Part.Hosts, std::back_inserter(Target.Declared.Hosts));
}

Json writeEntryHost(const EntryHost &Value) {
  return Json{{"joined", writeRecord(Value.JoinRecord)},
              {"since", Value.JoinOffset}};
}

void readEntryHost(ObjectReader &Reader, State &Target) {
  EntryHost Value;
  Record Decoded = readRecord(Reader.raw("joined"), Source);
  if (!std::holds_alternative<EntryHostJoined>(Decoded))
    Reader.refuse("joined", "a record of an entry host that joined");
  Value.JoinRecord = std::get<EntryHostJoined>(std::move(Decoded));
  Value.JoinOffset = Reader.number("since");
  Target.EntryHosts[Value.JoinRecord.Host] = std::move(Value);
}

Json writeGroup(const std::pair<const GroupId, Group> &Entry) {
  const auto &[Id, Value] = Entry;
  Json Result{
      {"plan", Id.Plan},
      {"formed", writeStep(Value.Spec)},
      {"phase", GroupPhaseNames.at(static_cast<std::size_t>(Value.Phase))},
      {"generation", Value.Generation},
      {"runs", Value.MemberRuns}};
  if (Value.HeldHosts.size() != Value.Spec.Members.size())
    Result["held"] = writeNames(Value.HeldHosts);
  return Result;
}

std::vector<Incarnation> readRuns(ObjectReader &Reader) {
  std::vector<Incarnation> Result;
  for (const Json &Run : Reader.raw("runs")) {
    if (!Run.is_number_unsigned())
      Reader.refuse("runs", "a list of whole numbers");
    Result.push_back(Run.get<Incarnation>());
  }
  return Result;
}

void readGroup(ObjectReader &Reader, State &Target) {
  Group Value;
  Step Formed = readStep(Reader.raw("formed"), Source, UnknownKeys::Refuse);
  if (!std::holds_alternative<FormGroup>(Formed))
    Reader.refuse("formed", "a step that forms a group");
  Value.Spec = std::get<FormGroup>(std::move(Formed));
  const GroupId Id{Reader.number("plan"), Value.Spec.Number};
  Value.Phase = static_cast<GroupPhase>(Reader.word("phase", GroupPhaseNames));
  Value.Generation = Reader.number("generation");
  Value.MemberRuns = readRuns(Reader);
  if (Reader.has("held"))
    Value.HeldHosts = readNames<HostName>(Reader, "held");
  else
    Value.HeldHosts.insert(Value.Spec.Members.begin(),
                           Value.Spec.Members.end());
  for (const HostName &Host : Value.HeldHosts)
    Target.OccupiedHosts[Host] = Id;
  Target.Groups[Id] = std::move(Value);
}

Json writeProgress(const std::pair<const Offset, PlanProgress> &Entry) {
  const PlanProgress &Progress = Entry.second;
  return Json{
      {"at", Entry.first},
      {"proposed", writeRecord(Progress.ProposalRecord)},
      {"phase", PlanPhaseNames.at(static_cast<std::size_t>(Progress.Phase))},
      {"lease", Progress.Lease},
      {"executor", Json::array({Progress.Executor.Text})},
      {"executor_run", Progress.ExecutorRun},
      {"steps_done", Progress.StepsDone},
      {"why", Json::array({Progress.Reason})},
      {"confirmed_at", Progress.ConfirmedAt},
      {"ended_at", Progress.EndedAt},
      {"formed", Progress.FormedGroups}};
}

/// Reads a text that may be empty; it is written as a list of one text, as the
/// reader refuses empty texts.
std::string readPossiblyEmpty(ObjectReader &Reader, std::string_view Member) {
  const Json &List = Reader.raw(Member);
  if (!List.is_array() || List.size() != 1 || !List[0].is_string())
    Reader.refuse(Member, "a list of one text");
  return List[0].get<std::string>();
}

void readFormedNumbers(ObjectReader &Reader, PlanProgress &Target) {
  for (const Json &Number : Reader.raw("formed")) {
    if (!Number.is_number_unsigned() || Number.get<std::uint64_t>() > MaxCount)
      Reader.refuse("formed", "a list of whole numbers");
    Target.FormedGroups.insert(Number.get<std::uint32_t>());
  }
}

void readProgress(ObjectReader &Reader, State &Target) {
  PlanProgress Progress;
  const Offset At = Reader.number("at");
  Record Decoded = readRecord(Reader.raw("proposed"), Source);
  if (!std::holds_alternative<PlanProposed>(Decoded))
    Reader.refuse("proposed", "a record of a plan that was proposed");
  Progress.ProposalRecord = std::get<PlanProposed>(std::move(Decoded));
  Progress.Phase = static_cast<PlanPhase>(Reader.word("phase", PlanPhaseNames));
  Progress.Lease = Reader.number("lease");
  Progress.Executor = HostName(readPossiblyEmpty(Reader, "executor"));
  Progress.ExecutorRun = Reader.number("executor_run");
  Progress.StepsDone =
      static_cast<std::uint32_t>(Reader.number("steps_done", 0, MaxCount));
  Progress.Reason = readPossiblyEmpty(Reader, "why");
  Progress.ConfirmedAt = Reader.number("confirmed_at");
  Progress.EndedAt = Reader.number("ended_at");
  readFormedNumbers(Reader, Progress);
  Target.Plans[At] = std::move(Progress);
}

Json writeWriter(const std::pair<const Incarnation, WriterMark> &Entry) {
  return Json{{"run", Entry.first},
              {"sequence", Entry.second.Sequence},
              {"last_at", Entry.second.LastOffset}};
}

void readWriter(ObjectReader &Reader, State &Target) {
  const Incarnation Run = Reader.number("run");
  WriterMark &Mark = Target.Writers[Run];
  Mark.Sequence = Reader.number("sequence");
  Mark.LastOffset = Reader.number("last_at");
}

void addDeparted(const State &Current, ItemWriter &Writer) {
  if (Current.DepartedHosts.empty())
    return;
  Declaration Part;
  std::set<DataCentreName> DataCentres;
  for (const auto &[Name, Host] : Current.DepartedHosts) {
    Part.Hosts.push_back(Host);
    DataCentres.insert(Host.DataCentre);
  }
  Part.DataCentres.assign(DataCentres.begin(), DataCentres.end());
  Writer.add(Json{{"departed", writeDeclaration(Part)}});
}

void readDeparted(const Json &Item, State &Target) {
  const Declaration Part =
      readDeclaration(Item.at("departed"), Source, UnknownKeys::Refuse);
  for (const HostSpec &Host : Part.Hosts)
    Target.DepartedHosts.emplace(Host.Name, Host);
}

using EntryReadFunction = void (*)(ObjectReader &, State &);

struct ListKind {
  const char *Key;
  EntryReadFunction Read;
};
constexpr std::array Lists{
    ListKind{"entry_hosts", readEntryHost}, ListKind{"groups", readGroup},
    ListKind{"plans", readProgress}, ListKind{"writers", readWriter}};

void readItem(const Json &Item, State &Target) {
  ObjectReader Reader(Item, Source);
  if (Reader.has("form"))
    return readHeader(Item, Target);
  if (Reader.has("declared")) {
    Target.Declared =
        readDeclaration(Item.at("declared"), Source, UnknownKeys::Refuse);
    return;
  }
  if (Reader.has("hosts"))
    return readHosts(Item, Target);
  if (Reader.has("departed"))
    return readDeparted(Item, Target);
  for (const ListKind &Kind : Lists)
    Reader.eachObject(Kind.Key, [&](ObjectReader &ItemReader) {
      Kind.Read(ItemReader, Target);
    });
  Reader.finish();
}

} // namespace

std::vector<std::byte> encodeState(const State &Current) {
  ItemWriter Writer;
  Writer.add(writeHeader(Current));
  addDeclaration(Current.Declared, Writer);
  Writer.addList("entry_hosts", Current.EntryHosts, [](const auto &Entry) {
    return writeEntryHost(Entry.second);
  });
  Writer.addList("groups", Current.Groups, writeGroup);
  Writer.addList("plans", Current.Plans, writeProgress);
  Writer.addList("writers", Current.Writers, writeWriter);
  addDeparted(Current, Writer);
  return Writer.finish();
}

State decodeState(ByteView Bytes) {
  State Result;
  forEachItem(Bytes, [&](const Json &Item) { readItem(Item, Result); });
  return Result;
}

} // namespace coltsfoottrail
