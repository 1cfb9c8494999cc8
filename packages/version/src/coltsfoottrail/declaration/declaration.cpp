#include "coltsfoottrail/declaration/declaration.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <functional>
#include <limits>
#include <set>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxPathBytes = 1024;
constexpr std::size_t DigestDigits = 64;
constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1'000'000;
constexpr std::uint64_t MaxBound = 1'000'000;
constexpr std::uint64_t MaxMembersPerGroup = 256;
constexpr std::uint64_t MaxGroups = 100'000;
constexpr std::uint64_t MaxAccelerators = 1024;
constexpr std::uint64_t MaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t MaxLoadsAtOnce = 10'000;

constexpr std::string_view NameRule =
    "a name of 1 to 128 letters, digits and . _ - : @";
constexpr std::string_view PathNameRule =
    "a name of 1 to 128 letters, digits and . _ - : @ /";
constexpr std::string_view DigestRule =
    "SHA-256 of the credential as 64 lower-case hexadecimal digits";
constexpr std::string_view AddressRule = "an IP number";

constexpr std::array<std::string_view, 3> RoleNames{"mixed", "prefill",
                                                    "decode"};

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') ||
         std::string_view("._-:@").find(Character) != std::string_view::npos;
}

bool isName(std::string_view Text, bool WithSlash) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::ranges::all_of(Text, [&](char Character) {
           return isNameCharacter(Character) || (WithSlash && Character == '/');
         });
}

bool isDigest(std::string_view Text) {
  return Text.size() == DigestDigits &&
         std::ranges::all_of(Text, [](char Character) {
           return (Character >= '0' && Character <= '9') ||
                  (Character >= 'a' && Character <= 'f');
         });
}

template <class NameType>
NameType readName(ObjectReader &Reader, std::string_view Key) {
  std::string Text = Reader.text(Key, MaxNameBytes);
  if (!isName(Text, false))
    Reader.refuse(Key, NameRule);
  return NameType(std::move(Text));
}

template <class NameType>
NameType readPathName(ObjectReader &Reader, std::string_view Key) {
  std::string Text = Reader.text(Key, MaxNameBytes);
  if (!isName(Text, true))
    Reader.refuse(Key, PathNameRule);
  return NameType(std::move(Text));
}

std::string readAddress(ObjectReader &Reader) {
  std::string Text = Reader.text("address", MaxNameBytes);
  if (!isIpAddress(Text))
    Reader.refuse("address", AddressRule);
  return Text;
}

std::uint16_t readPort(ObjectReader &Reader) {
  return static_cast<std::uint16_t>(Reader.number("port", 1, MaxPort));
}

std::uint32_t readCount(ObjectReader &Reader, std::string_view Key,
                        std::uint64_t Default, std::uint64_t Min,
                        std::uint64_t Max) {
  return static_cast<std::uint32_t>(Reader.numberOr(Key, Default, Min, Max));
}

/// Reads the warm and the cold concurrency bound of a model or a service.
template <class Spec> void readBounds(ObjectReader &Reader, Spec &Target) {
  Target.WarmBound =
      readCount(Reader, "warm_bound", Target.WarmBound, 1, MaxBound);
  const std::uint32_t Default = std::min(Target.ColdBound, Target.WarmBound);
  Target.ColdBound = readCount(Reader, "cold_bound", Default, 1, MaxBound);
  if (Target.ColdBound > Target.WarmBound)
    Reader.refuse("cold_bound", "a whole number from 1 to the warm_bound, " +
                                    std::to_string(Target.WarmBound));
}

/// Refuses a text that was added before.
class UniqueTexts {
public:
  void add(ObjectReader &Reader, std::string_view Key,
           const std::string &Text) {
    if (!Names.insert(Text).second)
      Reader.refuse(Key, "a name that stands in the list once");
  }

private:
  std::set<std::string, std::less<>> Names;
};

