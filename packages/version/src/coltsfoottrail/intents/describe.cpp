#include "coltsfoottrail/intents/describe.hpp"

#include "coltsfoottrail/core/overloaded.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

template <class NameList> std::string joined(const NameList &Names) {
  std::string Text;
  for (const auto &Entry : Names) {
    if (!Text.empty())
      Text += ", ";
    Text += Entry.Text;
  }
  return Text;
}

std::string adapterList(const std::vector<AdapterName> &Adapters) {
  return Adapters.empty() ? std::string("no adapters")
                          : "adapters " + joined(Adapters);
}

std::string describeForecast(const CapacityForecast &Forecast) {
  std::string Text = "capacity of " + Forecast.Model.Text + ": " +
                     std::to_string(Forecast.GroupsNow) + " groups now, " +
                     std::to_string(Forecast.GroupsAtWorst) +
                     " at the worst step, " +
                     std::to_string(Forecast.GroupsAfter) + " after, " +
                     std::to_string(Forecast.GroupsWanted) + " wanted";
  if (Forecast.GroupsAtWorst <
      std::min(Forecast.GroupsNow, Forecast.GroupsWanted))
    Text += "; FALLS BELOW WHAT IS WANTED while the steps run";
  if (Forecast.GroupsAfter < Forecast.GroupsWanted)
    Text += "; STAYS BELOW WHAT IS WANTED";
  return Text;
}

} // namespace

std::string textOf(const GroupId &Group) {
  return std::to_string(Group.Plan) + "/" + std::to_string(Group.Number);
}

std::string describeIntent(const Intent &Request) {
  return std::visit(
      Overloaded{
          [](const ApplyDeclaration &Apply) {
            // Once its plan has ended, the intent no longer holds a
            // declaration.
            if (Apply.Desired == Declaration{} && !Apply.Dropped)
              return std::string("apply a declaration");
            return std::string(Apply.Dropped ? "change the declaration of "
                                             : "apply a declaration with ") +
                   std::to_string(Apply.Desired.Models.size()) + " models, " +
                   std::to_string(Apply.Desired.Services.size()) +
                   " services and " +
                   std::to_string(Apply.Desired.Hosts.size()) + " hosts";
          },
          [](const SetCapacity &Set) {
            return "set the capacity of " + Set.Model.Text + " in " +
                   Set.DataCentre.Text + " to " + std::to_string(Set.Groups) +
                   " groups";
          },
          [](const SetVersion &Set) {
            return "put version " + Set.Version.Text + " of " + Set.Model.Text +
                   " in place";
          },
          [](const SetAdapters &Set) {
            return "put " + adapterList(Set.Adapters) + " of " +
                   Set.Model.Text + " in place";
          },
          [](const DrainDataCentre &Drain) {
            return "drain data centre " + Drain.DataCentre.Text;
          },
          [](const ReturnDataCentre &Return) {
            return "return data centre " + Return.DataCentre.Text;
          },
          [](const DrainHost &Drain) {
            return "drain host " + Drain.Host.Text;
          },
          [](const ReturnHost &Return) {
            return "return host " + Return.Host.Text;
          },
      },
      Request);
}

std::string describeStep(const Step &PlanStep) {
  return std::visit(
      Overloaded{
          [](const FormGroup &Form) {
            return "form a group of " + Form.Model.Text + " " +
                   Form.Version.Text + " (" + adapterList(Form.Adapters) +
                   ") in " + Form.DataCentre.Text + " on " +
                   joined(Form.Members);
          },
          [](const StopGroup &Stop) {
            return "stop group " + textOf(Stop.Group) +
                   " after its requests have ended, and release its hosts";
          },
          [](const SwapAdapters &Swap) {
            return "have group " + textOf(Swap.Group) + " serve " +
                   adapterList(Swap.Adapters);
          },
      },
      PlanStep);
}

std::vector<std::string> describePlan(const Plan &Proposal) {
  std::vector<std::string> Lines;
  Lines.push_back("asked: " + describeIntent(Proposal.RequestedIntent));
  Lines.push_back("planned at offset " + std::to_string(Proposal.PlannedAt));
  if (Proposal.Steps.empty())
    Lines.emplace_back("no steps: in force everywhere once it is confirmed");
  std::size_t Number = 0;
  for (const Step &PlanStep : Proposal.Steps)
    Lines.push_back("step " + std::to_string(++Number) + ": " +
                    describeStep(PlanStep));
  for (const CapacityForecast &Forecast : Proposal.Forecast)
    Lines.push_back(describeForecast(Forecast));
  for (const std::string &Reason : Proposal.WillNotDo)
    Lines.push_back("will not: " + Reason);
  return Lines;
}

} // namespace coltsfoottrail
