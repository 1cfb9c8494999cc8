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

/// Immutable routes, shared between threads.
using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace coltsfoottrail

#endif
