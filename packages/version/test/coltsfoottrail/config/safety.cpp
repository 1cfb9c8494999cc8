#include "coltsfoottrail/config/world.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::World;

constexpr Duration StaleAfter = seconds(4);
constexpr Duration Step = milliseconds(20);

/// Draws faults of all kinds over time: one-way partitions, hosts without the
/// log, an outage, lost messages, slow links, restarts and pauses.
class FaultyWorld {
public:
  FaultyWorld(std::size_t Hosts, std::uint64_t Seed)
      : All(Hosts, 3, Seed), Draw(Seed), Group(Hosts, 0) {
    All.Linked = [this](std::size_t From, std::size_t To) {
      return Group[From] == Group[To] || (OneWay && Group[From] < Group[To]);
    };
  }

  void step() {
    if (Draw.below(40) == 0)
      change();
    if (Draw.below(20) == 0 && !All.LogDown && someReach()) {
      All.append();
      Appended.push_back(All.Now);
    }
    All.run(Step);
  }

  void heal() {
    std::ranges::fill(Group, 0);
    for (World::Host &Each : All.All)
      Each.CutFromLog = false;
    All.LogDown = false;
    All.Loss = 0;
    All.LinkDelay = milliseconds(1);
  }

  /// Offset that a host must have reached to be fresh: all records that were
  /// appended longer ago than a state may be old.
  [[nodiscard]] Offset oldest() const {
    Offset Out = 0;
    while (Out < Appended.size() && Appended[Out] < All.Now - StaleAfter)
      ++Out;
    return Out;
  }

  World All;

private:
  void change() {
    switch (Draw.below(7)) {
    case 0:
      for (int &Each : Group)
        Each = static_cast<int>(Draw.below(2));
      OneWay = Draw.below(2) == 0;
      break;
    case 1:
      for (World::Host &Each : All.All)
        Each.CutFromLog = Draw.below(3) == 0;
      break;
    case 2:
      All.LogDown = !All.LogDown;
      break;
    case 3:
      All.Loss = Draw.fraction() / 2;
      break;
    case 4:
      All.LinkDelay = milliseconds(1 + Draw.below(1500));
      break;
    case 5: {
      const std::size_t Index = Draw.below(All.All.size());
      All.begin(Index, Draw.below(All.All[Index].Folded + 1));
      break;
    }
    default:
      heal();
    }
  }
  [[nodiscard]] bool someReach() const {
    return std::ranges::any_of(
        All.All, [](const World::Host &Each) { return !Each.CutFromLog; });
  }

  Random Draw;
  std::vector<int> Group;
  bool OneWay = false;
  std::vector<TimePoint> Appended;
};

// Whatever fails, in whatever order, a host that calls its state fresh has all
// records that are older than the stated bound: it starts no work under a
// configuration that was replaced longer ago. And when all is well again, each
// host comes to the whole stream and serves.
TEST(FollowerSafety, FreshHostsHaveAllRecordsOlderThanTheBound) {
  std::size_t Fresh = 0;
  std::size_t NotFresh = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    FaultyWorld Faulty(5 + Seed % 8, Seed);
    for (int Round = 0; Round < 1500; ++Round) {
      Faulty.step();
      const Offset Oldest = Faulty.oldest();
      for (const World::Host &Each : Faulty.All.All) {
        const bool Claims =
            Each.Follow->freshness(Faulty.All.Now) == Freshness::Fresh;
        ++(Claims ? Fresh : NotFresh);
        ASSERT_TRUE(!Claims || Each.Folded >= Oldest)
            << "seed " << Seed << " round " << Round << " "
            << Each.Who.Name.Text << " at " << Each.Folded << " below "
            << Oldest;
      }
    }
    Faulty.heal();
    Faulty.All.run(seconds(20));
    EXPECT_TRUE(Faulty.All.inForce()) << "seed " << Seed;
    EXPECT_EQ(Faulty.All.count(Freshness::Fresh), Faulty.All.All.size())
        << "seed " << Seed;
    EXPECT_TRUE(Faulty.All.allInOrder()) << "seed " << Seed;
  }
  EXPECT_GT(Fresh, 10'000U);
  EXPECT_GT(NotFresh, 10'000U);
}

} // namespace
} // namespace coltsfoottrail
