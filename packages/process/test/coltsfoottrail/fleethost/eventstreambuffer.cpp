#include "coltsfoottrail/fleethost/eventstreambuffer.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

TEST(EventStreamBuffer, ReleasesCompleteEventsOnly) {
  EventStreamBuffer Buffer;
  EXPECT_EQ(Buffer.append("id: 1\nda"), "");
  EXPECT_FALSE(Buffer.hasReleased());
  EXPECT_EQ(Buffer.append("ta: x\n\nid: 2\n"), "id: 1\ndata: x\n\n");
  EXPECT_EQ(Buffer.lastId(), "1");
  EXPECT_FALSE(Buffer.endsOnBoundary());
  EXPECT_EQ(Buffer.append("data: y\n\n"), "id: 2\ndata: y\n\n");
  EXPECT_EQ(Buffer.lastId(), "2");
  EXPECT_TRUE(Buffer.endsOnBoundary());
}

// Guards against a resumed stream with an incomplete event in its middle: the
// first endpoint broke off inside an event, and what it left must be dropped.
TEST(EventStreamBuffer, IncompleteEventIsDroppedBeforeAnotherEndpointResumes) {
  EventStreamBuffer Buffer;
  (void)Buffer.append("id: 1\ndata: x\n\nid: 2\nda");
  Buffer.dropPartial();
  EXPECT_EQ(Buffer.append("id: 2\ndata: y\n\n"), "id: 2\ndata: y\n\n");
}

TEST(EventStreamBuffer, UnderstandsCrLfLineEnds) {
  EventStreamBuffer Buffer;
  EXPECT_EQ(Buffer.append("id:7\r\ndata: x\r\n\r\n"),
            "id:7\r\ndata: x\r\n\r\n");
  EXPECT_EQ(Buffer.lastId(), "7");
}

} // namespace

} // namespace coltsfoottrail
