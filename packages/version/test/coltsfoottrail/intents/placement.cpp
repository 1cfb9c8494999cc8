#include "coltsfoottrail/intents/placement.hpp"

#include "coltsfoottrail/intents/states.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

// Guards against fragmentation: if small groups take hosts from several
// domains, a large group fits nowhere though many hosts are free. Groups must
// go to the domain with the fewest free hosts that suffices.
TEST(Placement, SmallGroupsDoNotFragmentTheLargestDomain) {
  Declaration Declared = declareHosts(2, 8);
  FreeHosts Free;
  for (const HostSpec &Host : Declared.Hosts)
    if (Host.Name != hostIn(East, 0, 0))
      Free.add(Host);
  for (int Taken = 0; Taken < 3; ++Taken) {
    const auto Hosts = Free.take(East, 2);
    ASSERT_TRUE(Hosts);
    EXPECT_EQ(findHost(Declared, Hosts->front())->FabricDomain,
              domainIn(East, 0));
  }
  EXPECT_TRUE(Free.take(East, 8));
  EXPECT_FALSE(Free.take(East, 2));
  EXPECT_EQ(Free.largestDomain(East), 1U);
}

TEST(Placement, PreferredHostsAreTakenFirst) {
  Declaration Declared = declareHosts(1, 4);
  FreeHosts Free;
  for (const HostSpec &Host : Declared.Hosts)
    Free.add(Host);
  const std::vector<HostName> Survivors = {hostIn(East, 0, 3)};
  const auto Hosts = Free.takeFrom(East, domainIn(East, 0), 2, Survivors);
  ASSERT_TRUE(Hosts);
  EXPECT_EQ(*Hosts,
            (std::vector<HostName>{hostIn(East, 0, 3), hostIn(East, 0, 0)}));
}

} // namespace
} // namespace coltsfoottrail
