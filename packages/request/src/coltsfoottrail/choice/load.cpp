#include "coltsfoottrail/choice/load.hpp"

#include <algorithm>
#include <limits>

namespace coltsfoottrail {

namespace {

constexpr Duration StepLength = milliseconds(125);
/// Older load reports are ignored.
constexpr Duration ReportLifetime = seconds(10);
/// Lifetime of numbers sent by other hosts: several times the interval at which
/// they are sent. After that the endpoint's own report is more accurate.
constexpr Duration OtherHostLoadLifetime = milliseconds(600);

std::int64_t stepOf(TimePoint Time) {
  return Time.time_since_epoch() / StepLength;
}

std::uint16_t saturated(std::uint32_t Count) {
  constexpr std::uint32_t Max = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(Count, Max));
}

} // namespace

void LoadModel::roll(TimePoint Now) noexcept {
  const std::int64_t Step = stepOf(Now);
  const std::int64_t First = std::max(LastStep, Step - Steps);
  for (std::int64_t PassedStep = First; PassedStep < Step; ++PassedStep)
    OwnAtStepEnd[static_cast<std::size_t>(PassedStep % Steps)] = saturated(Own);
  LastStep = Step;
}

void LoadModel::sent(bool Late, TimePoint Now, std::uint32_t Tokens) noexcept {
  roll(Now);
  ++Own;
  OwnUnread += Tokens;
  ++(Late ? OwnLate : OwnFresh);
}

void LoadModel::responseStarted(bool Late, std::uint32_t Tokens) noexcept {
  --(Late ? OwnLate : OwnFresh);
  OwnUnread -= Tokens;
}

void LoadModel::ended(bool Late, bool ResponseStarted, TimePoint Now,
                      std::uint32_t Tokens) noexcept {
  roll(Now);
  --Own;
  if (!ResponseStarted)
    responseStarted(Late, Tokens);
}

void LoadModel::setOtherHostLoad(const RequestLoad &OtherHosts,
                                 TimePoint Now) noexcept {
  OtherHostLoad = OtherHosts;
  OtherHostLoadAt = Now;
}

bool LoadModel::hasOtherHostLoad(TimePoint Now) const noexcept {
  return OtherHostLoadAt != TimePoint{} &&
         Now - OtherHostLoadAt < OtherHostLoadLifetime;
}

std::optional<std::uint32_t>
LoadModel::aheadOfFresh(TimePoint Now) const noexcept {
  if (!hasOtherHostLoad(Now))
    return std::nullopt;
  return Own - OwnLate + OtherHostLoad.Running + OtherHostLoad.Fresh;
}

RequestLoad LoadModel::ownLoad() const noexcept {
  return {Own - OwnFresh - OwnLate, OwnFresh, OwnLate, OwnUnread};
}

std::uint32_t LoadModel::unreadTokens(TimePoint Now) const noexcept {
  return hasOtherHostLoad(Now) ? OwnUnread + OtherHostLoad.UnreadTokens
                               : OwnUnread;
}

void LoadModel::report(std::uint32_t Total, Duration Age,
                       TimePoint Now) noexcept {
  const std::uint32_t OwnInReport = ownAt(Now - Age);
  ReportedByOthers = Total - std::min(Total, OwnInReport);
  ReportedAt = Now - Age;
}

std::uint32_t LoadModel::load(TimePoint Now) const noexcept {
  if (hasOtherHostLoad(Now))
    return Own + OtherHostLoad.total();
  return Now - ReportedAt < ReportLifetime ? Own + ReportedByOthers : Own;
}

std::uint32_t LoadModel::ownAt(TimePoint Time) const noexcept {
  const std::int64_t Step = std::max(stepOf(Time), LastStep - Steps);
  if (Step >= LastStep)
    return Own;
  return OwnAtStepEnd[static_cast<std::size_t>(Step % Steps)];
}

} // namespace coltsfoottrail
