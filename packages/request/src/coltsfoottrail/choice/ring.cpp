#include "coltsfoottrail/choice/ring.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {
constexpr std::uint64_t PointsPerEndpoint = 8;
} // namespace

void HashRing::add(std::string_view Key, CandidateId Id) {
  for (std::uint64_t Index = 0; Index < PointsPerEndpoint; ++Index)
    Points.push_back(Point{hashText(Key, Index), Id});
}

void HashRing::sort() { std::ranges::sort(Points, {}, &Point::Position); }

std::size_t HashRing::firstPointFrom(std::uint64_t PrefixHash) const {
  const auto Found =
      std::ranges::lower_bound(Points, PrefixHash, {}, &Point::Position);
  return static_cast<std::size_t>(Found - Points.begin());
}

} // namespace coltsfoottrail
