/// @file
/// Hints on which endpoints may have a prompt prefix in their cache.
#ifndef COLTSFOOTTRAIL_CHOICE_HINTS_HPP
#define COLTSFOOTTRAIL_CHOICE_HINTS_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/core/slotmap.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <array>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief An event of an engine's prefix cache. Events may be delayed or lost.
struct CacheChange {
  std::uint64_t PrefixHash = 0;
  /// Whether the prefix was added or evicted.
  bool Added = true;
  /// Increases by one with each event of the endpoint; a gap shows lost events.
  std::uint64_t Sequence = 0;
};

/// @brief Set-associative table of fixed size from prefix to endpoints, four
/// hints per set. New hints replace old ones. Not thread-safe.
class PrefixHints {
public:
  static constexpr std::size_t Ways = 4;

  /// @brief One endpoint that may have the prefix.
  struct Hint {
    std::uint64_t PrefixHash = 0;
    CandidateId Endpoint;
    TimePoint Expires;
    /// Generation of the endpoint's hints; hints of an earlier one are invalid.
    std::uint32_t Epoch = 0;
  };

  /// @brief Makes an empty table; memory is allocated with the first hint.
  /// @param SetCount Sets of four hints; a power of two.
  explicit PrefixHints(std::uint32_t SetCount) noexcept : Sets(SetCount) {}

  /// @brief Adds a hint or renews it; replaces the one of its set that expires
  /// first.
  void add(const Hint &NewHint);

  /// @brief Removes a hint.
  void remove(std::uint64_t PrefixHash, CandidateId Endpoint) noexcept;

  /// @brief All hints in the prefix's set; may include those of other prefixes.
  [[nodiscard]] std::span<const Hint>
  setOf(std::uint64_t PrefixHash) const noexcept;

  /// @brief Allocated size in bytes.
  [[nodiscard]] std::size_t bytes() const noexcept {
    return Table.size() * sizeof(Hint);
  }

private:
  [[nodiscard]] std::size_t firstSlot(std::uint64_t PrefixHash) const noexcept;

  std::uint32_t Sets;
  std::vector<Hint> Table;
};

} // namespace coltsfoottrail

#endif
