#include "coltsfoottrail/fold/apply.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail::internal {

namespace {

ModelSpec &model(State &Into, const ModelName &Name) {
  return *std::ranges::lower_bound(Into.Declared.Models, Name, {},
                                   &ModelSpec::Name);
}

/// Sets a member of what is declared. A repair asks for what stands there
/// already and must not beat the plans of operators.
template <class Value>
void change(State &Into, Offset At, Value &Member, const Value &Wanted) {
  if (Member == Wanted)
    return;
  Member = Wanted;
  Into.DeclaredChange = At + 1;
}

/// Forgets what is known of things that are declared no more. The drain of a
/// data centre stays: one that is declared again must not come back undrained.
void forgetUndeclared(State &Into) {
  std::erase_if(Into.ModelChanges, [&](const auto &Entry) {
    return findModel(Into.Declared, Entry.first) == nullptr;
  });
  std::erase_if(Into.HostChanges, [&](const auto &Entry) {
    return !isKnownHost(Into.Declared, Entry.first);
  });
  std::erase_if(Into.DrainedHosts, [&](const HostName &Name) {
    return !isKnownHost(Into.Declared, Name);
  });
}

void keepDeparted(State &Into, const Declaration &Before,
                  const std::vector<HostName> &Dropped) {
  for (const HostName &Name : Dropped)
    if (Into.Occupied.contains(Name))
      Into.Departed.emplace(Name, *findHost(Before, Name));
}

/// Puts each kind of intent in force.
struct Enforcer {
  State &Into;
  Offset At;

  void operator()(ApplyDeclaration &Asked) const {
    if (Asked.Dropped)
      Asked.Wanted = applyChange(Into.Declared, Asked.Wanted, *Asked.Dropped);
    Asked.Dropped.reset();
    const Declaration Before =
        std::exchange(Into.Declared, std::exchange(Asked.Wanted, {}));
    Into.DeclaredChange = At + 1;
    forgetUndeclared(Into);
    const DeclarationChange Change = diffDeclarations(Before, Into.Declared);
    keepDeparted(Into, Before, Change.Dropped.Hosts);
    for (const ModelSpec &Model : Change.Upserted.Models)
      touchModel(Into, At, Model.Name);
  }
  void operator()(const SetCapacity &Asked) const {
    ModelSpec &Model = model(Into, Asked.Model);
    change(Into, At, Model.Groups[Asked.DataCentre], Asked.Groups);
    touchModel(Into, At, Asked.Model);
  }
  void operator()(const SetVersion &Asked) const {
    change(Into, At, model(Into, Asked.Model).Version, Asked.Version);
    touchModel(Into, At, Asked.Model);
  }
  void operator()(const SetAdapters &Asked) const {
    change(Into, At, model(Into, Asked.Model).Adapters, Asked.Adapters);
    touchModel(Into, At, Asked.Model);
  }
  void operator()(const DrainDataCentre &Asked) const {
    Into.DrainedDataCentres.insert(Asked.DataCentre);
    Into.DataCentreChanges[Asked.DataCentre] = At + 1;
  }
  void operator()(const ReturnDataCentre &Asked) const {
    Into.DrainedDataCentres.erase(Asked.DataCentre);
    Into.DataCentreChanges[Asked.DataCentre] = At + 1;
  }
  void operator()(const DrainHost &Asked) const {
    Into.DrainedHosts.insert(Asked.Host);
    Into.HostChanges[Asked.Host] = At + 1;
  }
  void operator()(const ReturnHost &Asked) const {
    Into.DrainedHosts.erase(Asked.Host);
    Into.HostChanges[Asked.Host] = At + 1;
  }
};

} // namespace

void enforceIntent(State &Into, Offset At, Intent &Asked) {
  Into.LastChange = At;
  std::visit(Enforcer{Into, At}, Asked);
}

} // namespace coltsfoottrail::internal

namespace coltsfoottrail {

void shortenPlan(Plan &Proposal, const State &Now) {
  auto *const Apply = std::get_if<ApplyDeclaration>(&Proposal.Asked);
  if (Apply == nullptr || Apply->Dropped || Proposal.PlannedAt != Now.Next)
    return;
  DeclarationChange Change = diffDeclarations(Now.Declared, Apply->Wanted);
  // Where nearly all hosts change, the names of those dropped come on top.
  if (Change.Upserted.Hosts.size() + Change.Dropped.Hosts.size() >
      Apply->Wanted.Hosts.size())
    return;
  Apply->Wanted = std::move(Change.Upserted);
  Apply->Dropped = std::move(Change.Dropped);
}

} // namespace coltsfoottrail
