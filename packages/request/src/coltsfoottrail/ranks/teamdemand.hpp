/// @file
/// Teams that ask for more than their share of the starts of a rank.
#ifndef COLTSFOOTTRAIL_RANKS_TEAMDEMAND_HPP
#define COLTSFOOTTRAIL_RANKS_TEAMDEMAND_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/ranks/forecast.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace coltsfoottrail {

/// @brief Requests of each team of one rank, here and at the other hosts.
///
/// While there is too little room, a team whose requests exceed an equal share
/// of what the rank starts leaves slots free for the other teams of the rank,
/// as lower ranks do for higher ones. A host knows the teams that it has got
/// requests of; what remains counts as one further team. No I/O and no clock.
/// Not thread-safe; times must not go back.
class TeamDemand {
public:
  /// @brief The rate of one team at this host.
  struct Rate {
    std::uint64_t Team = 0;
    /// Requests per second that could be on time when they arrived.
    double Offered = 0.0;
  };

  /// @brief Counts a request that arrived and can be on time.
  /// @param Team Hash of the team's name.
  void recordArrival(std::uint64_t Team, TimePoint Now);
  /// @brief Sets the sums of the rates of all other hosts; unknown teams are
  /// passed over.
  void setOthers(const std::map<std::uint64_t, double> &Sums, TimePoint Now);
  /// @brief Teams that this host has got requests of.
  [[nodiscard]] std::vector<Rate> own(TimePoint Now) const;

  /// @brief Requests per second of the teams for which a team leaves slots
  /// free.
  /// Precondition: there is too little room for all of them.
  /// @param Total Rates of the rank over all hosts.
  /// @return Nothing if the team is within its share, or no other is.
  [[nodiscard]] std::optional<double>
  othersBefore(std::uint64_t Team, const RankRates &Total, TimePoint Now) const;

  /// @brief Requests per second of the teams that are within their share; see
  /// othersBefore().
  [[nodiscard]] double withinShare(const RankRates &Total, TimePoint Now) const;

private:
  /// What teams ask for, and their equal share.
  struct Division {
    double Share = 0.0;
    /// Requests per second of the teams within it.
    double Within = 0.0;
  };
  struct Entry {
    double Own = 0.0;
    TimePoint OwnAt{};
    double Others = 0.0;
  };

  [[nodiscard]] Division divide(const RankRates &Total, TimePoint Now) const;
  [[nodiscard]] static double ownOf(const Entry &Team, TimePoint Now);
  [[nodiscard]] double totalOf(const Entry &Team, TimePoint Now) const;

  std::map<std::uint64_t, Entry> Teams;
  TimePoint OthersAt{};
};

} // namespace coltsfoottrail

#endif
