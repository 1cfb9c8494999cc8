#include "coltsfoottrail/json/reader.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using ::testing::AllOf;
using ::testing::HasSubstr;

std::string errorOf(const std::function<void()> &Action) {
  try {
    Action();
  } catch (const InputError &Text) {
    return Text.what();
  }
  return "(accepted)";
}

// Guards against a mistyped key in the settings: the file would be accepted and
// the limit would silently keep its default.
TEST(ObjectReader, UnknownKeyIsNamedWithTheKnownOnes) {
  const Json Value = Json::parse(R"({"limits":{"max_body":1,"max_bdoy":2}})");
  const std::string Text = errorOf([&] {
    ObjectReader Root(Value, "entry.json");
    ObjectReader Limits = Root.object("limits");
    EXPECT_EQ(Limits.number("max_body"), 1U);
    Limits.finish();
  });
  EXPECT_THAT(Text,
              AllOf(HasSubstr("entry.json"), HasSubstr("/limits/max_bdoy"),
                    HasSubstr("\"max_body\"")));
}

TEST(ObjectReader, WrongValueNamesPlaceValueAndWhatIsAllowed) {
  const Json Value = Json::parse(R"({"list":[{"port":70000}]})");
  const std::string Text = errorOf([&] {
    ObjectReader Root(Value, "entry.json");
    Root.eachObject("list", [](ObjectReader &Entry) {
      EXPECT_EQ(Entry.number("port", 1, 65535), 0U);
    });
  });
  EXPECT_THAT(Text, AllOf(HasSubstr("/list/0/port"), HasSubstr("70000"),
                          HasSubstr("from 1 to 65535")));
}

TEST(ObjectReader, MessagesMayCarryUnknownFields) {
  const Json Value = Json::parse(R"({"known":1,"newer":2})");
  ObjectReader Root(Value, "message", "", UnknownKeys::Ignore);
  EXPECT_EQ(Root.number("known"), 1U);
  EXPECT_NO_THROW(Root.finish());
}

// Guards against text that ends the process: the JSON library copies and writes
// nested values recursively.
TEST(ParseJson, RefusesTextThatIsNestedTooDeep) {
  const auto Nested = [](std::size_t Depth) {
    return std::string(Depth, '[') + std::string(Depth, ']');
  };
  EXPECT_NO_THROW((void)parseJson(Nested(MaxJsonDepth), "message"));
  EXPECT_THROW((void)parseJson(Nested(MaxJsonDepth + 1), "message"),
               InputError);
  EXPECT_THROW((void)parseJson(Nested(500'000), "message"), InputError);
  EXPECT_THROW(
      (void)parseJson("{\"a\":" + std::string(200'000, '['), "message"),
      InputError);
  const std::string Text = std::string(1'000, '[') + "\\\"" + "{";
  EXPECT_EQ(parseJson("[\"" + Text + "\"]", "message")[0],
            std::string(1'000, '[') + "\"{");
}

// Guards against an exception that readers of messages do not expect.
TEST(ParseJson, RefusesNumbersOutOfRange) {
  EXPECT_THROW((void)parseJson(R"({"run":1e400})", "message"), InputError);
}

TEST(ObjectReader, NegativeNumberIsRefused) {
  const Json Value = Json::parse(R"({"port":-1})");
  ObjectReader Root(Value, "entry.json");
  EXPECT_THROW((void)Root.number("port"), InputError);
}

} // namespace
} // namespace coltsfoottrail
