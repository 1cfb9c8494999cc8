/// @file
/// Rates at which callers ask for the models and services of the pools.
#ifndef COLTSFOOTTRAIL_DEMAND_RATES_HPP
#define COLTSFOOTTRAIL_DEMAND_RATES_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/demand/fwd.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace coltsfoottrail {

/// @brief What demand is counted by.
struct DemandKey {
  /// Hash of the pool's name.
  std::uint64_t Pool = 0;
  /// Hash of the name of the data centre of the host that got the requests.
  std::uint64_t DataCentre = 0;
  /// Zero is the most urgent.
  std::uint32_t Rank = 0;

  // The linter reports on the body that the compiler makes.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const DemandKey &,
                                        const DemandKey &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// @brief Rates of requests, each averaged over the recent past.
struct DemandRates {
  /// Requests per second that arrived, whatever became of them. One that was
  /// refused and comes back counts again.
  double Offered = 0.0;
  /// Requests per second that were sent to an endpoint for the first time.
  double Admitted = 0.0;
  /// Requests per second that were refused without having run.
  double Refused = 0.0;
  /// Requests per second that could no longer be on time.
  double Demoted = 0.0;
  /// Prompt tokens per second of the offered requests.
  double PromptTokens = 0.0;
  /// Expected answer tokens per second of the offered requests.
  double AnswerTokens = 0.0;
  /// Seconds waited per second by the requests that were admitted: divided by
  /// Admitted, their mean wait.
  double Waited = 0.0;

  DemandRates &operator+=(const DemandRates &Other) noexcept {
    Offered += Other.Offered;
    Admitted += Other.Admitted;
    Refused += Other.Refused;
    Demoted += Other.Demoted;
    PromptTokens += Other.PromptTokens;
    AnswerTokens += Other.AnswerTokens;
    Waited += Other.Waited;
    return *this;
  }
  [[nodiscard]] friend bool operator==(const DemandRates &,
                                       const DemandRates &) = default;
};

/// @brief The rates of one key.
struct DemandRow {
  DemandKey Key;
  DemandRates Rates;
};

/// @brief Sum of the demand over entry hosts.
struct DemandSum {
  /// By key, in order; keys without demand are left out.
  std::vector<DemandRow> Rows;
  /// Number of hosts whose demand is included.
  std::size_t Hosts = 0;
  /// Age of the oldest rates included.
  Duration Age{};
};

} // namespace coltsfoottrail

#endif
