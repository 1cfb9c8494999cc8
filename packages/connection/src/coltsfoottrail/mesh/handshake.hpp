/// @file
/// How two entry hosts prove to each other that they share the key.
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

/// Versions of the protocol between entry hosts that a process speaks.
struct VersionRange {
  std::uint32_t Lowest = 1;
  std::uint32_t Highest = 1;
};

/// Random bytes that are used for one proof only.
using Nonce = std::array<std::uint8_t, 32>;

/// @brief Draws a nonce from the crypto library. Thread-safe.
/// @throws Error The library has no randomness.
[[nodiscard]] Nonce freshNonce();

/// @brief What one end says of itself.
struct Introduction {
  HostName Host;
  Incarnation Run = 0;
  VersionRange Versions;
  Nonce Fresh{};
};

/// @brief One end of the opening of a connection between entry hosts.
///
/// The dialler sends its hello, the listener its own; then the dialler proves
/// the key and, only after that was found good, the listener does. A proof is
/// HMAC-SHA256 over the prover's role and both hellos.
///
/// Failures guarded against: a stranger replays a proof (both nonces are in
/// it); it reflects a proof to its maker (the role is in it); it learns proofs
/// for guessing the key (the listener proves second); somebody between the two
/// changes a name, run or version (all are in it). What follows the proof is
/// not protected by it: the network between entry hosts must not let strangers
/// change TCP streams.
///
/// Not thread-safe; no I/O.
class Handshake {
public:
  /// Which end this is.
  enum class End : std::uint8_t { Dialler, Listener };

  /// What a message led to.
  struct Step {
    /// To be sent.
    std::optional<std::string> Reply;
    /// Set when the connection has to be refused; nothing is sent then.
    std::optional<PeerRefusal> Refused;
    /// The other end has proved the key, and this one has sent its proof.
    bool Proved = false;
  };

  /// Largest message of the handshake.
  static constexpr std::size_t MaxMessageBytes = 1024;

  /// @brief Starts.
  /// @param Which This end.
  /// @param Self What to say of itself; the nonce must be fresh.
  /// @param SharedKey The key.
  Handshake(End Which, Introduction Self, std::string SharedKey);

  /// @brief The dialler's first message.
  [[nodiscard]] std::string hello() const;
  /// @brief Takes the next message of the other end.
  /// @param Message Untrusted bytes.
  [[nodiscard]] Step take(std::string_view Message);
  /// @brief What the other end said of itself; trustworthy once proved.
  [[nodiscard]] const Introduction &other() const noexcept { return Other; }
  /// @brief The version that both speak, once proved.
  [[nodiscard]] std::uint32_t version() const noexcept { return Agreed; }

private:
  enum class Expects : std::uint8_t { Hello, Proof, Nothing };

  [[nodiscard]] Step takeHello(const Json &Message);
  [[nodiscard]] Step takeProof(const Json &Message);
  [[nodiscard]] std::string proofOf(End Prover) const;
  [[nodiscard]] std::string proofMessage() const;

  End Own;
  Introduction Self;
  std::string Key;
  Introduction Other;
  Expects Next = Expects::Hello;
  std::uint32_t Agreed = 0;
};

} // namespace coltsfoottrail::internal

#endif
