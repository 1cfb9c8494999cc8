#include "coltsfoottrail/admission/credits.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Unconfirmed grants after which a holder's share is no longer changed.
constexpr std::size_t MaxUnconfirmed = 8;

/// Time after which a credit granted now has expired by any holder's clock,
/// which may run 1 % slow.
Duration maxCreditLife(const ShareOptions &Options) {
  const Duration Life = Options.CreditLife;
  return Life + Life / 100;
}

/// @brief Max-min fair share of one holder.
///
/// Demands are filled evenly. If all are met, the rest is divided equally among
/// all; Rotation selects who gets the units that do not divide evenly.
std::uint32_t maxMinShare(const std::vector<std::uint32_t> &Demands,
                          std::size_t Position, std::uint32_t Total,
                          std::uint64_t Rotation) {
  std::uint32_t Remaining = Total;
  std::vector<bool> Filled(Demands.size(), false);
  std::size_t Unfilled = Demands.size();
  for (bool Changed = true; Changed && Unfilled > 0;) {
    Changed = false;
    const std::uint32_t EqualPart =
        Remaining / static_cast<std::uint32_t>(Unfilled);
    for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
      if (Filled[Index] || Demands[Index] > EqualPart)
        continue;
      Filled[Index] = true;
      Remaining -= Demands[Index];
      --Unfilled;
      Changed = true;
    }
  }
  if (Unfilled == 0)
    return Demands[Position] +
           Remaining / static_cast<std::uint32_t>(Demands.size());
  if (Filled[Position])
    return Demands[Position];
  const std::uint32_t EqualPart =
      Remaining / static_cast<std::uint32_t>(Unfilled);
  std::uint32_t Extra = Remaining % static_cast<std::uint32_t>(Unfilled);
  for (std::size_t Step = 0; Step < Demands.size() && Extra > 0; ++Step) {
    const std::size_t Index = (Step + Rotation) % Demands.size();
    if (Filled[Index])
      continue;
    if (Index == Position)
      return EqualPart + 1;
    --Extra;
  }
  return EqualPart;
}

} // namespace

std::uint32_t CreditLedger::Account::committed() const {
  std::uint32_t Max = InFlight;
  for (const Grant &Outstanding : Grants)
    Max = std::max(Max, Outstanding.Share);
  return Max;
}

std::uint32_t CreditLedger::committedToOthers(const Holder &Requester) const {
  std::uint32_t Sum = Inherited;
  for (const auto &[Name, State] : Accounts)
    if (Name != Requester)
      Sum += State.committed();
  return Sum;
}

std::uint32_t CreditLedger::committed() const {
  return committedToOthers(Holder{});
}

std::uint32_t CreditLedger::inFlight() const {
  std::uint32_t Sum = 0;
  for (const auto &[Name, State] : Accounts)
    Sum += State.InFlight;
  return Sum;
}

std::uint32_t CreditLedger::targetShare(const Holder &Requester,
                                        std::uint32_t Bound, TimePoint Now,
                                        const ShareOptions &Options) const {
  std::vector<std::uint32_t> Demands;
  std::size_t Position = 0;
  for (const auto &[Name, State] : Accounts) {
    const bool Silent = Now - State.LastRequestAt > maxCreditLife(Options);
    if (State.Wanted == 0 || Silent)
      continue;
    if (Name == Requester)
      Position = Demands.size();
    Demands.push_back(State.Wanted);
  }
  const Duration RotationPeriod = 2 * Options.CreditLife;
  const auto Rotation =
      static_cast<std::uint64_t>(Now.time_since_epoch() / RotationPeriod);
  return maxMinShare(Demands, Position, Bound, Rotation);
}

bool CreditLedger::settleInherited(Account &State, const CreditDemand &Demand,
                                   Offset Epoch) {
  if (State.InheritedSettled || !ReportedSinceTakeover || Inherited == 0)
    return true;
  // A holder's requests from before the takeover are part of the load report
  // that bounds the inherited load, and would be counted twice. They can be
  // subtracted once the holder has certainly sent its numbers after the report,
  // that is, once it confirms an empty grant that was made after it. Until then
  // the holder gets no share, so everything it has in progress is old.
  if (State.SettlementGrant.Count == 0) {
    State.SettlementGrant = GrantNumber{Epoch, NextGrantCount++};
    State.Grants.push_back(Grant{State.SettlementGrant, 0});
    return false;
  }
  if (Demand.Adopted.before(State.SettlementGrant))
    return false;
  Inherited -= std::min(Inherited, Demand.InFlight);
  State.InheritedSettled = true;
  return true;
}

CreditShare CreditLedger::request(const HostName &Host, Incarnation Run,
                                  std::uint64_t RequestNumber,
                                  const CreditDemand &Demand,
                                  std::uint32_t Bound, Offset Epoch,
                                  TimePoint Now, const ShareOptions &Options) {
  const Holder Requester{Host, Run};
  Account &State = Accounts[Requester];
  State.InFlight = Demand.InFlight;
  State.Wanted = Demand.Wanted;
  State.Peak = Demand.Peak;
  State.Endpoint = Demand.Endpoint;
  State.RequestNumber = RequestNumber;
  State.LastRequestAt = Now;
  // The holder has adopted a grant and no longer acts on older ones; requests
  // that it started under those are included in InFlight.
  std::erase_if(State.Grants, [&](const Grant &Outstanding) {
    return Outstanding.Number.before(Demand.Adopted);
  });
  if (!settleInherited(State, Demand, Epoch))
    return CreditShare{Demand.Endpoint, State.Grants.back().Number, 0, Bound};
  return decide(Requester, State, Bound, Epoch, Now, Options);
}

