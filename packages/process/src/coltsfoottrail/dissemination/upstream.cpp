#include "coltsfoottrail/dissemination/upstream.hpp"

#include <algorithm>
#include <charconv>

namespace coltsfoottrail {

namespace {

/// Exchanges lost in a row before the target counts as gone: one may be lost on
/// the way.
constexpr int LostToLeave = 2;
/// The store is asked for the coordinator this often, and less and less often
/// while that changes nothing: each question is a call on every host.
constexpr milliseconds AskEvery{700};
constexpr milliseconds LongestAskPause{2'800};
/// Hosts start together: there is no coordinator at first.
constexpr milliseconds FirstAskAfter{400};
/// A relay that failed is not assigned to this host again for so long.
constexpr Duration FailedRelayLife = seconds(5);

} // namespace

std::optional<EngineAddress> addressOfMember(std::string_view Member) {
  const std::string_view Text = Member.substr(0, Member.find('/'));
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  EngineAddress Out;
  Out.Address = Text.substr(0, Colon);
  const char *const End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Out.Port);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End)
    return std::nullopt;
  return Out;
}

Upstream::Upstream(std::string_view Own, TimePoint Now)
    : Self(addressOfMember(Own)), AskPause(AskEvery),
      AskAgainAt(Now + FirstAskAfter) {}

bool Upstream::takeQuestion(TimePoint Now) {
  if (Relay || KnownAnswers || Now < AskAgainAt)
    return false;
  AskAgainAt = Now + AskPause;
  AskPause = std::min(2 * AskPause, LongestAskPause);
  return true;
}

void Upstream::setCoordinator(std::string_view Member) {
  const auto Named = addressOfMember(Member);
  if (Named && Named != Self)
    Known = Named;
}

std::optional<std::string> Upstream::failedRelay(TimePoint Now) const {
  return Now < FailedRelayUntil ? FailedRelay : std::nullopt;
}

// Only a host that was the coordinator asks the store for its successor; the
// others hear it from there, or from their relay.
void Upstream::learnCoordinator(const Response &From, bool ByRelay) {
  if (!ByRelay && From.Coordinates) {
    KnownAnswers = true;
    AskPause = AskEvery;
    return;
  }
  const auto Named =
      From.Coordinator ? addressOfMember(*From.Coordinator) : std::nullopt;
  if (Named && Named != Self) {
    Known = Named;
    KnownAnswers = true;
  } else if (!ByRelay)
    KnownAnswers = false;
}

bool Upstream::respond(const Response &From, bool ByRelay) {
  Lost = 0;
  learnCoordinator(From, ByRelay);
  const auto Named = From.Relay ? addressOfMember(*From.Relay) : std::nullopt;
  if (!Named || ByRelay || Named == Self)
    return false;
  Relay = Named;
  return true;
}

bool Upstream::lose(TimePoint Now) {
  if (++Lost < LostToLeave)
    return false;
  abandon(Now);
  return true;
}

void Upstream::abandon(TimePoint Now) {
  Lost = 0;
  if (!Relay) {
    KnownAnswers = false;
    return;
  }
  FailedRelay = textOf(*Relay);
  FailedRelayUntil = Now + FailedRelayLife;
  Relay.reset();
}

bool Upstream::reportedHere(const HostName &From, TimePoint Now) {
  if (!Relay || addressOfMember(From.Text) != Relay)
    return false;
  abandon(Now);
  return true;
}

} // namespace coltsfoottrail
