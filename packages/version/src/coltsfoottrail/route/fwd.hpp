/// @file
/// Forward declarations and aliases of the route module.
#ifndef COLTSFOOTTRAIL_ROUTE_FWD_HPP
#define COLTSFOOTTRAIL_ROUTE_FWD_HPP

#include <memory>

namespace coltsfoottrail {

struct EndpointSpec;
struct Target;
struct Pool;
struct RouteTable;

/// Routes that are shared between threads and never change.
using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace coltsfoottrail

#endif
