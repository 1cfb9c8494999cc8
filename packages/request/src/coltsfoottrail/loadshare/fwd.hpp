/// @file
/// Forward declarations of the loadshare module.
#ifndef COLTSFOOTTRAIL_LOADSHARE_FWD_HPP
#define COLTSFOOTTRAIL_LOADSHARE_FWD_HPP

namespace coltsfoottrail {

struct RequestLoad;
struct EndpointLoad;
class LoadAggregator;

} // namespace coltsfoottrail

#endif
