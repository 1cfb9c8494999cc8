#include "coltsfoottrail/core/slotmap.hpp"

#include <gtest/gtest.h>
#include <string>

namespace coltsfoottrail {
namespace {

struct ThingTag;
using ThingId = Ident<ThingTag>;

// A request ends and its slot is reused by another request. A late message with
// the first identifier must not find the second request, or a caller would get
// another caller's answer.
TEST(SlotMap, StaleIdentifierFindsNothing) {
  SlotMap<std::string, ThingId> Things;
  const ThingId First = Things.insert("first");
  ASSERT_TRUE(Things.erase(First));
  const ThingId Second = Things.insert("second");
  EXPECT_EQ(First.Index, Second.Index);
  EXPECT_EQ(Things.find(First), nullptr);
  ASSERT_NE(Things.find(Second), nullptr);
  EXPECT_EQ(*Things.find(Second), "second");
  EXPECT_FALSE(Things.erase(First));
  EXPECT_EQ(Things.size(), 1U);
}

} // namespace
} // namespace coltsfoottrail
