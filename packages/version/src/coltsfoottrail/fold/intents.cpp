#include "coltsfoottrail/fold/apply.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail::internal {

namespace {

ModelSpec &declaredModel(State &Current, const ModelName &Name) {
  return *std::ranges::lower_bound(Current.Declared.Models, Name, {},
                                   &ModelSpec::Name);
}

/// Sets a member of the declaration. A value that is already declared, which is
/// what a repair requests, is no change: it must not invalidate the plans of
/// operators.
template <class ValueType>
void setDeclared(State &Current, Offset RecordOffset, ValueType &Member,
                 const ValueType &Value) {
  if (Member == Value)
    return;
  Member = Value;
  Current.DeclaredChange = RecordOffset + 1;
}

/// Erases the change marks and drains of models and hosts that are no longer
/// declared. The drain of a data centre is kept: one that is declared again
/// must not come back undrained.
void eraseUndeclared(State &Current) {
  std::erase_if(Current.ModelChanges, [&](const auto &Entry) {
    return findModel(Current.Declared, Entry.first) == nullptr;
  });
  std::erase_if(Current.HostChanges, [&](const auto &Entry) {
    return !isKnownHost(Current.Declared, Entry.first);
  });
  std::erase_if(Current.DrainedHosts, [&](const HostName &Name) {
    return !isKnownHost(Current.Declared, Name);
  });
}

/// Keeps dropped hosts that a group still occupies.
void keepDepartedHosts(State &Current, const Declaration &Before,
                       const std::vector<HostName> &Dropped) {
  for (const HostName &Name : Dropped)
    if (Current.OccupiedHosts.contains(Name))
      Current.DepartedHosts.emplace(Name, *findHost(Before, Name));
}

/// Applies each kind of intent to the state.
struct IntentApplier {
  State &Current;
  Offset RecordOffset;

  void operator()(ApplyDeclaration &Requested) const {
    if (Requested.Dropped)
      Requested.Desired =
          applyChange(Current.Declared, Requested.Desired, *Requested.Dropped);
    Requested.Dropped.reset();
    const Declaration Before =
        std::exchange(Current.Declared, std::exchange(Requested.Desired, {}));
    Current.DeclaredChange = RecordOffset + 1;
    eraseUndeclared(Current);
    const DeclarationChange Change = diffDeclarations(Before, Current.Declared);
    keepDepartedHosts(Current, Before, Change.Dropped.Hosts);
    for (const ModelSpec &Model : Change.Put.Models)
      markModelChanged(Current, RecordOffset, Model.Name);
  }
  void operator()(const SetCapacity &Requested) const {
    ModelSpec &Model = declaredModel(Current, Requested.Model);
    setDeclared(Current, RecordOffset, Model.Groups[Requested.DataCentre],
                Requested.Groups);
    markModelChanged(Current, RecordOffset, Requested.Model);
  }
  void operator()(const SetVersion &Requested) const {
    setDeclared(Current, RecordOffset,
                declaredModel(Current, Requested.Model).Version,
                Requested.Version);
    markModelChanged(Current, RecordOffset, Requested.Model);
  }
  void operator()(const SetAdapters &Requested) const {
    setDeclared(Current, RecordOffset,
                declaredModel(Current, Requested.Model).Adapters,
                Requested.Adapters);
    markModelChanged(Current, RecordOffset, Requested.Model);
  }
  void operator()(const DrainDataCentre &Requested) const {
    Current.DrainedDataCentres.insert(Requested.DataCentre);
    Current.DataCentreChanges[Requested.DataCentre] = RecordOffset + 1;
  }
  void operator()(const ReturnDataCentre &Requested) const {
    Current.DrainedDataCentres.erase(Requested.DataCentre);
    Current.DataCentreChanges[Requested.DataCentre] = RecordOffset + 1;
  }
  void operator()(const DrainHost &Requested) const {
    Current.DrainedHosts.insert(Requested.Host);
    Current.HostChanges[Requested.Host] = RecordOffset + 1;
  }
  void operator()(const ReturnHost &Requested) const {
    Current.DrainedHosts.erase(Requested.Host);
    Current.HostChanges[Requested.Host] = RecordOffset + 1;
  }
};

} // namespace

void applyIntent(State &Current, Offset RecordOffset, Intent &Requested) {
  Current.LastChange = RecordOffset;
  std::visit(IntentApplier{Current, RecordOffset}, Requested);
}

} // namespace coltsfoottrail::internal

namespace coltsfoottrail {

void shortenPlan(Plan &Proposal, const State &Current) {
  auto *const Apply = std::get_if<ApplyDeclaration>(&Proposal.RequestedIntent);
  if (Apply == nullptr || Apply->Dropped || Proposal.PlannedAt != Current.Next)
    return;
  DeclarationChange Change = diffDeclarations(Current.Declared, Apply->Desired);
  // If nearly all hosts change, the difference is larger than the declaration:
  // it holds the names of the dropped hosts as well.
  if (Change.Put.Hosts.size() + Change.Dropped.Hosts.size() >
      Apply->Desired.Hosts.size())
    return;
  Apply->Desired = std::move(Change.Put);
  Apply->Dropped = std::move(Change.Dropped);
}

} // namespace coltsfoottrail
