#include "coltsfoottrail/verdict/verdict.hpp"

#include <gtest/gtest.h>
#include <set>

namespace coltsfoottrail {
namespace {

TEST(Verdict, RunStateOnlyGrows) {
  EXPECT_EQ(laterRunState(RunState::MayHaveRun, RunState::NotRun),
            RunState::MayHaveRun);
  EXPECT_EQ(laterRunState(RunState::MayHaveRun, RunState::Ran), RunState::Ran);
}

TEST(Verdict, EachReasonHasItsOwnCode) {
  std::set<std::string_view> Codes;
  const auto Last = static_cast<unsigned>(Reason::Internal);
  for (unsigned Index = 0; Index <= Last; ++Index)
    Codes.insert(reasonCode(static_cast<Reason>(Index)));
  EXPECT_EQ(Codes.size(), Last + 1);
}

} // namespace
} // namespace coltsfoottrail
