/// @file
/// Records of the agreed stream put in order, the latest of them kept for
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

/// @brief Lets records through in the order of their offsets, each once. Pure.
/// Not thread-safe.
class RecordTail {
public:
  /// @brief Starts at an offset.
  /// @param Next Offset of the first record to let through.
  explicit RecordTail(Offset Next) : Expected(Next) {}

  /// @brief Takes records from anywhere, in any order, any number of times.
  /// @param Records The records.
  /// @return Those that come next, in order; the others wait or are dropped.
  [[nodiscard]] std::vector<RecordPtr>
  take(const std::vector<RecordPtr> &Records);

  /// @brief Offset of the next record to let through.
  [[nodiscard]] Offset next() const noexcept { return Expected; }

  /// @brief Reads kept records for a peer.
  /// @param From First offset wanted.
  /// @return Some records from there on, bounded in number and bytes; nothing
  /// when the offset is no longer kept.
  [[nodiscard]] std::optional<std::vector<RecordPtr>> read(Offset From) const;

private:
  static constexpr std::size_t MostEarly = 256;
  static constexpr std::size_t MostKept = 4096;
  static constexpr std::size_t MostKeptBytes = std::size_t{4} << 20U;
  static constexpr std::size_t MostRead = 256;
  static constexpr std::size_t MostReadBytes = std::size_t{1} << 20U;

  void keep(const RecordPtr &Record);

  Offset Expected;
  std::map<Offset, RecordPtr> Early;
  std::deque<RecordPtr> Kept;
  std::size_t KeptBytes = 0;
};

} // namespace coltsfoottrail

#endif
