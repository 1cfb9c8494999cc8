#include "coltsfoottrail/claims/types.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <cctype>

namespace coltsfoottrail {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidTimeDigits = 12;
constexpr std::size_t UuidVersionIndex = 14;
constexpr std::size_t UuidVariantIndex = 19;
constexpr milliseconds UnavailableRetry{1000};
constexpr milliseconds InProgressRetry{500};

bool isDashAt(std::size_t Index) {
  return Index == 8 || Index == 13 || Index == 18 || Index == 23;
}

bool isUuid(std::string_view Key) {
  if (Key.size() != UuidLength)
    return false;
  for (std::size_t Index = 0; Index < UuidLength; ++Index) {
    const auto Character = static_cast<unsigned char>(Key[Index]);
    if (isDashAt(Index) ? Character != '-' : std::isxdigit(Character) == 0)
      return false;
  }
  return true;
}

struct VerdictVisitor {
  std::optional<Verdict> operator()(const ClaimGranted &) const {
    return std::nullopt;
  }
  std::optional<Verdict> operator()(const ClaimReplay &) const {
    return std::nullopt;
  }
  std::optional<Verdict> operator()(const ClaimNotRun &) const {
    return std::nullopt;
  }
  std::optional<Verdict> operator()(const ClaimNotKnown &) const {
    return std::nullopt;
  }
  std::optional<Verdict> operator()(const ClaimInProgress &) const {
    return Verdict{RunState::MayHaveRun, Reason::KeyInUse, InProgressRetry};
  }
  std::optional<Verdict> operator()(const ClaimBodyDiffers &) const {
    return Verdict{RunState::NotRun, Reason::KeyReused, std::nullopt};
  }
  std::optional<Verdict> operator()(const ClaimMayHaveRun &) const {
    return Verdict{RunState::MayHaveRun, Reason::PeerFailed, std::nullopt};
  }
  std::optional<Verdict> operator()(const ClaimKeyExpired &) const {
    return Verdict{RunState::MayHaveRun, Reason::KeyExpired, std::nullopt};
  }
  std::optional<Verdict> operator()(const ClaimUnavailable &Decision) const {
    return Verdict{Decision.EarlierTry ? RunState::MayHaveRun
                                       : RunState::NotRun,
                   Reason::ClaimUnavailable, UnavailableRetry};
  }
};

} // namespace

ClaimPartition partitionOf(const ClaimKey &Key) {
  const std::uint64_t TeamHash = hashText(Key.Team.Text);
  return static_cast<ClaimPartition>(hashText(Key.Key, TeamHash) %
                                     ClaimPartitions);
}

StreamName claimStream(ClaimPartition Partition) {
  return StreamName("claims/" + std::to_string(Partition));
}

std::optional<std::uint64_t> birthOfKey(std::string_view Key) {
  if (!isUuid(Key) || Key[UuidVersionIndex] != '7')
    return std::nullopt;
  if (std::string_view("89abAB").find(Key[UuidVariantIndex]) ==
      std::string_view::npos)
    return std::nullopt;
  std::string Digits;
  for (const char Character : Key)
    if (Character != '-' && Digits.size() < UuidTimeDigits)
      Digits.push_back(Character);
  constexpr int Hexadecimal = 16;
  constexpr std::uint64_t MillisecondsPerSecond = 1000;
  return std::stoull(Digits, nullptr, Hexadecimal) / MillisecondsPerSecond;
}

std::optional<Verdict> verdictOf(const ClaimDecision &Decision) {
  return std::visit(VerdictVisitor{}, Decision);
}

} // namespace coltsfoottrail
