/// @file
/// Estimated load of an endpoint between its load reports.
#ifndef COLTSFOOTTRAIL_CHOICE_LOAD_HPP
#define COLTSFOOTTRAIL_CHOICE_LOAD_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/loadshare/loads.hpp"

#include <array>
#include <optional>

namespace coltsfoottrail {

/// @brief Requests at an endpoint: this entry host's own, which are known
/// exactly, and those of other hosts, as last reported.
///
/// Failure guarded against: an endpoint that reported no load a second ago gets
/// every request until its next report. Own requests sent since the report are
/// added to it, and own requests that it already contains are not counted
/// twice. Not thread-safe.
class LoadModel {
public:
  /// @brief Records that a request was sent.
  /// @param Late Whether it queues behind those that can still be on time.
  /// @param Tokens Tokens of its prompt.
  void sent(bool Late, TimePoint Now, std::uint32_t Tokens = 0) noexcept;
  /// @brief Records that the response to a request has started.
  /// @param Tokens The value passed to sent().
  void responseStarted(bool Late, std::uint32_t Tokens = 0) noexcept;
  /// @brief Records that a request ended.
  /// @param ResponseStarted Whether responseStarted() was called for it.
  /// @param Tokens The value passed to sent().
  void ended(bool Late, bool ResponseStarted, TimePoint Now,
             std::uint32_t Tokens = 0) noexcept;

  /// @brief Sets the requests of all other entry hosts, as sent by them.
  void setOtherHostLoad(const RequestLoad &OtherHosts, TimePoint Now) noexcept;

  /// @brief Applies a load report of the endpoint.
  /// @param Total Requests running and queued there.
  /// @param Age Time since the report was made.
  void report(std::uint32_t Total, Duration Age, TimePoint Now) noexcept;

  /// @brief Discards the report, for example after a restart.
  void forgetReport() noexcept { ReportedByOthers = 0; }

  /// @brief Estimated requests at the endpoint.
  [[nodiscard]] std::uint32_t load(TimePoint Now) const noexcept;
  /// @brief Requests served before a new one that can still be on time: running
  /// ones and waiting ones that are not late. Nothing if there are no recent
  /// numbers from other hosts.
  [[nodiscard]] std::optional<std::uint32_t>
  aheadOfFresh(TimePoint Now) const noexcept;
  /// @brief Estimated prompt tokens at the endpoint whose prefill is not done.
  [[nodiscard]] std::uint32_t unreadTokens(TimePoint Now) const noexcept;
  /// @brief Own requests by progress: running, waiting, waiting late.
  [[nodiscard]] RequestLoad ownLoad() const noexcept;
  /// @brief Own requests in progress.
  [[nodiscard]] std::uint32_t own() const noexcept { return Own; }
  /// @brief Own requests in progress at a past time, with the resolution of the
  /// recorded steps.
  [[nodiscard]] std::uint32_t ownAt(TimePoint Time) const noexcept;

private:
  static constexpr std::int64_t Steps = 16;

  void roll(TimePoint Now) noexcept;

  [[nodiscard]] bool hasOtherHostLoad(TimePoint Now) const noexcept;

  std::uint32_t Own = 0;
  /// Own requests whose response has not started: those that can be on time,
  /// and late ones.
  std::uint32_t OwnFresh = 0;
  std::uint32_t OwnLate = 0;
  /// Prompt tokens of both kinds.
  std::uint32_t OwnUnread = 0;
  RequestLoad OtherHostLoad;
  TimePoint OtherHostLoadAt{};
  std::uint32_t ReportedByOthers = 0;
  TimePoint ReportedAt;
  std::int64_t LastStep = 0;
  /// Own requests at the end of each of the last steps.
  std::array<std::uint16_t, Steps> OwnAtStepEnd{};
};

} // namespace coltsfoottrail

#endif
