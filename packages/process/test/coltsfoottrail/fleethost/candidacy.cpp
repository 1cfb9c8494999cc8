#include "coltsfoottrail/fleethost/candidacy.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

TimePoint at(int Ms) { return TimePoint{} + seconds(100) + milliseconds(Ms); }

Candidacy candidacy(DutyRole Role) { return {Role, CandidacyTimes{}, at(0)}; }

TEST(Candidacy, ReserveStandsAsideWhileACoordinatorIsHeard) {
  Candidacy Election = candidacy(DutyRole::Reserve);
  EXPECT_TRUE(Election.standsAside(false, at(100)));
  Election.recordCoordinator(true, at(1'500));
  EXPECT_TRUE(Election.standsAside(false, at(3'400)));
  EXPECT_FALSE(Election.standsAside(false, at(3'500)));
  EXPECT_FALSE(Election.standsAside(true, at(1'500)));
}

// Guards against hosts that restart one after the other and leave no candidate
// that could take over at once when the coordinator is stopped as well.
TEST(Candidacy, CandidateAsksAtOnceWhenItStarts) {
  Candidacy Election = candidacy(DutyRole::Candidate);
  EXPECT_FALSE(Election.standsAside(false, at(0)));
  Election.recordCoordinator(true, at(100));
  EXPECT_FALSE(Election.standsAside(false, at(100)));
}

// Guards against a lease that moves to a host only because that host has
// regained its connection to the store.
TEST(Candidacy, CandidateThatLostTheStoreLeavesTheLeaseToItsHolder) {
  Candidacy Election = candidacy(DutyRole::Candidate);
  Election.recordStore(false, at(0));
  Election.recordStore(true, at(900));
  Election.recordCoordinator(true, at(1'000));
  EXPECT_TRUE(Election.standsAside(false, at(1'900)));
  EXPECT_FALSE(Election.standsAside(true, at(1'900)));
  EXPECT_FALSE(Election.standsAside(false, at(2'000)));
}

// Guards against a coordinator that is cut off from the store only: nobody
// repairs groups unless a candidate takes over, but not all reserves should
// request the lease.
TEST(Candidacy, OnlyCandidatesTakeOverFromACoordinatorWithoutALease) {
  Candidacy Strong = candidacy(DutyRole::Candidate);
  Candidacy Weak = candidacy(DutyRole::Reserve);
  for (Candidacy *const Election : {&Strong, &Weak}) {
    Election->recordStore(false, at(500));
    Election->recordStore(true, at(1'000));
    Election->recordCoordinator(false, at(3'000));
  }
  EXPECT_FALSE(Strong.standsAside(false, at(3'001)));
  EXPECT_TRUE(Weak.standsAside(false, at(4'999)));
}

// Guards against a lease that is reassigned because candidates stop requesting
// it once they hear of its holder.
TEST(Candidacy, CandidateThatIsAMemberRemainsOne) {
  Candidacy Election = candidacy(DutyRole::Candidate);
  Election.recordMembership(at(2'000));
  Election.recordStore(false, at(1'800));
  Election.recordCoordinator(true, at(1'900));
  EXPECT_FALSE(Election.standsAside(false, at(1'950)));
  EXPECT_TRUE(Election.standsAside(false, at(2'000)));
}

// Guards against a handover when the store returns while the coordinator is
// alive.
TEST(Candidacy, LastHolderAsksFirstAfterAnOutage) {
  Candidacy Election = candidacy(DutyRole::Candidate);
  Election.recordStore(false, at(1'000));
  Election.recordStore(true, at(9'000));
  EXPECT_TRUE(Election.standsAside(false, at(9'900)));
  EXPECT_FALSE(Election.standsAside(true, at(9'000)));
  EXPECT_FALSE(Election.standsAside(false, at(10'000)));
}

// Guards against a fleet whose hosts all request the lease when the store
// returns: it is reassigned with each request, and a host with little processor
// share may keep it.
TEST(Candidacy, ReserveLeavesTheLeaseToCandidatesAfterAnOutage) {
  Candidacy Election = candidacy(DutyRole::Reserve);
  Election.recordStore(false, at(1'000));
  EXPECT_TRUE(Election.standsAside(false, at(9'000)));
  Election.recordStore(true, at(9'000));
  Election.recordStore(true, at(10'500));
  EXPECT_TRUE(Election.standsAside(false, at(10'900)));
  EXPECT_FALSE(Election.standsAside(false, at(11'000)));
}

} // namespace

} // namespace coltsfoottrail::test
