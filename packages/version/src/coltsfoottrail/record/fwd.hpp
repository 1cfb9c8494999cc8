/// @file
/// Forward declarations of the record module.
#ifndef COLTSFOOTTRAIL_RECORD_FWD_HPP
#define COLTSFOOTTRAIL_RECORD_FWD_HPP

#include "coltsfoottrail/core/fwd.hpp"

namespace coltsfoottrail {

struct GroupId;
struct Envelope;
struct WriterId;

} // namespace coltsfoottrail

#endif