CreditShare CreditLedger::decide(const Holder &Requester, Account &State,
                                 std::uint32_t Bound, Offset Epoch,
                                 TimePoint Now, const ShareOptions &Options) {
  std::uint32_t Share = 0;
  if (State.Wanted > 0) {
    const std::uint32_t CommittedToOthers = committedToOthers(Requester);
    const std::uint32_t Available =
        Bound > CommittedToOthers ? Bound - CommittedToOthers : 0;
    Share = std::min(Available, targetShare(Requester, Bound, Now, Options));
  }
  const bool SameShare =
      !State.Grants.empty() && State.Grants.back().Share == Share;
  const bool TooManyUnconfirmed = State.Grants.size() >= MaxUnconfirmed;
  if (State.Grants.empty() || (!SameShare && !TooManyUnconfirmed))
    State.Grants.push_back(Grant{GrantNumber{Epoch, NextGrantCount++}, Share});
  const Grant &Newest = State.Grants.back();
  CreditShare Granted{State.Endpoint, Newest.Number, Newest.Share, Bound};
  Granted.Contended = contended(Now, Options);
  return Granted;
}

bool CreditLedger::contended(TimePoint Now, const ShareOptions &Options) const {
  return std::any_of(Accounts.begin(), Accounts.end(), [&](const auto &Entry) {
    return isWaiting(Entry.second, Now, Options);
  });
}

bool CreditLedger::isWaiting(const Account &State, TimePoint Now,
                             const ShareOptions &Options) {
  const bool Silent = Now - State.LastRequestAt > Options.CreditLife / 2;
  return !Silent && !State.Grants.empty() &&
         State.Grants.back().Share < State.Wanted;
}

std::vector<CreditRefill> CreditLedger::refill(std::uint32_t Bound,
                                               Offset Epoch, TimePoint Now,
                                               const ShareOptions &Options) {
  std::vector<CreditRefill> Refills;
  if (committed() >= Bound)
    return Refills;
  for (auto &[Name, State] : Accounts) {
    const bool Unsettled =
        ReportedSinceTakeover && Inherited > 0 && !State.InheritedSettled;
    if (Unsettled || !isWaiting(State, Now, Options))
      continue;
    const std::uint32_t Before = State.Grants.back().Share;
    const CreditShare Share = decide(Name, State, Bound, Epoch, Now, Options);
    if (Share.Share > Before)
      Refills.push_back(
          CreditRefill{Name.first, Name.second, State.RequestNumber, Share});
  }
  return Refills;
}

std::uint32_t CreditLedger::peak() const {
  std::uint32_t Sum = 0;
  for (const auto &[Name, State] : Accounts)
    Sum += State.Peak;
  return Sum;
}

void CreditLedger::inherit(std::uint32_t Bound, TimePoint Now) {
  Accounts.clear();
  Inherited = Bound;
  InheritedAt = Now;
  ReportedSinceTakeover = false;
}

void CreditLedger::applyReport(std::uint32_t Load, TimePoint Now,
                               const ShareOptions &Options) {
  // Failure guarded against: a holder is lost while its requests are in
  // progress, and they continue at the endpoint. They are counted until a load
  // report shows less. Only a report made after the last credit expired counts:
  // an older one would miss requests that were started since.
  if (Now - InheritedAt >= Options.ReportLag) {
    Inherited = std::min(Inherited, Load);
    ReportedSinceTakeover = true;
  }
  for (auto &[Name, State] : Accounts) {
    if (Now - State.LastRequestAt < maxCreditLife(Options) + Options.ReportLag)
      continue;
    State.InFlight = std::min(State.InFlight, Load);
    // The grants are reduced but kept: a delayed request of this holder may
    // give its number of requests in progress from before it acted on them.
    for (Grant &Outstanding : State.Grants)
      Outstanding.Share = std::min(Outstanding.Share, Load);
  }
}

void CreditLedger::expire(TimePoint Now, const ShareOptions &Options) {
  const Duration MaxSilence =
      maxCreditLife(Options) + Options.MaxRequestDuration;
  if (Now - InheritedAt >= Options.MaxRequestDuration)
    Inherited = 0;
  std::erase_if(Accounts, [&](const auto &Entry) {
    const Account &State = Entry.second;
    const Duration Silent = Now - State.LastRequestAt;
    const bool Finished =
        State.committed() == 0 && Silent > 2 * maxCreditLife(Options);
    return Finished || Silent > MaxSilence;
  });
}

HandoverEndpoint CreditLedger::handover() const {
  HandoverEndpoint Handover;
  Handover.Inherited = Inherited;
  for (const auto &[Name, State] : Accounts)
    if (State.committed() > 0)
      Handover.Accounts.push_back(
          HandoverAccount{Name.first, Name.second, State.committed()});
  return Handover;
}

void CreditLedger::adopt(const HandoverEndpoint &Handover, Offset Epoch,
                         TimePoint Now) {
  Accounts.clear();
  Inherited = Handover.Inherited;
  InheritedAt = Now;
  ReportedSinceTakeover = false;
  for (const HandoverAccount &Transferred : Handover.Accounts) {
    Account State;
    State.LastRequestAt = Now;
    State.InheritedSettled = true;
    // Stands for all grants of the previous steward. Erased when the holder
    // adopts a grant of this steward, which has a higher number.
    State.Grants.push_back(Grant{GrantNumber{Epoch, 0}, Transferred.Committed});
    Accounts.emplace(Holder{Transferred.Host, Transferred.Run},
                     std::move(State));
  }
}

} // namespace coltsfoottrail
