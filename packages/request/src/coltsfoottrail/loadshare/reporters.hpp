/// @file
/// The last report of each host that reports to this one.
#ifndef COLTSFOOTTRAIL_LOADSHARE_REPORTERS_HPP
#define COLTSFOOTTRAIL_LOADSHARE_REPORTERS_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace coltsfoottrail {

/// @brief Which reporters a sum includes.
enum class ReporterScope : std::uint8_t {
  All,
  /// Those that report to this host as their relay, and this host.
  Relayed
};

/// @brief Keeps the last report of each reporter until it expires. Does no I/O
/// and reads no clock. Not thread-safe; times must not go back.
/// @tparam Content What is reported.
template <class Content> class ReporterTable {
public:
  /// @brief A reporter's last report.
  struct Entry {
    Content Reported;
    /// Number of hosts that the report represents.
    std::size_t HostCount = 1;
    TimePoint ReportedAt;
    ReporterScope Scope = ReporterScope::Relayed;
  };

  /// @param Life A report that is older is no longer counted.
  explicit ReporterTable(Duration Life) noexcept : Life(Life) {}

  /// @brief Replaces a reporter's report.
  void set(const HostName &Reporter, Entry Report) {
    Entries.insert_or_assign(Reporter, std::move(Report));
  }
  /// @brief The report of a reporter, expired or not; null if there is none.
  [[nodiscard]] const Entry *find(const HostName &Reporter) const {
    const auto Position = Entries.find(Reporter);
    return Position == Entries.end() ? nullptr : &Position->second;
  }
  /// @brief Removes a reporter.
  void erase(const HostName &Reporter) { Entries.erase(Reporter); }
  /// @brief Removes expired reports.
  /// @param OnErase Receives each of them.
  template <class Visitor> void eraseExpired(TimePoint Now, Visitor OnErase) {
    std::erase_if(Entries, [&](const auto &Item) {
      if (isCurrent(Item.second, Now))
        return false;
      OnErase(Item.second);
      return true;
    });
  }

  /// @brief All reports by reporter, expired ones among them.
  [[nodiscard]] const std::map<HostName, Entry> &all() const noexcept {
    return Entries;
  }
  /// @brief Whether a sum over a scope includes a report.
  [[nodiscard]] bool isIncluded(const Entry &Report, ReporterScope Included,
                                TimePoint Now) const noexcept {
    return isCurrent(Report, Now) && (Included == ReporterScope::All ||
                                      Report.Scope == ReporterScope::Relayed);
  }
  /// @brief Number of hosts that the current reports of a scope represent.
  [[nodiscard]] std::size_t hosts(TimePoint Now, ReporterScope Included) const {
    std::size_t Count = 0;
    for (const auto &[Reporter, Report] : Entries)
      if (isIncluded(Report, Included, Now))
        Count += Report.HostCount;
    return Count;
  }
  /// @brief Number of current reporters.
  [[nodiscard]] std::size_t reporters(TimePoint Now) const {
    return static_cast<std::size_t>(
        std::count_if(Entries.begin(), Entries.end(), [&](const auto &Item) {
          return isCurrent(Item.second, Now);
        }));
  }

private:
  [[nodiscard]] bool isCurrent(const Entry &Report,
                               TimePoint Now) const noexcept {
    return Now - Report.ReportedAt < Life;
  }

  Duration Life;
  std::map<HostName, Entry> Entries;
};

} // namespace coltsfoottrail

#endif
