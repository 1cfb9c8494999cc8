#include "coltsfoottrail/cli/client.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr unsigned StatusOk = 200;

Json readAnswer(const HttpResponse &Answer) {
  if (Answer.Status != StatusOk)
    throw problemOf(Answer.Status, Answer.Body);
  Json Parsed = Json::parse(Answer.Body, nullptr, false);
  if (!Parsed.is_object())
    throw CommandError(ExitCode::NoAnswer,
                       "an entry host's answer is no JSON object");
  return Parsed;
}

} // namespace

OperatorClient::OperatorClient(ConnectionOptions Connection,
                               Secret OperatorCredential, Send SendFunction)
    : Options(std::move(Connection)), Credential(std::move(OperatorCredential)),
      Sender(std::move(SendFunction)) {}

HttpRequest OperatorClient::makeRequest(const std::string &Target) const {
  HttpRequest Request;
  Request.Target = Target;
  Request.Fields.push_back(
      {"Authorization", "Bearer " + std::string(Credential.reveal())});
  if (!Options.Operator.empty())
    Request.Fields.push_back({"Coltsfoottrail-Operator", Options.Operator});
  return Request;
}

Json OperatorClient::call(const HttpRequest &Request, Kind Effect) const {
  std::string TriedHosts;
  for (const EngineAddress &Host : Options.Hosts) {
    const auto Outcome = Sender(Host, Request, Options.Timeout);
    if (const auto *const Answer = std::get_if<HttpResponse>(&Outcome))
      return readAnswer(*Answer);
    const CallFailure &Failure = std::get<CallFailure>(Outcome);
    if (Effect == Kind::Change && Failure.State != RunState::NotRun)
      throw AnswerLost(textOf(Host));
    TriedHosts += (TriedHosts.empty() ? "" : ", ") + textOf(Host);
  }
  throw CommandError(ExitCode::NoAnswer,
                     "no entry host answers; tried " + TriedHosts);
}

Json OperatorClient::query(const std::string &Target) const {
  return call(makeRequest(Target), Kind::Query);
}

Json OperatorClient::submit(const std::string &Target, const Json &Body) const {
  HttpRequest Request = makeRequest(Target);
  Request.Method = "POST";
  Request.Fields.push_back({"Content-Type", "application/json"});
  Request.Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return call(Request, Kind::Change);
}

} // namespace coltsfoottrail
