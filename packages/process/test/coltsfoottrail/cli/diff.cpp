#include "coltsfoottrail/cli/diff.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

Json declared() {
  return Json::parse(R"({
    "data_centres": ["east", "west"],
    "models": [{"name": "chat", "version": "v1", "adapters": ["a", "b"],
                "groups": {"east": 2}}]})");
}

std::vector<std::string> differenceLines(const Json &InForce,
                                         const Json &Wanted) {
  std::vector<std::string> Result;
  for (const DeclarationDifference &Difference :
       compareDeclarations(readDeclaration(InForce, "a", UnknownKeys::Refuse),
                           readDeclaration(Wanted, "b", UnknownKeys::Refuse)))
    Result.push_back(textOf(Difference));
  return Result;
}

TEST(CompareDeclarations, OrderAndDefaultsMakeNoDifference) {
  Json Wanted = declared();
  Wanted["data_centres"] = {"west", "east"};
  Wanted["models"][0]["adapters"] = {"b", "a"};
  Wanted["weight_loads_at_once"] = 4;
  EXPECT_TRUE(differenceLines(declared(), Wanted).empty());
}

TEST(CompareDeclarations, NamesEachFieldThatDiffers) {
  Json Wanted = declared();
  Wanted["data_centres"] = {"east", "north"};
  Wanted["weight_loads_at_once"] = 5;
  Json &Model = Wanted["models"][0];
  Model["version"] = "v2";
  Model["adapters"] = {"b", "c"};
  Model["groups"] = {{"east", 3}, {"north", 1}};
  Wanted["models"].push_back({{"name", "plan"}, {"version", "v1"}});
  const std::vector<std::string> Expected{
      "- data centre west",
      "+ data centre north",
      "~ model chat adapters: - \"a\"",
      "~ model chat adapters: + \"c\"",
      "~ model chat groups.east: 2 -> 3",
      "~ model chat groups.north: + 1",
      "~ model chat version: \"v1\" -> \"v2\"",
      "+ model plan",
      "~ setting weight_loads_at_once: 4 -> 5",
  };
  EXPECT_EQ(differenceLines(declared(), Wanted), Expected);
}

} // namespace
} // namespace coltsfoottrail
