#include "coltsfoottrail/declaration/change.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Compares two lists that are ordered by name.
template <class Spec, class NameType>
void diffLists(const std::vector<Spec> &Before, const std::vector<Spec> &After,
               std::vector<Spec> &Upserted, std::vector<NameType> &Dropped) {
  auto Old = Before.begin();
  for (const Spec &New : After) {
    for (; Old != Before.end() && New.Name > Old->Name; ++Old)
      Dropped.push_back(Old->Name);
    const bool Exists = Old != Before.end() && Old->Name == New.Name;
    if (!Exists || !(*Old == New))
      Upserted.push_back(New);
    if (Exists)
      ++Old;
  }
  for (; Old != Before.end(); ++Old)
    Dropped.push_back(Old->Name);
}

template <class Spec, class NameType>
std::vector<Spec> changeList(const std::vector<Spec> &Before,
                             const std::vector<Spec> &Upserted,
                             const std::vector<NameType> &Dropped) {
  const std::set<NameType> DroppedSet(Dropped.begin(), Dropped.end());
  std::vector<Spec> Result;
  Result.reserve(Before.size() + Upserted.size());
  auto Next = Upserted.begin();
  for (const Spec &Entry : Before) {
    for (; Next != Upserted.end() && Entry.Name > Next->Name; ++Next)
      Result.push_back(*Next);
    if (Next != Upserted.end() && Next->Name == Entry.Name)
      Result.push_back(*Next++);
    else if (!DroppedSet.contains(Entry.Name))
      Result.push_back(Entry);
  }
  Result.insert(Result.end(), Next, Upserted.end());
  return Result;
}

/// Finds duplicates and references to undeclared data centres.
class DeclarationChecker {
public:
  explicit DeclarationChecker(const Declaration &Declared)
      : Checked(Declared) {}

  std::optional<std::string> run() {
    for (const TeamSpec &Team : Checked.Teams)
      if (!Credentials.insert(Team.CredentialSha256).second)
        return "team " + Team.Name.Text + " has another team's credential";
    for (const HostSpec &Host : Checked.Hosts)
      if (auto Problem = checkLocation("host ", Host.Name.Text, Host))
        return Problem;
    for (const ModelSpec &Model : Checked.Models)
      for (const auto &[DataCentre, Count] : Model.Groups)
        if (!isKnownDataCentre(DataCentre))
          return "model " + Model.Name.Text +
                 " wants groups in unknown data centre " + DataCentre.Text;
    for (const ServiceSpec &Service : Checked.Services)
      for (const ServiceInstance &Entry : Service.Instances)
        if (auto Problem = checkLocation("service ", Service.Name.Text, Entry))
          return Problem;
    return checkAddresses();
  }

private:
  [[nodiscard]] bool isKnownDataCentre(const DataCentreName &Name) const {
    return std::ranges::binary_search(Checked.DataCentres, Name);
  }

  template <class Location>
  std::optional<std::string> checkLocation(const char *Kind,
                                           const std::string &Name,
                                           const Location &Entry) {
    if (!isKnownDataCentre(Entry.DataCentre))
      return Kind + Name + " is in unknown data centre " +
             Entry.DataCentre.Text;
    Addresses.emplace_back(Entry.Address, Entry.Port);
    return std::nullopt;
  }

  std::optional<std::string> checkAddresses() {
    std::ranges::sort(Addresses);
    const auto Duplicate = std::ranges::adjacent_find(Addresses);
    if (Duplicate == Addresses.end())
      return std::nullopt;
    return "address " + std::string(Duplicate->first) + " and port " +
           std::to_string(Duplicate->second) + " are declared twice";
  }

  const Declaration &Checked;
  std::set<std::string_view> Credentials;
  std::vector<std::pair<std::string_view, std::uint16_t>> Addresses;
};

} // namespace

DeclarationChange diffDeclarations(const Declaration &Before,
                                   const Declaration &After) {
  DeclarationChange Result;
  Result.Upserted.DataCentres = After.DataCentres;
  Result.Upserted.WeightLoadsAtOnce = After.WeightLoadsAtOnce;
  diffLists(Before.Teams, After.Teams, Result.Upserted.Teams,
            Result.Dropped.Teams);
  diffLists(Before.Hosts, After.Hosts, Result.Upserted.Hosts,
            Result.Dropped.Hosts);
  diffLists(Before.Models, After.Models, Result.Upserted.Models,
            Result.Dropped.Models);
  diffLists(Before.Services, After.Services, Result.Upserted.Services,
            Result.Dropped.Services);
  return Result;
}

Declaration applyChange(const Declaration &Before, const Declaration &Upserted,
                        const DroppedNames &Dropped) {
  Declaration Result;
  Result.DataCentres = Upserted.DataCentres;
  Result.WeightLoadsAtOnce = Upserted.WeightLoadsAtOnce;
  Result.Teams = changeList(Before.Teams, Upserted.Teams, Dropped.Teams);
  Result.Hosts = changeList(Before.Hosts, Upserted.Hosts, Dropped.Hosts);
  Result.Models = changeList(Before.Models, Upserted.Models, Dropped.Models);
  Result.Services =
      changeList(Before.Services, Upserted.Services, Dropped.Services);
  return Result;
}

std::optional<std::string> declarationProblem(const Declaration &Checked) {
  return DeclarationChecker(Checked).run();
}

} // namespace coltsfoottrail
