/// @file
/// Orders the records of the agreed stream, and keeps the latest ones for
/// peers.
#ifndef COLTSFOOTTRAIL_CONFIG_TAIL_HPP
#define COLTSFOOTTRAIL_CONFIG_TAIL_HPP

#include "coltsfoottrail/config/fwd.hpp"
#include "coltsfoottrail/platform/log.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace coltsfoottrail {

/// @brief Passes records on in the order of their offsets, each once. Pure. Not
/// thread-safe.
class RecordTail {
public:
  /// @brief Creates a tail that starts at an offset.
  /// @param Next Offset of the first record to pass on.
  explicit RecordTail(Offset Next) : NextOffset(Next) {}

  /// @brief Inserts records from any source, in any order; duplicates are
  /// allowed.
  /// @param Records The records.
  /// @return The records that are next, in order; the others are buffered or
  /// dropped.
  [[nodiscard]] std::vector<RecordPtr>
  insert(const std::vector<RecordPtr> &Records);

  /// @brief Offset of the next record to pass on.
  [[nodiscard]] Offset next() const noexcept { return NextOffset; }

  /// @brief Reads kept records for a peer.
  /// @param From First offset to read.
  /// @return Records from that offset on, bounded in number and bytes; nothing
  /// if the offset is not kept.
  [[nodiscard]] std::optional<std::vector<RecordPtr>> read(Offset From) const;

private:
  static constexpr std::size_t MaxOutOfOrder = 256;
  static constexpr std::size_t MaxRecentRecords = 4096;
  static constexpr std::size_t MaxRecentBytes = std::size_t{4} << 20U;
  static constexpr std::size_t MaxReadRecords = 256;
  static constexpr std::size_t MaxReadBytes = std::size_t{1} << 20U;

  void store(const RecordPtr &Record);

  Offset NextOffset;
  std::map<Offset, RecordPtr> OutOfOrder;
  std::deque<RecordPtr> Recent;
  std::size_t RecentBytes = 0;
};

} // namespace coltsfoottrail

#endif
