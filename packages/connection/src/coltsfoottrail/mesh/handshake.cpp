#include "coltsfoottrail/mesh/handshake.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace coltsfoottrail::internal {

namespace {

constexpr std::string_view ProtocolLabel = "coltsfoottrail mesh";
constexpr std::string_view ErrorContext = "hello of a peer";
constexpr std::size_t MaxHostBytes = 63;
constexpr std::size_t ProofBytes = 32;

std::string encodeCbor(const Json &Message) {
  std::string Encoded;
  Json::to_cbor(Message, Encoded);
  return Encoded;
}

Json binary(const Nonce &Bytes) {
  return Json::binary({Bytes.begin(), Bytes.end()});
}

Json encodeHello(const PeerHello &Hello) {
  return Json{{"lowest", Hello.Versions.Lowest},
              {"highest", Hello.Versions.Highest},
              {"host", Hello.Host.Text},
              {"run", Hello.Run},
              {"nonce", binary(Hello.ProofNonce)}};
}

PeerHello readHello(const Json &Message) {
  constexpr std::uint64_t MaxVersion = 0xffffffff;
  ObjectReader Reader(Message, ErrorContext, "", UnknownKeys::Ignore);
  PeerHello Hello;
  Hello.Versions.Lowest =
      static_cast<std::uint32_t>(Reader.number("lowest", 1, MaxVersion));
  Hello.Versions.Highest = static_cast<std::uint32_t>(
      Reader.number("highest", Hello.Versions.Lowest, MaxVersion));
  Hello.Host = HostName(Reader.text("host", MaxHostBytes));
  Hello.Run = Reader.number("run");
  const Json &NonceField = Reader.raw("nonce");
  if (!NonceField.is_binary() ||
      NonceField.get_binary().size() != Hello.ProofNonce.size())
    throw Error("hello of a peer: \"nonce\" must be 32 bytes");
  std::copy(NonceField.get_binary().begin(), NonceField.get_binary().end(),
            Hello.ProofNonce.begin());
  return Hello;
}

std::string hmac(std::string_view Key, std::string_view Text) {
  std::string Digest(ProofBytes, '\0');
  unsigned Size = 0;
  const auto *const Result =
      HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
           reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
           reinterpret_cast<unsigned char *>(Digest.data()), &Size);
  if (Result == nullptr || Size != ProofBytes)
    throw Error("OpenSSL failed to compute HMAC-SHA256");
  return Digest;
}

Handshake::Result refuse(PeerRefusal Refusal) {
  return Handshake::Result{std::nullopt, Refusal, false};
}

} // namespace

Nonce makeNonce() {
  Nonce Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1)
    throw Error("OpenSSL failed to generate random bytes");
  return Bytes;
}

Handshake::Handshake(End ThisEnd, PeerHello LocalHello, std::string SharedKey)
    : LocalEnd(ThisEnd), Local(std::move(LocalHello)),
      Key(std::move(SharedKey)) {}

std::string Handshake::hello() const { return encodeCbor(encodeHello(Local)); }

std::string Handshake::computeProof(End Prover) const {
  const bool IsDialler = LocalEnd == End::Dialler;
  const Json AuthenticatedFields = Json::array(
      {ProtocolLabel, Prover == End::Dialler ? "dialler" : "listener",
       AgreedVersion, encodeHello(IsDialler ? Local : Remote),
       encodeHello(IsDialler ? Remote : Local)});
  return hmac(Key, encodeCbor(AuthenticatedFields));
}

std::string Handshake::encodeProof() const {
  const std::string Proof = computeProof(LocalEnd);
  return encodeCbor(
      Json{{"proof", Json::binary({Proof.begin(), Proof.end()})}});
}

Handshake::Result Handshake::receive(std::string_view Message) {
  if (Message.size() > MaxMessageBytes || Expected == ExpectedMessage::Nothing)
    return refuse(PeerRefusal::Malformed);
  try {
    const Json Decoded = Json::from_cbor(Message);
    return Expected == ExpectedMessage::Hello ? handleHello(Decoded)
                                              : handleProof(Decoded);
  } catch (const Json::exception &) {
    return refuse(PeerRefusal::Malformed);
  } catch (const Error &) {
    return refuse(PeerRefusal::Malformed);
  }
}

Handshake::Result Handshake::handleHello(const Json &Message) {
  Remote = readHello(Message);
  if (Remote.Versions.Lowest > Local.Versions.Highest ||
      Remote.Versions.Highest < Local.Versions.Lowest)
    return refuse(PeerRefusal::Version);
  if (Remote.Host == Local.Host && Remote.Run == Local.Run)
    return refuse(PeerRefusal::Self);
  AgreedVersion = std::min(Remote.Versions.Highest, Local.Versions.Highest);
  Expected = ExpectedMessage::Proof;
  return Result{LocalEnd == End::Dialler ? encodeProof() : hello(),
                std::nullopt, false};
}

Handshake::Result Handshake::handleProof(const Json &Message) {
  ObjectReader Reader(Message, ErrorContext, "", UnknownKeys::Ignore);
  const Json &ReceivedProof = Reader.raw("proof");
  if (!ReceivedProof.is_binary() ||
      ReceivedProof.get_binary().size() != ProofBytes)
    return refuse(PeerRefusal::Malformed);
  const std::string ExpectedProof =
      computeProof(LocalEnd == End::Dialler ? End::Listener : End::Dialler);
  if (CRYPTO_memcmp(ReceivedProof.get_binary().data(), ExpectedProof.data(),
                    ProofBytes) != 0)
    return refuse(PeerRefusal::Key);
  Expected = ExpectedMessage::Nothing;
  if (LocalEnd == End::Dialler)
    return Result{std::nullopt, std::nullopt, true};
  return Result{encodeProof(), std::nullopt, true};
}

} // namespace coltsfoottrail::internal
