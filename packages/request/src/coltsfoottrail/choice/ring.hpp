/// @file
/// Consistent hashing from prefixes to endpoints, alike on all entry hosts.
#ifndef COLTSFOOTTRAIL_CHOICE_RING_HPP
#define COLTSFOOTTRAIL_CHOICE_RING_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/core/slotmap.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Ring of endpoints: entry hosts that know the same endpoints place a
/// prefix at the same one without talking to each other. Not thread-safe.
class HashRing {
public:
  /// @brief Empties the ring.
  void clear() noexcept { Points.clear(); }
  /// @brief Adds an endpoint; sort() must follow before at().
  void add(std::string_view Key, CandidateId Which);
  /// @brief Orders the points.
  void sort();

  /// @brief Endpoints from a prefix's place on, nearest first. An endpoint may
  /// come more than once.
  /// @param PrefixHash The prefix.
  /// @param Most How many.
  /// @param Visit Takes a CandidateId, returns whether to stop.
  template <class Function>
  void at(std::uint64_t PrefixHash, std::size_t Most, Function Visit) const {
    std::size_t Place = firstAfter(PrefixHash);
    for (std::size_t Step = 0; Step < Most && Step < Points.size(); ++Step) {
      if (Visit(Points[Place % Points.size()].Which))
        return;
      ++Place;
    }
  }

private:
  struct Point {
    std::uint64_t Place = 0;
    CandidateId Which;
  };

  [[nodiscard]] std::size_t firstAfter(std::uint64_t PrefixHash) const;

  std::vector<Point> Points;
};

} // namespace coltsfoottrail

#endif
