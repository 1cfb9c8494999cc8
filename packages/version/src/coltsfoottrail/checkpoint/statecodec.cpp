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

constexpr std::array<std::string_view, 4> GroupWords{"forming", "serving",
                                                     "stopping", "broken"};
constexpr std::array<std::string_view, 4> PlanWords{"proposed", "running",
                                                    "done", "abandoned"};

/// Writes items one behind the other.
class ItemWriter {
public:
  void add(const Json &Item) {
    const std::vector<std::byte> Bytes = writeCbor(Item);
    for (std::size_t Index = 0; Index < LengthBytes; ++Index)
      Out.push_back(static_cast<std::byte>(Bytes.size() >> (8 * Index)));
    Out.insert(Out.end(), Bytes.begin(), Bytes.end());
  }

  /// Writes the entries of a range as lists of bounded length.
  template <class Range, class Write>
  void addEach(const char *Kind, const Range &Entries, const Write &WriteOne) {
    Json List = Json::array();
    for (const auto &Each : Entries) {
      List.push_back(WriteOne(Each));
      if (List.size() == EntriesPerItem)
        flush(Kind, List);
    }
    if (!List.empty())
      flush(Kind, List);
  }

  [[nodiscard]] std::vector<std::byte> finish() { return std::move(Out); }

private:
  void flush(const char *Kind, Json &List) {
    add(Json{{Kind, std::exchange(List, Json::array())}});
  }

  std::vector<std::byte> Out;
};

/// Calls a function with each item.
void eachItem(ByteView Bytes, const std::function<void(const Json &)> &Visit) {
  while (!Bytes.empty()) {
    std::size_t Size = 0;
    if (Bytes.size() < LengthBytes)
      throw InputError(Source, "", "a length that is cut off", "a whole item");
    for (std::size_t Index = 0; Index < LengthBytes; ++Index)
      Size |= std::to_integer<std::size_t>(Bytes[Index]) << (8 * Index);
    Bytes = Bytes.subspan(LengthBytes);
    if (Bytes.size() < Size)
      throw InputError(Source, "", "an item that is cut off", "a whole item");
    Visit(parseCbor(Bytes.first(Size), Source));
    Bytes = Bytes.subspan(Size);
  }
}

template <class Key> Json writeChanges(const std::map<Key, Offset> &Changes) {
  Json Out = Json::object();
  for (const auto &[Name, At] : Changes)
    Out[Name.Text] = At;
  return Out;
}

template <class Key>
std::map<Key, Offset> readChanges(ObjectReader &From, std::string_view Member) {
  std::map<Key, Offset> Out;
  ObjectReader Changes = From.object(Member);
  for (const auto &Each : From.raw(Member).items())
    Out[Key(Each.key())] = Changes.number(Each.key());
  return Out;
}

template <class Names> Json writeNames(const Names &List) {
  Json Out = Json::array();
  for (const auto &Each : List)
    Out.push_back(Each.Text);
  return Out;
}

template <class NameType>
std::set<NameType> readNames(ObjectReader &From, std::string_view Member) {
  std::set<NameType> Out;
  for (std::string &Text : From.texts(Member))
    Out.emplace(std::move(Text));
  return Out;
}

Json writeHead(const State &Of) {
  return Json{{"form", StateFormatVersion},
              {"next", Of.Next},
              {"entry_hosts_change", Of.EntryHostsChange},
              {"last_change", Of.LastChange},
              {"declared_change", Of.DeclaredChange},
              {"model_changes", writeChanges(Of.ModelChanges)},
              {"data_centre_changes", writeChanges(Of.DataCentreChanges)},
              {"host_changes", writeChanges(Of.HostChanges)},
              {"drained_data_centres", writeNames(Of.DrainedDataCentres)},
              {"drained_hosts", writeNames(Of.DrainedHosts)},
              {"checkpoint_at", Of.Checkpoint.StateNext},
              {"checkpoint_digest", Of.Checkpoint.Digest},
              {"checkpoint_announced_at", Of.Checkpoint.AnnouncedAt}};
}

void readHead(const Json &Item, State &Into) {
  ObjectReader From(Item, Source);
  static_cast<void>(
      From.number("form", StateFormatVersion, StateFormatVersion));
  Into.Next = From.number("next");
  Into.EntryHostsChange = From.number("entry_hosts_change");
  Into.LastChange = From.number("last_change");
  Into.DeclaredChange = From.number("declared_change");
  Into.ModelChanges = readChanges<ModelName>(From, "model_changes");
  Into.DataCentreChanges =
      readChanges<DataCentreName>(From, "data_centre_changes");
  Into.HostChanges = readChanges<HostName>(From, "host_changes");
  Into.DrainedDataCentres =
      readNames<DataCentreName>(From, "drained_data_centres");
  Into.DrainedHosts = readNames<HostName>(From, "drained_hosts");
  Into.Checkpoint.StateNext = From.number("checkpoint_at");
  Into.Checkpoint.Digest = From.number("checkpoint_digest");
  Into.Checkpoint.AnnouncedAt = From.number("checkpoint_announced_at");
  From.finish();
}

