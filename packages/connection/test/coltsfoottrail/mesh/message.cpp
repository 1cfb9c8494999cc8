#include "coltsfoottrail/mesh/message.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::internal {
namespace {

TEST(MeshMessage, EncodeAndDecodeRoundTrip) {
  const Json Body = {{"offset", 12}, {"text", std::string(5000, 'x')}};
  const DecodedMessage Decoded =
      decodeMessage(encodeMessage(Channel::Records, Body));
  EXPECT_EQ(Decoded.ChannelId, Channel::Records);
  EXPECT_EQ(Decoded.Body, Body);
}

// Guards against a stack overflow: a peer with a faulty release sends a
// megabyte of opening brackets, and an unbounded decoder would recurse a
// million times.
TEST(MeshMessage, DeepNestingIsRefused) {
  EXPECT_THROW((void)decodeMessage(std::string(std::size_t{1} << 20U, '\x81')),
               Error);
  Json Body = 1;
  for (int Level = 0; Level < 63; ++Level)
    Body = Json::array({Body});
  EXPECT_EQ(decodeMessage(encodeMessage(Channel::Claims, Body)).Body, Body);
  EXPECT_THROW(
      (void)decodeMessage(encodeMessage(Channel::Claims, Json::array({Body}))),
      Error);
}

TEST(MeshMessage, HugeAnnouncedSizesAreRefused) {
  EXPECT_THROW((void)decodeMessage(std::string("\x9b\x0f\xff\xff\xff\xff\xff"
                                               "\xff\xff\x01",
                                               10)),
               Error);
  EXPECT_THROW((void)decodeMessage(std::string("\x7b\x0f\xff\xff\xff\xff\xff"
                                               "\xff\xff\x01",
                                               10)),
               Error);
}

TEST(MeshMessage, WrongShapeIsRefused) {
  for (const Json &Wrong : {Json(1), Json::array({1, 2}), Json{{"b", 1}},
                            Json{{"c", "text"}, {"b", 1}}}) {
    std::string Text;
    Json::to_cbor(Wrong, Text);
    EXPECT_THROW((void)decodeMessage(Text), Error) << Wrong;
  }
}

} // namespace
} // namespace coltsfoottrail::internal
