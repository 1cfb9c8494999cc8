#include "sparsemesh.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::testing {
namespace {

class SparseMeshOf : public ::testing::TestWithParam<std::size_t> {};

// Guards against removing live hosts whose watchers are not their neighbours.
TEST_P(SparseMeshOf, IdleHostsStayMembers) {
  SparseMesh Fleet(GetParam());
  Fleet.run(seconds(120));
  EXPECT_EQ(Fleet.members().size(), GetParam());
}

// Guards against keeping a dead host whose watchers are not connected.
TEST_P(SparseMeshOf, DeadHostIsRemovedInTime) {
  SparseMesh Fleet(GetParam());
  Fleet.run(seconds(60));
  Fleet.kill(GetParam() / 2);
  Fleet.run(seconds(10));
  EXPECT_EQ(Fleet.members().size(), GetParam() - 1);
  EXPECT_FALSE(Fleet.members().contains(SparseMesh::nameOf(GetParam() / 2)));
}

INSTANTIATE_TEST_SUITE_P(Sizes, SparseMeshOf, ::testing::Values(33, 40, 100));

// Guards against a full mesh: an idle host is connected with its neighbours and
// with those that it watches or that watch it.
TEST(SparseMesh, IdleHostsKeepFewConnections) {
  SparseMesh Fleet(150);
  Fleet.run(seconds(120));
  EXPECT_LT(Fleet.mostLinks(), 50U);
}

} // namespace
} // namespace coltsfoottrail::testing