/// Writes what is declared: first all but the hosts, then the hosts as
/// declarations of nothing but hosts.
void addDeclared(const Declaration &Declared, ItemWriter &Into) {
  Declaration Part = Declared;
  Part.Hosts.clear();
  Into.add(Json{{"declared", writeDeclaration(Part)}});
  Part = Declaration{};
  Part.DataCentres = Declared.DataCentres;
  for (auto First = Declared.Hosts.begin(); First != Declared.Hosts.end();) {
    const auto Left = std::distance(First, Declared.Hosts.end());
    const auto Last = First + std::min<std::ptrdiff_t>(Left, EntriesPerItem);
    Part.Hosts.assign(First, Last);
    Into.add(Json{{"hosts", writeDeclaration(Part)}});
    First = Last;
  }
}

void readHosts(const Json &Item, State &Into) {
  Declaration Part =
      readDeclaration(Item.at("hosts"), Source, UnknownKeys::Refuse);
  std::ranges::move(Part.Hosts, std::back_inserter(Into.Declared.Hosts));
}

Json writeEntryHost(const EntryHost &Each) {
  return Json{{"joined", writeRecord(Each.Joined)}, {"since", Each.Since}};
}

void readEntryHost(ObjectReader &From, State &Into) {
  EntryHost Each;
  Record Said = readRecord(From.raw("joined"), Source);
  if (!std::holds_alternative<EntryHostJoined>(Said))
    From.refuse("joined", "a record of an entry host that joined");
  Each.Joined = std::get<EntryHostJoined>(std::move(Said));
  Each.Since = From.number("since");
  Into.EntryHosts[Each.Joined.Host] = std::move(Each);
}

Json writeGroup(const std::pair<const GroupId, Group> &Entry) {
  const auto &[Which, Known] = Entry;
  Json Out{{"plan", Which.Plan},
           {"formed", writeStep(Known.Spec)},
           {"phase", GroupWords.at(static_cast<std::size_t>(Known.Phase))},
           {"generation", Known.Generation},
           {"runs", Known.MemberRuns}};
  if (Known.HeldHosts.size() != Known.Spec.Members.size())
    Out["held"] = writeNames(Known.HeldHosts);
  return Out;
}

std::vector<Incarnation> readRuns(ObjectReader &From) {
  std::vector<Incarnation> Out;
  for (const Json &Each : From.raw("runs")) {
    if (!Each.is_number_unsigned())
      From.refuse("runs", "a list of whole numbers");
    Out.push_back(Each.get<Incarnation>());
  }
  return Out;
}

void readGroup(ObjectReader &From, State &Into) {
  Group Known;
  Step Formed = readStep(From.raw("formed"), Source, UnknownKeys::Refuse);
  if (!std::holds_alternative<FormGroup>(Formed))
    From.refuse("formed", "a step that forms a group");
  Known.Spec = std::get<FormGroup>(std::move(Formed));
  const GroupId Which{From.number("plan"), Known.Spec.Number};
  Known.Phase = static_cast<GroupPhase>(From.word("phase", GroupWords));
  Known.Generation = From.number("generation");
  Known.MemberRuns = readRuns(From);
  if (From.has("held"))
    Known.HeldHosts = readNames<HostName>(From, "held");
  else
    Known.HeldHosts.insert(Known.Spec.Members.begin(),
                           Known.Spec.Members.end());
  for (const HostName &Host : Known.HeldHosts)
    Into.OccupiedHosts[Host] = Which;
  Into.Groups[Which] = std::move(Known);
}

Json writeProgress(const std::pair<const Offset, PlanProgress> &Entry) {
  const PlanProgress &Progress = Entry.second;
  return Json{{"at", Entry.first},
              {"proposed", writeRecord(Progress.Proposed)},
              {"phase", PlanWords.at(static_cast<std::size_t>(Progress.Phase))},
              {"lease", Progress.Lease},
              {"executor", Json::array({Progress.Executor.Text})},
              {"executor_run", Progress.ExecutorRun},
              {"steps_done", Progress.StepsDone},
              {"why", Json::array({Progress.Reason})},
              {"confirmed_at", Progress.ConfirmedAt},
              {"ended_at", Progress.EndedAt},
              {"formed", Progress.Formed}};
}

