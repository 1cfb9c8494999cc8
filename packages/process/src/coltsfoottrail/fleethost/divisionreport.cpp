#include "coltsfoottrail/fleethost/divisionreport.hpp"

#include "coltsfoottrail/logging/log.hpp"

#include <cstdio>
#include <optional>
#include <string_view>

namespace coltsfoottrail {

namespace {

std::string numberText(double Number) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.4g", Number);
  return Text;
}

/// Empty if the number is not known.
std::string numberText(const std::optional<double> &Number) {
  return Number ? numberText(*Number) : std::string();
}

std::uint32_t groupsOf(const DivisionRecord &Division, const ModelName &Model) {
  const auto It = Division.Engines.Groups.find(Model);
  return It == Division.Engines.Groups.end() ? 0 : It->second;
}

struct Family {
  std::string_view Name;
  std::string_view Type;
  std::string_view Help;
  /// Nothing if the value is not known.
  std::optional<double> (*Value)(const DivisionRecord &Division,
                                 const ModelName &Model,
                                 const ModelAccount &Account);
};

constexpr Family Families[] = {
    {"coltsfoottrail_division_offered_groups", "gauge",
     "Groups that the offered work of a model occupies.",
     [](const DivisionRecord &, const ModelName &, const ModelAccount &Account)
         -> std::optional<double> { return Account.OfferedGroups; }},
    {"coltsfoottrail_division_needed_groups", "gauge",
     "Groups that serve the recent work of a model in time.",
     [](const DivisionRecord &, const ModelName &, const ModelAccount &Account)
         -> std::optional<double> { return Account.NeededGroups; }},
    {"coltsfoottrail_division_share", "gauge",
     "Fraction of the usable engines that a model is to have.",
     [](const DivisionRecord &, const ModelName &, const ModelAccount &Account)
         -> std::optional<double> { return Account.Share; }},
    {"coltsfoottrail_division_groups", "gauge", "Groups of a model that serve.",
     [](const DivisionRecord &Division, const ModelName &Model,
        const ModelAccount &) -> std::optional<double> {
       return groupsOf(Division, Model);
     }},
    {"coltsfoottrail_division_changes_total", "counter",
     "Changes of the division since this host coordinates.",
     [](const DivisionRecord &Division, const ModelName &, const ModelAccount &)
         -> std::optional<double> { return double(Division.Changes); }},
};

/// Lines of a family without its header.
std::string seriesOf(const Family &Each, const ServiceDivisions &Divisions) {
  std::string Lines;
  std::size_t Count = 0;
  for (const auto &[Service, Division] : Divisions.records())
    for (const auto &[Model, Account] : Division->Account) {
      if (++Count > DivisionReport::MaxModels)
        return Lines;
      const std::optional<double> Value = Each.Value(*Division, Model, Account);
      if (!Value)
        continue;
      Lines += Each.Name;
      Lines += "{service=\"" + Service.Text + "\",model=\"" + Model.Text +
               "\"} " + numberText(*Value) + "\n";
    }
  return Lines;
}

} // namespace

void DivisionReport::log(const ServiceName &Service,
                         const DivisionRecord &Division, TimePoint Now) {
  const auto [It, IsNew] = LastLogged.try_emplace(Service);
  Logged &Last = It->second;
  if (!IsNew && Last.Changes == Division.Changes && Now < Last.NextAt)
    return;
  Last = {Division.Changes, Now + Interval};
  for (const auto &[Model, Account] : Division.Account)
    logEvent(Event::Division, {{"service", Service},
                               {"model", Model},
                               {"offered", numberText(Account.OfferedGroups)},
                               {"needed", numberText(Account.NeededGroups)},
                               {"share", numberText(Account.Share)},
                               {"groups", groupsOf(Division, Model)},
                               {"engines", Division.Engines.Usable},
                               {"why", outcomeText(Account.Outcome)}});
}

void DivisionReport::appendTo(std::string &Output,
                              const ServiceDivisions &Divisions) {
  for (const Family &Each : Families) {
    const std::string Lines = seriesOf(Each, Divisions);
    if (Lines.empty())
      continue;
    Output += "# HELP ";
    Output += Each.Name;
    Output += ' ';
    Output += Each.Help;
    Output += "\n# TYPE ";
    Output += Each.Name;
    Output += ' ';
    Output += Each.Type;
    Output += '\n';
    Output += Lines;
  }
}

} // namespace coltsfoottrail
