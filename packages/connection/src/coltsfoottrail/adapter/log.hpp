/// @file
/// HTTP client of the platform's log. docs/PLATFORM.md specifies the wire
/// format.
#ifndef COLTSFOOTTRAIL_ADAPTER_LOG_HPP
#define COLTSFOOTTRAIL_ADAPTER_LOG_HPP

#include "coltsfoottrail/adapter/fwd.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/platform/log.hpp"

namespace coltsfoottrail {

/// @brief HTTP client of the platform's log.
class HttpLog final : public Log {
public:
  /// @brief Creates a client; it connects when first used.
  /// @param IoContext Context whose thread runs the calls; must outlive the
  /// client and be stopped before the client is destroyed.
  /// @param Address Address of the log service.
  HttpLog(boost::asio::io_context &IoContext, EngineAddress Address);

  void append(const StreamName &Stream, std::vector<std::byte> Payload,
              milliseconds Timeout, AppendHandler Done) override;
  void read(const StreamName &Stream, Offset From, std::size_t MaxEntries,
            milliseconds Wait, ReadHandler Done) override;

private:
  boost::asio::io_context &Context;
  HttpClient Client;
  EngineAddress Service;
};

} // namespace coltsfoottrail

#endif
