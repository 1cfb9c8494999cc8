/// @file
/// Logs the events of connections between entry hosts.
#ifndef COLTSFOOTTRAIL_LOGGING_PEER_HPP
#define COLTSFOOTTRAIL_LOGGING_PEER_HPP

#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/mesh/peer.hpp"

namespace coltsfoottrail {

/// @brief Logs events of the mesh. Refused connections are sampled, since an
/// unauthenticated peer can cause any number of them. Thread-safe.
class PeerLogger {
public:
  /// @brief Logs an event.
  /// @param Occurrence The event.
  /// @param Now The current time.
  void log(const PeerEvent &Occurrence, TimePoint Now);

private:
  EventSampler Sampler{5, seconds(10)};
};

} // namespace coltsfoottrail

#endif
