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
  const auto Found = Body.find(Key);
  return Found != Body.end() && Found->is_string() ? Found->get<std::string>()
                                                   : std::string();
}

std::string beatenBy(const Json &Body) {
  const auto Found = Body.find("beaten_by");
  if (Found == Body.end() || !Found->is_number_unsigned())
    return {};
  return "record " + Found->dump() + " was first: ";
}

} // namespace

ExitCode exitCodeOf(unsigned Status, std::string_view Why) noexcept {
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
    return Why == "unknown-plan" ? ExitCode::CannotPlan : ExitCode::NoAnswer;
  case StatusUnavailable:
    return Why == "log-unavailable" ? ExitCode::LogUnavailable
                                    : ExitCode::NoAnswer;
  default:
    return ExitCode::NoAnswer;
  }
}

CommandError problemOf(unsigned Status, std::string_view Body) {
  const Json Parsed = Json::parse(Body, nullptr, false);
  const Json Read = Parsed.is_object() ? Parsed : Json::object();
  const ExitCode Code = exitCodeOf(Status, textAt(Read, "error"));
  const std::string Detail = printable(textAt(Read, "detail"));
  switch (Code) {
  case ExitCode::Refused:
    return {Code, "refused: " + Detail};
  case ExitCode::CannotPlan:
    return {Code, Status == StatusNotFound ? Detail : "cannot plan: " + Detail};
  case ExitCode::Conflict:
    return {Code, "conflict: " + beatenBy(Read) + Detail +
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
  std::string Out(Text);
  for (char &Letter : Out) {
    const auto Code = static_cast<unsigned char>(Letter);
    if (Code < FirstPrintable || Code == Delete)
      Letter = '?';
  }
  return Out;
}

} // namespace coltsfoottrail
