#include "coltsfoottrail/mesh/handshake.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace coltsfoottrail::internal {

namespace {

constexpr std::string_view Purpose = "coltsfoottrail mesh";
constexpr std::string_view Source = "hello of a peer";
constexpr std::size_t MaxHostBytes = 63;
constexpr std::size_t ProofBytes = 32;

std::string toText(const Json &Message) {
  std::string Out;
  Json::to_cbor(Message, Out);
  return Out;
}

Json binary(const Nonce &Bytes) {
  return Json::binary({Bytes.begin(), Bytes.end()});
}

Json helloOf(const Introduction &Shown) {
  return Json{{"lowest", Shown.Versions.Lowest},
              {"highest", Shown.Versions.Highest},
              {"host", Shown.Host.Text},
              {"run", Shown.Run},
              {"nonce", binary(Shown.Fresh)}};
}

Introduction readHello(const Json &Message) {
  constexpr std::uint64_t MaxVersion = 0xffffffff;
  ObjectReader Reader(Message, Source, "", UnknownKeys::Ignore);
  Introduction Out;
  Out.Versions.Lowest =
      static_cast<std::uint32_t>(Reader.number("lowest", 1, MaxVersion));
  Out.Versions.Highest = static_cast<std::uint32_t>(
      Reader.number("highest", Out.Versions.Lowest, MaxVersion));
  Out.Host = HostName(Reader.text("host", MaxHostBytes));
  Out.Run = Reader.number("run");
  const Json &Fresh = Reader.raw("nonce");
  if (!Fresh.is_binary() || Fresh.get_binary().size() != Out.Fresh.size())
    throw Error("the nonce is malformed");
  std::copy(Fresh.get_binary().begin(), Fresh.get_binary().end(),
            Out.Fresh.begin());
  return Out;
}

std::string hmac(std::string_view Key, std::string_view Text) {
  std::string Out(ProofBytes, '\0');
  unsigned Size = 0;
  const auto *const Done =
      HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
           reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
           reinterpret_cast<unsigned char *>(Out.data()), &Size);
  if (Done == nullptr || Size != ProofBytes)
    throw Error("the crypto library cannot compute HMAC-SHA256");
  return Out;
}

Handshake::Step refused(PeerRefusal Why) {
  return Handshake::Step{std::nullopt, Why, false};
}

} // namespace

Nonce freshNonce() {
  Nonce Out{};
  if (RAND_bytes(Out.data(), static_cast<int>(Out.size())) != 1)
    throw Error("the crypto library has no randomness");
  return Out;
}

Handshake::Handshake(End Which, Introduction Self, std::string SharedKey)
    : Own(Which), Self(std::move(Self)), Key(std::move(SharedKey)) {}

std::string Handshake::hello() const { return toText(helloOf(Self)); }

std::string Handshake::proofOf(End Prover) const {
  const bool Dialling = Own == End::Dialler;
  const Json Covered = Json::array(
      {Purpose, Prover == End::Dialler ? "dialler" : "listener", Agreed,
       helloOf(Dialling ? Self : Other), helloOf(Dialling ? Other : Self)});
  return hmac(Key, toText(Covered));
}

std::string Handshake::proofMessage() const {
  const std::string Proof = proofOf(Own);
  return toText(Json{{"proof", Json::binary({Proof.begin(), Proof.end()})}});
}

Handshake::Step Handshake::take(std::string_view Message) {
  if (Message.size() > MaxMessageBytes || Next == Expects::Nothing)
    return refused(PeerRefusal::Malformed);
  try {
    const Json Read = Json::from_cbor(Message);
    return Next == Expects::Hello ? takeHello(Read) : takeProof(Read);
  } catch (const Json::exception &) {
    return refused(PeerRefusal::Malformed);
  } catch (const Error &) {
    return refused(PeerRefusal::Malformed);
  }
}

Handshake::Step Handshake::takeHello(const Json &Message) {
  Other = readHello(Message);
  if (Other.Versions.Lowest > Self.Versions.Highest ||
      Other.Versions.Highest < Self.Versions.Lowest)
    return refused(PeerRefusal::Version);
  if (Other.Host == Self.Host && Other.Run == Self.Run)
    return refused(PeerRefusal::Self);
  Agreed = std::min(Other.Versions.Highest, Self.Versions.Highest);
  Next = Expects::Proof;
  return Step{Own == End::Dialler ? proofMessage() : hello(), std::nullopt,
              false};
}

Handshake::Step Handshake::takeProof(const Json &Message) {
  ObjectReader Reader(Message, Source, "", UnknownKeys::Ignore);
  const Json &Given = Reader.raw("proof");
  if (!Given.is_binary() || Given.get_binary().size() != ProofBytes)
    return refused(PeerRefusal::Malformed);
  const std::string Wanted =
      proofOf(Own == End::Dialler ? End::Listener : End::Dialler);
  if (CRYPTO_memcmp(Given.get_binary().data(), Wanted.data(), ProofBytes) != 0)
    return refused(PeerRefusal::Key);
  Next = Expects::Nothing;
  if (Own == End::Dialler)
    return Step{std::nullopt, std::nullopt, true};
  return Step{proofMessage(), std::nullopt, true};
}

} // namespace coltsfoottrail::internal
