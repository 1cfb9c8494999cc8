#include "coltsfoottrail/admission/credits.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Grants that a holder may leave unconfirmed before it gets no other share.
constexpr std::size_t MaxUnconfirmed = 8;

/// Time after which a credit granted now has run out by any holder's clock,
/// which may run one in a hundred slower.
Duration creditEnd(const ShareOptions &Options) {
  const Duration Life = Options.CreditLife;
  return Life + Life / 100;
}

/// Each one's part of a total: wants are filled evenly, what is left goes to
/// all alike. Rotation decides who gets the odd ones.
std::uint32_t evenPart(const std::vector<std::uint32_t> &Wants,
                       std::size_t Which, std::uint32_t Total,
                       std::uint64_t Rotation) {
  std::uint32_t Left = Total;
  std::vector<bool> Filled(Wants.size(), false);
  std::size_t Open = Wants.size();
  for (bool Changed = true; Changed && Open > 0;) {
    Changed = false;
    const std::uint32_t Even = Left / static_cast<std::uint32_t>(Open);
    for (std::size_t Index = 0; Index < Wants.size(); ++Index) {
      if (Filled[Index] || Wants[Index] > Even)
        continue;
      Filled[Index] = true;
      Left -= Wants[Index];
      --Open;
      Changed = true;
    }
  }
  if (Open == 0)
    return Wants[Which] + Left / static_cast<std::uint32_t>(Wants.size());
  if (Filled[Which])
    return Wants[Which];
  const std::uint32_t Even = Left / static_cast<std::uint32_t>(Open);
  std::uint32_t Odd = Left % static_cast<std::uint32_t>(Open);
  for (std::size_t Step = 0; Step < Wants.size() && Odd > 0; ++Step) {
    const std::size_t Index = (Step + Rotation) % Wants.size();
    if (Filled[Index])
      continue;
    if (Index == Which)
      return Even + 1;
    --Odd;
  }
  return Even;
}

} // namespace

std::uint32_t CreditLedger::Account::committed() const {
  std::uint32_t Most = InFlight;
  for (const Grant &Given : Grants)
    Most = std::max(Most, Given.Share);
  return Most;
}

std::uint32_t CreditLedger::committedBeside(const Holder &Asking) const {
  std::uint32_t Sum = Inherited;
  for (const auto &[Name, Known] : Accounts)
    if (Name != Asking)
      Sum += Known.committed();
  return Sum;
}

std::uint32_t CreditLedger::committed() const {
  return committedBeside(Holder{});
}

std::uint32_t CreditLedger::inFlight() const {
  std::uint32_t Sum = 0;
  for (const auto &[Name, Known] : Accounts)
    Sum += Known.InFlight;
  return Sum;
}

std::uint32_t CreditLedger::targetOf(const Holder &Asking, std::uint32_t Bound,
                                     TimePoint Now,
                                     const ShareOptions &Options) const {
  std::vector<std::uint32_t> Wants;
  std::size_t Which = 0;
  for (const auto &[Name, Known] : Accounts) {
    const bool Silent = Now - Known.LastAsk > creditEnd(Options);
    if (Known.Wanted == 0 || Silent)
      continue;
    if (Name == Asking)
      Which = Wants.size();
    Wants.push_back(Known.Wanted);
  }
  const Duration Turn = 2 * Options.CreditLife;
  const auto Rotation =
      static_cast<std::uint64_t>(Now.time_since_epoch() / Turn);
  return evenPart(Wants, Which, Bound, Rotation);
}

bool CreditLedger::meet(Account &Known, const CreditDemand &Want,
                        Offset Epoch) {
  if (Known.Met || !Shown || Inherited == 0)
    return true;
  // A holder's work from before the takeover is in the report that bounds what
  // was inherited, and would be counted twice. It can be taken out once it is
  // sure that the holder spoke after the report: it confirms an empty grant
  // that was made after it. Until then it gets nothing, so all its work is old.
  if (Known.Meeting.Count == 0) {
    Known.Meeting = GrantNumber{Epoch, NextCount++};
    Known.Grants.push_back(Grant{Known.Meeting, 0});
    return false;
  }
  if (Want.Adopted.before(Known.Meeting))
    return false;
  Inherited -= std::min(Inherited, Want.InFlight);
  Known.Met = true;
  return true;
}

CreditShare CreditLedger::ask(const HostName &Host, Incarnation Run,
                              std::uint64_t AskNumber, const CreditDemand &Want,
                              std::uint32_t Bound, Offset Epoch, TimePoint Now,
                              const ShareOptions &Options) {
  const Holder Asking{Host, Run};
  Account &Known = Accounts[Asking];
  Known.InFlight = Want.InFlight;
  Known.Wanted = Want.Wanted;
  Known.Peak = Want.Peak;
  Known.Endpoint = Want.Endpoint;
  Known.AskNumber = AskNumber;
  Known.LastAsk = Now;
  // The holder has taken over a grant, so it acts on no older one; what it
  // started under those is in what it says to have in progress.
  std::erase_if(Known.Grants, [&](const Grant &Given) {
    return Given.Number.before(Want.Adopted);
  });
  if (!meet(Known, Want, Epoch))
    return CreditShare{Want.Endpoint, Known.Grants.back().Number, 0, Bound};
  return decide(Asking, Known, Bound, Epoch, Now, Options);
}

