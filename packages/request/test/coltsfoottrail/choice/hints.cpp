#include "coltsfoottrail/choice/hints.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(100)};

std::size_t hintCount(const PrefixHints &Hints, std::uint64_t PrefixHash) {
  const auto Set = Hints.setOf(PrefixHash);
  return static_cast<std::size_t>(
      std::ranges::count(Set, PrefixHash, &PrefixHints::Hint::PrefixHash));
}

TEST(PrefixHints, TableStaysAsLargeAsItIs) {
  PrefixHints Hints(16);
  EXPECT_EQ(Hints.bytes(), 0U);
  for (std::uint32_t Index = 0; Index < 10000; ++Index)
    Hints.add({Index + 1U, CandidateId{Index % 50, 1}, Start, 1});
  EXPECT_EQ(Hints.bytes(), 16 * 4 * sizeof(PrefixHints::Hint));
}

TEST(PrefixHints, TheOneThatExpiresFirstGivesWay) {
  PrefixHints Hints(1);
  for (std::uint32_t Index = 1; Index <= 4; ++Index)
    Hints.add({Index, CandidateId{0, 1}, Start + seconds(Index), 1});
  Hints.add({1, CandidateId{0, 1}, Start + seconds(9), 1});
  Hints.add({5, CandidateId{0, 1}, Start + seconds(5), 1});
  EXPECT_EQ(hintCount(Hints, 1), 1U);
  EXPECT_EQ(hintCount(Hints, 2), 0U);
  EXPECT_EQ(hintCount(Hints, 5), 1U);
}

TEST(PrefixHints, RemovalLeavesOtherEndpoints) {
  PrefixHints Hints(4);
  Hints.add({7, CandidateId{1, 1}, Start, 1});
  Hints.add({7, CandidateId{2, 1}, Start, 1});
  Hints.remove(7, CandidateId{1, 1});
  EXPECT_EQ(hintCount(Hints, 7), 1U);
}

} // namespace
} // namespace coltsfoottrail
