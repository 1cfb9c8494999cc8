#include "coltsfoottrail/mesh/handshake.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::internal {
namespace {

const std::string Key = "a-key-of-the-mesh-with-32-letters-or-more";

Introduction introduction(const char *Name, Incarnation Run) {
  return {HostName(Name), Run, {1, 1}, freshNonce()};
}

class HandshakeTest : public ::testing::Test {
protected:
  Handshake Dialler{Handshake::End::Dialler, introduction("one", 1), Key};
  Handshake Listener{Handshake::End::Listener, introduction("two", 2), Key};
};

TEST_F(HandshakeTest, BothProveTheKeyAndTheListenerSecond) {
  const auto Hello = Listener.take(Dialler.hello());
  ASSERT_TRUE(Hello.Reply);
  const auto Proof = Dialler.take(*Hello.Reply);
  ASSERT_TRUE(Proof.Reply);
  EXPECT_FALSE(Proof.Proved);
  const auto Answer = Listener.take(*Proof.Reply);
  EXPECT_TRUE(Answer.Proved);
  ASSERT_TRUE(Answer.Reply);
  EXPECT_TRUE(Dialler.take(*Answer.Reply).Proved);
  EXPECT_EQ(Dialler.other().Host, HostName("two"));
  EXPECT_EQ(Listener.other().Run, 1U);
  EXPECT_EQ(Listener.version(), 1U);
  EXPECT_EQ(Dialler.take(*Answer.Reply).Refused, PeerRefusal::Malformed);
}

// A stranger without the key answers a dialler with the dialler's own proof.
TEST_F(HandshakeTest, ReflectedProofIsRefused) {
  Handshake Stranger(Handshake::End::Listener, introduction("two", 2), "none");
  const auto Hello = Stranger.take(Dialler.hello());
  const auto Proof = Dialler.take(*Hello.Reply);
  EXPECT_EQ(Dialler.take(*Proof.Reply).Refused, PeerRefusal::Key);
}

// A stranger has recorded a whole opening and plays it again.
TEST_F(HandshakeTest, ReplayedProofIsRefused) {
  const std::string RecordedHello = Dialler.hello();
  const auto Hello = Listener.take(RecordedHello);
  const std::string RecordedProof = *Dialler.take(*Hello.Reply).Reply;
  ASSERT_TRUE(Listener.take(RecordedProof).Proved);
  Handshake Again(Handshake::End::Listener, introduction("two", 2), Key);
  ASSERT_TRUE(Again.take(RecordedHello).Reply);
  EXPECT_EQ(Again.take(RecordedProof).Refused, PeerRefusal::Key);
}

// Somebody between the two changes a field of a hello, to pass a run or a name
// off as another one or to have an older version spoken.
TEST_F(HandshakeTest, ChangedHelloIsRefused) {
  for (const char *Field : {"run", "lowest", "highest", "host"}) {
    Handshake One(Handshake::End::Dialler, introduction("one", 1), Key);
    Introduction Wide = introduction("two", 2);
    Wide.Versions.Highest = 9;
    Handshake Two(Handshake::End::Listener, Wide, Key);
    const auto Answer = Two.take(One.hello());
    Json Changed = Json::from_cbor(*Answer.Reply);
    if (Changed[Field].is_string())
      Changed[Field] = "three";
    else
      Changed[Field] = Changed[Field].get<unsigned>() == 9 ? 8 : 1;
    const bool Same = Changed == Json::from_cbor(*Answer.Reply);
    std::string Text;
    Json::to_cbor(Changed, Text);
    const auto Proof = One.take(Text);
    ASSERT_TRUE(Proof.Reply);
    EXPECT_EQ(Two.take(*Proof.Reply).Refused.has_value(), !Same) << Field;
  }
}

TEST_F(HandshakeTest, AnyDamagedMessageIsRefusedOrHarmless) {
  Random Source(11);
  const std::string Hello = Dialler.hello();
  for (int Round = 0; Round < 2000; ++Round) {
    Handshake Target(Handshake::End::Listener, introduction("two", 2), Key);
    std::string Damaged = Hello;
    for (std::uint64_t Count = 1 + Source.below(4); Count > 0; --Count)
      Damaged[Source.below(Damaged.size())] = static_cast<char>(Source());
    Damaged.resize(1 + Source.below(Damaged.size()));
    EXPECT_FALSE(Target.take(Damaged).Proved);
    EXPECT_FALSE(Target.take(Damaged).Proved);
  }
}

TEST_F(HandshakeTest, FieldsOfALaterReleaseArePassedOver) {
  Json Hello = Json::from_cbor(Dialler.hello());
  Hello["newer"] = "field";
  std::string Text;
  Json::to_cbor(Hello, Text);
  EXPECT_TRUE(Listener.take(Text).Reply);
}

TEST_F(HandshakeTest, LongMessageIsNotParsed) {
  EXPECT_EQ(Listener.take(std::string(2000, '\x81')).Refused,
            PeerRefusal::Malformed);
}

} // namespace
} // namespace coltsfoottrail::internal
