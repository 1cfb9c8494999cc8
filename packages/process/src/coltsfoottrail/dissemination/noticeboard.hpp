/// @file
/// Notices about requests that crash endpoints, on their way through the
/// dissemination tree.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_NOTICEBOARD_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_NOTICEBOARD_HPP

#include "coltsfoottrail/dissemination/noticewire.hpp"
#include "coltsfoottrail/ratelimit/limiter.hpp"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief A notice as hosts pass it on.
struct RelayedNotice {
  /// Run of the host that the notice arose at, and its number there.
  HostName Origin;
  std::uint64_t Number = 0;
  /// Time since the notice arose, when it was sent. The ages in it are brought
  /// up to date as well.
  Duration Age{};
  PoolNotice Content;
};

/// @brief How far a host has read another host's board.
struct NoticeCursor {
  /// Run of the host whose board it is; empty if none was read.
  HostName Board;
  std::uint64_t Next = 0;
};

/// @brief Some notices of a board, and where reading continues.
struct NoticePage {
  std::vector<RelayedNotice> Notices;
  std::uint64_t Next = 0;
};

/// @brief The notices that a host has made or received, in order of arrival. A
/// notice is kept once, by whatever way it comes. Pure; not thread-safe; times
/// must not go back.
class NoticeBoard {
public:
  /// Notices in one message, at most.
  static constexpr std::size_t MaxPageNotices = 32;
  /// Fingerprints in one notice, at most; longer ones are split.
  static constexpr std::size_t MaxFingerprints = 64;
  /// Parts of prompts in one notice, unless one request has more.
  static constexpr std::size_t MaxParts = 64;
  /// Notices kept, at most, and those about rate limits, which leave each
  /// other's places only.
  static constexpr std::size_t MaxNotices = 512;
  static constexpr std::size_t MaxRateNotices = 256;
  /// Parts whose runs are remembered, at most.
  static constexpr std::size_t MaxKnownRuns = 4096;
  /// How long a notice is passed on to hosts that do not have it, such as one
  /// that has just started.
  static constexpr Duration NoticeLife = seconds(600);
  /// The same for one about rate limits.
  static constexpr Duration RateNoticeLife = EndpointRateLimiter::UnheardLife;

  /// @brief Creates an empty board.
  /// @param HostRun Name of this host's run.
  explicit NoticeBoard(HostName HostRun) : Self(std::move(HostRun)) {}

  /// @brief Adds a notice of this host.
  void addOwn(std::string_view PoolName, const EndpointNotice &Notice,
              TimePoint Now);
  /// @brief Adds notices from another host.
  /// @param From Run of the host that sent them.
  /// @return Those that are new to this host.
  std::vector<PoolNotice> add(std::span<const RelayedNotice> Received,
                              const HostName &From, TimePoint Now);

  /// @brief Whether there is a notice for a host that has read up to a
  /// position.
  [[nodiscard]] bool hasSince(std::uint64_t Next, const HostName &Reader) const;
  /// @brief The next notices for a host, without those that it sent itself.
  /// @param Next Where the host continues to read.
  /// @param Reader Run of that host.
  [[nodiscard]] NoticePage since(std::uint64_t Next, const HostName &Reader,
                                 TimePoint Now) const;

  /// @brief Number of notices on the board.
  [[nodiscard]] std::size_t size() const noexcept { return Entries.size(); }

private:
  using NoticeId = std::pair<HostName, std::uint64_t>;

  struct Entry {
    std::uint64_t Position = 0;
    RelayedNotice Notice;
    TimePoint AroseAt;
    TimePoint InsertedAt;
    HostName From;
  };

  /// Removes from a notice the parts whose runs the hosts have been told of.
  void removeKnownRuns(SoundNotice &Sound, const std::string &PoolName,
                       TimePoint Now);
  [[nodiscard]] bool hasCrashBetween(const std::string &PoolName,
                                     TimePoint From, TimePoint To) const;
  [[nodiscard]] bool isKnownToLeave(const std::string &Process) const;
  bool insert(RelayedNotice Notice, HostName From, TimePoint Now);
  bool insertRates(RelayedNotice Notice, HostName From, TimePoint Now);
  void removeSuperseded(const RateObservation &Newer);
  void append(RelayedNotice Notice, HostName From, TimePoint Now);
  void removeExcess(TimePoint Now);
  [[nodiscard]] std::size_t indexOf(std::uint64_t Position) const noexcept;

  HostName Self;
  std::uint64_t NextNumber = 0;
  /// Position of the next entry.
  std::uint64_t NextPosition = 0;
  /// By position.
  std::deque<Entry> Entries;
  /// By pool and part, when the latest run began that is on the board.
  std::map<std::pair<std::string, PromptPartId>, TimePoint> KnownRuns;
  /// Ids of recent notices, those that left the board included, so that they
  /// are not added again.
  std::set<NoticeId> Known;
  std::deque<NoticeId> KnownOrder;
};

} // namespace coltsfoottrail

#endif
