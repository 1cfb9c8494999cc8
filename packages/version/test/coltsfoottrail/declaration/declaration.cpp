#include "coltsfoottrail/declaration/declaration.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/declaration/change.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/support.hpp"

#include <gtest/gtest.h>
#include <string>

namespace coltsfoottrail {
namespace {

TEST(Declaration, WrittenDeclarationReadsBackEqual) {
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
  const Declaration Result =
      readDeclaration(Value, "file", UnknownKeys::Refuse);
  EXPECT_EQ(Result.DataCentres.front().Text, "east");
  EXPECT_EQ(Result.Models.front().Name.Text, "a");
  EXPECT_EQ(Result.Models.front().Groups.at(DataCentreName("east")), 2U);
  EXPECT_EQ(Result.Models.back().ColdBound, 1U);
}

TEST(DeclarationChange, TurnsOneDeclarationIntoTheOther) {
  Random Generator(11);
  for (int Round = 0; Round < 200; ++Round) {
    const auto DrawUpTo = [&](std::uint32_t Max) {
      return static_cast<std::uint32_t>(Generator.below(Max + 1));
    };
    const Declaration Before = test::makeDeclaration(
        {1 + DrawUpTo(3), DrawUpTo(2), DrawUpTo(5), DrawUpTo(3), 2, 1});
    Declaration After = test::makeDeclaration(
        {1 + DrawUpTo(3), DrawUpTo(2), DrawUpTo(5), DrawUpTo(3), 2, 1});
    if (!After.Hosts.empty())
      After.Hosts[Generator.below(After.Hosts.size())].Accelerators = 4;
    const DeclarationChange Change = diffDeclarations(Before, After);
    ASSERT_EQ(applyChange(Before, Change.Upserted, Change.Dropped), After);
    EXPECT_EQ(declarationProblem(After), std::nullopt);
  }
}

// Each entry of a change may be valid individually while the result is not: the
// change drops a data centre but keeps its hosts, or gives two hosts the same
// address.
TEST(DeclarationChange, ProblemsAcrossEntriesAreFound) {
  Declaration Invalid = test::makeDeclaration();
  Invalid.DataCentres.pop_back();
  EXPECT_TRUE(declarationProblem(Invalid));
  Invalid = test::makeDeclaration();
  Invalid.Hosts[0].Address = Invalid.Hosts[1].Address;
  EXPECT_TRUE(declarationProblem(Invalid));
  Invalid = test::makeDeclaration();
  Invalid.Teams.push_back(Invalid.Teams.front());
  EXPECT_TRUE(declarationProblem(Invalid));
}

struct InvalidInput {
  const char *Pointer;
  Json Value;
  /// The JSON pointer in the error, if it differs from Pointer.
  const char *Reported = nullptr;
};

std::ostream &operator<<(std::ostream &Stream, const InvalidInput &Case) {
  return Stream << Case.Pointer << " = " << Case.Value.dump();
}

class InvalidDeclaration : public testing::TestWithParam<InvalidInput> {};

TEST_P(InvalidDeclaration, IsRefusedWithItsLocation) {
  Json Value = writeDeclaration(test::makeDeclaration());
  const InvalidInput &Case = GetParam();
  Value[Json::json_pointer(Case.Pointer)] = Case.Value;
  const std::string Expected =
      Case.Reported == nullptr ? Case.Pointer : Case.Reported;
  try {
    static_cast<void>(readDeclaration(Value, "file", UnknownKeys::Refuse));
    FAIL() << "was accepted";
  } catch (const InputError &Problem) {
    EXPECT_EQ(Problem.pointer(), Expected) << Problem.what();
  }
}

const std::string Digest = sha256Hex("secret0");

INSTANTIATE_TEST_SUITE_P(
    EachField, InvalidDeclaration,
    testing::Values(
        InvalidInput{"/data_centres/1", "dc0"},
        InvalidInput{"/data_centres/1", "a b"},
        InvalidInput{"/hosts/1/name", "dc0-f0-h0"},
        InvalidInput{"/hosts/0/data_centre", "dc9"},
        InvalidInput{"/hosts/0/address", "host.example"},
        InvalidInput{"/hosts/1/address", "10.0.0.1", "/hosts/1/port"},
        InvalidInput{"/hosts/0/port", 0}, InvalidInput{"/hosts/0/port", 65536},
        InvalidInput{"/hosts/0/accelerators", 0},
        InvalidInput{"/hosts/0/colour", "red"},
        InvalidInput{"/teams/0/credential_sha256", "secret0"},
        InvalidInput{"/teams/1",
                     Json{{"name", "team1"}, {"credential_sha256", Digest}},
                     "/teams/1/credential_sha256"},
        InvalidInput{"/teams/0/weight", 0},
        InvalidInput{"/teams/0/max_in_flight", 0},
        InvalidInput{"/models/0/role", "leader"},
        InvalidInput{"/models/0/cold_bound", 33},
        InvalidInput{"/models/0/members_per_group", 0},
        InvalidInput{"/models/0/groups", Json{{"dc9", 1}},
                     "/models/0/groups/dc9"},
        InvalidInput{"/models/0/adapters", Json::array({"a", "a"})},
        InvalidInput{"/services/0/instances/0/data_centre", "dc9"},
        InvalidInput{"/services/0/repeatable_paths", Json::array({"lookup"})},
        InvalidInput{"/weight_loads_at_once", 0}));

} // namespace
} // namespace coltsfoottrail
