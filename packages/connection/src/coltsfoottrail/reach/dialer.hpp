/// @file
/// Opens connections to endpoints.
#ifndef COLTSFOOTTRAIL_REACH_DIALER_HPP
#define COLTSFOOTTRAIL_REACH_DIALER_HPP

#include "coltsfoottrail/reach/tracker.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>

namespace coltsfoottrail {

/// @brief Opens TCP connections. Not thread-safe.
class Connector {
public:
  Connector() = default;
  Connector(const Connector &) = delete;
  Connector &operator=(const Connector &) = delete;
  virtual ~Connector() = default;

  /// @brief Opens a connection.
  /// @param Stream A stream that is not connected.
  /// @param Target IP address and port.
  /// @param Timeout Time limit.
  /// @return Why it failed; no error if it is open.
  [[nodiscard]] virtual Awaitable<boost::system::error_code>
  connect(boost::beast::tcp_stream &Stream, const EngineAddress &Target,
          milliseconds Timeout) = 0;
};

/// @brief Opens connections on the network.
class TcpConnector final : public Connector {
public:
  [[nodiscard]] Awaitable<boost::system::error_code>
  connect(boost::beast::tcp_stream &Stream, const EngineAddress &Target,
          milliseconds Timeout) override;
};

/// @brief How a connection was opened.
struct DialedConnection {
  /// The entry host that forwards it; empty if it is direct.
  std::optional<EngineAddress> Forwarder;
};

/// @brief Opens connections to endpoints, directly or through another entry
/// host, and records which endpoints are reached. Not thread-safe: belongs to
/// one thread.
class Dialer {
public:
  /// @brief Creates a dialer.
  /// @param Network Opens connections; must outlive the dialer.
  /// @param Seed Seed for the choice among forwarders.
  Dialer(Connector &Network, std::uint64_t Seed)
      : Network(Network), Reach(Seed) {}
  Dialer(const Dialer &) = delete;
  Dialer &operator=(const Dialer &) = delete;

  /// @brief Opens a connection.
  /// @param Stream A stream that is not connected.
  /// @param Endpoint Address of the endpoint.
  /// @param MaxTime Time limit.
  /// @return How it was opened; empty if it was not: no byte of a request can
  /// have reached the endpoint.
  [[nodiscard]] Awaitable<std::optional<DialedConnection>>
  dial(boost::beast::tcp_stream &Stream, EngineAddress Endpoint,
       milliseconds MaxTime);

  /// @brief Opens and closes a direct connection to find out whether an
  /// endpoint is reached.
  [[nodiscard]] Awaitable<void> probe(EngineAddress Endpoint);

  /// @brief Opens a direct connection for another entry host.
  /// @param Stream A stream that is not connected.
  /// @return Whether it is open.
  [[nodiscard]] Awaitable<bool> dialForHost(boost::beast::tcp_stream &Stream,
                                            EngineAddress Endpoint);

  /// @brief Which endpoints are reached.
  [[nodiscard]] ReachabilityTracker &reach() noexcept { return Reach; }
  /// @copydoc reach
  [[nodiscard]] const ReachabilityTracker &reach() const noexcept {
    return Reach;
  }

private:
  [[nodiscard]] Awaitable<bool> dialDirect(boost::beast::tcp_stream &Stream,
                                           const EngineAddress &Endpoint,
                                           milliseconds Timeout);
  [[nodiscard]] Awaitable<bool> dialForwarded(boost::beast::tcp_stream &Stream,
                                              const EngineAddress &Host,
                                              const EngineAddress &Endpoint,
                                              milliseconds Timeout);
  [[nodiscard]] Awaitable<unsigned>
  requestTunnel(boost::beast::tcp_stream &Stream, const EngineAddress &Endpoint,
                milliseconds Timeout);

  Connector &Network;
  ReachabilityTracker Reach;
};

} // namespace coltsfoottrail

#endif
