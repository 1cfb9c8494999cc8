/// @file
/// Forward declarations of the boundary module: the interfaces behind which the
/// platform's own names and encodings stay.
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
