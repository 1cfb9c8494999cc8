/// @file
/// Forwards bytes between two connections.
#ifndef COLTSFOOTTRAIL_HTTP_FORWARDBYTES_HPP
#define COLTSFOOTTRAIL_HTTP_FORWARDBYTES_HPP

#include "coltsfoottrail/http/fwd.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace coltsfoottrail {

/// @brief Forwards bytes in both directions until the connections are closed or
/// carry none for a minute. Not thread-safe: both connections belong to the
/// executor of the calling coroutine and must outlive the call.
///
/// The end of the server's bytes is passed on as such, a reset of its
/// connection as a reset: an incomplete response must not pass for a complete
/// one. When the client's bytes end, the client has left, and the server's
/// connection is closed.
/// @param Client Connection whose other end sends requests.
/// @param Server Connection whose other end responds.
[[nodiscard]] Awaitable<void>
forwardBytes(boost::asio::ip::tcp::socket &Client,
             boost::asio::ip::tcp::socket &Server);

} // namespace coltsfoottrail

#endif
