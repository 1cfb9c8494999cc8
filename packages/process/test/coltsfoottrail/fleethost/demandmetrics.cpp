#include "coltsfoottrail/fleethost/demandmetrics.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr std::uint64_t KnownPool = 7;
constexpr std::uint64_t FormerPool = 8;
const std::map<std::uint64_t, std::string> PoolNames{{KnownPool, "model/m"}};

std::string textOfRows(const std::vector<DemandRow> &Rows) {
  std::string Text;
  appendDemandMetrics(Text, Rows, PoolNames);
  return Text;
}

TEST(DemandMetrics, SeriesByPoolAndRank) {
  const std::string Text =
      textOfRows({{{KnownPool, 1, 0}, {2.5, 2.0, 0.25, 0.25, 90.0, 80.0, 0.5}},
                  {{KnownPool, 1, 3}, {}}});
  for (const std::string_view Line :
       {"# TYPE coltsfoottrail_demand_offered gauge\n",
        "coltsfoottrail_demand_offered{pool=\"model/m\",rank=\"0\"} 2.5\n",
        "coltsfoottrail_demand_offered{pool=\"model/m\",rank=\"3\"} 0\n",
        "coltsfoottrail_demand_admitted{pool=\"model/m\",rank=\"0\"} 2\n",
        "coltsfoottrail_demand_refused{pool=\"model/m\",rank=\"0\"} 0.25\n",
        "coltsfoottrail_demand_demoted{pool=\"model/m\",rank=\"0\"} 0.25\n",
        "coltsfoottrail_demand_prompt_tokens{pool=\"model/m\",rank=\"0\"} 90\n",
        "coltsfoottrail_demand_answer_tokens{pool=\"model/m\",rank=\"0\"} 80\n",
        "coltsfoottrail_demand_waited{pool=\"model/m\",rank=\"0\"} 0.5\n"})
    EXPECT_NE(Text.find(Line), std::string::npos) << Line << Text;
}

// Guards against series of pools that the configuration no longer has.
TEST(DemandMetrics, FormerPoolsAreLeftOut) {
  const std::string Text = textOfRows({{{FormerPool, 1, 0}, {1.0}}});
  EXPECT_EQ(Text.find("rank="), std::string::npos);
}

TEST(DemandMetrics, NothingWithoutDemand) {
  EXPECT_TRUE(textOfRows({}).empty());
}

} // namespace

} // namespace coltsfoottrail
