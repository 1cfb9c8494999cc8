/// @file
/// Records as CBOR.
#ifndef COLTSFOOTTRAIL_RECORD_CODEC_HPP
#define COLTSFOOTTRAIL_RECORD_CODEC_HPP

#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/record/record.hpp"

#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// Version of the record form that this build writes; a record of a newer one
/// is refused by every reader alike.
inline constexpr std::uint64_t RecordFormatVersion = 1;
/// Largest record that is read or written.
inline constexpr std::size_t MaxRecordBytes = std::size_t{4} << 20U;

/// @brief Writes a record. Thread-safe.
/// @param Written The record with its writer.
/// @return CBOR bytes.
/// @throws Error It is larger than MaxRecordBytes.
[[nodiscard]] std::vector<std::byte> encodeRecord(const Envelope &Written);

/// @brief Reads a record. Thread-safe.
/// @param Bytes CBOR bytes from the log; anything may stand there.
/// @return The record with its writer.
/// @throws InputError Damaged, oversized, of an unknown kind or of a newer form
/// version.
[[nodiscard]] Envelope decodeRecord(ByteView Bytes);

/// @brief Writes an intent as JSON, the form that the operators' interface
/// takes. Thread-safe.
[[nodiscard]] Json writeIntent(const Intent &Asked);
/// @brief Reads an intent.
/// @param Value An object with the member "kind".
/// @param Source Named in errors.
/// @param Policy What to do with unknown keys.
/// @throws InputError It is not an intent. Thread-safe.
[[nodiscard]] Intent readIntent(const Json &Value, std::string_view Source,
                                UnknownKeys Policy);

/// @brief Writes a plan as JSON. Thread-safe.
[[nodiscard]] Json writePlan(const Plan &Proposal);
/// @brief Reads a plan.
/// @throws InputError It is not a plan. Thread-safe.
[[nodiscard]] Plan readPlan(const Json &Value, std::string_view Source,
                            UnknownKeys Policy);

/// @brief Writes a step as JSON. Thread-safe.
[[nodiscard]] Json writeStep(const Step &Planned);
/// @brief Reads a step.
/// @throws InputError It is not a step. Thread-safe.
[[nodiscard]] Step readStep(const Json &Value, std::string_view Source,
                            UnknownKeys Policy);

/// @brief Writes a record's body as JSON. Thread-safe.
[[nodiscard]] Json writeRecord(const Record &Written);
/// @brief Reads a record's body; unknown keys are ignored.
/// @throws InputError It is not a record of a known kind. Thread-safe.
[[nodiscard]] Record readRecord(const Json &Value, std::string_view Source);

} // namespace coltsfoottrail

#endif
