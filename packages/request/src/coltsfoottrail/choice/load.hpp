/// @file
/// Estimated load of an endpoint between its lagging reports.
#ifndef COLTSFOOTTRAIL_CHOICE_LOAD_HPP
#define COLTSFOOTTRAIL_CHOICE_LOAD_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/loadshare/loads.hpp"

#include <array>
#include <optional>

namespace coltsfoottrail {

/// @brief Requests at an endpoint: this entry host's own, which it knows, and
/// those of others, as last reported.
///
/// Failure guarded against: an endpoint that reported no load a second ago gets
/// every request until its next report. Own requests since the report are added
/// to it, and own ones that it already contains are not counted twice.
/// Not thread-safe.
class LoadModel {
public:
  /// @brief Notes that a request was sent.
  /// @param Late Whether it waits behind those that can still be on time.
  /// @param Tokens Tokens of its prompt.
  void sent(bool Late, TimePoint Now, std::uint32_t Tokens = 0) noexcept;
  /// @brief Notes that a request's answer has begun.
  /// @param Tokens What sent() was told.
  void begun(bool Late, std::uint32_t Tokens = 0) noexcept;
  /// @brief Notes that a request ended.
  /// @param Begun Whether begun() was told of it.
  /// @param Tokens What sent() was told.
  void ended(bool Late, bool Begun, TimePoint Now,
             std::uint32_t Tokens = 0) noexcept;

  /// @brief Takes what all other entry hosts have there, as they tell.
  void share(const RequestLoad &Of, TimePoint Now) noexcept;

  /// @brief Takes a report.
  /// @param Total Requests running and queued there.
  /// @param Age How long ago it was true.
  void report(std::uint32_t Total, Duration Age, TimePoint Now) noexcept;

  /// @brief Forgets the report, as after a restart.
  void forgetReport() noexcept { Others = 0; }

  /// @brief Estimated requests at the endpoint.
  [[nodiscard]] std::uint32_t load(TimePoint Now) const noexcept;
  /// @brief Requests that a request which can be on time finds before it: those
  /// that run, and the fresh ones that wait. Nothing when other hosts have not
  /// told theirs lately.
  [[nodiscard]] std::optional<std::uint32_t>
  aheadOfFresh(TimePoint Now) const noexcept;
  /// @brief Estimated prompt tokens at the endpoint that are not read yet.
  [[nodiscard]] std::uint32_t unreadTokens(TimePoint Now) const noexcept;
  /// @brief Own requests by how far they are.
  [[nodiscard]] RequestLoad ownLoad() const noexcept;
  /// @brief Own requests in progress.
  [[nodiscard]] std::uint32_t own() const noexcept { return Own; }
  /// @brief Own requests in progress at a past time, to the nearest step of the
  /// record.
  [[nodiscard]] std::uint32_t ownAt(TimePoint Then) const noexcept;

private:
  static constexpr std::int64_t Steps = 16;

  void roll(TimePoint Now) noexcept;

  [[nodiscard]] bool isShared(TimePoint Now) const noexcept;

  std::uint32_t Own = 0;
  /// Those of them whose answer has not begun.
  std::uint32_t OwnFresh = 0;
  std::uint32_t OwnLate = 0;
  /// Prompt tokens of both.
  std::uint32_t OwnUnread = 0;
  RequestLoad Shared;
  TimePoint SharedAt{};
  std::uint32_t Others = 0;
  TimePoint ReportedAt;
  std::int64_t LastStep = 0;
  /// Own requests at the end of each of the last steps.
  std::array<std::uint16_t, Steps> AtEnd{};
};

} // namespace coltsfoottrail

#endif
