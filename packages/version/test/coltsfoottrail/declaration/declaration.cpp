#include "coltsfoottrail/declaration/declaration.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/declaration/change.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/support.hpp"

#include <gtest/gtest.h>
#include <string>

namespace coltsfoottrail {
namespace {

TEST(Declaration, ComesBackAsItWasWritten) {
  const Declaration Declared = test::makeDeclaration();
  EXPECT_EQ(
      readDeclaration(writeDeclaration(Declared), "file", UnknownKeys::Refuse),
      Declared);
}

TEST(Declaration, DefaultsAreFilledInAndListsSorted) {
  const Json Value = parseJson(R"({"data_centres": ["west", "east"],
    "models": [{"name": "b", "version": "v1", "warm_bound": 1},
               {"name": "a", "version": "v1", "groups": {"east": 2}}]})",
                               "file");
  const Declaration Read = readDeclaration(Value, "file", UnknownKeys::Refuse);
  EXPECT_EQ(Read.DataCentres.front().Text, "east");
  EXPECT_EQ(Read.Models.front().Name.Text, "a");
  EXPECT_EQ(Read.Models.front().Groups.at(DataCentreName("east")), 2U);
  EXPECT_EQ(Read.Models.back().ColdBound, 1U);
}

TEST(DeclarationChange, TurnsOneDeclarationIntoTheOther) {
  Random Draw(11);
  for (int Round = 0; Round < 200; ++Round) {
    const auto UpTo = [&](std::uint32_t Most) {
      return static_cast<std::uint32_t>(Draw.below(Most + 1));
    };
    const Declaration Before =
        test::makeDeclaration({1 + UpTo(3), UpTo(2), UpTo(5), UpTo(3), 2, 1});
    Declaration After =
        test::makeDeclaration({1 + UpTo(3), UpTo(2), UpTo(5), UpTo(3), 2, 1});
    if (!After.Hosts.empty())
      After.Hosts[Draw.below(After.Hosts.size())].Accelerators = 4;
    const DeclarationChange Change = diffDeclarations(Before, After);
    ASSERT_EQ(applyChange(Before, Change.Upserted, Change.Dropped), After);
    EXPECT_EQ(declarationProblem(After), std::nullopt);
  }
}

// A change takes a data centre out whose hosts it leaves, or gives a new host
// the address of one that stays. Each entry of the change is right by itself.
TEST(DeclarationChange, ProblemsAcrossEntriesAreFound) {
  Declaration Wrong = test::makeDeclaration();
  Wrong.DataCentres.pop_back();
  EXPECT_TRUE(declarationProblem(Wrong));
  Wrong = test::makeDeclaration();
  Wrong.Hosts[0].Address = Wrong.Hosts[1].Address;
  EXPECT_TRUE(declarationProblem(Wrong));
  Wrong = test::makeDeclaration();
  Wrong.Teams.push_back(Wrong.Teams.front());
  EXPECT_TRUE(declarationProblem(Wrong));
}

struct WrongInput {
  const char *Pointer;
  Json Value;
  /// Where the error stands, if not at the pointer itself.
  const char *Reported = nullptr;
};

std::ostream &operator<<(std::ostream &Out, const WrongInput &Case) {
  return Out << Case.Pointer << " = " << Case.Value.dump();
}

class WrongDeclaration : public testing::TestWithParam<WrongInput> {};

TEST_P(WrongDeclaration, IsRefusedWithItsPlace) {
  Json Value = writeDeclaration(test::makeDeclaration());
  const WrongInput &Case = GetParam();
  Value[Json::json_pointer(Case.Pointer)] = Case.Value;
  const std::string Expected =
      Case.Reported == nullptr ? Case.Pointer : Case.Reported;
  try {
    static_cast<void>(readDeclaration(Value, "file", UnknownKeys::Refuse));
    FAIL() << "was taken";
  } catch (const InputError &Problem) {
    EXPECT_EQ(Problem.pointer(), Expected) << Problem.what();
  }
}

const std::string Digest = sha256Hex("secret0");

INSTANTIATE_TEST_SUITE_P(
    Each, WrongDeclaration,
    testing::Values(
        WrongInput{"/data_centres/1", "dc0"},
        WrongInput{"/data_centres/1", "a b"},
        WrongInput{"/hosts/1/name", "dc0-f0-h0"},
        WrongInput{"/hosts/0/data_centre", "dc9"},
        WrongInput{"/hosts/0/address", "host.example"},
        WrongInput{"/hosts/1/address", "10.0.0.1", "/hosts/1/port"},
        WrongInput{"/hosts/0/port", 0}, WrongInput{"/hosts/0/port", 65536},
        WrongInput{"/hosts/0/accelerators", 0},
        WrongInput{"/hosts/0/colour", "red"},
        WrongInput{"/teams/0/credential_sha256", "secret0"},
        WrongInput{"/teams/1",
                   Json{{"name", "team1"}, {"credential_sha256", Digest}},
                   "/teams/1/credential_sha256"},
        WrongInput{"/teams/0/weight", 0},
        WrongInput{"/teams/0/max_in_flight", 0},
        WrongInput{"/models/0/role", "leader"},
        WrongInput{"/models/0/cold_bound", 33},
        WrongInput{"/models/0/members_per_group", 0},
        WrongInput{"/models/0/groups", Json{{"dc9", 1}},
                   "/models/0/groups/dc9"},
        WrongInput{"/models/0/adapters", Json::array({"a", "a"})},
        WrongInput{"/services/0/instances/0/data_centre", "dc9"},
        WrongInput{"/services/0/repeatable_paths", Json::array({"lookup"})},
        WrongInput{"/weight_loads_at_once", 0}));

} // namespace
} // namespace coltsfoottrail
