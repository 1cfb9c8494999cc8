/// @file
/// What an entry host knows of the engines that it deals with.
#ifndef COLTSFOOTTRAIL_GROUPS_ENGINEBOOK_HPP
#define COLTSFOOTTRAIL_GROUPS_ENGINEBOOK_HPP

#include "coltsfoottrail/groups/command.hpp"
#include "coltsfoottrail/groups/pacer.hpp"
#include "coltsfoottrail/groups/times.hpp"

#include <map>
#include <optional>

namespace coltsfoottrail {

/// @brief What is known of one engine.
struct EngineView {
  /// Its last report; none since an order was given, so that no decision rests
  /// on a report from before the order.
  std::optional<EngineReport> Last;
  /// When the question left that Last answers.
  TimePoint AskedAt;
  TimePoint NextAsk;
  TimePoint NextOrder;
  /// Since when it has not answered.
  std::optional<TimePoint> SilentSince;
  std::optional<CommandId> Asking;
  std::optional<CommandId> Ordering;
  TimePoint AskingSince;
  std::optional<OrderResult> LastResult;
  TimePoint LastUse;
};

/// @brief Asks engines and gives them orders, one of each at a time for one
/// engine. A lost answer is resolved by asking. Not thread-safe.
class EngineTracker {
public:
  /// @brief Starts with nothing known.
  /// @param Given Times of the deployment.
  /// @param Tickets Where tickets are drawn; must outlive the book.
  EngineTracker(const GroupTimes &Given, AppendPacer &Tickets)
      : Times(Given), Draw(Tickets) {}

  /// @brief Asks an engine when the time has come.
  /// @param Whom The host of the engine.
  /// @param Now The time.
  /// @param Out Where the command goes.
  void ask(const HostSpec &Whom, TimePoint Now, GroupCommands &Out);

  /// @brief Gives an order unless one is under way or was given a short while
  /// ago.
  /// @param To The host of the engine.
  /// @param Order The order.
  /// @param NotAfter When the lease ends that it is given under.
  /// @param Now The time.
  /// @param Out Where the command goes.
  void order(const HostSpec &To, EngineOrder Order, TimePoint NotAfter,
             TimePoint Now, GroupCommands &Out);

  /// @brief Takes a report, or its absence.
  void recordReport(CommandId Which, std::optional<EngineReport> Report,
                    TimePoint Now);
  /// @brief Takes an order's outcome.
  void recordOrder(CommandId Which, OrderResult Result, TimePoint Now);

  /// @brief Finds a report that was asked for at or after a time.
  /// @return Null when there is none; valid until the next call.
  [[nodiscard]] const EngineReport *reportSince(const HostName &Of,
                                                TimePoint Since) const;

  /// @brief Finds what is known of an engine; null when nothing is.
  [[nodiscard]] const EngineView *find(const HostName &Of) const;

  /// @brief Tells whether the last order was refused for its fence, and forgets
  /// it.
  [[nodiscard]] bool takeRefusedFence(const HostName &Of);

  /// @brief Tells for how long an engine has not answered.
  [[nodiscard]] Duration silentFor(const HostName &Of, TimePoint Now) const;

  /// @brief Tells whether engines were asked and none has answered for a while,
  /// which says more of this host than of them.
  [[nodiscard]] bool seemsCutOff(TimePoint Now) const;

  /// @brief Tells that an engine answered to somebody else on this host.
  void recordOtherAnswer(TimePoint Now) { LastAnswer = Now; }

  /// @brief Forgets engines that nothing has been asked of for a while.
  void forgetIdle(TimePoint Now);

private:
  GroupTimes Times;
  AppendPacer &Draw;
  std::optional<TimePoint> LastAnswer;
  std::map<HostName, EngineView> Known;
  std::map<CommandId, HostName> Asked;
  std::map<CommandId, HostName> Ordered;
};

} // namespace coltsfoottrail

#endif
