/// @file
/// What callers, engines, the service and entry hosts did in one cell of the
/// fault matrix.
#ifndef COLTSFOOTTRAIL_TEST_FAULTS_HISTORY_HPP
#define COLTSFOOTTRAIL_TEST_FAULTS_HISTORY_HPP

#include "coltsfoottrail/core/fwd.hpp"
#include "coltsfoottrail/record/intent.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace coltsfoottrail::testing {

enum class CallKind : std::uint8_t { Order, Draft };

/// What a caller was left with. Unreachable: it found no open port, so that
/// nothing can have run. Cut: an answer that is not whole, or none.
enum class CallEnd : std::uint8_t {
  Answered,
  NotRun,
  MayHaveRun,
  Cut,
  Unreachable
};

/// A caller's request came to its end.
struct CallEnded {
  CallKind Kind = CallKind::Order;
  HostName Through;
  /// Text of the order or prompt; no two requests share one but by a retry.
  std::string Body;
  /// Empty when the request had none.
  std::string Key;
  CallEnd End = CallEnd::Answered;
  std::string Reason;
  /// What the caller got, and what it should get when it is answered.
  std::string Got;
  std::string Expected;
};

/// How often the service ran an order, counted at the end.
struct OrderRuns {
  std::string Body;
  std::uint64_t Runs = 0;
};

/// The most requests that an engine had at once, and what it was to get.
struct EnginePeak {
  std::string Engine;
  std::uint32_t Most = 0;
  std::uint32_t Bound = 0;
};

/// A drain is in force on all hosts; requests that the engine had begun then.
struct DrainInForce {
  std::string Engine;
  std::uint64_t Started = 0;
};

/// The same engine at the end, with the drain still in force.
struct DrainObserved {
  std::string Engine;
  std::uint64_t Started = 0;
};

/// A planned stop has ended.
struct PlannedStop {
  HostName Host;
  std::uint64_t Cut = 0;
};

/// A state that a host was seen to have.
struct StateSeen {
  HostName Host;
  Offset Next = 0;
};

/// The digest of a host's state at an offset.
struct DigestSeen {
  HostName Host;
  Offset Next = 0;
  std::uint64_t Digest = 0;
};

/// The groups of one state and their members' hosts.
struct GroupsSeen {
  Offset Next = 0;
  std::map<GroupId, std::vector<HostName>> Members;
};

using HistoryEvent =
    std::variant<CallEnded, OrderRuns, EnginePeak, DrainInForce, DrainObserved,
                 PlannedStop, StateSeen, DigestSeen, GroupsSeen>;
using Events = std::vector<HistoryEvent>;

/// @brief Collects events in the order in which they are told. Thread-safe.
class History {
public:
  void record(HistoryEvent What);
  [[nodiscard]] Events events() const;

private:
  mutable std::mutex Lock;
  Events Recorded;
};

/// @brief The events of one type, in their order.
template <class Event>
[[nodiscard]] std::vector<Event> eventsOf(const Events &All) {
  std::vector<Event> Out;
  for (const HistoryEvent &Each : All)
    if (const auto *const Found = std::get_if<Event>(&Each))
      Out.push_back(*Found);
  return Out;
}

} // namespace coltsfoottrail::testing

#endif
