#include "coltsfoottrail/server/operators.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/intents/describe.hpp"
#include "coltsfoottrail/intents/planner.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/record/codec.hpp"
#include "coltsfoottrail/server/refusal.hpp"
#include "coltsfoottrail/server/reply.hpp"

#include <array>
#include <boost/asio/this_coro.hpp>
#include <charconv>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view PlansPath = "/v1/plans";
constexpr std::string_view StatePath = "/v1/state";
constexpr std::string_view DeclarationPath = "/v1/declaration";
constexpr std::string_view MetricsPath = "/metrics";
constexpr milliseconds AppendWait{5'000};
constexpr std::array<std::string_view, 4> PlanWords{"proposed", "running",
                                                    "done", "abandoned"};
constexpr std::array<std::string_view, 4> GroupWords{"forming", "serving",
                                                     "stopping", "broken"};

HttpResponse problem(unsigned Status, std::string_view Code,
                     const std::string &Detail) {
  return jsonResponse(
      Status, Json{{"error", std::string(Code)}, {"detail", Detail}}.dump(
                  -1, ' ', false, Json::error_handler_t::replace));
}

HttpResponse answer(const Json &Body) {
  return jsonResponse(
      200, Body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

/// The part of "/v1/plans/ID/verb" behind the prefix.
struct PlanPath {
  Offset Id = 0;
  std::string_view Verb;
};

std::optional<PlanPath> planPathOf(std::string_view Path) {
  if (!Path.starts_with(PlansPath) || Path.size() <= PlansPath.size() + 1)
    return std::nullopt;
  Path.remove_prefix(PlansPath.size() + 1);
  PlanPath Out;
  const auto Parsed =
      std::from_chars(Path.data(), Path.data() + Path.size(), Out.Id);
  if (Parsed.ec != std::errc{})
    return std::nullopt;
  Path.remove_prefix(static_cast<std::size_t>(Parsed.ptr - Path.data()));
  if (!Path.empty() && Path.front() != '/')
    return std::nullopt;
  Out.Verb = Path.empty() ? Path : Path.substr(1);
  return Out;
}

std::string operatorOf(const HttpRequest &Asked) {
  const std::string_view Name =
      fieldOf(Asked.Fields, "Coltsfoottrail-Operator");
  return Name.empty() ? "unnamed" : std::string(Name.substr(0, 128));
}

Record confirmed(Offset Plan, const HttpRequest &Asked) {
  return PlanConfirmed{Plan, operatorOf(Asked)};
}

Record abandoned(Offset Plan, const HttpRequest &Asked) {
  return PlanAbandoned{Plan, "by " + operatorOf(Asked)};
}

HttpResponse logDown() {
  return problem(503, "log-unavailable",
                 "the platform's log did not take the record in time; look at "
                 "the plan's status before you ask again");
}

HttpResponse beaten(const AppendOutcome &Outcome) {
  Json Body{{"error", "conflict"}, {"detail", Outcome.Effect.Reason}};
  if (Outcome.Effect.ConflictingOffset)
    Body["beaten_by"] = *Outcome.Effect.ConflictingOffset;
  return jsonResponse(
      409, Body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

HttpResponse planNotFound(Offset Id) {
  return problem(404, "unknown-plan", "there is no plan " + std::to_string(Id));
}

Json describeModel(const State &Shown, const ModelSpec &Model) {
  std::uint32_t Wanted = 0;
  for (const auto &[Place, Count] : Model.Groups)
    Wanted += Count;
  std::array<std::uint32_t, GroupWords.size()> ByPhase{};
  for (const auto &[Id, Grouped] : Shown.Groups)
    if (Grouped.Spec.Model == Model.Name)
      ++ByPhase.at(static_cast<std::size_t>(Grouped.Phase));
  Json Out{{"name", Model.Name.Text},
           {"version", Model.Version.Text},
           {"wanted", Wanted}};
  for (std::size_t Index = 0; Index < GroupWords.size(); ++Index)
    Out[std::string(GroupWords[Index])] = ByPhase[Index];
  return Out;
}

Json describeGroup(const GroupId &Id, const Group &Shown) {
  Json Members = Json::array();
  for (const HostName &Member : Shown.Spec.Members)
    Members.push_back(Member.Text);
  return {{"id", textOf(Id)},
          {"model", Shown.Spec.Model.Text},
          {"version", Shown.Spec.Version.Text},
          {"data_centre", Shown.Spec.DataCentre.Text},
          {"phase", GroupWords.at(static_cast<std::size_t>(Shown.Phase))},
          {"members", std::move(Members)}};
}

} // namespace

Json describeProgress(Offset Id, const PlanProgress &Shown) {
  Json Lines = Json::array();
  for (std::string &Line : describePlan(Shown.ProposalRecord.Proposal))
    Lines.push_back(std::move(Line));
  Json Out{{"id", Id},
           {"phase", PlanWords.at(static_cast<std::size_t>(Shown.Phase))},
           {"operator", Shown.ProposalRecord.Operator},
           {"steps", Shown.ProposalRecord.Proposal.Steps.size()},
           {"steps_done", Shown.StepsDone},
           {"text", std::move(Lines)},
           {"plan", writePlan(Shown.ProposalRecord.Proposal)}};
  if (!Shown.Executor.empty())
    Out["executor"] = Shown.Executor.Text;
  if (!Shown.Reason.empty())
    Out["why"] = Shown.Reason;
  return Out;
}

Json describeState(const State &Shown) {
  Json Out{{"next", Shown.Next},
           {"entry_hosts", Json::array()},
           {"drained_data_centres", Json::array()},
           {"drained_hosts", Json::array()},
           {"models", Json::array()},
           {"groups", Json::array()},
           {"services", Json::array()},
           {"plans", Json::array()}};
  for (const auto &[Name, Host] : Shown.EntryHosts)
    Out["entry_hosts"].push_back(
        {{"name", Name.Text},
         {"data_centre", Host.JoinRecord.DataCentre.Text},
         {"address", Host.JoinRecord.Address},
         {"port", Host.JoinRecord.CallerPort}});
  for (const DataCentreName &Place : Shown.DrainedDataCentres)
    Out["drained_data_centres"].push_back(Place.Text);
  for (const HostName &Host : Shown.DrainedHosts)
    Out["drained_hosts"].push_back(Host.Text);
  for (const ModelSpec &Model : Shown.Declared.Models)
    Out["models"].push_back(describeModel(Shown, Model));
  for (const auto &[Id, Grouped] : Shown.Groups)
    Out["groups"].push_back(describeGroup(Id, Grouped));
  for (const ServiceSpec &Service : Shown.Declared.Services)
    Out["services"].push_back(
        {{"name", Service.Name.Text}, {"instances", Service.Instances.size()}});
  for (const auto &[Id, Progress] : Shown.Plans)
    Out["plans"].push_back(
        {{"id", Id},
         {"phase", PlanWords.at(static_cast<std::size_t>(Progress.Phase))},
         {"steps", Progress.ProposalRecord.Proposal.Steps.size()},
         {"steps_done", Progress.StepsDone},
         {"asked",
          describeIntent(Progress.ProposalRecord.Proposal.RequestedIntent)}});
  return Out;
}

Operators::Operators(AgreedStream &Stream, std::string CredentialSha256,
                     MetricsText Text)
    : Agreed(Stream), CredentialDigest(std::move(CredentialSha256)),
      Metrics(std::move(Text)) {}

std::optional<HttpResponse> Operators::check(const HttpRequest &Head) const {
  if (Head.Target == MetricsPath)
    return std::nullopt;
  const std::string_view Given = fieldOf(Head.Fields, "Authorization");
  if (Given.starts_with(BearerPrefix) &&
      sha256Hex(Given.substr(BearerPrefix.size())) == CredentialDigest)
    return std::nullopt;
  return problem(401, "unauthenticated",
                 "the operators' credential is missing or wrong");
}

Awaitable<void> Operators::serve(Exchange &Call) {
  const HttpRequest &Asked = Call.request();
  const std::string_view Path =
      std::string_view(Asked.Target).substr(0, Asked.Target.find('?'));
  const bool Posts = Asked.Method == "POST";
  const std::optional<PlanPath> Plan = planPathOf(Path);
  HttpResponse Out = problem(404, "unknown-path", std::string(Path));
  if (Path == MetricsPath) {
    Out.Status = 200;
    Out.Fields.front().Value = "text/plain; version=0.0.4";
    Out.Body = Metrics();
  } else if (Path == StatePath) {
    Out = answer(describeState(*Agreed.state()));
  } else if (Path == DeclarationPath) {
    Out = answer(writeDeclaration(Agreed.state()->Declared));
  } else if (Path == PlansPath && Posts) {
    Out = co_await propose(Call);
  } else if (Plan && Plan->Verb == "confirm" && Posts) {
    Out = co_await confirm(Call, Plan->Id);
  } else if (Plan && Plan->Verb == "abandon" && Posts) {
    Out = co_await abandon(Call, Plan->Id);
  } else if (Plan && Plan->Verb.empty()) {
    const StatePtr Now = Agreed.state();
    const auto Found = Now->Plans.find(Plan->Id);
    Out = Found == Now->Plans.end()
              ? planNotFound(Plan->Id)
              : answer(describeProgress(Plan->Id, Found->second));
  }
  co_await Call.respond(std::move(Out));
}

Awaitable<AppendOutcome> Operators::append(const Record &Body) {
  const auto Answer = std::make_shared<Reply<AppendOutcome>>(
      co_await boost::asio::this_coro::executor);
  Agreed.append(Body, AppendWait,
                [Answer](const AppendOutcome &Got) { Answer->give(Got); });
  co_return co_await Answer->wait();
}

Awaitable<HttpResponse> Operators::propose(Exchange &Call) {
  PlanProposed Proposed;
  std::string Problem;
  try {
    const Json Body = parseJson(Call.request().Body, "intent");
    const Intent Asked = readIntent(Body, "intent", UnknownKeys::Refuse);
    const StatePtr Now = Agreed.state();
    Proposed.Proposal = planIntent(*Now, Asked);
    shortenPlan(Proposed.Proposal, *Now);
    Proposed.Operator = operatorOf(Call.request());
  } catch (const Error &Wrong) {
    Problem = Wrong.what();
  }
  if (!Problem.empty())
    co_return problem(422, "cannot-plan", Problem);
  const Record Said = std::move(Proposed);
  const AppendOutcome Got = co_await append(Said);
  if (!Got.OnLog)
    co_return logDown();
  if (Got.Effect.Effect != FoldEffect::Applied)
    co_return beaten(Got);
  const StatePtr Now = Agreed.state();
  const auto Found = Now->Plans.find(Got.At);
  co_return Found == Now->Plans.end()
      ? planNotFound(Got.At)
      : answer(describeProgress(Got.At, Found->second));
}

Awaitable<HttpResponse> Operators::confirm(Exchange &Call, Offset Plan) {
  const Record Said = confirmed(Plan, Call.request());
  const AppendOutcome Got = co_await append(Said);
  if (!Got.OnLog)
    co_return logDown();
  if (Got.Effect.Effect != FoldEffect::Applied)
    co_return beaten(Got);
  const StatePtr Now = Agreed.state();
  const auto Found = Now->Plans.find(Plan);
  co_return Found == Now->Plans.end()
      ? planNotFound(Plan)
      : answer(describeProgress(Plan, Found->second));
}

Awaitable<HttpResponse> Operators::abandon(Exchange &Call, Offset Plan) {
  const Record Said = abandoned(Plan, Call.request());
  const AppendOutcome Got = co_await append(Said);
  if (!Got.OnLog)
    co_return logDown();
  if (Got.Effect.Effect != FoldEffect::Applied)
    co_return beaten(Got);
  const StatePtr Now = Agreed.state();
  const auto Found = Now->Plans.find(Plan);
  co_return Found == Now->Plans.end()
      ? planNotFound(Plan)
      : answer(describeProgress(Plan, Found->second));
}

} // namespace coltsfoottrail
