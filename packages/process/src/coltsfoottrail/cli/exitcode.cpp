#include "coltsfoottrail/cli/exitcode.hpp"

#include "coltsfoottrail/json/fwd.hpp"

#include <nlohmann/json.hpp>

namespace coltsfoottrail {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusForbidden = 403;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusUnprocessable = 422;
constexpr unsigned StatusUnavailable = 503;

std::string textAt(const Json &Body, const char *Key) {
  const auto Member = Body.find(Key);
  return Member != Body.end() && Member->is_string()
             ? Member->get<std::string>()
             : std::string();
}

std::string conflictPrefix(const Json &Body) {
  const auto Member = Body.find("beaten_by");
  if (Member == Body.end() || !Member->is_number_unsigned())
    return {};
  return "record " + Member->dump() + " was first: ";
}

} // namespace

ExitCode exitCodeOf(unsigned Status, std::string_view ErrorName) noexcept {
  switch (Status) {
  case StatusOk:
    return ExitCode::Ok;
  case StatusUnauthorized:
  case StatusForbidden:
    return ExitCode::Refused;
  case StatusConflict:
    return ExitCode::Conflict;
  case StatusTooLarge:
    return ExitCode::WrongFile;
  case StatusUnprocessable:
    return ExitCode::CannotPlan;
  case StatusNotFound:
    return ErrorName == "unknown-plan" ? ExitCode::CannotPlan
                                       : ExitCode::NoAnswer;
  case StatusUnavailable:
    return ErrorName == "log-unavailable" ? ExitCode::LogUnavailable
                                          : ExitCode::NoAnswer;
  default:
    return ExitCode::NoAnswer;
  }
}

CommandError problemOf(unsigned Status, std::string_view Body) {
  const Json Parsed = Json::parse(Body, nullptr, false);
  const Json Fields = Parsed.is_object() ? Parsed : Json::object();
  const ExitCode Code = exitCodeOf(Status, textAt(Fields, "error"));
  const std::string Detail = printable(textAt(Fields, "detail"));
  switch (Code) {
  case ExitCode::Refused:
    return {Code, "refused: " + Detail};
  case ExitCode::CannotPlan:
    return {Code, Status == StatusNotFound ? Detail : "cannot plan: " + Detail};
  case ExitCode::Conflict:
    return {Code, "conflict: " + conflictPrefix(Fields) + Detail +
                      "; nothing was changed by this"};
  case ExitCode::LogUnavailable:
    return {Code, "log unavailable: " + Detail};
  case ExitCode::WrongFile:
    return {Code, "the entry host takes no request of this size"};
  default:
    return {Code, "unexpected answer with HTTP status " +
                      std::to_string(Status) +
                      (Detail.empty() ? "" : ": " + Detail)};
  }
}

std::string printable(std::string_view Text) {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7f;
  std::string Result(Text);
  for (char &Character : Result) {
    const auto Code = static_cast<unsigned char>(Character);
    if (Code < FirstPrintable || Code == Delete)
      Character = '?';
  }
  return Result;
}

} // namespace coltsfoottrail
