/// @file
/// The platform's log over HTTP; docs/PLATFORM.md tells the wire form.
#ifndef COLTSFOOTTRAIL_ADAPTER_LOG_HPP
#define COLTSFOOTTRAIL_ADAPTER_LOG_HPP

#include "coltsfoottrail/adapter/fwd.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/platform/log.hpp"

namespace coltsfoottrail {

/// @brief Log client over HTTP.
class HttpLog final : public Log {
public:
  /// @brief Makes a client; connects when first used.
  /// @param Where Context whose thread carries the calls; must outlive the
  /// client and stop before it is destroyed.
  /// @param To The log service.
  HttpLog(boost::asio::io_context &Where, EngineAddress To);

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
