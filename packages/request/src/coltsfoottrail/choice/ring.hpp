/// @file
/// Consistent hashing from prefixes to endpoints, the same on all entry hosts.
#ifndef COLTSFOOTTRAIL_CHOICE_RING_HPP
#define COLTSFOOTTRAIL_CHOICE_RING_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/core/slotmap.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Hash ring: entry hosts that know the same endpoints map a prefix to
/// the same one without communication. Not thread-safe.
class HashRing {
public:
  /// @brief Empties the ring.
  void clear() noexcept { Points.clear(); }
  /// @brief Adds an endpoint; sort() must be called before visitFrom().
  void add(std::string_view Key, CandidateId Id);
  /// @brief Sorts the points.
  void sort();

  /// @brief Visits endpoints in ring order from a prefix's position. An
  /// endpoint may be visited more than once.
  /// @param PrefixHash The prefix.
  /// @param MaxPoints Largest number of visits.
  /// @param Visit Takes a CandidateId and returns whether to stop.
  template <class Function>
  void visitFrom(std::uint64_t PrefixHash, std::size_t MaxPoints,
                 Function Visit) const {
    std::size_t Position = firstPointFrom(PrefixHash);
    for (std::size_t Step = 0; Step < MaxPoints && Step < Points.size();
         ++Step) {
      if (Visit(Points[Position % Points.size()].Id))
        return;
      ++Position;
    }
  }

private:
  struct Point {
    std::uint64_t Position = 0;
    CandidateId Id;
  };

  [[nodiscard]] std::size_t firstPointFrom(std::uint64_t PrefixHash) const;

  std::vector<Point> Points;
};

} // namespace coltsfoottrail

#endif
