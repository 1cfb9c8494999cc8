#include "coltsfoottrail/declaration/change.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Walks two lists in the order of names.
template <class Spec, class NameType>
void diffLists(const std::vector<Spec> &Before, const std::vector<Spec> &After,
               std::vector<Spec> &Upserted, std::vector<NameType> &Dropped) {
  auto Old = Before.begin();
  for (const Spec &New : After) {
    for (; Old != Before.end() && New.Name > Old->Name; ++Old)
      Dropped.push_back(Old->Name);
    const bool Known = Old != Before.end() && Old->Name == New.Name;
    if (!Known || !(*Old == New))
      Upserted.push_back(New);
    if (Known)
      ++Old;
  }
  for (; Old != Before.end(); ++Old)
    Dropped.push_back(Old->Name);
}

template <class Spec, class NameType>
std::vector<Spec> changeList(const std::vector<Spec> &Before,
                             const std::vector<Spec> &Upserted,
                             const std::vector<NameType> &Dropped) {
  const std::set<NameType> Gone(Dropped.begin(), Dropped.end());
  std::vector<Spec> Out;
  Out.reserve(Before.size() + Upserted.size());
  auto Next = Upserted.begin();
  for (const Spec &Each : Before) {
    for (; Next != Upserted.end() && Each.Name > Next->Name; ++Next)
      Out.push_back(*Next);
    if (Next != Upserted.end() && Next->Name == Each.Name)
      Out.push_back(*Next++);
    else if (!Gone.contains(Each.Name))
      Out.push_back(Each);
  }
  Out.insert(Out.end(), Next, Upserted.end());
  return Out;
}

/// Finds what stands twice or is not known.
class Checker {
public:
  explicit Checker(const Declaration &Declared) : Checked(Declared) {}

  std::optional<std::string> run() {
    for (const TeamSpec &Team : Checked.Teams)
      if (!Credentials.insert(Team.CredentialSha256).second)
        return "team " + Team.Name.Text + " has another team's credential";
    for (const HostSpec &Host : Checked.Hosts)
      if (auto Found = checkPlace("host ", Host.Name.Text, Host))
        return Found;
    for (const ModelSpec &Model : Checked.Models)
      for (const auto &[DataCentre, Count] : Model.Groups)
        if (!isKnown(DataCentre))
          return "model " + Model.Name.Text +
                 " wants groups in unknown data centre " + DataCentre.Text;
    for (const ServiceSpec &Service : Checked.Services)
      for (const ServiceInstance &Each : Service.Instances)
        if (auto Found = checkPlace("service ", Service.Name.Text, Each))
          return Found;
    return checkAddresses();
  }

private:
  [[nodiscard]] bool isKnown(const DataCentreName &Name) const {
    return std::ranges::binary_search(Checked.DataCentres, Name);
  }

  template <class Place>
  std::optional<std::string>
  checkPlace(const char *Kind, const std::string &Name, const Place &Each) {
    if (!isKnown(Each.DataCentre))
      return Kind + Name + " is in unknown data centre " + Each.DataCentre.Text;
    Addresses.emplace_back(Each.Address, Each.Port);
    return std::nullopt;
  }

  std::optional<std::string> checkAddresses() {
    std::ranges::sort(Addresses);
    const auto Twice = std::ranges::adjacent_find(Addresses);
    if (Twice == Addresses.end())
      return std::nullopt;
    return "address " + std::string(Twice->first) + " and port " +
           std::to_string(Twice->second) + " are declared twice";
  }

  const Declaration &Checked;
  std::set<std::string_view> Credentials;
  std::vector<std::pair<std::string_view, std::uint16_t>> Addresses;
};

} // namespace

DeclarationChange diffDeclarations(const Declaration &Before,
                                   const Declaration &After) {
  DeclarationChange Out;
  Out.Upserted.DataCentres = After.DataCentres;
  Out.Upserted.WeightLoadsAtOnce = After.WeightLoadsAtOnce;
  diffLists(Before.Teams, After.Teams, Out.Upserted.Teams, Out.Dropped.Teams);
  diffLists(Before.Hosts, After.Hosts, Out.Upserted.Hosts, Out.Dropped.Hosts);
  diffLists(Before.Models, After.Models, Out.Upserted.Models,
            Out.Dropped.Models);
  diffLists(Before.Services, After.Services, Out.Upserted.Services,
            Out.Dropped.Services);
  return Out;
}

Declaration applyChange(const Declaration &Before, const Declaration &Upserted,
                        const DroppedNames &Dropped) {
  Declaration Out;
  Out.DataCentres = Upserted.DataCentres;
  Out.WeightLoadsAtOnce = Upserted.WeightLoadsAtOnce;
  Out.Teams = changeList(Before.Teams, Upserted.Teams, Dropped.Teams);
  Out.Hosts = changeList(Before.Hosts, Upserted.Hosts, Dropped.Hosts);
  Out.Models = changeList(Before.Models, Upserted.Models, Dropped.Models);
  Out.Services =
      changeList(Before.Services, Upserted.Services, Dropped.Services);
  return Out;
}

std::optional<std::string> declarationProblem(const Declaration &Checked) {
  return Checker(Checked).run();
}

} // namespace coltsfoottrail
