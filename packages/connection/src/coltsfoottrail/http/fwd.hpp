/// @file
/// Forward declarations and aliases of the http module.
#ifndef COLTSFOOTTRAIL_HTTP_FWD_HPP
#define COLTSFOOTTRAIL_HTTP_FWD_HPP

#include <boost/asio/awaitable.hpp>

namespace coltsfoottrail {

struct HttpField;
struct HttpRequest;
struct HttpResponse;
struct ServerLimits;
struct CallFailure;
struct ClientOptions;
class IoPool;
class Exchange;
class HttpServer;
class HttpClient;
class HttpCall;
class CallPolicy;

/// Return type of coroutines in the connection package.
template <class Value> using Awaitable = boost::asio::awaitable<Value>;

} // namespace coltsfoottrail

#endif
