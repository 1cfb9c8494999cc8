#include "coltsfoottrail/mesh/handshake.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::internal {
namespace {

const std::string Key = "a-key-of-the-mesh-with-32-letters-or-more";

PeerHello makeHello(const char *Name, Incarnation Run) {
  return {HostName(Name), Run, {1, 1}, makeNonce()};
}

class HandshakeTest : public ::testing::Test {
protected:
  Handshake Dialler{Handshake::End::Dialler, makeHello("one", 1), Key};
  Handshake Listener{Handshake::End::Listener, makeHello("two", 2), Key};
};

TEST_F(HandshakeTest, ListenerProvesTheKeyAfterTheDialler) {
  const auto Hello = Listener.receive(Dialler.hello());
  ASSERT_TRUE(Hello.Reply);
  const auto Proof = Dialler.receive(*Hello.Reply);
  ASSERT_TRUE(Proof.Reply);
  EXPECT_FALSE(Proof.Authenticated);
  const auto Answer = Listener.receive(*Proof.Reply);
  EXPECT_TRUE(Answer.Authenticated);
  ASSERT_TRUE(Answer.Reply);
  EXPECT_TRUE(Dialler.receive(*Answer.Reply).Authenticated);
  EXPECT_EQ(Dialler.peerHello().Host, HostName("two"));
  EXPECT_EQ(Listener.peerHello().Run, 1U);
  EXPECT_EQ(Listener.version(), 1U);
  EXPECT_EQ(Dialler.receive(*Answer.Reply).Refused, PeerRefusal::Malformed);
}

// An attacker without the key sends the dialler's own proof back to it.
TEST_F(HandshakeTest, ReflectedProofIsRefused) {
  Handshake Attacker(Handshake::End::Listener, makeHello("two", 2), "none");
  const auto Hello = Attacker.receive(Dialler.hello());
  const auto Proof = Dialler.receive(*Hello.Reply);
  EXPECT_EQ(Dialler.receive(*Proof.Reply).Refused, PeerRefusal::Key);
}

// An attacker replays the recorded messages of an earlier handshake.
TEST_F(HandshakeTest, ReplayedProofIsRefused) {
  const std::string RecordedHello = Dialler.hello();
  const auto Hello = Listener.receive(RecordedHello);
  const std::string RecordedProof = *Dialler.receive(*Hello.Reply).Reply;
  ASSERT_TRUE(Listener.receive(RecordedProof).Authenticated);
  Handshake Second(Handshake::End::Listener, makeHello("two", 2), Key);
  ASSERT_TRUE(Second.receive(RecordedHello).Reply);
  EXPECT_EQ(Second.receive(RecordedProof).Refused, PeerRefusal::Key);
}

// An attacker between the two ends changes a field of a hello, to impersonate
// another host or run or to force an older protocol version.
TEST_F(HandshakeTest, ChangedHelloIsRefused) {
  for (const char *Field : {"run", "lowest", "highest", "host"}) {
    Handshake One(Handshake::End::Dialler, makeHello("one", 1), Key);
    PeerHello WideRange = makeHello("two", 2);
    WideRange.Versions.Highest = 9;
    Handshake Two(Handshake::End::Listener, WideRange, Key);
    const auto Answer = Two.receive(One.hello());
    Json Changed = Json::from_cbor(*Answer.Reply);
    if (Changed[Field].is_string())
      Changed[Field] = "three";
    else
      Changed[Field] = Changed[Field].get<unsigned>() == 9 ? 8 : 1;
    const bool Same = Changed == Json::from_cbor(*Answer.Reply);
    std::string Text;
    Json::to_cbor(Changed, Text);
    const auto Proof = One.receive(Text);
    ASSERT_TRUE(Proof.Reply);
    EXPECT_EQ(Two.receive(*Proof.Reply).Refused.has_value(), !Same) << Field;
  }
}

TEST_F(HandshakeTest, CorruptedMessageNeverAuthenticates) {
  Random Source(11);
  const std::string Hello = Dialler.hello();
  for (int Round = 0; Round < 2000; ++Round) {
    Handshake Target(Handshake::End::Listener, makeHello("two", 2), Key);
    std::string Damaged = Hello;
    for (std::uint64_t Count = 1 + Source.below(4); Count > 0; --Count)
      Damaged[Source.below(Damaged.size())] = static_cast<char>(Source());
    Damaged.resize(1 + Source.below(Damaged.size()));
    EXPECT_FALSE(Target.receive(Damaged).Authenticated);
    EXPECT_FALSE(Target.receive(Damaged).Authenticated);
  }
}

TEST_F(HandshakeTest, UnknownFieldsOfALaterReleaseAreIgnored) {
  Json Hello = Json::from_cbor(Dialler.hello());
  Hello["newer"] = "field";
  std::string Text;
  Json::to_cbor(Hello, Text);
  EXPECT_TRUE(Listener.receive(Text).Reply);
}

TEST_F(HandshakeTest, LongMessageIsNotParsed) {
  EXPECT_EQ(Listener.receive(std::string(2000, '\x81')).Refused,
            PeerRefusal::Malformed);
}

} // namespace
} // namespace coltsfoottrail::internal
