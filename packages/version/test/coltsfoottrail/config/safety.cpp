#include "coltsfoottrail/config/simulatedcluster.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::SimulatedCluster;

constexpr Duration StaleAfter = seconds(4);
constexpr Duration Step = milliseconds(20);

/// Injects random faults over time: one-way partitions, hosts without the log,
/// a log outage, lost messages, slow links and restarts.
class FaultyCluster {
public:
  FaultyCluster(std::size_t Hosts, std::uint64_t Seed)
      : Cluster(Hosts, 3, Seed), Rng(Seed), PartitionOf(Hosts, 0) {
    Cluster.Linked = [this](std::size_t Sender, std::size_t Receiver) {
      return PartitionOf[Sender] == PartitionOf[Receiver] ||
             (OneWay && PartitionOf[Sender] < PartitionOf[Receiver]);
    };
  }

  void step() {
    if (Rng.below(40) == 0)
      injectFault();
    if (Rng.below(20) == 0 && !Cluster.LogDown && someHostReachesLog()) {
      Cluster.append();
      AppendTimes.push_back(Cluster.Now);
    }
    Cluster.run(Step);
  }

  void heal() {
    std::ranges::fill(PartitionOf, 0);
    for (SimulatedCluster::Host &Host : Cluster.Hosts)
      Host.CutFromLog = false;
    Cluster.LogDown = false;
    Cluster.Loss = 0;
    Cluster.LinkDelay = milliseconds(1);
  }

  /// Returns the Next that a fresh host must have reached: above all records
  /// that were appended more than StaleAfter ago.
  [[nodiscard]] Offset requiredNext() const {
    Offset Result = 0;
    while (Result < AppendTimes.size() &&
           AppendTimes[Result] < Cluster.Now - StaleAfter)
      ++Result;
    return Result;
  }

  SimulatedCluster Cluster;

private:
  void injectFault() {
    switch (Rng.below(7)) {
    case 0:
      for (int &Partition : PartitionOf)
        Partition = static_cast<int>(Rng.below(2));
      OneWay = Rng.below(2) == 0;
      break;
    case 1:
      for (SimulatedCluster::Host &Host : Cluster.Hosts)
        Host.CutFromLog = Rng.below(3) == 0;
      break;
    case 2:
      Cluster.LogDown = !Cluster.LogDown;
      break;
    case 3:
      Cluster.Loss = Rng.fraction() / 2;
      break;
    case 4:
      Cluster.LinkDelay = milliseconds(1 + Rng.below(1500));
      break;
    case 5: {
      const std::size_t Index = Rng.below(Cluster.Hosts.size());
      Cluster.startHost(Index, Rng.below(Cluster.Hosts[Index].NextToFold + 1));
      break;
    }
    default:
      heal();
    }
  }
  [[nodiscard]] bool someHostReachesLog() const {
    return std::ranges::any_of(
        Cluster.Hosts,
        [](const SimulatedCluster::Host &Host) { return !Host.CutFromLog; });
  }

  Random Rng;
  std::vector<int> PartitionOf;
  bool OneWay = false;
  std::vector<TimePoint> AppendTimes;
};

// Under any sequence of faults, a host that reports its state as fresh has all
// records older than StaleAfter: it starts no work under a configuration that
// was replaced longer ago. After the faults have ended, every host reads the
// whole stream and is fresh.
TEST(FollowerSafety, FreshHostsHaveAllRecordsOlderThanTheBound) {
  std::size_t FreshCount = 0;
  std::size_t NotFreshCount = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    FaultyCluster Simulation(5 + Seed % 8, Seed);
    for (int Round = 0; Round < 1500; ++Round) {
      Simulation.step();
      const Offset Required = Simulation.requiredNext();
      for (const SimulatedCluster::Host &Host : Simulation.Cluster.Hosts) {
        const bool IsFresh = Host.Instance->freshness(Simulation.Cluster.Now) ==
                             Freshness::Fresh;
        ++(IsFresh ? FreshCount : NotFreshCount);
        ASSERT_TRUE(!IsFresh || Host.NextToFold >= Required)
            << "seed " << Seed << " round " << Round << " "
            << Host.Identity.Name.Text << " at " << Host.NextToFold << " below "
            << Required;
      }
    }
    Simulation.heal();
    Simulation.Cluster.run(seconds(20));
    EXPECT_TRUE(Simulation.Cluster.isInForceEverywhere()) << "seed " << Seed;
    EXPECT_EQ(Simulation.Cluster.count(Freshness::Fresh),
              Simulation.Cluster.Hosts.size())
        << "seed " << Seed;
    EXPECT_TRUE(Simulation.Cluster.allInOrder()) << "seed " << Seed;
  }
  EXPECT_GT(FreshCount, 10'000U);
  EXPECT_GT(NotFreshCount, 10'000U);
}

} // namespace
} // namespace coltsfoottrail
