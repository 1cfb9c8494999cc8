/// @file
/// Forward declarations of the dissemination module: entry hosts share feeds
/// and loads over a tree of relays.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_FWD_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_FWD_HPP

namespace coltsfoottrail {

struct Report;
struct Response;
struct FeedUpdate;
struct RelayedRecord;
class FeedLog;
class RelayAssignment;
class TreeNode;
class TreeLink;

} // namespace coltsfoottrail

#endif
