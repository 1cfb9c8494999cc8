#include "checkers.hpp"

#include <algorithm>
#include <set>

namespace coltsfoottrail::testing {

namespace {

bool canHaveRun(const CallRecord &Call) {
  return Call.End != CallOutcome::NotRun &&
         Call.End != CallOutcome::Unreachable;
}

std::string shortened(const std::string &Text) { return Text.substr(0, 60); }

} // namespace

Violations checkWholeAnswers(const Events &All) {
  Violations Out;
  for (const CallRecord &Call : eventsOf<CallRecord>(All))
    if (Call.End == CallOutcome::Answered && Call.Actual != Call.Expected)
      Out.push_back("\"" + shortened(Call.Body) + "\" got \"" +
                    shortened(Call.Actual) + "\"");
  return Out;
}

Violations checkNotRunIsTrue(const Events &All) {
  std::map<std::string, std::uint64_t> Allowed;
  std::set<std::string> Answered;
  for (const CallRecord &Call : eventsOf<CallRecord>(All)) {
    if (Call.Kind != CallKind::Order)
      continue;
    Allowed[Call.Body] += canHaveRun(Call) ? 1 : 0;
    if (Call.End == CallOutcome::Answered)
      Answered.insert(Call.Body);
  }
  Violations Out;
  for (const OrderRuns &Counted : eventsOf<OrderRuns>(All)) {
    if (Counted.Runs > Allowed[Counted.Body])
      Out.push_back("\"" + shortened(Counted.Body) + "\" ran " +
                    std::to_string(Counted.Runs) + " times, callers heard " +
                    std::to_string(Allowed[Counted.Body]));
    if (Counted.Runs == 0 && Answered.contains(Counted.Body))
      Out.push_back("\"" + shortened(Counted.Body) +
                    "\" was answered and never ran");
  }
  return Out;
}

Violations checkVerdictsNeverGoBack(const Events &All) {
  std::set<std::string> Sent;
  Violations Out;
  for (const CallRecord &Call : eventsOf<CallRecord>(All)) {
    if (Call.Kind != CallKind::Order || Call.Key.empty())
      continue;
    if (Call.End == CallOutcome::Answered ||
        Call.End == CallOutcome::MayHaveRun)
      Sent.insert(Call.Key);
    else if (Call.End == CallOutcome::NotRun && Sent.contains(Call.Key))
      Out.push_back(Call.Key + " is told \"not run\" (" + Call.Reason +
                    ") after it was told that it may have run");
  }
  return Out;
}

Violations checkAtMostOnce(const Events &All) {
  Violations Out;
  for (const OrderRuns &Counted : eventsOf<OrderRuns>(All))
    if (Counted.Runs > 1)
      Out.push_back("\"" + shortened(Counted.Body) + "\" ran " +
                    std::to_string(Counted.Runs) + " times");
  return Out;
}

Violations checkWarmBounds(const Events &All) {
  Violations Out;
  for (const EnginePeak &Peak : eventsOf<EnginePeak>(All))
    if (Peak.PeakRequests > Peak.Bound)
      Out.push_back(Peak.Engine + " had " + std::to_string(Peak.PeakRequests) +
                    " at once, bound " + std::to_string(Peak.Bound));
  return Out;
}

Violations checkDrains(const Events &All) {
  std::map<std::string, std::uint64_t> AtDrain;
  Violations Out;
  for (const HistoryEvent &Entry : All) {
    if (const auto *const Begun = std::get_if<DrainInForce>(&Entry))
      AtDrain[Begun->Engine] = Begun->Started;
    const auto *const Later = std::get_if<DrainObserved>(&Entry);
    if (Later == nullptr)
      continue;
    const auto Before = AtDrain.find(Later->Engine);
    if (Before == AtDrain.end())
      Out.push_back(Later->Engine + " has no count from the drain's start");
    else if (Later->Started != Before->second)
      Out.push_back(Later->Engine + " began " +
                    std::to_string(Later->Started - Before->second) +
                    " requests while drained");
  }
  return Out;
}

Violations checkPlannedStops(const Events &All) {
  std::set<HostName> Stopped;
  Violations Out;
  for (const PlannedStop &Stop : eventsOf<PlannedStop>(All)) {
    Stopped.insert(Stop.Host);
    if (Stop.Cut > 0)
      Out.push_back(Stop.Host.Text + " cut " + std::to_string(Stop.Cut));
  }
  for (const CallRecord &Call : eventsOf<CallRecord>(All))
    if (Call.End == CallOutcome::Cut && Stopped.contains(Call.EntryHostName))
      Out.push_back("\"" + shortened(Call.Body) + "\" was cut through " +
                    Call.EntryHostName.Text);
  return Out;
}

Violations checkNoReversal(const Events &All) {
  std::map<HostName, Offset> Newest;
  std::map<Offset, DigestObserved> ByOffset;
  Violations Out;
  for (const StateObserved &Seen : eventsOf<StateObserved>(All)) {
    Offset &Last = Newest[Seen.Host];
    if (Seen.Next < Last)
      Out.push_back(Seen.Host.Text + " went back from " + std::to_string(Last) +
                    " to " + std::to_string(Seen.Next));
    Last = std::max(Last, Seen.Next);
  }
  for (const DigestObserved &Seen : eventsOf<DigestObserved>(All)) {
    const auto [First, New] = ByOffset.emplace(Seen.Next, Seen);
    if (!New && First->second.Digest != Seen.Digest)
      Out.push_back(Seen.Host.Text + " and " + First->second.Host.Text +
                    " differ at " + std::to_string(Seen.Next));
  }
  return Out;
}

Violations checkOneGroup(const Events &All) {
  Violations Out;
  for (const GroupsObserved &Seen : eventsOf<GroupsObserved>(All)) {
    std::set<HostName> Taken;
    for (const auto &[Group, Members] : Seen.Members)
      for (const HostName &Host : Members)
        if (!Taken.insert(Host).second)
          Out.push_back(Host.Text + " is in two groups at " +
                        std::to_string(Seen.Next));
  }
  return Out;
}

const std::vector<Checker> &checkers() {
  static const std::vector<Checker> AllCheckers{
      {"whole answer", checkWholeAnswers},
      {"not run is true", checkNotRunIsTrue},
      {"verdicts never go back", checkVerdictsNeverGoBack},
      {"at most once", checkAtMostOnce},
      {"warm bound", checkWarmBounds},
      {"drain", checkDrains},
      {"planned stop", checkPlannedStops},
      {"no reversal", checkNoReversal},
      {"one group", checkOneGroup},
  };
  return AllCheckers;
}

Violations checkAll(const Events &All) {
  Violations Out;
  for (const Checker &Entry : checkers())
    for (const std::string &Found : Entry.Check(All))
      Out.push_back(std::string(Entry.Name) + ": " + Found);
  return Out;
}

} // namespace coltsfoottrail::testing
