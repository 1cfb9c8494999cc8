/// @file
/// CBOR encoding of the messages that entry hosts exchange about the agreed
/// stream.
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
/// Requests the records from an offset on.
struct FollowRequest {
  Offset From = 0;
};
/// Reports that the sender no longer has the records from an offset on.
struct FollowUnavailable {
  Offset From = 0;
};

/// A message between entry hosts about the agreed stream.
using FollowMessage =
    std::variant<FollowRecords, FollowRequest, FollowUnavailable, FollowQuery,
                 FollowAnswer>;

/// @brief Encodes a message. Thread-safe.
[[nodiscard]] Json writeFollowMessage(const FollowMessage &Message);
/// @brief Decodes a message; unknown fields are ignored. Thread-safe.
/// @throws InputError The value is not a valid message.
[[nodiscard]] FollowMessage readFollowMessage(const Json &Value);

} // namespace coltsfoottrail

#endif
