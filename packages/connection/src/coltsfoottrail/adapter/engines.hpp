/// @file
/// HTTP clients of the engines and of the host list. docs/PLATFORM.md specifies
/// the wire format.
#ifndef COLTSFOOTTRAIL_ADAPTER_ENGINES_HPP
#define COLTSFOOTTRAIL_ADAPTER_ENGINES_HPP

#include "coltsfoottrail/adapter/fwd.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/platform/engine.hpp"

namespace coltsfoottrail {

/// @brief Encodes an order. Thread-safe.
[[nodiscard]] Json writeOrder(const EngineOrder &Order);
/// @brief Decodes an order. Thread-safe.
/// @throws InputError The value is not a valid order.
[[nodiscard]] EngineOrder readOrder(const Json &Value);
/// @brief Encodes an engine report. Thread-safe.
[[nodiscard]] Json writeReport(const EngineReport &Report);
/// @brief Decodes an engine report. Thread-safe.
/// @throws InputError The value is not a valid report.
[[nodiscard]] EngineReport readReport(const Json &Value);

/// @brief HTTP client of the engines.
class HttpEngines final : public Engines {
public:
  /// @brief Creates a client.
  /// @param IoContext Context whose thread runs the calls; must outlive the
  /// client and be stopped before the client is destroyed.
  explicit HttpEngines(boost::asio::io_context &IoContext);

  void order(const EngineAddress &Engine, const EngineOrder &Order,
             milliseconds Timeout, OrderHandler Done) override;
  void ask(const EngineAddress &Engine, milliseconds Timeout,
           ReportHandler Done) override;

private:
  boost::asio::io_context &Context;
  HttpClient Client;
};

/// @brief HTTP client of the platform's host list.
class HttpHostList final : public HostList {
public:
  /// @brief Creates a client.
  /// @param IoContext Context whose thread runs the calls; must outlive the
  /// client and be stopped before the client is destroyed.
  /// @param Address Address of the host list service.
  HttpHostList(boost::asio::io_context &IoContext, EngineAddress Address);

  void list(milliseconds Timeout, HostListHandler Done) override;

private:
  boost::asio::io_context &Context;
  HttpClient Client;
  EngineAddress Service;
};

} // namespace coltsfoottrail

#endif
