/// @file
/// The plainest relay that Beast makes, to measure ours against.
#ifndef COLTSFOOTTRAIL_STANDIN_PLAINRELAY_HPP
#define COLTSFOOTTRAIL_STANDIN_PLAINRELAY_HPP

#include "coltsfoottrail/http/iopool.hpp"
#include "coltsfoottrail/platform/engine.hpp"

#include <memory>

namespace coltsfoottrail {

/// @brief Passes each request on to one endpoint and its answer back; no
/// decisions, no limits, one upstream connection for each caller's.
class PlainRelay {
public:
  /// @brief Listens on loopback.
  /// @param Threads Where connections live; must outlive the relay.
  /// @param To The endpoint.
  PlainRelay(IoPool &Threads, EngineAddress To);
  PlainRelay(const PlainRelay &) = delete;
  PlainRelay &operator=(const PlainRelay &) = delete;
  ~PlainRelay();

  /// @brief The port listened on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;

private:
  struct Core;
  std::shared_ptr<Core> Shared;
};

} // namespace coltsfoottrail

#endif
