/// @file
/// The numbered log events. docs/EVENTS.md is their catalogue.
#ifndef COLTSFOOTTRAIL_LOGGING_EVENT_HPP
#define COLTSFOOTTRAIL_LOGGING_EVENT_HPP

#include "coltsfoottrail/logging/fwd.hpp"
#include "coltsfoottrail/settings/settings.hpp"

#include <span>
#include <string_view>

namespace coltsfoottrail {

/// A numbered event. A number is never reused for another event. To add an
/// event, add an enumerator here, a row in event.cpp and a row in
/// docs/EVENTS.md.
enum class Event : std::uint16_t {
  Started = 1001,
  SettingsRefused = 1002,
  PortTaken = 1003,
  Unready = 1010,
  Ready = 1011,
  Stopping = 1020,
  Stopped = 1021,
  StreamCut = 1022,
  SecondStopSignal = 1023,
  LogUnreachable = 1101,
  LogBack = 1102,
  Joined = 1110,
  StateInForce = 1111,
  RecordVoid = 1112,
  CheckpointWritten = 1113,
  CheckpointRefused = 1114,
  Trimmed = 1115,
  Stale = 1120,
  FreshAgain = 1121,
  PeerConnected = 1201,
  PeerLost = 1202,
  PeerRefused = 1203,
  PeerRemoved = 1204,
  RelayAssigned = 1210,
  RelayLeft = 1211,
  RequestRefused = 1301,
  RequestQuarantined = 1302,
  ClaimUnavailable = 1303,
  CredentialRefused = 1304,
  KeyInUse = 1305,
  RequestTurnedAway = 1310,
  RequestPlaced = 1311,
  AttemptFailed = 1312,
  RequestDemoted = 1313,
  RequestEnded = 1314,
  CallerLeft = 1315,
  TrailsDropped = 1316,
  RetryEnded = 1317,
  CrashNoticed = 1318,
  CrashDismissed = 1319,
  SuspectCleared = 1320,
  RetryBudget = 1321,
  RequestForwarded = 1322,
  PartRefused = 1323,
  PartReleased = 1324,
  PartsCleared = 1325,
  ResponseUnbounded = 1326,
  SentUnwanted = 1327,
  SendWithheld = 1328,
  RequestCut = 1329,
  MoveBegan = 1330,
  MoveAbandoned = 1331,
  EndpointLost = 1401,
  EndpointBack = 1402,
  EndpointCold = 1403,
  EndpointSilent = 1404,
  EndpointChanged = 1405,
  EndpointUnusable = 1406,
  EndpointUnreachable = 1407,
  EndpointReached = 1408,
  GroupBroken = 1410,
  GroupConfirmed = 1411,
  RateLimitNamed = 1412,
  RateLimitEnded = 1413,
  RateLimitInvalid = 1414,
  RateLimitUse = 1415,
  BackoffBegan = 1416,
  BackoffEnded = 1417,
  EndpointLeaving = 1418,
  BackoffInvalid = 1419,
  CutOff = 1420,
  CutOffEnded = 1421,
  PlanTaken = 1501,
  PlanFinished = 1502,
  PlanAbandoned = 1503,
  PlanStep = 1504,
  OrderRefused = 1510,
  DutyGained = 1520,
  DutyLost = 1521,
  SeatOrdered = 1522,
  GroupChanged = 1523,
  MembersAsked = 1524,
  DomainState = 1525,
  MissingAsked = 1526,
  PlanFailed = 1527,
  ConfigInForce = 1530,
  StoreLost = 1531,
  StoreRegained = 1532,
  Drained = 1533,
  Reloaded = 1534,
  EntryUnreadable = 1535,
  ConfigStale = 1536,
  ConfigFresh = 1537,
  Division = 1540,
  SpansDropped = 1601,
  InternalError = 1901,
  TaskFailed = 1902,
};

/// @brief Catalogue entry of an event.
struct EventInfo {
  Event Number;
  LogLevel Level;
  /// Name in the log: words in lower case, joined by hyphens.
  std::string_view Name;
  /// One sentence for operators.
  std::string_view Text;
};

/// @brief The catalogue, ordered by event number. Thread-safe.
[[nodiscard]] std::span<const EventInfo> allEvents() noexcept;

/// @brief Finds an event in the catalogue. Thread-safe.
/// @param Kind One of the enumerators.
/// @return Its entry.
[[nodiscard]] const EventInfo &eventInfo(Event Kind) noexcept;

} // namespace coltsfoottrail

#endif
