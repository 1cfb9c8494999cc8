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

  void operator()(ApplyDeclaration &Request) const {
    if (Request.Dropped)
      Request.Desired =
          applyChange(Current.Declared, Request.Desired, *Request.Dropped);
    Request.Dropped.reset();
    const Declaration Before =
        std::exchange(Current.Declared, std::exchange(Request.Desired, {}));
    Current.DeclaredChange = RecordOffset + 1;
    eraseUndeclared(Current);
    const DeclarationChange Change = diffDeclarations(Before, Current.Declared);
    keepDepartedHosts(Current, Before, Change.Dropped.Hosts);
    for (const ModelSpec &Model : Change.Upserted.Models)
      markModelChanged(Current, RecordOffset, Model.Name);
  }
  void operator()(const SetCapacity &Request) const {
    ModelSpec &Model = declaredModel(Current, Request.Model);
    setDeclared(Current, RecordOffset, Model.Groups[Request.DataCentre],
                Request.Groups);
    markModelChanged(Current, RecordOffset, Request.Model);
  }
  void operator()(const SetVersion &Request) const {
    setDeclared(Current, RecordOffset,
                declaredModel(Current, Request.Model).Version, Request.Version);
    markModelChanged(Current, RecordOffset, Request.Model);
  }
  void operator()(const SetAdapters &Request) const {
    setDeclared(Current, RecordOffset,
                declaredModel(Current, Request.Model).Adapters,
                Request.Adapters);
    markModelChanged(Current, RecordOffset, Request.Model);
  }
  void operator()(const DrainDataCentre &Request) const {
    Current.DrainedDataCentres.insert(Request.DataCentre);
    Current.DataCentreChanges[Request.DataCentre] = RecordOffset + 1;
  }
  void operator()(const ReturnDataCentre &Request) const {
    Current.DrainedDataCentres.erase(Request.DataCentre);
    Current.DataCentreChanges[Request.DataCentre] = RecordOffset + 1;
  }
  void operator()(const DrainHost &Request) const {
    Current.DrainedHosts.insert(Request.Host);
    Current.HostChanges[Request.Host] = RecordOffset + 1;
  }
  void operator()(const ReturnHost &Request) const {
    Current.DrainedHosts.erase(Request.Host);
    Current.HostChanges[Request.Host] = RecordOffset + 1;
  }
};

} // namespace

void applyIntent(State &Current, Offset RecordOffset, Intent &Request) {
  Current.LastChange = RecordOffset;
  std::visit(IntentApplier{Current, RecordOffset}, Request);
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
  if (Change.Upserted.Hosts.size() + Change.Dropped.Hosts.size() >
      Apply->Desired.Hosts.size())
    return;
  Apply->Desired = std::move(Change.Upserted);
  Apply->Dropped = std::move(Change.Dropped);
}

} // namespace coltsfoottrail