template <class Spec> void sortByName(std::vector<Spec> &List) {
  std::ranges::sort(List, {}, &Spec::Name);
}

class DeclarationReader {
public:
  DeclarationReader(const Json &Value, std::string_view SourceName,
                    UnknownKeys Policy)
      : Source(SourceName), Root(Value, SourceName, {}, Policy) {}

  Declaration read() {
    readDataCentres();
    Root.eachObject("teams", [&](ObjectReader &Reader) { readTeam(Reader); });
    Root.eachObject("hosts", [&](ObjectReader &Reader) { readHost(Reader); });
    Root.eachObject("models", [&](ObjectReader &Reader) { readModel(Reader); });
    Root.eachObject("services",
                    [&](ObjectReader &Reader) { readService(Reader); });
    Result.WeightLoadsAtOnce =
        readCount(Root, "weight_loads_at_once", Result.WeightLoadsAtOnce, 1,
                  MaxLoadsAtOnce);
    Root.finish();
    sortByName(Result.Teams);
    sortByName(Result.Hosts);
    sortByName(Result.Models);
    sortByName(Result.Services);
    return std::move(Result);
  }

private:
  [[noreturn]] void refuseEntry(std::string_view Key, std::size_t Index,
                                std::string_view Value,
                                std::string_view Allowed) const {
    throw InputError(Source, Root.pointerTo(Key) + "/" + std::to_string(Index),
                     "\"" + std::string(Value) + "\"", Allowed);
  }

  void readDataCentres() {
    const std::vector<std::string> Texts =
        Root.texts("data_centres", MaxNameBytes);
    for (std::size_t Index = 0; Index < Texts.size(); ++Index) {
      if (!isName(Texts[Index], false))
        refuseEntry("data_centres", Index, Texts[Index], NameRule);
      if (!KnownDataCentres.emplace(Texts[Index]).second)
        refuseEntry("data_centres", Index, Texts[Index],
                    "a name that stands in the list once");
    }
    Result.DataCentres.assign(KnownDataCentres.begin(), KnownDataCentres.end());
  }

  DataCentreName readDataCentre(ObjectReader &Reader) const {
    auto Name = readName<DataCentreName>(Reader, "data_centre");
    if (!KnownDataCentres.contains(Name))
      Reader.refuse("data_centre", "one of the data_centres");
    return Name;
  }

  void readTeam(ObjectReader &Reader) {
    TeamSpec Team;
    Team.Name = readName<TeamName>(Reader, "name");
    TeamNames.add(Reader, "name", Team.Name.Text);
    Team.CredentialSha256 = Reader.text("credential_sha256", MaxNameBytes);
    if (!isDigest(Team.CredentialSha256))
      Reader.refuse("credential_sha256", DigestRule);
    Credentials.add(Reader, "credential_sha256", Team.CredentialSha256);
    Team.Weight = Reader.realOr("weight", Team.Weight, MinWeight, MaxWeight);
    Team.MaxInFlight =
        readCount(Reader, "max_in_flight", Team.MaxInFlight, 1, MaxBound);
    Result.Teams.push_back(std::move(Team));
  }

  void addAddress(ObjectReader &Reader, const std::string &Address,
                  std::uint16_t Port) {
    if (!Addresses.emplace(Address, Port).second)
      Reader.refuse("port", "an address and port that nothing else listens on");
  }

  void readHost(ObjectReader &Reader) {
    HostSpec Host;
    Host.Name = readName<HostName>(Reader, "name");
    HostNames.add(Reader, "name", Host.Name.Text);
    Host.DataCentre = readDataCentre(Reader);
    Host.FabricDomain = readName<FabricDomainName>(Reader, "fabric_domain");
    Host.Address = readAddress(Reader);
    Host.Port = readPort(Reader);
    addAddress(Reader, Host.Address, Host.Port);
    Host.Accelerators = readCount(Reader, "accelerators", Host.Accelerators, 1,
                                  MaxAccelerators);
    Host.RefusesOldFences =
        Reader.flagOr("refuses_old_fences", Host.RefusesOldFences);
    Result.Hosts.push_back(std::move(Host));
  }

