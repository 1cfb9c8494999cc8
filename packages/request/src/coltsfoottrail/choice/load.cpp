#include "coltsfoottrail/choice/load.hpp"

#include <algorithm>
#include <limits>

namespace coltsfoottrail {

namespace {

constexpr Duration StepLength = milliseconds(125);
/// A report that is older says nothing any more.
constexpr Duration ReportLife = seconds(10);
/// What other hosts told counts for so long: several times the pace at which
/// they tell. After that the endpoint's own report is better.
constexpr Duration SharedLife = milliseconds(600);

std::int64_t stepOf(TimePoint When) {
  return When.time_since_epoch() / StepLength;
}

std::uint16_t narrowed(std::uint32_t Count) {
  constexpr std::uint32_t Most = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(Count, Most));
}

} // namespace

void LoadModel::roll(TimePoint Now) noexcept {
  const std::int64_t Step = stepOf(Now);
  const std::int64_t First = std::max(LastStep, Step - Steps);
  for (std::int64_t Passed = First; Passed < Step; ++Passed)
    AtEnd[static_cast<std::size_t>(Passed % Steps)] = narrowed(Own);
  LastStep = Step;
}

void LoadModel::sent(bool Late, TimePoint Now, std::uint32_t Tokens) noexcept {
  roll(Now);
  ++Own;
  OwnUnread += Tokens;
  ++(Late ? OwnLate : OwnFresh);
}

void LoadModel::begun(bool Late, std::uint32_t Tokens) noexcept {
  --(Late ? OwnLate : OwnFresh);
  OwnUnread -= Tokens;
}

void LoadModel::ended(bool Late, bool Begun, TimePoint Now,
                      std::uint32_t Tokens) noexcept {
  roll(Now);
  --Own;
  if (!Begun)
    begun(Late, Tokens);
}

void LoadModel::share(const RequestLoad &Of, TimePoint Now) noexcept {
  Shared = Of;
  SharedAt = Now;
}

bool LoadModel::isShared(TimePoint Now) const noexcept {
  return SharedAt != TimePoint{} && Now - SharedAt < SharedLife;
}

std::optional<std::uint32_t>
LoadModel::aheadOfFresh(TimePoint Now) const noexcept {
  if (!isShared(Now))
    return std::nullopt;
  return Own - OwnLate + Shared.Running + Shared.Fresh;
}

RequestLoad LoadModel::ownLoad() const noexcept {
  return {Own - OwnFresh - OwnLate, OwnFresh, OwnLate, OwnUnread};
}

std::uint32_t LoadModel::unreadTokens(TimePoint Now) const noexcept {
  return isShared(Now) ? OwnUnread + Shared.UnreadTokens : OwnUnread;
}

void LoadModel::report(std::uint32_t Total, Duration Age,
                       TimePoint Now) noexcept {
  const std::uint32_t Contained = ownAt(Now - Age);
  Others = Total - std::min(Total, Contained);
  ReportedAt = Now - Age;
}

std::uint32_t LoadModel::load(TimePoint Now) const noexcept {
  if (isShared(Now))
    return Own + Shared.total();
  return Now - ReportedAt < ReportLife ? Own + Others : Own;
}

std::uint32_t LoadModel::ownAt(TimePoint Then) const noexcept {
  const std::int64_t Step = std::max(stepOf(Then), LastStep - Steps);
  if (Step >= LastStep)
    return Own;
  return AtEnd[static_cast<std::size_t>(Step % Steps)];
}

} // namespace coltsfoottrail
