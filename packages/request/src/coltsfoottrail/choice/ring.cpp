#include "coltsfoottrail/choice/ring.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {
constexpr std::uint64_t PointsPerEndpoint = 8;
} // namespace

void HashRing::add(std::string_view Key, CandidateId Which) {
  for (std::uint64_t Index = 0; Index < PointsPerEndpoint; ++Index)
    Points.push_back(Point{hashText(Key, Index), Which});
}

void HashRing::sort() { std::ranges::sort(Points, {}, &Point::Place); }

std::size_t HashRing::firstAfter(std::uint64_t PrefixHash) const {
  const auto Found =
      std::ranges::lower_bound(Points, PrefixHash, {}, &Point::Place);
  return static_cast<std::size_t>(Found - Points.begin());
}

} // namespace coltsfoottrail
