#include "coltsfoottrail/server/operatorapi.hpp"

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
constexpr milliseconds AppendTimeout{5'000};
constexpr std::array<std::string_view, 4> PlanPhaseNames{"proposed", "running",
                                                         "done", "abandoned"};
constexpr std::array<std::string_view, 4> GroupPhaseNames{"forming", "serving",
                                                          "stopping", "broken"};

HttpResponse problem(unsigned Status, std::string_view Code,
                     const std::string &Detail) {
  return jsonResponse(
      Status, Json{{"error", std::string(Code)}, {"detail", Detail}}.dump(
                  -1, ' ', false, Json::error_handler_t::replace));
}

HttpResponse jsonAnswer(const Json &Body) {
  return jsonResponse(
      200, Body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

/// The plan id and verb of a path "/v1/plans/ID/verb".
struct PlanPath {
  Offset Id = 0;
  std::string_view Verb;
};

std::optional<PlanPath> planPathOf(std::string_view Path) {
  if (!Path.starts_with(PlansPath) || Path.size() <= PlansPath.size() + 1)
    return std::nullopt;
  Path.remove_prefix(PlansPath.size() + 1);
  PlanPath PathParts;
  const auto Parsed =
      std::from_chars(Path.data(), Path.data() + Path.size(), PathParts.Id);
  if (Parsed.ec != std::errc{})
    return std::nullopt;
  Path.remove_prefix(static_cast<std::size_t>(Parsed.ptr - Path.data()));
  if (!Path.empty() && Path.front() != '/')
    return std::nullopt;
  PathParts.Verb = Path.empty() ? Path : Path.substr(1);
  return PathParts;
}

std::string operatorOf(const HttpRequest &Request) {
  const std::string_view Name =
      fieldOf(Request.Fields, "Coltsfoottrail-Operator");
  return Name.empty() ? "unnamed" : std::string(Name.substr(0, 128));
}

Record confirmed(Offset Plan, const HttpRequest &Request) {
  return PlanConfirmed{Plan, operatorOf(Request)};
}

Record abandoned(Offset Plan, const HttpRequest &Request) {
  return PlanAbandoned{Plan, "by " + operatorOf(Request)};
}

HttpResponse logUnavailable() {
  return problem(503, "log-unavailable",
                 "the platform's log did not take the record in time; look at "
                 "the plan's status before you ask again");
}

HttpResponse conflict(const AppendOutcome &Outcome) {
  Json Body{{"error", "conflict"}, {"detail", Outcome.FoldOutcome.Reason}};
  if (Outcome.FoldOutcome.ConflictingOffset)
    Body["beaten_by"] = *Outcome.FoldOutcome.ConflictingOffset;
  return jsonResponse(
      409, Body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

HttpResponse planNotFound(Offset Id) {
  return problem(404, "unknown-plan", "there is no plan " + std::to_string(Id));
}

Json describeModel(const State &AgreedState, const ModelSpec &Model) {
  std::uint32_t Wanted = 0;
  for (const auto &[Place, Count] : Model.Groups)
    Wanted += Count;
  std::array<std::uint32_t, GroupPhaseNames.size()> ByPhase{};
  for (const auto &[Id, GroupState] : AgreedState.Groups)
    if (GroupState.Spec.Model == Model.Name)
      ++ByPhase.at(static_cast<std::size_t>(GroupState.Phase));
  Json Description{{"name", Model.Name.Text},
                   {"version", Model.Version.Text},
                   {"wanted", Wanted}};
  for (std::size_t Index = 0; Index < GroupPhaseNames.size(); ++Index)
    Description[std::string(GroupPhaseNames[Index])] = ByPhase[Index];
  return Description;
}

Json describeGroup(const GroupId &Id, const Group &GroupState) {
  Json Members = Json::array();
  for (const HostName &Member : GroupState.Spec.Members)
    Members.push_back(Member.Text);
  return {
      {"id", textOf(Id)},
      {"model", GroupState.Spec.Model.Text},
      {"version", GroupState.Spec.Version.Text},
      {"data_centre", GroupState.Spec.DataCentre.Text},
      {"phase", GroupPhaseNames.at(static_cast<std::size_t>(GroupState.Phase))},
      {"members", std::move(Members)}};
}

} // namespace

Json describeProgress(Offset Id, const PlanProgress &Progress) {
  Json Lines = Json::array();
  for (std::string &Line : describePlan(Progress.ProposalRecord.Proposal))
    Lines.push_back(std::move(Line));
  Json Description{
      {"id", Id},
      {"phase", PlanPhaseNames.at(static_cast<std::size_t>(Progress.Phase))},
      {"operator", Progress.ProposalRecord.Operator},
      {"steps", Progress.ProposalRecord.Proposal.Steps.size()},
      {"steps_done", Progress.StepsDone},
      {"text", std::move(Lines)},
      {"plan", writePlan(Progress.ProposalRecord.Proposal)}};
  if (!Progress.Executor.empty())
    Description["executor"] = Progress.Executor.Text;
  if (!Progress.Reason.empty())
    Description["why"] = Progress.Reason;
  return Description;
}

Json describeState(const State &AgreedState) {
  Json Description{{"next", AgreedState.Next},
                   {"entry_hosts", Json::array()},
                   {"drained_data_centres", Json::array()},
                   {"drained_hosts", Json::array()},
                   {"models", Json::array()},
                   {"groups", Json::array()},
                   {"services", Json::array()},
                   {"plans", Json::array()}};
  for (const auto &[Name, Host] : AgreedState.EntryHosts)
    Description["entry_hosts"].push_back(
        {{"name", Name.Text},
         {"data_centre", Host.JoinRecord.DataCentre.Text},
         {"address", Host.JoinRecord.Address},
         {"port", Host.JoinRecord.CallerPort}});
  for (const DataCentreName &DataCentre : AgreedState.DrainedDataCentres)
    Description["drained_data_centres"].push_back(DataCentre.Text);
  for (const HostName &Host : AgreedState.DrainedHosts)
    Description["drained_hosts"].push_back(Host.Text);
  for (const ModelSpec &Model : AgreedState.Declared.Models)
    Description["models"].push_back(describeModel(AgreedState, Model));
  for (const auto &[Id, GroupState] : AgreedState.Groups)
    Description["groups"].push_back(describeGroup(Id, GroupState));
  for (const ServiceSpec &Service : AgreedState.Declared.Services)
    Description["services"].push_back(
        {{"name", Service.Name.Text}, {"instances", Service.Instances.size()}});
  for (const auto &[Id, Progress] : AgreedState.Plans)
    Description["plans"].push_back(
        {{"id", Id},
         {"phase", PlanPhaseNames.at(static_cast<std::size_t>(Progress.Phase))},
         {"steps", Progress.ProposalRecord.Proposal.Steps.size()},
         {"steps_done", Progress.StepsDone},
         {"asked",
          describeIntent(Progress.ProposalRecord.Proposal.RequestedIntent)}});
  return Description;
}

OperatorApi::OperatorApi(AgreedStream &Stream, std::string CredentialSha256,
                         MetricsText Text)
    : Agreed(Stream), CredentialDigest(std::move(CredentialSha256)),
      Metrics(std::move(Text)) {}

std::optional<HttpResponse> OperatorApi::check(const HttpRequest &Head) const {
  if (Head.Target == MetricsPath)
    return std::nullopt;
  const std::string_view Authorization = fieldOf(Head.Fields, "Authorization");
  if (Authorization.starts_with(BearerPrefix) &&
      sha256Hex(Authorization.substr(BearerPrefix.size())) == CredentialDigest)
    return std::nullopt;
  return problem(401, "unauthenticated",
                 "the operators' credential is missing or wrong");
}

Awaitable<void> OperatorApi::serve(Exchange &Call) {
  const HttpRequest &Request = Call.request();
  const std::string_view Path =
      std::string_view(Request.Target).substr(0, Request.Target.find('?'));
  const bool IsPost = Request.Method == "POST";
  const std::optional<PlanPath> Plan = planPathOf(Path);
  HttpResponse Response = problem(404, "unknown-path", std::string(Path));
  if (Path == MetricsPath) {
    Response.Status = 200;
    Response.Fields.front().Value = "text/plain; version=0.0.4";
    Response.Body = Metrics();
  } else if (Path == StatePath) {
    Response = jsonAnswer(describeState(*Agreed.state()));
  } else if (Path == DeclarationPath) {
    Response = jsonAnswer(writeDeclaration(Agreed.state()->Declared));
  } else if (Path == PlansPath && IsPost) {
    Response = co_await propose(Call);
  } else if (Plan && Plan->Verb == "confirm" && IsPost) {
    Response = co_await confirm(Call, Plan->Id);
  } else if (Plan && Plan->Verb == "abandon" && IsPost) {
    Response = co_await abandon(Call, Plan->Id);
  } else if (Plan && Plan->Verb.empty()) {
    const StatePtr Now = Agreed.state();
    const auto Found = Now->Plans.find(Plan->Id);
    Response = Found == Now->Plans.end()
                   ? planNotFound(Plan->Id)
                   : jsonAnswer(describeProgress(Plan->Id, Found->second));
  }
  co_await Call.respond(std::move(Response));
}

Awaitable<AppendOutcome> OperatorApi::append(const Record &Body) {
  const auto Answer = std::make_shared<Reply<AppendOutcome>>(
      co_await boost::asio::this_coro::executor);
  Agreed.append(Body, AppendTimeout,
                [Answer](const AppendOutcome &Result) { Answer->set(Result); });
  co_return co_await Answer->wait();
}

Awaitable<HttpResponse> OperatorApi::propose(Exchange &Call) {
  PlanProposed Proposed;
  std::string Problem;
  try {
    const Json Body = parseJson(Call.request().Body, "intent");
    const Intent NewIntent = readIntent(Body, "intent", UnknownKeys::Refuse);
    const StatePtr Now = Agreed.state();
    Proposed.Proposal = planIntent(*Now, NewIntent);
    shortenPlan(Proposed.Proposal, *Now);
    Proposed.Operator = operatorOf(Call.request());
  } catch (const Error &Failure) {
    Problem = Failure.what();
  }
  if (!Problem.empty())
    co_return problem(422, "cannot-plan", Problem);
  const Record NewRecord = std::move(Proposed);
  const AppendOutcome Result = co_await append(NewRecord);
  if (!Result.Appended)
    co_return logUnavailable();
  if (Result.FoldOutcome.Effect != FoldEffect::Applied)
    co_return conflict(Result);
  const StatePtr Now = Agreed.state();
  const auto Found = Now->Plans.find(Result.RecordOffset);
  co_return Found == Now->Plans.end()
      ? planNotFound(Result.RecordOffset)
      : jsonAnswer(describeProgress(Result.RecordOffset, Found->second));
}

Awaitable<HttpResponse> OperatorApi::confirm(Exchange &Call, Offset Plan) {
  const Record NewRecord = confirmed(Plan, Call.request());
  const AppendOutcome Result = co_await append(NewRecord);
  if (!Result.Appended)
    co_return logUnavailable();
  if (Result.FoldOutcome.Effect != FoldEffect::Applied)
    co_return conflict(Result);
  const StatePtr Now = Agreed.state();
  const auto Found = Now->Plans.find(Plan);
  co_return Found == Now->Plans.end()
      ? planNotFound(Plan)
      : jsonAnswer(describeProgress(Plan, Found->second));
}

Awaitable<HttpResponse> OperatorApi::abandon(Exchange &Call, Offset Plan) {
  const Record NewRecord = abandoned(Plan, Call.request());
  const AppendOutcome Result = co_await append(NewRecord);
  if (!Result.Appended)
    co_return logUnavailable();
  if (Result.FoldOutcome.Effect != FoldEffect::Applied)
    co_return conflict(Result);
  const StatePtr Now = Agreed.state();
  const auto Found = Now->Plans.find(Plan);
  co_return Found == Now->Plans.end()
      ? planNotFound(Plan)
      : jsonAnswer(describeProgress(Plan, Found->second));
}

} // namespace coltsfoottrail
