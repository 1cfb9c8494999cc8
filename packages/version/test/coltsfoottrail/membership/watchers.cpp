#include "coltsfoottrail/membership/watchers.hpp"

#include "coltsfoottrail/core/random.hpp"

#include <gtest/gtest.h>
#include <set>

namespace coltsfoottrail {
namespace {

// Guards against two hosts that arrived at the same members in different ways,
// one change at a time or all at once, and disagree on who watches whom: a dead
// host could be left with watchers of which each assumes that another one is
// first in rank.
TEST(WatcherRanks, SameMembersGiveSameWatchersWhateverCameBefore) {
  Random Generator(11);
  WatcherRanks Stepwise(5);
  std::set<std::string> Names;
  for (int Step = 0; Step < 300; ++Step) {
    for (std::uint64_t Change = Generator.below(4); Change > 0; --Change) {
      const std::string Name = "host-" + std::to_string(Generator.below(40));
      if (!Names.erase(Name))
        Names.insert(Name);
    }
    const std::vector<HostName> Members(Names.begin(), Names.end());
    Stepwise.setMembers(Members);
    WatcherRanks AtOnce(5);
    AtOnce.setMembers(Members);
    for (const HostName &Host : Members) {
      const std::vector<HostName> Watchers = Stepwise.watchersOf(Host);
      EXPECT_EQ(Watchers, AtOnce.watchersOf(Host));
      EXPECT_EQ(Watchers.size(), std::min<std::size_t>(5, Members.size() - 1));
      EXPECT_FALSE(Stepwise.watches(Host, Host));
    }
  }
}

} // namespace
} // namespace coltsfoottrail
