/// @file
/// The endpoints of one pool, indexed by whether they have room.
#ifndef COLTSFOOTTRAIL_CHOICE_CANDIDATES_HPP
#define COLTSFOOTTRAIL_CHOICE_CANDIDATES_HPP

#include "coltsfoottrail/choice/candidate.hpp"
#include "coltsfoottrail/core/slotmap.hpp"

#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfoottrail {

/// @brief Owns the endpoints of one pool. Lists of those with room are kept up
/// to date in constant time for each change. Not thread-safe.
class CandidateTable {
public:
  /// @brief Makes an empty table.
  /// @param Own Data centre of this entry host.
  explicit CandidateTable(DataCentreName Own) : Self(std::move(Own)) {}

  /// @brief Takes over another version of the pool.
  /// @return Endpoints that have left and whose own requests go on; their share
  /// is zero, and they must be dropped when the last one ends.
  std::vector<CandidateId> configure(const Pool &Wanted);

  /// @brief Forgets an endpoint that has left if no own request is there.
  void drop(CandidateId Which);

  /// @brief Finds an endpoint, one that is leaving included.
  [[nodiscard]] std::optional<CandidateId> find(std::string_view Key) const;
  /// @copydoc find
  /// @return Null when it was forgotten.
  [[nodiscard]] Candidate *find(CandidateId Which) noexcept {
    return Known.find(Which);
  }
  /// @copydoc find
  [[nodiscard]] const Candidate *find(CandidateId Which) const noexcept {
    return Known.find(Which);
  }

  /// @brief Brings lists and sums up to date after a change of an endpoint.
  void relist(CandidateId Which);

  /// @brief Endpoints of the pool, ordered by key.
  [[nodiscard]] std::span<const CandidateId> all() const noexcept {
    return All;
  }
  /// @brief Endpoints of a list, in no order.
  [[nodiscard]] std::span<const CandidateId> listed(Listing Where) const;
  /// @brief Shares of the endpoints that are not ejected, summed up.
  [[nodiscard]] std::uint64_t slots() const noexcept { return Slots; }
  /// @brief Those of slots() that no own request takes.
  [[nodiscard]] std::uint64_t freeSlots() const noexcept { return Free; }
  /// @brief Endpoints with a share that are not ejected.
  [[nodiscard]] std::uint64_t usable() const noexcept { return Usable; }
  /// @brief Data centres seen so far; they are numbered from zero.
  [[nodiscard]] std::size_t dataCentres() const noexcept {
    return DataCentreNumbers.size();
  }

private:
  using Ids = std::vector<CandidateId>;

  [[nodiscard]] static Listing listingOf(const Candidate &Endpoint);
  [[nodiscard]] std::uint32_t dataCentre(const DataCentreName &Name);
  [[nodiscard]] Ids &list(Listing Where);
  void add(const EndpointSpec &Spec);
  void count(Candidate &Endpoint);
  void unlist(Candidate &Endpoint);

  DataCentreName Self;
  SlotMap<Candidate, CandidateId> Known;
  std::unordered_map<std::string, CandidateId> ByKey;
  std::unordered_map<DataCentreName, std::uint32_t> DataCentreNumbers;
  Ids All;
  Ids Near;
  Ids Far;
  Ids Probes;
  std::uint64_t Slots = 0;
  std::uint64_t Free = 0;
  std::uint64_t Usable = 0;
};

} // namespace coltsfoottrail

#endif
