/// @file
/// The last records of a feed, kept to be relayed.
#ifndef COLTSFOOTTRAIL_HUB_RELAYLOG_HPP
#define COLTSFOOTTRAIL_HUB_RELAYLOG_HPP

#include "coltsfoottrail/boundary/store.hpp"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Keeps the newest records of a feed that change something. Pure; not
/// thread-safe.
///
/// Load answered: each entry host reads each feed of the store by itself, 2.3
/// paid calls a second a host, and learns of an opened or closed group up to
/// 0.7 s late. One host reads, and the others get from it what changes.
class RelayLog {
public:
  /// Beyond these the oldest records are dropped; a host that is so far behind
  /// reads the store itself. Configurations take some ten kilobytes each.
  static constexpr std::size_t MostRecords = 512;
  static constexpr std::size_t MostBytes = std::size_t{1} << 20U;
  /// Larger records are not relayed: the hub has one link for all hosts. A
  /// configuration of 1,520 routes is 357 KB; sent to 70 hosts over 200 Mbit/s
  /// it held every other exchange up for a second, again with each version.
  static constexpr std::size_t LargestRecord = std::size_t{96} << 10U;

  /// @brief Starts anew: what came before is not known one by one.
  void restart(Offset At);
  /// @brief Adds a record; one that is too large to be relayed is what a
  /// reader must have read by itself from then on. Precondition: offsets grow.
  void add(Offset At, std::string Record);
  /// @brief All records before an offset have been read.
  void readTo(Offset At) { Next = At; }

  /// @brief Where reading goes on.
  [[nodiscard]] Offset next() const noexcept { return Next; }
  /// @brief Tells whether a reader that would go on at an offset can be served.
  [[nodiscard]] bool covers(Offset From) const noexcept {
    return From >= Base && From <= Next;
  }
  /// @brief Tells whether a reader that would go on at an offset must read the
  /// store, for what it lacks is not kept here.
  [[nodiscard]] bool beyond(Offset From) const noexcept { return From < Base; }
  /// @brief Whether there is a record at an offset or behind it.
  [[nodiscard]] bool hasSince(Offset From) const {
    return !Kept.empty() && Kept.back().At >= From;
  }
  /// @brief Records from an offset on. Precondition: covers().
  [[nodiscard]] std::vector<std::string> since(Offset From) const;

private:
  struct Record {
    Offset At;
    std::string Bytes;
  };

  Offset Base = 0;
  Offset Next = 0;
  std::size_t Bytes = 0;
  std::deque<Record> Kept;
};

} // namespace coltsfoottrail

#endif
