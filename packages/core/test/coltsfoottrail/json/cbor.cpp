#include "coltsfoottrail/json/cbor.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <gtest/gtest.h>
#include <initializer_list>

namespace coltsfoottrail {
namespace {

std::vector<std::byte> bytesOf(std::initializer_list<unsigned> Values) {
  std::vector<std::byte> Bytes;
  for (const unsigned Value : Values)
    Bytes.push_back(static_cast<std::byte>(Value));
  return Bytes;
}

TEST(Cbor, ValuesComeBackAsTheyWere) {
  const Json Value{{"text", "zażółć"},
                   {"list", Json::array({1, -2, 2.5, true, nullptr})},
                   {"large", ~std::uint64_t{0}},
                   {"bytes", Json::binary({0, 255})},
                   {"empty", Json::object()}};
  EXPECT_EQ(parseCbor(writeCbor(Value), "test"), Value);
}

TEST(Cbor, WhatIsNotOnePlainItemIsRefused) {
  for (const std::vector<std::byte> &Bytes :
       {bytesOf({}), bytesOf({0x01, 0x01}), bytesOf({0x18}),
        bytesOf({0x62, 0x61}), bytesOf({0x82, 0x01}), bytesOf({0xA1, 0x61}),
        bytesOf({0x9F, 0x01, 0xFF}), bytesOf({0xC1, 0x01}), bytesOf({0xFF}),
        bytesOf({0x9B, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF}),
        bytesOf({0xBB, 0x80, 0, 0, 0, 0, 0, 0, 1, 0x61, 0x61, 0x01}),
        bytesOf({0x62, 0xC3, 0x28}), bytesOf({0x63, 0xED, 0xA0, 0x80})})
    EXPECT_THROW(static_cast<void>(parseCbor(Bytes, "test")), InputError)
        << Bytes.size();
}

TEST(Cbor, RandomBytesEitherParseOrAreRefused) {
  Random Generator(3);
  std::size_t Parsed = 0;
  for (int Round = 0; Round < 50'000; ++Round) {
    std::vector<std::byte> Bytes(1 + Generator.below(12));
    for (std::byte &Value : Bytes)
      Value = static_cast<std::byte>(Generator());
    try {
      static_cast<void>(parseCbor(Bytes, "test"));
      ++Parsed;
    } catch (const InputError &) {
      continue;
    }
  }
  EXPECT_GT(Parsed, 100U);
}

} // namespace
} // namespace coltsfoottrail
