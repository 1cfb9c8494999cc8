#include "coltsfoottrail/admission/idleshare.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

// If all entry hosts together keep more idle connections to a service than it
// accepts, it resets the new connection of the next order, which then ends with
// an unknown outcome.
TEST(IdleShare, AllHostsTogetherLeaveRoomForRequests) {
  for (const std::uint32_t MaxConnections : {0U, 52U, 100U, 110U, 464U, 660U})
    for (const std::size_t Hosts : {1U, 7U, 9U, 71U, 300U, 1'000U})
      EXPECT_LE(idleShare(MaxConnections, Hosts) * Hosts * 2, MaxConnections);
}

TEST(IdleShare, IsAPartOfWhatTheEndpointTakes) {
  EXPECT_EQ(idleShare(464, 7), 33U);
  EXPECT_EQ(idleShare(660, 71), 4U);
  EXPECT_EQ(idleShare(110, 71), 0U);
}

} // namespace

} // namespace coltsfoottrail
