/// @file
/// Orders to engines, their reports and the host list over HTTP;
/// docs/PLATFORM.md tells the wire form.
#ifndef COLTSFOOTTRAIL_ADAPTER_ENGINES_HPP
#define COLTSFOOTTRAIL_ADAPTER_ENGINES_HPP

#include "coltsfoottrail/adapter/fwd.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/platform/engine.hpp"

namespace coltsfoottrail {

/// @brief Writes an order in its wire form. Thread-safe.
[[nodiscard]] Json writeOrder(const EngineOrder &Order);
/// @brief Reads an order from its wire form.
/// @throws InputError It is not an order. Thread-safe.
[[nodiscard]] EngineOrder readOrder(const Json &Value);
/// @brief Writes a report in its wire form. Thread-safe.
[[nodiscard]] Json writeReport(const EngineReport &Report);
/// @brief Reads a report from its wire form.
/// @throws InputError It is not a report. Thread-safe.
[[nodiscard]] EngineReport readReport(const Json &Value);

/// @brief Client of the engines over HTTP.
class HttpEngines final : public Engines {
public:
  /// @brief Makes a client.
  /// @param Where Context whose thread carries the calls; must outlive the
  /// client and stop before it is destroyed.
  explicit HttpEngines(boost::asio::io_context &Where);

  void order(const EngineAddress &To, const EngineOrder &Order,
             milliseconds Timeout, OrderHandler Done) override;
  void ask(const EngineAddress &Whom, milliseconds Timeout,
           ReportHandler Done) override;

private:
  boost::asio::io_context &Context;
  HttpClient Client;
};

/// @brief Client of the platform's host list over HTTP.
class HttpHostList final : public HostList {
public:
  /// @brief Makes a client.
  /// @param Where Context whose thread carries the calls; must outlive the
  /// client and stop before it is destroyed.
  /// @param To The list's service.
  HttpHostList(boost::asio::io_context &Where, EngineAddress To);

  void list(milliseconds Timeout, HostListHandler Done) override;

private:
  boost::asio::io_context &Context;
  HttpClient Client;
  EngineAddress Service;
};

} // namespace coltsfoottrail

#endif
