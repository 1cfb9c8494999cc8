/// @file
/// Mutual authentication of two entry hosts by a shared key.
#ifndef COLTSFOOTTRAIL_MESH_HANDSHAKE_HPP
#define COLTSFOOTTRAIL_MESH_HANDSHAKE_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/mesh/peer.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail::internal {

/// Range of mesh protocol versions that a process supports.
struct VersionRange {
  std::uint32_t Lowest = 1;
  std::uint32_t Highest = 1;
};

/// Random bytes that are used in a single handshake.
using Nonce = std::array<std::uint8_t, 32>;

/// @brief Generates a nonce with OpenSSL. Thread-safe.
/// @throws Error OpenSSL failed to generate random bytes.
[[nodiscard]] Nonce makeNonce();

/// @brief Contents of the hello message: what one end states about itself.
struct PeerHello {
  HostName Host;
  Incarnation Run = 0;
  VersionRange Versions;
  Nonce ProofNonce{};
};

/// @brief One end of the authentication handshake between entry hosts.
///
/// The dialler sends its hello and the listener replies with its own. The
/// dialler then sends its proof, and the listener sends its own only after it
/// has verified the dialler's. A proof is HMAC-SHA256, keyed with the shared
/// key, over a protocol label, the prover's role, the agreed version and both
/// hellos.
///
/// Attacks guarded against: replay of a recorded proof (both nonces are
/// covered); reflection of a proof to its sender (the role is covered);
/// collecting proofs for an offline search for the key by dialling a listener
/// (the listener sends its proof second); changing a host name, run or version
/// in transit (all are covered). Messages after the handshake are not
/// authenticated: the network between entry hosts must not let attackers modify
/// TCP streams.
///
/// Not thread-safe; does no I/O.
class Handshake {
public:
  /// The role of an end.
  enum class End : std::uint8_t { Dialler, Listener };

  /// Result of processing a received message.
  struct Result {
    /// Message to send to the other end, if any.
    std::optional<std::string> Reply;
    /// Set when the connection has to be refused; there is no reply then.
    std::optional<PeerRefusal> Refused;
    /// The other end has proved that it has the key, and this end has sent its
    /// proof or sends it with this reply.
    bool Authenticated = false;
  };

  /// Largest handshake message that is accepted.
  static constexpr std::size_t MaxMessageBytes = 1024;

  /// @brief Begins a handshake.
  /// @param ThisEnd Role of this end.
  /// @param LocalHello This end's hello; its nonce must be new.
  /// @param SharedKey The key that all entry hosts share.
  Handshake(End ThisEnd, PeerHello LocalHello, std::string SharedKey);

  /// @brief This end's encoded hello; the dialler's first message.
  [[nodiscard]] std::string hello() const;
  /// @brief Processes the next message of the other end.
  /// @param Message Untrusted bytes.
  [[nodiscard]] Result receive(std::string_view Message);
  /// @brief The hello of the other end; trustworthy only once authenticated.
  [[nodiscard]] const PeerHello &peerHello() const noexcept { return Remote; }
  /// @brief The agreed protocol version; valid once authenticated.
  [[nodiscard]] std::uint32_t version() const noexcept { return AgreedVersion; }

private:
  enum class ExpectedMessage : std::uint8_t { Hello, Proof, Nothing };

  [[nodiscard]] Result handleHello(const Json &Message);
  [[nodiscard]] Result handleProof(const Json &Message);
  [[nodiscard]] std::string computeProof(End Prover) const;
  [[nodiscard]] std::string encodeProof() const;

  End LocalEnd;
  PeerHello Local;
  std::string Key;
  PeerHello Remote;
  ExpectedMessage Expected = ExpectedMessage::Hello;
  std::uint32_t AgreedVersion = 0;
};

} // namespace coltsfoottrail::internal

#endif
