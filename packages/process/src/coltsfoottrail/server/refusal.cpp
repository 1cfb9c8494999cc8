#include "coltsfoottrail/server/refusal.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace coltsfoottrail {

namespace {

using Json = nlohmann::json;

HttpResponse problem(unsigned Status, std::string_view State,
                     std::string_view Why, std::string_view Detail,
                     const std::optional<milliseconds> &RetryAfter) {
  Json Body{{"type", "urn:coltsfoottrail:" + std::string(Why)},
            {"title", std::string(Why)},
            {"status", Status},
            {"verdict", std::string(State)},
            {"reason", std::string(Why)}};
  if (!Detail.empty())
    Body["detail"] = std::string(Detail);
  HttpResponse Response;
  Response.Status = Status;
  Response.Fields = {{"Content-Type", "application/problem+json"},
                     {"Coltsfoottrail-Verdict", std::string(State)}};
  if (RetryAfter) {
    Body["retry_after_ms"] = RetryAfter->count();
    const auto RoundedUp = std::chrono::ceil<seconds>(*RetryAfter).count();
    Response.Fields.push_back({"Retry-After", std::to_string(RoundedUp)});
  }
  Response.Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Response;
}

} // namespace

HttpResponse refusalOf(const Verdict &Final, std::string_view Detail) {
  return problem(httpStatus(Final), runStateCode(Final.State),
                 reasonCode(Final.Why), Detail, Final.RetryAfter);
}

HttpResponse serverRefusal(unsigned Status, std::string_view Why) {
  constexpr unsigned Unexpected = 500;
  const RunState State =
      Status == Unexpected ? RunState::MayHaveRun : RunState::NotRun;
  return problem(Status, runStateCode(State), Why, {}, std::nullopt);
}

} // namespace coltsfoottrail