CreditShare CreditLedger::decide(const Holder &Asking, Account &Known,
                                 std::uint32_t Bound, Offset Epoch,
                                 TimePoint Now, const ShareOptions &Options) {
  std::uint32_t Share = 0;
  if (Known.Wanted > 0) {
    const std::uint32_t Beside = committedBeside(Asking);
    const std::uint32_t Available = Bound > Beside ? Bound - Beside : 0;
    Share = std::min(Available, targetOf(Asking, Bound, Now, Options));
  }
  const bool Same = !Known.Grants.empty() && Known.Grants.back().Share == Share;
  const bool Full = Known.Grants.size() >= MaxUnconfirmed;
  if (Known.Grants.empty() || (!Same && !Full))
    Known.Grants.push_back(Grant{GrantNumber{Epoch, NextCount++}, Share});
  const Grant &Newest = Known.Grants.back();
  CreditShare Given{Known.Endpoint, Newest.Number, Newest.Share, Bound};
  Given.Contended = contended(Now, Options);
  return Given;
}

bool CreditLedger::contended(TimePoint Now, const ShareOptions &Options) const {
  return std::any_of(Accounts.begin(), Accounts.end(), [&](const auto &Entry) {
    return waits(Entry.second, Now, Options);
  });
}

bool CreditLedger::waits(const Account &Known, TimePoint Now,
                         const ShareOptions &Options) {
  const bool Silent = Now - Known.LastAsk > Options.CreditLife / 2;
  return !Silent && !Known.Grants.empty() &&
         Known.Grants.back().Share < Known.Wanted;
}

std::vector<CreditRefill> CreditLedger::refill(std::uint32_t Bound,
                                               Offset Epoch, TimePoint Now,
                                               const ShareOptions &Options) {
  std::vector<CreditRefill> Given;
  if (committed() >= Bound)
    return Given;
  for (auto &[Name, Known] : Accounts) {
    const bool Unmet = Shown && Inherited > 0 && !Known.Met;
    if (Unmet || !waits(Known, Now, Options))
      continue;
    const std::uint32_t Before = Known.Grants.back().Share;
    const CreditShare Share = decide(Name, Known, Bound, Epoch, Now, Options);
    if (Share.Share > Before)
      Given.push_back(
          CreditRefill{Name.first, Name.second, Known.AskNumber, Share});
  }
  return Given;
}

std::uint32_t CreditLedger::peak() const {
  std::uint32_t Sum = 0;
  for (const auto &[Name, Known] : Accounts)
    Sum += Known.Peak;
  return Sum;
}

void CreditLedger::inherit(std::uint32_t Bound, TimePoint Now) {
  Accounts.clear();
  Inherited = Bound;
  InheritedAt = Now;
  Shown = false;
}

void CreditLedger::reported(std::uint32_t Load, TimePoint Now,
                            const ShareOptions &Options) {
  // Failure guarded against: a holder is lost with work in progress, which goes
  // on at the endpoint. It is counted until a report shows less. Only a report
  // made after the last credit had run out counts: an older one would miss
  // work that was started since.
  if (Now - InheritedAt >= Options.ReportLag) {
    Inherited = std::min(Inherited, Load);
    Shown = true;
  }
  for (auto &[Name, Known] : Accounts) {
    if (Now - Known.LastAsk < creditEnd(Options) + Options.ReportLag)
      continue;
    Known.InFlight = std::min(Known.InFlight, Load);
    // The grants stay, smaller: an ask of this holder that was delayed says
    // what it had in progress before it acted on them.
    for (Grant &Given : Known.Grants)
      Given.Share = std::min(Given.Share, Load);
  }
}

void CreditLedger::expire(TimePoint Now, const ShareOptions &Options) {
  const Duration Longest = creditEnd(Options) + Options.MaxRequestDuration;
  if (Now - InheritedAt >= Options.MaxRequestDuration)
    Inherited = 0;
  std::erase_if(Accounts, [&](const auto &Entry) {
    const Account &Known = Entry.second;
    const Duration Silent = Now - Known.LastAsk;
    const bool Ended =
        Known.committed() == 0 && Silent > 2 * creditEnd(Options);
    return Ended || Silent > Longest;
  });
}

HandoverEndpoint CreditLedger::handover() const {
  HandoverEndpoint Handed;
  Handed.Inherited = Inherited;
  for (const auto &[Name, Known] : Accounts)
    if (Known.committed() > 0)
      Handed.Accounts.push_back(
          HandoverAccount{Name.first, Name.second, Known.committed()});
  return Handed;
}

void CreditLedger::adopt(const HandoverEndpoint &Handed, Offset Epoch,
                         TimePoint Now) {
  Accounts.clear();
  Inherited = Handed.Inherited;
  InheritedAt = Now;
  Shown = false;
  for (const HandoverAccount &Given : Handed.Accounts) {
    Account Taken;
    Taken.LastAsk = Now;
    Taken.Met = true;
    // Stands for all grants of the steward before; gone when the holder has
    // taken over a grant of this one, which has a higher number.
    Taken.Grants.push_back(Grant{GrantNumber{Epoch, 0}, Given.Committed});
    Accounts.emplace(Holder{Given.Host, Given.Run}, std::move(Taken));
  }
}

} // namespace coltsfoottrail
