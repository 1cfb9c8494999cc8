#include "cluster.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr std::uint32_t Bound = 7;
constexpr std::size_t EndpointCount = 3;

/// Random load and faults over a cluster.
class RandomCluster {
public:
  RandomCluster(std::size_t Count, std::uint64_t Seed)
      : World(Count, EndpointCount, Bound, Bound, Seed, times()),
        Draw(Seed * 31) {}

  /// Longest work that load() starts is a little shorter.
  static ShareOptions times() {
    ShareOptions Times;
    Times.MaxRequestDuration = milliseconds(10'000);
    return Times;
  }

  void load() {
    for (std::size_t Index = 0; Index < World.All.size(); ++Index) {
      if (Draw.below(20) != 0)
        continue;
      const auto Waiting = static_cast<std::uint32_t>(Draw.below(12));
      World.act(Index, [=](auto &Keeper, TimePoint Now, auto &Out) {
        Keeper.setPoolDemand("model/m", Waiting, Now, Out);
      });
    }
    for (int Try = 0; Try < 4; ++Try) {
      const std::size_t Index = Draw.below(World.All.size());
      const std::string &Key = World.Keys[Draw.below(EndpointCount)];
      const bool Long = Draw.below(20) == 0;
      World.tryStart(Index, Key,
                     static_cast<TrueTime>(1 + Draw.below(Long ? 9000 : 300)));
    }
  }

  void faults() {
    const std::size_t Index = Draw.below(World.All.size());
    Cluster::Host &Hit = World.All[Index];
    switch (Draw.below(10)) {
    case 0: // It dies; the record comes later, or not before it is back.
      if (Hit.Up && World.All.size() > 1)
        World.stop(Index);
      break;
    case 1:
      if (!Hit.Up && !World.Wrong.LogDown)
        World.agree(Index, false);
      break;
    case 2:
      if (!Hit.Up && !World.Wrong.LogDown)
        World.start(Index);
      break;
    case 3: // Its peers think that it is gone while it works on.
      if (!World.Wrong.LogDown && World.All.size() > 1)
        World.agree(Index, false);
      break;
    case 4:
      Hit.PausedUntil = World.True + static_cast<TrueTime>(Draw.below(6000));
      break;
    case 5:
      Hit.Side = Draw.below(3);
      break;
    case 6:
      Hit.CutFromLog = Draw.below(2) == 0;
      break;
    case 7:
      World.Wrong.LogDown = Draw.below(4) == 0;
      break;
    case 8:
      World.Wrong.MessageLost = Draw.below(3) == 0 ? 40 : 0;
      World.Wrong.MaxDelay = Draw.below(3) == 0 ? 1500 : 3;
      break;
    default:
      for (Cluster::Host &Each : World.All)
        Each.Side = 0;
      break;
    }
  }

  void heal() {
    World.Wrong = ClusterFaults{};
    for (std::size_t Index = 0; Index < World.All.size(); ++Index) {
      Cluster::Host &Each = World.All[Index];
      Each.Side = 0;
      Each.CutFromLog = false;
      Each.PausedUntil = 0;
      const bool Member = std::any_of(
          World.Epochs.back().Joined.begin(), World.Epochs.back().Joined.end(),
          [&](const ShareMember &Known) { return Known.Run == Each.Run; });
      if (!Each.Up || !Member)
        World.start(Index);
    }
  }

  void expectBounded() const {
    for (const auto &[Key, Most] : World.Highest)
      EXPECT_LE(Most, Bound) << Key;
  }

  /// All hosts want all there is; the whole bound must come to use.
  void expectUsed() {
    World.Highest.clear();
    for (int Step = 0; Step < 25'000; ++Step) {
      World.tick();
      if (Step % 200 == 0)
        for (std::size_t Index = 0; Index < World.All.size(); ++Index)
          World.act(Index, [](auto &Keeper, TimePoint Now, auto &Out) {
            Keeper.setPoolDemand("model/m", 30, Now, Out);
          });
      for (std::size_t Index = 0; Index < World.All.size(); ++Index)
        World.tryStart(Index, World.Keys[Draw.below(EndpointCount)], 400);
    }
    for (const std::string &Key : World.Keys)
      EXPECT_EQ(World.Highest[Key], Bound) << Key;
  }

  Cluster World;
  Random Draw;
};

class AdmissionProperty : public ::testing::TestWithParam<std::size_t> {};

// Nine entry hosts each send "only one" request to an endpoint that has just
// started, and nine bring it down. Whatever is lost, late or cut, whoever dies,
// sleeps or is thought dead, all hosts together must stay below the bound; and
// when the faults are gone the whole bound must come to use again.
TEST_P(AdmissionProperty, SumStaysBelowTheBound) {
  const std::uint64_t Seeds = GetParam() > 9 ? 2 : 6;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RandomCluster Run(GetParam(), Seed);
    for (int Step = 0; Step < 60'000; ++Step) {
      Run.World.tick();
      Run.load();
      if (Run.Draw.below(400) == 0)
        Run.faults();
    }
    Run.expectBounded();
    Run.heal();
    Run.expectUsed();
    Run.expectBounded();
    if (HasFailure()) {
      ADD_FAILURE() << "seed " << Seed;
      return;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Hosts, AdmissionProperty,
                         ::testing::Values(1, 2, 3, 5, 9, 32));

} // namespace
} // namespace coltsfoottrail
