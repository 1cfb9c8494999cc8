#include "coltsfoottrail/fleethost/candidacy.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

TimePoint at(int Ms) { return TimePoint{} + seconds(100) + milliseconds(Ms); }

Candidacy candidacy(DutyRole Role) { return {Role, CandidacyTimes{}, at(0)}; }

TEST(Candidacy, ReserveStandsAsideWhileACoordinatorIsHeard) {
  Candidacy Its = candidacy(DutyRole::Reserve);
  EXPECT_TRUE(Its.standsAside(false, at(100)));
  Its.recordCoordinator(at(1'500));
  EXPECT_TRUE(Its.standsAside(false, at(3'400)));
  EXPECT_FALSE(Its.standsAside(false, at(3'500)));
  EXPECT_FALSE(Its.standsAside(true, at(1'500)));
}

TEST(Candidacy, CandidateAsksAtOnce) {
  EXPECT_FALSE(candidacy(DutyRole::Candidate).standsAside(false, at(0)));
}

// Guards against a fleet whose hosts all ask for the lease when the store
// returns: it is dealt out anew with each of them, and a weak host keeps it.
TEST(Candidacy, ReserveLeavesTheLeaseToCandidatesAfterAnOutage) {
  Candidacy Its = candidacy(DutyRole::Reserve);
  Its.recordStore(false, at(1'000));
  EXPECT_TRUE(Its.standsAside(false, at(9'000)));
  Its.recordStore(true, at(9'000));
  Its.recordStore(true, at(10'500));
  EXPECT_TRUE(Its.standsAside(false, at(10'900)));
  EXPECT_FALSE(Its.standsAside(false, at(11'000)));
}

} // namespace

} // namespace coltsfoottrail::test