  std::vector<AdapterName> readAdapters(ObjectReader &Reader) const {
    std::set<AdapterName> Names;
    for (std::string &Text : Reader.texts("adapters", MaxNameBytes))
      if (!isName(Text, true) || !Names.emplace(std::move(Text)).second)
        Reader.refuse("adapters", "a list of names, each of them once");
    return {Names.begin(), Names.end()};
  }

  void readGroups(ObjectReader &Reader, ModelSpec &Model) const {
    if (!Reader.has("groups"))
      return;
    ObjectReader Groups = Reader.object("groups");
    for (const auto &Member : Reader.raw("groups").items()) {
      DataCentreName Name(Member.key());
      if (!KnownDataCentres.contains(Name))
        Groups.refuse(Member.key(), "data centres out of data_centres as keys");
      Model.Groups[std::move(Name)] =
          static_cast<std::uint32_t>(Groups.number(Member.key(), 0, MaxGroups));
    }
  }

  void readModel(ObjectReader &Reader) {
    ModelSpec Model;
    Model.Name = readPathName<ModelName>(Reader, "name");
    ModelNames.add(Reader, "name", Model.Name.Text);
    Model.Version = readPathName<VersionName>(Reader, "version");
    Model.Adapters = readAdapters(Reader);
    Model.Role = static_cast<EngineRole>(Reader.wordOr("role", RoleNames, 0));
    Model.MembersPerGroup =
        readCount(Reader, "members_per_group", Model.MembersPerGroup, 1,
                  MaxMembersPerGroup);
    readGroups(Reader, Model);
    readBounds(Reader, Model);
    Result.Models.push_back(std::move(Model));
  }

  void readService(ObjectReader &Reader) {
    ServiceSpec Service;
    Service.Name = readName<ServiceName>(Reader, "name");
    ServiceNames.add(Reader, "name", Service.Name.Text);
    Service.RepeatablePaths = Reader.texts("repeatable_paths", MaxPathBytes);
    for (const std::string &Path : Service.RepeatablePaths)
      if (Path.front() != '/')
        Reader.refuse("repeatable_paths", "paths that begin with /");
    readBounds(Reader, Service);
    Reader.eachObject("instances", [&](ObjectReader &InstanceReader) {
      Service.Instances.push_back(readInstance(InstanceReader));
    });
    std::ranges::sort(
        Service.Instances, {}, [](const ServiceInstance &Instance) {
          return std::tie(Instance.Host, Instance.Address, Instance.Port);
        });
    Result.Services.push_back(std::move(Service));
  }

  ServiceInstance readInstance(ObjectReader &Reader) {
    ServiceInstance Instance;
    Instance.Host = readName<HostName>(Reader, "host");
    Instance.DataCentre = readDataCentre(Reader);
    Instance.Address = readAddress(Reader);
    Instance.Port = readPort(Reader);
    addAddress(Reader, Instance.Address, Instance.Port);
    return Instance;
  }

  std::string_view Source;
  ObjectReader Root;
  Declaration Result;
  std::set<DataCentreName> KnownDataCentres;
  std::set<std::pair<std::string, std::uint16_t>> Addresses;
  UniqueTexts TeamNames;
  UniqueTexts Credentials;
  UniqueTexts HostNames;
  UniqueTexts ModelNames;
  UniqueTexts ServiceNames;
};

Json writeTeam(const TeamSpec &Team) {
  return Json{{"name", Team.Name.Text},
              {"credential_sha256", Team.CredentialSha256},
              {"weight", Team.Weight},
              {"max_in_flight", Team.MaxInFlight}};
}

