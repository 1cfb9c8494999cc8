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

constexpr std::array<std::string_view, 3> RoleWords{"mixed", "prefill",
                                                    "decode"};

bool isPlain(char Letter) {
  return (Letter >= 'a' && Letter <= 'z') || (Letter >= 'A' && Letter <= 'Z') ||
         (Letter >= '0' && Letter <= '9') ||
         std::string_view("._-:@").find(Letter) != std::string_view::npos;
}

bool isName(std::string_view Text, bool WithSlash) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::ranges::all_of(Text, [&](char Letter) {
           return isPlain(Letter) || (WithSlash && Letter == '/');
         });
}

bool isDigest(std::string_view Text) {
  return Text.size() == DigestDigits &&
         std::ranges::all_of(Text, [](char Letter) {
           return (Letter >= '0' && Letter <= '9') ||
                  (Letter >= 'a' && Letter <= 'f');
         });
}

template <class NameType>
NameType readName(ObjectReader &From, std::string_view Key) {
  std::string Text = From.text(Key, MaxNameBytes);
  if (!isName(Text, false))
    From.refuse(Key, NameRule);
  return NameType(std::move(Text));
}

template <class NameType>
NameType readPathName(ObjectReader &From, std::string_view Key) {
  std::string Text = From.text(Key, MaxNameBytes);
  if (!isName(Text, true))
    From.refuse(Key, PathNameRule);
  return NameType(std::move(Text));
}

std::string readAddress(ObjectReader &From) {
  std::string Text = From.text("address", MaxNameBytes);
  if (!isIpAddress(Text))
    From.refuse("address", AddressRule);
  return Text;
}

std::uint16_t readPort(ObjectReader &From) {
  return static_cast<std::uint16_t>(From.number("port", 1, MaxPort));
}

std::uint32_t readCount(ObjectReader &From, std::string_view Key,
                        std::uint64_t Default, std::uint64_t Min,
                        std::uint64_t Max) {
  return static_cast<std::uint32_t>(From.numberOr(Key, Default, Min, Max));
}

/// Reads the warm and the cold bound of a model or a service.
template <class Spec> void readBounds(ObjectReader &From, Spec &Into) {
  Into.WarmBound = readCount(From, "warm_bound", Into.WarmBound, 1, MaxBound);
  const std::uint32_t Default = std::min(Into.ColdBound, Into.WarmBound);
  Into.ColdBound = readCount(From, "cold_bound", Default, 1, MaxBound);
  if (Into.ColdBound > Into.WarmBound)
    From.refuse("cold_bound", "a whole number from 1 to the warm_bound, " +
                                  std::to_string(Into.WarmBound));
}

/// Refuses the second of two things of one name.
class UniqueNames {
public:
  void add(ObjectReader &From, std::string_view Key, const std::string &Text) {
    if (!Seen.insert(Text).second)
      From.refuse(Key, "a name that stands in the list once");
  }

private:
  std::set<std::string, std::less<>> Seen;
};

template <class Spec> void sortByName(std::vector<Spec> &List) {
  std::ranges::sort(List, {}, &Spec::Name);
}

class Reader {
public:
  Reader(const Json &Value, std::string_view From, UnknownKeys Policy)
      : Source(From), Root(Value, From, {}, Policy) {}

  Declaration read() {
    readDataCentres();
    Root.eachObject("teams", [&](ObjectReader &From) { readTeam(From); });
    Root.eachObject("hosts", [&](ObjectReader &From) { readHost(From); });
    Root.eachObject("models", [&](ObjectReader &From) { readModel(From); });
    Root.eachObject("services", [&](ObjectReader &From) { readService(From); });
    Out.WeightLoadsAtOnce = readCount(Root, "weight_loads_at_once",
                                      Out.WeightLoadsAtOnce, 1, MaxLoadsAtOnce);
    Root.finish();
    sortByName(Out.Teams);
    sortByName(Out.Hosts);
    sortByName(Out.Models);
    sortByName(Out.Services);
    return std::move(Out);
  }

private:
  [[noreturn]] void refuseEntry(std::string_view Key, std::size_t Index,
                                std::string_view Found,
                                std::string_view Allowed) const {
    throw InputError(Source, Root.pointerTo(Key) + "/" + std::to_string(Index),
                     "\"" + std::string(Found) + "\"", Allowed);
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
    Out.DataCentres.assign(KnownDataCentres.begin(), KnownDataCentres.end());
  }

  DataCentreName readDataCentre(ObjectReader &From) const {
    auto Name = readName<DataCentreName>(From, "data_centre");
    if (!KnownDataCentres.contains(Name))
      From.refuse("data_centre", "one of the data_centres");
    return Name;
  }

  void readTeam(ObjectReader &From) {
    TeamSpec Team;
    Team.Name = readName<TeamName>(From, "name");
    TeamNames.add(From, "name", Team.Name.Text);
    Team.CredentialSha256 = From.text("credential_sha256", MaxNameBytes);
    if (!isDigest(Team.CredentialSha256))
      From.refuse("credential_sha256", DigestRule);
    Credentials.add(From, "credential_sha256", Team.CredentialSha256);
    Team.Weight = From.realOr("weight", Team.Weight, MinWeight, MaxWeight);
    Team.MaxInFlight =
        readCount(From, "max_in_flight", Team.MaxInFlight, 1, MaxBound);
    Out.Teams.push_back(std::move(Team));
  }

