/// @file
/// Forward declarations of the loadshare module.
#ifndef COLTSFOOTTRAIL_LOADSHARE_FWD_HPP
#define COLTSFOOTTRAIL_LOADSHARE_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

enum class ReporterScope : std::uint8_t;
template <class Content> class ReporterTable;
struct RequestLoad;
struct EndpointLoad;
class LoadAggregator;

} // namespace coltsfoottrail

#endif