Json writeHost(const HostSpec &Host) {
  return Json{{"name", Host.Name.Text},
              {"data_centre", Host.DataCentre.Text},
              {"fabric_domain", Host.FabricDomain.Text},
              {"address", Host.Address},
              {"port", Host.Port},
              {"accelerators", Host.Accelerators},
              {"refuses_old_fences", Host.RefusesOldFences}};
}

Json writeModel(const ModelSpec &Model) {
  Json Adapters = Json::array();
  for (const AdapterName &Adapter : Model.Adapters)
    Adapters.push_back(Adapter.Text);
  Json Groups = Json::object();
  for (const auto &[DataCentre, Count] : Model.Groups)
    Groups[DataCentre.Text] = Count;
  return Json{{"name", Model.Name.Text},
              {"version", Model.Version.Text},
              {"adapters", std::move(Adapters)},
              {"role", RoleNames.at(static_cast<std::size_t>(Model.Role))},
              {"members_per_group", Model.MembersPerGroup},
              {"groups", std::move(Groups)},
              {"warm_bound", Model.WarmBound},
              {"cold_bound", Model.ColdBound}};
}

Json writeInstance(const ServiceInstance &Instance) {
  return Json{{"host", Instance.Host.Text},
              {"data_centre", Instance.DataCentre.Text},
              {"address", Instance.Address},
              {"port", Instance.Port}};
}

template <class Spec, class Writer>
Json writeList(const std::vector<Spec> &List, const Writer &Write) {
  Json Result = Json::array();
  for (const Spec &Entry : List)
    Result.push_back(Write(Entry));
  return Result;
}

Json writeService(const ServiceSpec &Service) {
  return Json{{"name", Service.Name.Text},
              {"repeatable_paths", Service.RepeatablePaths},
              {"warm_bound", Service.WarmBound},
              {"cold_bound", Service.ColdBound},
              {"instances", writeList(Service.Instances, writeInstance)}};
}

} // namespace

bool isIpAddress(const std::string &Text) {
  std::array<unsigned char, sizeof(in6_addr)> Raw{};
  return ::inet_pton(AF_INET, Text.c_str(), Raw.data()) == 1 ||
         ::inet_pton(AF_INET6, Text.c_str(), Raw.data()) == 1;
}

Declaration readDeclaration(const Json &Value, std::string_view Source,
                            UnknownKeys Policy) {
  return DeclarationReader(Value, Source, Policy).read();
}

Json writeDeclaration(const Declaration &Declared) {
  Json DataCentres = Json::array();
  for (const DataCentreName &Name : Declared.DataCentres)
    DataCentres.push_back(Name.Text);
  return Json{{"data_centres", std::move(DataCentres)},
              {"teams", writeList(Declared.Teams, writeTeam)},
              {"hosts", writeList(Declared.Hosts, writeHost)},
              {"models", writeList(Declared.Models, writeModel)},
              {"services", writeList(Declared.Services, writeService)},
              {"weight_loads_at_once", Declared.WeightLoadsAtOnce}};
}

const HostSpec *findHost(const Declaration &Declared, const HostName &Name) {
  const auto Entry =
      std::ranges::lower_bound(Declared.Hosts, Name, {}, &HostSpec::Name);
  return Entry != Declared.Hosts.end() && Entry->Name == Name ? &*Entry
                                                              : nullptr;
}

bool isKnownHost(const Declaration &Declared, const HostName &Name) {
  if (findHost(Declared, Name) != nullptr)
    return true;
  return std::ranges::any_of(
      Declared.Services, [&](const ServiceSpec &Service) {
        return std::ranges::any_of(Service.Instances,
                                   [&](const ServiceInstance &Instance) {
                                     return Instance.Host == Name;
                                   });
      });
}

const ModelSpec *findModel(const Declaration &Declared, const ModelName &Name) {
  const auto Entry =
      std::ranges::lower_bound(Declared.Models, Name, {}, &ModelSpec::Name);
  return Entry != Declared.Models.end() && Entry->Name == Name ? &*Entry
                                                               : nullptr;
}

} // namespace coltsfoottrail
