/// @file
/// Measures the demand that one entry host sees.
#ifndef COLTSFOOTTRAIL_DEMAND_METER_HPP
#define COLTSFOOTTRAIL_DEMAND_METER_HPP

#include "coltsfoottrail/demand/rates.hpp"

#include <map>
#include <utility>

namespace coltsfoottrail {

/// @brief Measures the rates of one host's requests, averaged with weights that
/// halve each HalfLife. Does no I/O and reads no clock. Not thread-safe; times
/// must not go back.
///
/// A rate reaches half of a step after HalfLife. The number of rows is at most
/// that of the pools that were recorded lately, times MaxRanks.
class DemandMeter {
public:
  static constexpr Duration HalfLife = seconds(2);
  /// Ranks from MaxRanks - 1 on are counted as one.
  static constexpr std::uint32_t MaxRanks = 8;

  /// @param DataCentre Hash of the name of the host's data centre.
  explicit DemandMeter(std::uint64_t DataCentre) noexcept
      : DataCentre(DataCentre) {}

  /// @brief Records that a request arrived.
  /// @param Pool Hash of the pool's name.
  /// @param Rank Rank of the request.
  /// @param PromptTokens Tokens of its prompt.
  /// @param AnswerTokens Tokens that its answer is expected to have.
  void recordOffered(std::uint64_t Pool, std::uint32_t Rank,
                     std::uint32_t PromptTokens, std::uint32_t AnswerTokens,
                     TimePoint Now);
  /// @brief Records that a request was sent for the first time.
  /// @param Wait Time since its arrival; not negative.
  /// @copydetails recordRefused
  void recordAdmitted(std::uint64_t Pool, std::uint32_t Rank, Duration Wait,
                      TimePoint Now);
  /// @brief Records that a request was refused without having run.
  /// @param Pool Hash of the pool's name.
  /// @param Rank Rank of the request.
  void recordRefused(std::uint64_t Pool, std::uint32_t Rank, TimePoint Now);
  /// @brief Records that a request can no longer be on time.
  /// @copydetails recordRefused
  void recordDemoted(std::uint64_t Pool, std::uint32_t Rank, TimePoint Now);

  /// @brief The rates, in the order of their keys; negligible ones are left
  /// out.
  [[nodiscard]] std::vector<DemandRow> rows(TimePoint Now) const;
  /// @brief Drops rates that have become negligible.
  void advance(TimePoint Now);

private:
  /// Rates as of a time.
  struct Average {
    DemandRates Rates;
    TimePoint At;

    [[nodiscard]] DemandRates decayed(TimePoint Now) const noexcept;
  };

  [[nodiscard]] DemandRates &ratesOf(std::uint64_t Pool, std::uint32_t Rank,
                                     TimePoint Now);

  std::uint64_t DataCentre;
  /// By pool and rank.
  std::map<std::pair<std::uint64_t, std::uint32_t>, Average> Averages;
};

} // namespace coltsfoottrail

#endif
