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

TEST(ObjectReader, NegativeNumberIsRefused) {
  const Json Value = Json::parse(R"({"port":-1})");
  ObjectReader Root(Value, "entry.json");
  EXPECT_THROW((void)Root.number("port"), InputError);
}

} // namespace
} // namespace coltsfoottrail
