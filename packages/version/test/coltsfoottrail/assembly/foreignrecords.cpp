// Records of other writers among those of the engines.
#include "coltsfoottrail/assembly/assembler.hpp"

#include "domain.hpp"

#include <gtest/gtest.h>
#include <limits>

namespace coltsfoottrail::test {

namespace {

/// Four engines that form one group, and a record of another writer.
class ForeignRecords : public testing::Test {
protected:
  ForeignRecords() { addLargeDomain(Fleet, 4); }

  void publishForeign(const std::string &Group, std::uint32_t Rank,
                      SeatPhase Phase) {
    EndpointRecord Record;
    Record.Name = Foreign;
    Record.Address = {"127.0.0.1", 9};
    Record.DataCentre = DataCentreName("north");
    Record.Domain = FabricDomainName("n0");
    Record.Service = Fleet.Service.Name;
    Record.StartedAtMs = 1;
    Record.Sequence = ++Sequence;
    Record.Seat = GroupSeat{Group, 1, Rank, Phase};
    Fleet.Catalogue.publish(Record, Fleet.Now);
  }

  /// Lets time pass and checks that the foreign record is left alone.
  void expectItIsLeftAlone() {
    for (int Step = 0; Step < 40; ++Step) {
      Fleet.deliver();
      Fleet.repeatRecords();
      for (const SeatCommand &Command : Fleet.step())
        EXPECT_NE(Command.To, Foreign);
      Fleet.finishWork();
      Fleet.Now += milliseconds(100);
    }
    EXPECT_EQ(Fleet.leaders().size(), 1U);
  }

  FakeEngines Fleet;
  EndpointName Foreign{"x-1"};
  std::uint64_t Sequence = 0;
};

class RanksOfNoGroup : public ForeignRecords,
                       public testing::WithParamInterface<std::uint32_t> {};

// Guards against a rank up to which the coordinator allocates members: it ends
// the process, or every planning pass from then on.
TEST_P(RanksOfNoGroup, AreLeftAlone) {
  for (const char *const Group : {"g1", "big/1/x-1", "unknown/1/x-1"}) {
    publishForeign(Group, GetParam(), SeatPhase::Ready);
    expectItIsLeftAlone();
  }
}

TEST_P(RanksOfNoGroup, AreLeftAloneAfterATakeOver) {
  Fleet.run(seconds(3));
  publishForeign("big/1/x-1", GetParam(), SeatPhase::Open);
  Fleet.replaceCoordinator();
  expectItIsLeftAlone();
}

constexpr std::uint32_t Largest = std::numeric_limits<std::uint32_t>::max();
INSTANTIATE_TEST_SUITE_P(Ranks, RanksOfNoGroup,
                         testing::Values(Largest, Largest - 1, 30'000'000U,
                                         64U));

// Guards against orders for a group that no coordinator has formed.
TEST_F(ForeignRecords, GroupOfAnotherNameIsLeftAlone) {
  for (const SeatPhase Phase :
       {SeatPhase::Ready, SeatPhase::Open, SeatPhase::Broken}) {
    publishForeign("g1", 0, Phase);
    expectItIsLeftAlone();
  }
}

// Guards against giving a group an engine whose record does not say that it is
// one.
TEST_F(ForeignRecords, EndpointThatIsNoEngineIsNotFree) {
  EndpointRecord Record;
  Record.Name = Foreign;
  Record.DataCentre = DataCentreName("north");
  Record.Service = Fleet.Service.Name;
  Fleet.Catalogue.publish(Record, Fleet.Now);
  expectItIsLeftAlone();
}

} // namespace

} // namespace coltsfoottrail::test
