/// @file
/// Logs what happens to connections between entry hosts.
#ifndef COLTSFOOTTRAIL_LOGGING_PEER_HPP
#define COLTSFOOTTRAIL_LOGGING_PEER_HPP

#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/mesh/peer.hpp"

namespace coltsfoottrail {

/// @brief Logs events of the mesh; refusals are sampled, since a stranger can
/// cause any number of them. Thread-safe.
class PeerLogger {
public:
  /// @brief Logs an event.
  /// @param What The event.
  /// @param Now The time.
  void log(const PeerEvent &What, TimePoint Now);

private:
  EventSampler Sampler{5, seconds(10)};
};

} // namespace coltsfoottrail

#endif
