#include "cluster.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr std::uint32_t Bound = 7;
constexpr std::size_t EndpointCount = 3;

/// A cluster under random load and random faults.
class RandomCluster {
public:
  RandomCluster(std::size_t Count, std::uint64_t Seed)
      : Sim(Count, EndpointCount, Bound, Bound, Seed, options()),
        Rng(Seed * 31) {}

  /// MaxRequestDuration is above the longest request that load() starts.
  static ShareOptions options() {
    ShareOptions Options;
    Options.MaxRequestDuration = milliseconds(10'000);
    return Options;
  }

  void load() {
    for (std::size_t Index = 0; Index < Sim.Hosts.size(); ++Index) {
      if (Rng.below(20) != 0)
        continue;
      const auto Waiting = static_cast<std::uint32_t>(Rng.below(12));
      Sim.invoke(Index, [=](auto &Manager, TimePoint Now, auto &Commands) {
        Manager.setPoolDemand("model/m", Waiting, Now, Commands);
      });
    }
    for (int Try = 0; Try < 4; ++Try) {
      const std::size_t Index = Rng.below(Sim.Hosts.size());
      const std::string &Key = Sim.Keys[Rng.below(EndpointCount)];
      const bool Long = Rng.below(20) == 0;
      Sim.tryStart(Index, Key,
                   static_cast<TrueTime>(1 + Rng.below(Long ? 9000 : 300)));
    }
  }

  void faults() {
    const std::size_t Index = Rng.below(Sim.Hosts.size());
    Cluster::Host &Target = Sim.Hosts[Index];
    switch (Rng.below(10)) {
    case 0: // Dies; its removal is recorded later, or only after its restart.
      if (Target.Up && Sim.Hosts.size() > 1)
        Sim.stop(Index);
      break;
    case 1:
      if (!Target.Up && !Sim.Faults.LogDown)
        Sim.recordMembership(Index, false);
      break;
    case 2:
      if (!Target.Up && !Sim.Faults.LogDown)
        Sim.start(Index);
      break;
    case 3: // Removed from the members while it is still running.
      if (!Sim.Faults.LogDown && Sim.Hosts.size() > 1)
        Sim.recordMembership(Index, false);
      break;
    case 4:
      Target.PausedUntil = Sim.NowMs + static_cast<TrueTime>(Rng.below(6000));
      break;
    case 5:
      Target.NetworkPartition = Rng.below(3);
      break;
    case 6:
      Target.CutFromLog = Rng.below(2) == 0;
      break;
    case 7:
      Sim.Faults.LogDown = Rng.below(4) == 0;
      break;
    case 8:
      Sim.Faults.MessageLost = Rng.below(3) == 0 ? 40 : 0;
      Sim.Faults.MaxDelay = Rng.below(3) == 0 ? 1500 : 3;
      break;
    default:
      for (Cluster::Host &Node : Sim.Hosts)
        Node.NetworkPartition = 0;
      break;
    }
  }

  void heal() {
    Sim.Faults = ClusterFaults{};
    for (std::size_t Index = 0; Index < Sim.Hosts.size(); ++Index) {
      Cluster::Host &Target = Sim.Hosts[Index];
      Target.NetworkPartition = 0;
      Target.CutFromLog = false;
      Target.PausedUntil = 0;
      const bool Member = std::any_of(
          Sim.Epochs.back().Joined.begin(), Sim.Epochs.back().Joined.end(),
          [&](const ShareMember &Joiner) { return Joiner.Run == Target.Run; });
      if (!Target.Up || !Member)
        Sim.start(Index);
    }
  }

  void expectBounded() const {
    for (const auto &[Key, Most] : Sim.Highest)
      EXPECT_LE(Most, Bound) << Key;
  }

  /// All hosts demand more than the bound; the whole bound must be used.
  void expectUsed() {
    Sim.Highest.clear();
    for (int Step = 0; Step < 25'000; ++Step) {
      Sim.tick();
      if (Step % 200 == 0)
        for (std::size_t Index = 0; Index < Sim.Hosts.size(); ++Index)
          Sim.invoke(Index, [](auto &Manager, TimePoint Now, auto &Commands) {
            Manager.setPoolDemand("model/m", 30, Now, Commands);
          });
      for (std::size_t Index = 0; Index < Sim.Hosts.size(); ++Index)
        Sim.tryStart(Index, Sim.Keys[Rng.below(EndpointCount)], 400);
    }
    for (const std::string &Key : Sim.Keys)
      EXPECT_EQ(Sim.Highest[Key], Bound) << Key;
  }

  Cluster Sim;
  Random Rng;
};

class AdmissionProperty : public ::testing::TestWithParam<std::size_t> {};

// If each of nine entry hosts sends one request to an endpoint that has just
// started, it fails. All hosts together must stay within the bound under lost
// and delayed messages, network partitions, crashes, suspended processes and
// false removals. When the faults end, the whole bound must be usable again.
TEST_P(AdmissionProperty, SumStaysBelowTheBound) {
  const std::uint64_t Seeds = GetParam() > 9 ? 2 : 6;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RandomCluster Run(GetParam(), Seed);
    for (int Step = 0; Step < 60'000; ++Step) {
      Run.Sim.tick();
      Run.load();
      if (Run.Rng.below(400) == 0)
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
