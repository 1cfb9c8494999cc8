/// @file
/// The recent records of a feed and its newest values, kept to be relayed.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_FEEDLOG_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_FEEDLOG_HPP

#include "coltsfoottrail/dissemination/messages.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Keeps the records of a feed that matter to routing: the newest value
/// of each key for readers that start, and the recent changes for those that
/// read on. Pure; not thread-safe.
class FeedLog {
public:
  /// Older changes are dropped; a reader that is further behind reads the store
  /// itself.
  static constexpr std::size_t MostRecords = 512;
  static constexpr std::size_t MostBytes = std::size_t{1} << 20U;
  /// Larger records are not relayed: one link serves all readers, and a large
  /// configuration would hold every other exchange up for a second.
  static constexpr std::size_t LargestRecord = std::size_t{96} << 10U;

  /// @brief Drops all changes; newest values are kept. Needed where records
  /// before an offset were not seen.
  void restart(Offset At) { restart(At, At); }
  /// @brief Drops all changes where some records behind the offset at which
  /// reading goes on are known already.
  /// @param At Where reading goes on.
  /// @param Consistent Readers before this offset cannot be served: records
  /// that were known already are not added again. At least At.
  void restart(Offset At, Offset Consistent);
  /// @brief Drops everything, newest values included.
  /// @copydetails restart(Offset, Offset)
  void clear(Offset At, Offset Consistent);
  /// @brief Records a change. Precondition: offsets grow.
  void add(FeedRecord Record, RoutingEffect Effect);
  /// @brief Records a change without a newest value.
  void addChange(RelayedRecord Change);
  /// @brief Records a newest value without a change.
  void keepNewest(FeedRecord Record);
  /// @brief All records before an offset have been read.
  void readTo(Offset At) { Next = At; }

  /// @brief Where reading goes on.
  [[nodiscard]] Offset next() const noexcept { return Next; }
  /// @brief Whether changes from an offset on are all here.
  [[nodiscard]] bool covers(Offset From) const noexcept {
    return From >= Base && From <= Next;
  }
  /// @brief Whether changes from an offset on are no longer here.
  [[nodiscard]] bool isTruncated(Offset From) const noexcept {
    return From < Base;
  }
  /// @brief Whether there is a change at an offset or behind it.
  [[nodiscard]] bool hasSince(Offset From) const {
    return !Changes.empty() && Changes.back().At >= From;
  }
  /// @brief Changes from an offset on. Precondition: covers().
  [[nodiscard]] std::vector<RelayedRecord> since(Offset From) const;

  /// @brief Whether snapshot() has every newest value.
  [[nodiscard]] bool hasSnapshot() const noexcept {
    return Complete && TooLarge.empty() && Next >= Base;
  }
  /// @brief Whether a newest value is too large to be relayed: a reader that
  /// starts reads the store itself.
  [[nodiscard]] bool isTooLarge() const noexcept { return !TooLarge.empty(); }
  /// @brief Newest values. Precondition: hasSnapshot().
  [[nodiscard]] std::vector<RelayedRecord> snapshot() const;

private:
  void updateNewest(FeedRecord Record, RoutingEffect Effect);

  Offset Base = 0;
  Offset Next = 0;
  std::size_t Bytes = 0;
  std::deque<RelayedRecord> Changes;
  /// Newest values by key; true once a whole feed was read.
  std::map<std::string, RelayedRecord> Newest;
  /// Keys whose newest value is too large to be relayed.
  std::set<std::string> TooLarge;
  bool Complete = false;
};

} // namespace coltsfoottrail

#endif
