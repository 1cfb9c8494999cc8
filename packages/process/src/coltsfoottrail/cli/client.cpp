#include "coltsfoottrail/cli/client.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr unsigned StatusOk = 200;

Json readAnswer(const HttpResponse &Answer) {
  if (Answer.Status != StatusOk)
    throw problemOf(Answer.Status, Answer.Body);
  Json Out = Json::parse(Answer.Body, nullptr, false);
  if (!Out.is_object())
    throw CommandError(ExitCode::NoAnswer,
                       "an entry host's answer is no JSON object");
  return Out;
}

} // namespace

OperatorClient::OperatorClient(ConnectionOptions Given, Secret Credential,
                               Send Sender)
    : Options(std::move(Given)), Proof(std::move(Credential)),
      Sending(std::move(Sender)) {}

HttpRequest OperatorClient::requestTo(const std::string &Target) const {
  HttpRequest Out;
  Out.Target = Target;
  Out.Fields.push_back(
      {"Authorization", "Bearer " + std::string(Proof.reveal())});
  if (!Options.Operator.empty())
    Out.Fields.push_back({"Coltsfoottrail-Operator", Options.Operator});
  return Out;
}

Json OperatorClient::call(const HttpRequest &Asked, Kind What) const {
  std::string Tried;
  for (const EngineAddress &Host : Options.Hosts) {
    const auto Got = Sending(Host, Asked, Options.Timeout);
    if (const auto *const Answer = std::get_if<HttpResponse>(&Got))
      return readAnswer(*Answer);
    const CallFailure &Failed = std::get<CallFailure>(Got);
    if (What == Kind::Change && Failed.State != RunState::NotRun)
      throw AnswerLost(textOf(Host));
    Tried += (Tried.empty() ? "" : ", ") + textOf(Host);
  }
  throw CommandError(ExitCode::NoAnswer,
                     "no entry host answers; tried " + Tried);
}

Json OperatorClient::query(const std::string &Target) const {
  return call(requestTo(Target), Kind::Lookup);
}

Json OperatorClient::submit(const std::string &Target, const Json &Body) const {
  HttpRequest Asked = requestTo(Target);
  Asked.Method = "POST";
  Asked.Fields.push_back({"Content-Type", "application/json"});
  Asked.Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return call(Asked, Kind::Change);
}

} // namespace coltsfoottrail
