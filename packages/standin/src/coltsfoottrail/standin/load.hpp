/// @file
/// Generates load on entry hosts and reports the outcome.
#ifndef COLTSFOOTTRAIL_STANDIN_LOAD_HPP
#define COLTSFOOTTRAIL_STANDIN_LOAD_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/platform/engine.hpp"

#include <atomic>
#include <map>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Options of a load run.
struct LoadOptions {
  /// Entry hosts that clients call in turn.
  std::vector<EngineAddress> Targets;
  std::string Credential;
  std::string Path = "/v1/completions";
  std::string Model;
  /// Request body to send; when empty, a prompt is generated.
  std::string Body;
  /// Number of concurrent clients; each sends its next request when the
  /// previous one has ended.
  std::uint32_t Clients = 4;
  /// Total number of requests; zero for no limit but the time.
  std::uint64_t Requests = 0;
  /// Time during which new requests are started.
  milliseconds Time{10'000};
  std::uint32_t Tokens = 16;
  bool Stream = false;
  std::uint32_t Threads = 1;
};

/// @brief Outcome of a load run.
struct LoadResult {
  std::uint64_t Answered = 0;
  /// Responses that ended before they were complete.
  std::uint64_t Cut = 0;
  /// Connections refused, or lost without a response.
  std::uint64_t Lost = 0;
  /// Refusals, keyed by "VERDICT REASON".
  std::map<std::string, std::uint64_t> Refused;
  /// Times to the complete response and to its first byte, of answered
  /// requests; sorted.
  std::vector<Duration> Latencies;
  std::vector<Duration> FirstBytes;
  Duration Elapsed{};

  /// @brief A quantile of sorted times; zero when there are none.
  /// @param Share The quantile, from 0 to 1.
  [[nodiscard]] static Duration quantile(const std::vector<Duration> &Sorted,
                                         double Share);
};

/// @brief Generates load and blocks until it has ended. Thread-safe.
/// @param Options The load.
/// @param Stop Ends the run early when set.
[[nodiscard]] LoadResult runLoad(const LoadOptions &Options,
                                 const std::atomic<bool> &Stop);

/// @brief Formats a result as JSON. Thread-safe.
[[nodiscard]] Json describeLoad(const LoadResult &Result);

} // namespace coltsfoottrail

#endif
