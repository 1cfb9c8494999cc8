/// @file
/// Load on entry hosts, and what became of it.
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

/// @brief What load to make.
struct LoadOptions {
  /// Where callers go, in turn.
  std::vector<EngineAddress> Targets;
  std::string Credential;
  std::string Path = "/v1/completions";
  std::string Model;
  /// Sent as it is when not empty, instead of a prompt.
  std::string Body;
  /// Callers at once; each sends its next request when the last has ended.
  std::uint32_t Clients = 4;
  /// Requests in all; zero for none but the time's bound.
  std::uint64_t Requests = 0;
  /// Longest time that new requests are begun.
  milliseconds Time{10'000};
  std::uint32_t Tokens = 16;
  bool Stream = false;
  std::uint32_t Threads = 1;
};

/// @brief What became of it.
struct LoadResult {
  std::uint64_t Answered = 0;
  /// Answers that broke off.
  std::uint64_t Cut = 0;
  /// Connections refused or lost without an answer.
  std::uint64_t Lost = 0;
  /// Refusals by "verdict reason".
  std::map<std::string, std::uint64_t> Refused;
  /// Of those answered, sorted.
  std::vector<Duration> Latencies;
  std::vector<Duration> FirstBytes;
  Duration Elapsed{};

  /// @brief A quantile of sorted times; zero when there are none.
  [[nodiscard]] static Duration quantile(const std::vector<Duration> &Sorted,
                                         double Share);
};

/// @brief Runs load and blocks until it has ended. Thread-safe.
/// @param Wanted The load.
/// @param Stop Ends it early when set.
[[nodiscard]] LoadResult runLoad(const LoadOptions &Wanted,
                                 const std::atomic<bool> &Stop);

/// @brief Shows a result. Thread-safe.
[[nodiscard]] Json describeLoad(const LoadResult &Result);

} // namespace coltsfoottrail

#endif
