/// @file
/// Events recorded at callers, engines, the service and entry hosts in one cell
/// of the fault matrix.
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

/// Outcome of a call. Unreachable: no port was open, so nothing can have run.
/// Cut: the response is incomplete or missing.
enum class CallOutcome : std::uint8_t {
  Answered,
  NotRun,
  MayHaveRun,
  Cut,
  Unreachable
};

/// A caller's request has ended.
struct CallRecord {
  CallKind Kind = CallKind::Order;
  HostName EntryHostName;
  /// Text of the order or prompt; only retries of a request share it.
  std::string Body;
  /// Idempotency key; empty if the request had none.
  std::string Key;
  CallOutcome End = CallOutcome::Answered;
  std::string Reason;
  /// The response text that the caller got, and the text expected if it is
  /// answered.
  std::string Actual;
  std::string Expected;
};

/// How often the service ran an order, counted at the end of the test.
struct OrderRuns {
  std::string Body;
  std::uint64_t Runs = 0;
};

/// The highest number of concurrent requests at an engine, and its bound.
struct EnginePeak {
  std::string Engine;
  std::uint32_t PeakRequests = 0;
  std::uint32_t Bound = 0;
};

/// A drain is in force on all hosts; Started counts the requests that the
/// engine had begun by then.
struct DrainInForce {
  std::string Engine;
  std::uint64_t Started = 0;
};

/// The count for the same engine at the end, with the drain still in force.
struct DrainObserved {
  std::string Engine;
  std::uint64_t Started = 0;
};

/// A planned stop has ended; Cut counts the requests that it cut.
struct PlannedStop {
  HostName Host;
  std::uint64_t Cut = 0;
};

/// Next offset of a state observed at a host.
struct StateObserved {
  HostName Host;
  Offset Next = 0;
};

/// The digest of a host's state at an offset.
struct DigestObserved {
  HostName Host;
  Offset Next = 0;
  std::uint64_t Digest = 0;
};

/// The groups of one state and their member hosts.
struct GroupsObserved {
  Offset Next = 0;
  std::map<GroupId, std::vector<HostName>> Members;
};

using HistoryEvent =
    std::variant<CallRecord, OrderRuns, EnginePeak, DrainInForce, DrainObserved,
                 PlannedStop, StateObserved, DigestObserved, GroupsObserved>;
using Events = std::vector<HistoryEvent>;

/// @brief Collects events in the order in which they are recorded. Thread-safe.
class History {
public:
  void record(HistoryEvent NewEvent);
  [[nodiscard]] Events events() const;

private:
  mutable std::mutex Lock;
  Events Recorded;
};

/// @brief The events of one type, in their order.
template <class Event>
[[nodiscard]] std::vector<Event> eventsOf(const Events &All) {
  std::vector<Event> Out;
  for (const HistoryEvent &Entry : All)
    if (const auto *const Found = std::get_if<Event>(&Entry))
      Out.push_back(*Found);
  return Out;
}

} // namespace coltsfoottrail::testing

#endif
