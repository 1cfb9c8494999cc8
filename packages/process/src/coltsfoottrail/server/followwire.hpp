/// @file
/// Messages on the agreed stream between entry hosts, as CBOR carries them.
#ifndef COLTSFOOTTRAIL_SERVER_FOLLOWWIRE_HPP
#define COLTSFOOTTRAIL_SERVER_FOLLOWWIRE_HPP

#include "coltsfoottrail/config/messages.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/platform/log.hpp"

#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Records of the stream, in order.
struct FollowRecords {
  std::vector<RecordPtr> Records;
};
/// Asks for records from an offset on.
struct FollowRequest {
  Offset From = 0;
};
/// Says that records from an offset on are not kept.
struct FollowUnavailable {
  Offset From = 0;
};

/// What entry hosts tell each other of the agreed stream.
using FollowMessage =
    std::variant<FollowRecords, FollowRequest, FollowUnavailable, FollowQuery,
                 FollowAnswer>;

/// @brief Writes a message. Thread-safe.
[[nodiscard]] Json writeFollowMessage(const FollowMessage &Message);
/// @brief Reads a message; unknown fields are passed over. Thread-safe.
/// @throws InputError It is not such a message.
[[nodiscard]] FollowMessage readFollowMessage(const Json &Value);

} // namespace coltsfoottrail

#endif