/// Reads a text that may be empty; it stands in a list of one.
std::string readMaybeEmpty(ObjectReader &From, std::string_view Member) {
  const Json &List = From.raw(Member);
  if (!List.is_array() || List.size() != 1 || !List[0].is_string())
    From.refuse(Member, "a list of one text");
  return List[0].get<std::string>();
}

void readFormedNumbers(ObjectReader &From, PlanProgress &Into) {
  for (const Json &Each : From.raw("formed")) {
    if (!Each.is_number_unsigned() || Each.get<std::uint64_t>() > MaxCount)
      From.refuse("formed", "a list of whole numbers");
    Into.Formed.insert(Each.get<std::uint32_t>());
  }
}

void readProgress(ObjectReader &From, State &Into) {
  PlanProgress Progress;
  const Offset At = From.number("at");
  Record Said = readRecord(From.raw("proposed"), Source);
  if (!std::holds_alternative<PlanProposed>(Said))
    From.refuse("proposed", "a record of a plan that was proposed");
  Progress.Proposed = std::get<PlanProposed>(std::move(Said));
  Progress.Phase = static_cast<PlanPhase>(From.word("phase", PlanWords));
  Progress.Lease = From.number("lease");
  Progress.Executor = HostName(readMaybeEmpty(From, "executor"));
  Progress.ExecutorRun = From.number("executor_run");
  Progress.StepsDone =
      static_cast<std::uint32_t>(From.number("steps_done", 0, MaxCount));
  Progress.Reason = readMaybeEmpty(From, "why");
  Progress.ConfirmedAt = From.number("confirmed_at");
  Progress.EndedAt = From.number("ended_at");
  readFormedNumbers(From, Progress);
  Into.Plans[At] = std::move(Progress);
}

Json writeWriter(const std::pair<const Incarnation, WriterMark> &Entry) {
  return Json{{"run", Entry.first},
              {"sequence", Entry.second.Sequence},
              {"last_at", Entry.second.LastOffset}};
}

void readWriter(ObjectReader &From, State &Into) {
  const Incarnation Run = From.number("run");
  WriterMark &Mark = Into.Writers[Run];
  Mark.Sequence = From.number("sequence");
  Mark.LastOffset = From.number("last_at");
}

void addDeparted(const State &Of, ItemWriter &Into) {
  if (Of.DepartedHosts.empty())
    return;
  Declaration Part;
  std::set<DataCentreName> DataCentres;
  for (const auto &[Name, Host] : Of.DepartedHosts) {
    Part.Hosts.push_back(Host);
    DataCentres.insert(Host.DataCentre);
  }
  Part.DataCentres.assign(DataCentres.begin(), DataCentres.end());
  Into.add(Json{{"departed", writeDeclaration(Part)}});
}

void readDeparted(const Json &Item, State &Into) {
  const Declaration Part =
      readDeclaration(Item.at("departed"), Source, UnknownKeys::Refuse);
  for (const HostSpec &Host : Part.Hosts)
    Into.DepartedHosts.emplace(Host.Name, Host);
}

using EntryReader = void (*)(ObjectReader &, State &);

struct ListKind {
  const char *Key;
  EntryReader Read;
};
constexpr std::array Lists{
    ListKind{"entry_hosts", readEntryHost}, ListKind{"groups", readGroup},
    ListKind{"plans", readProgress}, ListKind{"writers", readWriter}};

void readItem(const Json &Item, State &Into) {
  ObjectReader From(Item, Source);
  if (From.has("form"))
    return readHead(Item, Into);
  if (From.has("declared")) {
    Into.Declared =
        readDeclaration(Item.at("declared"), Source, UnknownKeys::Refuse);
    return;
  }
  if (From.has("hosts"))
    return readHosts(Item, Into);
  if (From.has("departed"))
    return readDeparted(Item, Into);
  for (const ListKind &Kind : Lists)
    From.eachObject(Kind.Key,
                    [&](ObjectReader &Each) { Kind.Read(Each, Into); });
  From.finish();
}

} // namespace

std::vector<std::byte> encodeState(const State &Of) {
  ItemWriter Into;
  Into.add(writeHead(Of));
  addDeclared(Of.Declared, Into);
  Into.addEach("entry_hosts", Of.EntryHosts,
               [](const auto &Entry) { return writeEntryHost(Entry.second); });
  Into.addEach("groups", Of.Groups, writeGroup);
  Into.addEach("plans", Of.Plans, writeProgress);
  Into.addEach("writers", Of.Writers, writeWriter);
  addDeparted(Of, Into);
  return Into.finish();
}

State decodeState(ByteView Bytes) {
  State Out;
  eachItem(Bytes, [&](const Json &Item) { readItem(Item, Out); });
  return Out;
}

} // namespace coltsfoottrail
