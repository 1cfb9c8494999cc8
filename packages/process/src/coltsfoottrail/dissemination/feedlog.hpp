/// @file
/// Recent records and newest values of a feed, kept for relaying.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_FEEDLOG_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_FEEDLOG_HPP

#include "coltsfoottrail/dissemination/messages.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Keeps the records of a feed that routing needs: the newest value of
/// each key for readers that start, and the recent changes for readers that
/// continue. Pure; not thread-safe.
class FeedLog {
public:
  /// Older changes are dropped; a reader that is further behind reads the store
  /// itself.
  static constexpr std::size_t MostRecords = 512;
  static constexpr std::size_t MostBytes = std::size_t{1} << 20U;
  /// Larger records are not relayed: one link serves all readers, and a large
  /// configuration would delay every other exchange by a second.
  static constexpr std::size_t LargestRecord = std::size_t{96} << 10U;

  /// @brief Drops all changes and keeps the newest values. Needed if records
  /// before an offset were not seen.
  void restart(Offset NextOffset) { restart(NextOffset, NextOffset); }
  /// @brief Drops all changes if some records at or behind the offset where
  /// reading continues are known already.
  /// @param NextOffset Where reading continues.
  /// @param FirstServable Readers before this offset cannot be served, because
  /// records that were known already are not added again. Not less than
  /// NextOffset.
  void restart(Offset NextOffset, Offset FirstServable);
  /// @brief Drops all changes and newest values; the values that are added next
  /// are complete.
  /// @copydetails restart(Offset, Offset)
  void clear(Offset NextOffset, Offset FirstServable);
  /// @brief Adds a change and updates the newest value of its key.
  /// Precondition: offsets increase.
  void add(FeedRecord Record, RoutingEffect Effect);
  /// @brief Adds a change without updating the newest value.
  void addChange(RelayedRecord Change);
  /// @brief Sets the newest value of a key without adding a change.
  void setNewest(FeedRecord Record);
  /// @brief Records that all records before an offset have been read.
  void advanceTo(Offset NextOffset) { Next = NextOffset; }

  /// @brief Offset at which reading continues.
  [[nodiscard]] Offset next() const noexcept { return Next; }
  /// @brief Whether all changes from an offset on are available.
  [[nodiscard]] bool covers(Offset From) const noexcept {
    return From >= FirstOffset && From <= Next;
  }
  /// @brief Whether some changes from an offset on have been dropped.
  [[nodiscard]] bool isTruncated(Offset From) const noexcept {
    return From < FirstOffset;
  }
  /// @brief Whether there is a change at or after an offset.
  [[nodiscard]] bool hasSince(Offset From) const {
    return !Changes.empty() && Changes.back().Position >= From;
  }
  /// @brief Returns the changes from an offset on. Precondition: covers().
  [[nodiscard]] std::vector<RelayedRecord> since(Offset From) const;

  /// @brief Whether snapshot() returns the newest value of every key.
  [[nodiscard]] bool hasSnapshot() const noexcept {
    return Complete && TooLarge.empty() && Next >= FirstOffset;
  }
  /// @brief Whether a newest value is too large to be relayed, so that a
  /// starting reader must read the store itself.
  [[nodiscard]] bool isTooLarge() const noexcept { return !TooLarge.empty(); }
  /// @brief Returns the newest values. Precondition: hasSnapshot().
  [[nodiscard]] std::vector<RelayedRecord> snapshot() const;

private:
  void updateNewest(FeedRecord Record, RoutingEffect Effect);

  Offset FirstOffset = 0;
  Offset Next = 0;
  std::size_t Bytes = 0;
  std::deque<RelayedRecord> Changes;
  /// Newest values by key; Complete is set once a whole feed was read.
  std::map<std::string, RelayedRecord> Newest;
  /// Keys whose newest value is too large to be relayed.
  std::set<std::string> TooLarge;
  bool Complete = false;
};

} // namespace coltsfoottrail

#endif
