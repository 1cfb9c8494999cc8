/// @file
/// The endpoints of one pool, indexed by whether they have a free slot.
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

/// @brief Owns the endpoints of one pool. The lists of those with a free slot
/// are updated in constant time for each change. Not thread-safe.
class CandidateTable {
public:
  /// @brief Makes an empty table.
  /// @param OwnDataCentre Data centre of this entry host.
  explicit CandidateTable(DataCentreName OwnDataCentre)
      : Self(std::move(OwnDataCentre)) {}

  /// @brief Applies a new version of the pool.
  /// @return Endpoints that were removed. Their share is zero; drop() must be
  /// called for each, again when its last request ends.
  std::vector<CandidateId> configure(const Pool &NewPool);

  /// @brief Erases a removed endpoint if this host has no request there.
  void drop(CandidateId Id);

  /// @brief Finds an endpoint; also one that was removed and not yet erased.
  [[nodiscard]] std::optional<CandidateId> find(std::string_view Key) const;
  /// @copydoc find
  /// @return Null if it was erased.
  [[nodiscard]] Candidate *find(CandidateId Id) noexcept {
    return Candidates.find(Id);
  }
  /// @copydoc find
  [[nodiscard]] const Candidate *find(CandidateId Id) const noexcept {
    return Candidates.find(Id);
  }

  /// @brief Updates lists and sums after a change of an endpoint.
  void relist(CandidateId Id);

  /// @brief Endpoints of the pool, ordered by key.
  [[nodiscard]] std::span<const CandidateId> all() const noexcept {
    return All;
  }
  /// @brief Endpoints of a list, in no particular order.
  [[nodiscard]] std::span<const CandidateId> listed(Listing List) const;
  /// @brief Sum of the shares of the endpoints that are not ejected, do not
  /// back off and do not leave.
  [[nodiscard]] std::uint64_t slots() const noexcept { return Slots; }
  /// @brief The part of slots() that is not used by this host's requests.
  [[nodiscard]] std::uint64_t freeSlots() const noexcept { return Free; }
  /// @brief Number of the endpoints with a share that slots() includes.
  [[nodiscard]] std::uint64_t usable() const noexcept { return Usable; }
  /// @brief Those of them in this data centre.
  [[nodiscard]] std::uint64_t usableNear() const noexcept { return UsableNear; }
  /// @brief Data centres seen so far; they are numbered from zero.
  [[nodiscard]] std::size_t dataCentres() const noexcept {
    return DataCentreNumbers.size();
  }

private:
  using Ids = std::vector<CandidateId>;

  [[nodiscard]] static Listing listingOf(const Candidate &Endpoint);
  [[nodiscard]] std::uint32_t dataCentre(const DataCentreName &Name);
  [[nodiscard]] Ids &list(Listing List);
  void add(const EndpointSpec &Spec);
  void count(Candidate &Endpoint);
  void unlist(Candidate &Endpoint);

  DataCentreName Self;
  SlotMap<Candidate, CandidateId> Candidates;
  std::unordered_map<std::string, CandidateId> ByKey;
  std::unordered_map<DataCentreName, std::uint32_t> DataCentreNumbers;
  Ids All;
  Ids Near;
  Ids Far;
  Ids Probes;
  std::uint64_t Slots = 0;
  std::uint64_t Free = 0;
  std::uint64_t Usable = 0;
  std::uint64_t UsableNear = 0;
};

} // namespace coltsfoottrail

#endif
