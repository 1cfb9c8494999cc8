/// @file
/// Forward declarations of the boundary module: interfaces that keep the names
/// and encodings of the platform out of the rest of the code.
#ifndef COLTSFOOTTRAIL_BOUNDARY_FWD_HPP
#define COLTSFOOTTRAIL_BOUNDARY_FWD_HPP

namespace coltsfoottrail {

class FleetStore;
class FleetEngines;
class HeaderCodec;
struct RequestMetadata;
struct ResponseMetadata;
struct ForwardMetadata;

} // namespace coltsfoottrail

#endif
