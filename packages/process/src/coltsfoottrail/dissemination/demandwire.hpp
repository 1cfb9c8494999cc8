/// @file
/// CBOR encoding of the demand that entry hosts report.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_DEMANDWIRE_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_DEMANDWIRE_HPP

#include "coltsfoottrail/demand/rates.hpp"
#include "coltsfoottrail/json/fwd.hpp"

#include <string_view>

namespace coltsfoottrail {

/// @brief Encodes demand as a list of the number of hosts, the age in
/// milliseconds, and a list for each row: pool, data centre, rank and the rates
/// in thousandths, in the order of their declaration. Thread-safe.
[[nodiscard]] Json writeDemand(const DemandSum &Demand);
/// @brief Decodes demand. Thread-safe.
/// @param Value The encoded demand.
/// @param Source Name of the message for errors.
/// @throws InputError The value is not valid demand.
[[nodiscard]] DemandSum readDemand(const Json &Value, std::string_view Source);

} // namespace coltsfoottrail

#endif
