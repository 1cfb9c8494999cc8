/// @file
/// Encoding of records as CBOR, and of their parts as JSON.
#ifndef COLTSFOOTTRAIL_RECORD_CODEC_HPP
#define COLTSFOOTTRAIL_RECORD_CODEC_HPP

#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/record/record.hpp"

#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// Version of the record format that this build writes; records of a newer
/// version are refused by every reader.
inline constexpr std::uint64_t RecordFormatVersion = 1;
/// Maximum size of a record that is read or written.
inline constexpr std::size_t MaxRecordBytes = std::size_t{4} << 20U;

/// @brief Encodes a record. Thread-safe.
/// @param Source The record with its writer.
/// @return CBOR bytes.
/// @throws Error The record is larger than MaxRecordBytes.
[[nodiscard]] std::vector<std::byte> encodeRecord(const Envelope &Source);

/// @brief Decodes a record. Thread-safe.
/// @param Bytes CBOR bytes from the log; may be arbitrary bytes.
/// @return The record with its writer.
/// @throws InputError The record is damaged, oversized, of an unknown kind or
/// of a newer format version.
[[nodiscard]] Envelope decodeRecord(ByteView Bytes);

/// @brief Writes an intent as JSON, in the format of the operator API.
/// Thread-safe.
[[nodiscard]] Json writeIntent(const Intent &Request);
/// @brief Reads an intent.
/// @param Value An object with the member "kind".
/// @param Source Name of the input in errors.
/// @param Policy What to do with unknown keys.
/// @throws InputError The value is not a valid intent. Thread-safe.
[[nodiscard]] Intent readIntent(const Json &Value, std::string_view Source,
                                UnknownKeys Policy);

/// @brief Writes a plan as JSON. Thread-safe.
[[nodiscard]] Json writePlan(const Plan &Proposal);
/// @brief Reads a plan.
/// @throws InputError The value is not a valid plan. Thread-safe.
[[nodiscard]] Plan readPlan(const Json &Value, std::string_view Source,
                            UnknownKeys Policy);

/// @brief Writes a step as JSON. Thread-safe.
[[nodiscard]] Json writeStep(const Step &PlanStep);
/// @brief Reads a step.
/// @throws InputError The value is not a valid step. Thread-safe.
[[nodiscard]] Step readStep(const Json &Value, std::string_view Source,
                            UnknownKeys Policy);

/// @brief Writes a record's body as JSON. Thread-safe.
[[nodiscard]] Json writeRecord(const Record &Body);
/// @brief Reads a record's body; unknown keys are ignored.
/// @throws InputError The value is not a record of a known kind. Thread-safe.
[[nodiscard]] Record readRecord(const Json &Value, std::string_view Source);

} // namespace coltsfoottrail

#endif
