/// @file
/// Checks of plays that a seed determines, for tests of the assembly.
#ifndef COLTSFOOTTRAIL_TEST_ASSEMBLY_PLAYS_HPP
#define COLTSFOOTTRAIL_TEST_ASSEMBLY_PLAYS_HPP

#include "engines.hpp"

#include <cstdint>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace coltsfoottrail::test {

/// @brief Plays consecutive seeds for a minute each and expects that no engine
/// joins a group while the leader of its present one serves.
/// @tparam Play Made of a seed; has run(Duration) and a member Fleet.
/// @param First The first seed.
/// @param Seeds The number of seeds.
template <class Play>
void expectNoEngineInTwoGroups(std::uint64_t First, std::uint64_t Seeds) {
  std::vector<std::uint64_t> Broken;
  std::string Trace;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    Play Run(Seed);
    Run.run(seconds(60));
    if (Run.Fleet.JoinedWhileOpen == 0)
      continue;
    Broken.push_back(Seed);
    if (Trace.empty())
      Trace = Run.Fleet.Trace;
  }
  EXPECT_EQ(Broken.size(), 0U)
      << "first: seed " << (Broken.empty() ? 0 : Broken.front()) << "\n"
      << Trace;
}

} // namespace coltsfoottrail::test

#endif
