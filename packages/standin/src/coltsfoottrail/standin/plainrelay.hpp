/// @file
/// A minimal HTTP relay based on Boost.Beast, as a baseline for benchmarks.
#ifndef COLTSFOOTTRAIL_STANDIN_PLAINRELAY_HPP
#define COLTSFOOTTRAIL_STANDIN_PLAINRELAY_HPP

#include "coltsfoottrail/http/iopool.hpp"
#include "coltsfoottrail/platform/engine.hpp"

#include <memory>

namespace coltsfoottrail {

/// @brief Forwards each request to a fixed endpoint and its response back; no
/// routing, no limits, one upstream connection for each caller connection.
class PlainRelay {
public:
  /// @brief Listens on loopback.
  /// @param Threads Threads that serve connections; must outlive the relay.
  /// @param EndpointAddress The endpoint to forward to.
  PlainRelay(IoPool &Threads, EngineAddress EndpointAddress);
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