  void takeAddress(ObjectReader &From, const std::string &Address,
                   std::uint16_t Port) {
    if (!Addresses.emplace(Address, Port).second)
      From.refuse("port", "an address and port that nothing else listens on");
  }

  void readHost(ObjectReader &From) {
    HostSpec Host;
    Host.Name = readName<HostName>(From, "name");
    HostNames.add(From, "name", Host.Name.Text);
    Host.DataCentre = readDataCentre(From);
    Host.FabricDomain = readName<FabricDomainName>(From, "fabric_domain");
    Host.Address = readAddress(From);
    Host.Port = readPort(From);
    takeAddress(From, Host.Address, Host.Port);
    Host.Accelerators =
        readCount(From, "accelerators", Host.Accelerators, 1, MaxAccelerators);
    Host.RefusesOldFences =
        From.flagOr("refuses_old_fences", Host.RefusesOldFences);
    Out.Hosts.push_back(std::move(Host));
  }

  std::vector<AdapterName> readAdapters(ObjectReader &From) const {
    std::set<AdapterName> Seen;
    for (std::string &Text : From.texts("adapters", MaxNameBytes))
      if (!isName(Text, true) || !Seen.emplace(std::move(Text)).second)
        From.refuse("adapters", "a list of names, each of them once");
    return {Seen.begin(), Seen.end()};
  }

  void readGroups(ObjectReader &From, ModelSpec &Into) const {
    if (!From.has("groups"))
      return;
    ObjectReader Groups = From.object("groups");
    for (const auto &Member : From.raw("groups").items()) {
      DataCentreName Name(Member.key());
      if (!KnownDataCentres.contains(Name))
        Groups.refuse(Member.key(), "data centres out of data_centres as keys");
      Into.Groups[std::move(Name)] =
          static_cast<std::uint32_t>(Groups.number(Member.key(), 0, MaxGroups));
    }
  }

  void readModel(ObjectReader &From) {
    ModelSpec Model;
    Model.Name = readPathName<ModelName>(From, "name");
    ModelNames.add(From, "name", Model.Name.Text);
    Model.Version = readPathName<VersionName>(From, "version");
    Model.Adapters = readAdapters(From);
    Model.Role = static_cast<EngineRole>(From.wordOr("role", RoleWords, 0));
    Model.MembersPerGroup =
        readCount(From, "members_per_group", Model.MembersPerGroup, 1,
                  MaxMembersPerGroup);
    readGroups(From, Model);
    readBounds(From, Model);
    Out.Models.push_back(std::move(Model));
  }

  void readService(ObjectReader &From) {
    ServiceSpec Service;
    Service.Name = readName<ServiceName>(From, "name");
    ServiceNames.add(From, "name", Service.Name.Text);
    Service.RepeatablePaths = From.texts("repeatable_paths", MaxPathBytes);
    for (const std::string &Path : Service.RepeatablePaths)
      if (Path.front() != '/')
        From.refuse("repeatable_paths", "paths that begin with /");
    readBounds(From, Service);
    From.eachObject("instances", [&](ObjectReader &Each) {
      Service.Instances.push_back(readInstance(Each));
    });
    std::ranges::sort(Service.Instances, {}, [](const ServiceInstance &Each) {
      return std::tie(Each.Host, Each.Address, Each.Port);
    });
    Out.Services.push_back(std::move(Service));
  }

  ServiceInstance readInstance(ObjectReader &From) {
    ServiceInstance Instance;
    Instance.Host = readName<HostName>(From, "host");
    Instance.DataCentre = readDataCentre(From);
    Instance.Address = readAddress(From);
    Instance.Port = readPort(From);
    takeAddress(From, Instance.Address, Instance.Port);
    return Instance;
  }

  std::string_view Source;
  ObjectReader Root;
  Declaration Out;
  std::set<DataCentreName> KnownDataCentres;
  std::set<std::pair<std::string, std::uint16_t>> Addresses;
  UniqueNames TeamNames;
  UniqueNames Credentials;
  UniqueNames HostNames;
  UniqueNames ModelNames;
  UniqueNames ServiceNames;
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
              {"role", RoleWords.at(static_cast<std::size_t>(Model.Role))},
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
  Json Out = Json::array();
  for (const Spec &Each : List)
    Out.push_back(Write(Each));
  return Out;
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
  return Reader(Value, Source, Policy).read();
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

const HostSpec *findHost(const Declaration &In, const HostName &Name) {
  const auto Found =
      std::ranges::lower_bound(In.Hosts, Name, {}, &HostSpec::Name);
  return Found != In.Hosts.end() && Found->Name == Name ? &*Found : nullptr;
}

bool isKnownHost(const Declaration &In, const HostName &Name) {
  if (findHost(In, Name) != nullptr)
    return true;
  return std::ranges::any_of(In.Services, [&](const ServiceSpec &Service) {
    return std::ranges::any_of(
        Service.Instances,
        [&](const ServiceInstance &Each) { return Each.Host == Name; });
  });
}

const ModelSpec *findModel(const Declaration &In, const ModelName &Name) {
  const auto Found =
      std::ranges::lower_bound(In.Models, Name, {}, &ModelSpec::Name);
  return Found != In.Models.end() && Found->Name == Name ? &*Found : nullptr;
}

} // namespace coltsfoottrail
