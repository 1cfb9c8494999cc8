/// @file
/// Which endpoints may have which prompt prefix in their cache.
#ifndef COLTSFOOTTRAIL_CHOICE_HINTS_HPP
#define COLTSFOOTTRAIL_CHOICE_HINTS_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/core/slotmap.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <array>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief An event of an engine's prefix cache; late, and some are lost.
struct CacheChange {
  std::uint64_t PrefixHash = 0;
  /// Whether the prefix came in or went out.
  bool Added = true;
  /// Counts the endpoint's events by one; a jump means that some are lost.
  std::uint64_t Sequence = 0;
};

/// @brief Table of fixed size from prefix to at most four endpoints. Old hints
/// give way to new ones. Not thread-safe.
class PrefixHints {
public:
  static constexpr std::size_t Ways = 4;

  /// @brief One endpoint that may have the prefix.
  struct Hint {
    std::uint64_t PrefixHash = 0;
    CandidateId Where;
    TimePoint Expires;
    /// Generation of the endpoint's hints; one with another generation is void.
    std::uint32_t Epoch = 0;
  };

  /// @brief Makes an empty table; memory is taken with the first hint.
  /// @param SetCount Sets of four hints; a power of two.
  explicit PrefixHints(std::uint32_t SetCount) noexcept : Sets(SetCount) {}

  /// @brief Adds a hint or renews it; replaces the one of its set that expires
  /// first.
  void add(const Hint &Fresh);

  /// @brief Removes a hint.
  void remove(std::uint64_t PrefixHash, CandidateId Where) noexcept;

  /// @brief The hints of the prefix's set, other prefixes' included.
  [[nodiscard]] std::span<const Hint>
  setOf(std::uint64_t PrefixHash) const noexcept;

  /// @brief Bytes held.
  [[nodiscard]] std::size_t bytes() const noexcept {
    return Table.size() * sizeof(Hint);
  }

private:
  [[nodiscard]] std::size_t firstOf(std::uint64_t PrefixHash) const noexcept;

  std::uint32_t Sets;
  std::vector<Hint> Table;
};

} // namespace coltsfoottrail

#endif
