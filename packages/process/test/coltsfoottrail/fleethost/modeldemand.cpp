#include "coltsfoottrail/fleethost/modeldemand.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};
const ModelName Big("big");
const ModelName Small("small");

ServiceProfile service() {
  ServiceProfile Result;
  Result.Name = ServiceName("draft");
  Result.Engine.emplace();
  Result.Engine->Models = {{Big, 12}, {Small, 6}};
  return Result;
}

DemandRow row(const std::string &Pool, std::uint32_t Rank, double PromptTokens,
              double AnswerTokens, std::uint64_t DataCentre = 1) {
  DemandRow Result;
  Result.Key = {hashText(Pool), DataCentre, Rank};
  Result.Rates.PromptTokens = PromptTokens;
  Result.Rates.AnswerTokens = AnswerTokens;
  return Result;
}

TEST(ModelDemand, AddsUpRanksAndDataCentresOfAPool) {
  DemandSum Sum;
  Sum.Rows = {row("model/draft/big", 0, 100, 10, 1),
              row("model/draft/big", 0, 200, 20, 2),
              row("model/draft/big", 1, 300, 30, 1),
              row("model/other/big", 0, 5'000, 500),
              row("service/draft", 0, 5'000, 500)};
  const auto Demand = modelDemand(service(), Sum);
  ASSERT_EQ(Demand.size(), 1U);
  EXPECT_EQ(Demand.at(Big).PromptTokens, 600.0);
  EXPECT_EQ(Demand.at(Big).AnswerTokens, 60.0);
  EXPECT_EQ(Demand.at(Big).Rank, 0U);
}

// Guards against a model that takes the engines of others because of a few
// urgent requests.
TEST(ModelDemand, RankIsTheMostUrgentWithASubstantialPart) {
  DemandSum Sum;
  Sum.Rows = {
      row("model/draft/big", 0, 100, 0), row("model/draft/big", 2, 900, 0),
      row("model/draft/small", 1, 200, 0), row("model/draft/small", 3, 800, 0)};
  const auto Demand = modelDemand(service(), Sum);
  EXPECT_EQ(Demand.at(Big).Rank, 2U);
  EXPECT_EQ(Demand.at(Small).Rank, 1U);
}

TEST(ModelDemand, ServiceWithoutEnginesHasNone) {
  ServiceProfile Plain;
  Plain.Name = ServiceName("draft");
  DemandSum Sum;
  Sum.Rows = {row("model/draft/big", 0, 100, 10)};
  EXPECT_TRUE(modelDemand(Plain, Sum).empty());
}

TEST(ModelDemand, CurrentSumIsYoungAndLacksATenthOfTheHostsAtMost) {
  DemandSum Sum;
  Sum.Hosts = 27;
  Sum.Age = MaxDemandAge;
  EXPECT_TRUE(isCurrent(Sum, 30));
  EXPECT_FALSE(isCurrent(Sum, 31));
  EXPECT_TRUE(isCurrent(Sum, 20));
  Sum.Age += milliseconds(1);
  EXPECT_FALSE(isCurrent(Sum, 30));
}

TEST(ModelDemand, FewHostsMustAllBeIncluded) {
  DemandSum Sum;
  Sum.Hosts = 6;
  EXPECT_FALSE(isCurrent(Sum, 7));
  EXPECT_TRUE(isCurrent(Sum, 6));
}

// Guards against a coordinator that takes the silence of all hosts for the
// absence of demand.
TEST(ModelDemand, UnknownNumberOfHostsIsNotCurrent) {
  EXPECT_FALSE(isCurrent(DemandSum{}, 0));
}

EndpointRecord engine(const std::string &Name) {
  EndpointRecord Result;
  Result.Name = EndpointName(Name);
  Result.Service = ServiceName("draft");
  Result.DataCentre = DataCentreName("north");
  return Result;
}

TEST(ModelDemand, CountsUsableEnginesAndServingGroups) {
  EndpointCatalogue Endpoints;
  EndpointRecord Leader = engine("leader");
  Leader.Loaded = {Small, Big};
  Leader.Seat = GroupSeat{"g", 1, 0, SeatPhase::Open};
  EndpointRecord Member = Leader;
  Member.Name = EndpointName("member");
  Member.Seat->Rank = 1;
  EndpointRecord Drained = Leader;
  Drained.Name = EndpointName("drained");
  Drained.DataCentre = DataCentreName("south");
  EndpointRecord Leaving = Leader;
  Leaving.Name = EndpointName("leaving");
  Leaving.State = EndpointState::Draining;
  EndpointRecord Other = Leader;
  Other.Name = EndpointName("other");
  Other.Service = ServiceName("desk");
  for (const EndpointRecord &Record :
       {Leader, Member, Drained, Leaving, Other, engine("free")})
    Endpoints.publish(Record, Start);
  const EngineTally Tally =
      countEngines(Endpoints, ServiceName("draft"), {DataCentreName("south")});
  EXPECT_EQ(Tally.Usable, 3U);
  EXPECT_EQ(Tally.Groups, (std::map<ModelName, std::uint32_t>{{Big, 1}}));
}

} // namespace

} // namespace coltsfoottrail
