#include "coltsfoottrail/http/retryafterfield.hpp"

#include "coltsfoottrail/http/decimal.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace coltsfoottrail {

namespace {

constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;
/// Keeps sums of times within their range.
constexpr std::chrono::duration<double> MaxPause = std::chrono::years(1);

Duration pauseOf(double Seconds) {
  const std::chrono::duration<double> Pause(Seconds);
  return std::chrono::duration_cast<Duration>(std::min(Pause, MaxPause));
}

} // namespace

RetryAfterField readRetryAfter(const HttpResponse &Response) {
  RetryAfterField Result;
  if (Response.Status != StatusTooMany && Response.Status != StatusUnavailable)
    return Result;
  for (const HttpField &Field : Response.Fields) {
    if (!boost::beast::iequals(Field.Name, "Retry-After"))
      continue;
    if (const std::optional<double> Seconds = parseDecimal(Field.Value))
      Result.Pause =
          std::max(Result.Pause.value_or(Duration::zero()), pauseOf(*Seconds));
    else
      Result.IsInvalid = true;
  }
  return Result;
}

} // namespace coltsfoottrail
