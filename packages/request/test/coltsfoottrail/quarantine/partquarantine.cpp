#include "coltsfoottrail/quarantine/quarantine.hpp"

#include <gtest/gtest.h>
#include <string>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(1000)};
constexpr std::uint64_t Team = 1;
constexpr std::uint64_t OtherTeam = 2;
/// The first part of most prompts.
constexpr PromptPartId Common = 100;
constexpr PromptPartId Bad = 666;

using Parts = std::vector<PromptPartId>;

/// One host's view of its crashes.
class PartQuarantineTest : public testing::Test {
protected:
  PartQuarantineTest() { serve({Common}, 64); }

  /// Records requests that were run without a crash.
  void serve(const Parts &Shared, std::size_t Count = 1) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Subject.parts().recordSound(Shared, Now, Now);
    Subject.parts().review(Now);
  }
  /// Records the crash of a further endpoint with one request there.
  void crash(const Parts &Shared, std::uint64_t FromTeam = Team,
             std::uint64_t Fingerprint = 0) {
    const std::string Key = "e" + std::to_string(++Endpoints);
    const std::uint64_t Request =
        Fingerprint == 0 ? 1000 + Endpoints : Fingerprint;
    Subject.endpointLost(Key, DataCentreName("dc-0"), 1, std::span(&Request, 1),
                         Now);
    Subject.suspectParts(Key, {Request, FromTeam, Shared}, Now);
    Subject.parts().review(Now);
  }
  void pass(Duration Time) {
    Now += Time;
    Subject.parts().review(Now);
  }
  [[nodiscard]] bool isRefused(PromptPartId Part,
                               std::uint64_t FromTeam = Team) const {
    return Subject.parts()
        .refusedUntil(std::span(&Part, 1), FromTeam, Now)
        .has_value();
  }
  void passOnTo(Quarantine &Other) {
    for (const EndpointNotice &Notice : Subject.takeNotices(Now))
      Other.observe(Notice, Now);
    Other.parts().review(Now);
  }

  Quarantine Subject{QuarantineLimits{}};
  TimePoint Now = Start;
  std::size_t Endpoints = 0;
};

// Guards against requests that crash an endpoint each because no two are alike.
TEST_F(PartQuarantineTest, PartOfThreeCrashedRequestsIsRefused) {
  crash({Common, Bad});
  pass(seconds(1));
  serve({Common});
  crash({Common, Bad});
  pass(seconds(1));
  EXPECT_FALSE(isRefused(Bad));
  serve({Common});
  crash({Common, Bad});
  EXPECT_TRUE(isRefused(Bad));
  EXPECT_FALSE(isRefused(Common));
}

// Guards against refusing a part that most prompts have, which was at all
// crashes too.
TEST_F(PartQuarantineTest, FrequentPartIsNotRefusedBesideTheGuiltyOne) {
  for (int Index = 0; Index < 4; ++Index) {
    crash({Common, Bad});
    pass(milliseconds(50));
  }
  pass(milliseconds(500));
  EXPECT_FALSE(isRefused(Common));
  EXPECT_FALSE(isRefused(Bad)) << "they cannot be told apart yet";
  serve({Common});
  EXPECT_TRUE(isRefused(Bad));
  EXPECT_FALSE(isRefused(Common));
}

// Guards against crashes that lie far apart being forgotten.
TEST_F(PartQuarantineTest, CrashesMayLieFarApart) {
  for (int Index = 0; Index < 3; ++Index) {
    crash({Common, Bad});
    pass(seconds(10));
    serve({Common}, 40);
  }
  EXPECT_TRUE(isRefused(Bad));
}

// Guards against a part that is refused for long although it crashes nothing.
TEST_F(PartQuarantineTest, RunReleasesAPartOnAllHosts) {
  Quarantine Other{QuarantineLimits{}};
  for (int Index = 0; Index < 3; ++Index) {
    crash({Bad});
    pass(seconds(1));
  }
  passOnTo(Other);
  EXPECT_TRUE(isRefused(Bad));
  EXPECT_TRUE(Other.parts().refusedUntil(std::span(&Bad, 1), Team, Now));
  serve({Bad});
  pass(milliseconds(100));
  EXPECT_FALSE(isRefused(Bad));
  passOnTo(Other);
  EXPECT_FALSE(Other.parts().refusedUntil(std::span(&Bad, 1), Team, Now));
}

// Guards against counting runs that began before the part was suspected.
TEST_F(PartQuarantineTest, EarlierRunProvesNothing) {
  const TimePoint BegunAt = Now;
  pass(milliseconds(1));
  for (int Index = 0; Index < 3; ++Index) {
    crash({Bad});
    pass(seconds(1));
  }
  const Parts Shared{Bad};
  Subject.parts().recordSound(Shared, BegunAt, Now);
  pass(seconds(1));
  EXPECT_TRUE(isRefused(Bad));
}

// Guards against refusing what a request shares with others for the crashes of
// that request, which is refused by its fingerprint.
TEST_F(PartQuarantineTest, OneRequestDoesNotConvictItsParts) {
  for (int Index = 0; Index < 5; ++Index) {
    crash({Bad}, Team, 77);
    pass(seconds(1));
  }
  EXPECT_FALSE(isRefused(Bad));
}

// Guards against refusing frequent parts that an outage has hit.
TEST_F(PartQuarantineTest, FamiliarPartsOfAnOutageAreNotRefused) {
  for (int Index = 0; Index < 8; ++Index) {
    crash({Common});
    pass(milliseconds(200));
  }
  pass(seconds(30));
  EXPECT_FALSE(isRefused(Common));
}

// Guards against a second outage before anything was run.
TEST_F(PartQuarantineTest, FamiliarPartsOfTwoOutagesAreNotRefused) {
  for (int Outage = 0; Outage < 2; ++Outage) {
    for (int Index = 0; Index < 4; ++Index)
      crash({Common, PromptPartId(Index)});
    pass(seconds(5));
  }
  EXPECT_FALSE(isRefused(Common));
}

// Guards against an ordinary part that begins to crash endpoints.
TEST_F(PartQuarantineTest, FamiliarPartIsRefusedWhenOthersAreRunMeanwhile) {
  for (int Index = 0; Index < 8; ++Index) {
    crash({Common});
    pass(milliseconds(600));
    serve({7}, 10);
  }
  EXPECT_TRUE(isRefused(Common));
  EXPECT_FALSE(isRefused(7));
}

TEST_F(PartQuarantineTest, TwoGuiltyPartsAreBothRefused) {
  for (int Index = 0; Index < 3; ++Index) {
    crash({Common, Bad});
    crash({Common, 667});
    pass(seconds(1));
    serve({Common});
  }
  EXPECT_TRUE(isRefused(Bad));
  EXPECT_TRUE(isRefused(667));
  EXPECT_FALSE(isRefused(Common));
}

// Guards against a harmless part, at crashes by two causes, that is refused for
// good: the crashes are explained once the causes are known.
TEST_F(PartQuarantineTest, CrashesOfGuiltyPartsDoNotCountAgainstOthers) {
  constexpr PromptPartId Harmless = 50;
  for (const Parts &Shared :
       {Parts{Bad, Harmless}, Parts{Bad, Harmless}, Parts{667, Harmless},
        Parts{667}, Parts{667}, Parts{Bad}, Parts{Bad}, Parts{667}})
    crash(Shared);
  pass(seconds(1));
  EXPECT_TRUE(isRefused(Bad) && isRefused(667));
  EXPECT_FALSE(isRefused(Harmless));
}

// Guards against parts that only come together and are never told apart.
TEST_F(PartQuarantineTest, PartsThatComeTogetherOnlyAreRefusedAfterAWhile) {
  for (int Index = 0; Index < 3; ++Index) {
    crash({Bad, 50});
    pass(milliseconds(300));
  }
  EXPECT_FALSE(isRefused(Bad) || isRefused(50));
  pass(seconds(2));
  EXPECT_TRUE(isRefused(Bad) || isRefused(50));
}

// Guards against a team that has a part of another team's prompts refused, by
// naming it in requests that crash endpoints.
TEST_F(PartQuarantineTest, PartIsRefusedForTheTeamsOfItsCrashes) {
  for (int Index = 0; Index < 3; ++Index) {
    crash({Bad});
    pass(seconds(1));
  }
  EXPECT_TRUE(isRefused(Bad));
  EXPECT_FALSE(isRefused(Bad, OtherTeam));
  crash({Bad}, OtherTeam);
  EXPECT_TRUE(isRefused(Bad, OtherTeam));
  EXPECT_TRUE(isRefused(Bad, 3));
}

// Guards against a flood of parts that pushes out the refused one.
TEST_F(PartQuarantineTest, RefusedPartOutlivesAFloodOfParts) {
  for (int Index = 0; Index < 3; ++Index) {
    crash({Bad});
    pass(seconds(1));
  }
  PromptPartId Next = 10'000;
  for (int Index = 0; Index < 100; ++Index) {
    Parts Flood;
    for (std::size_t Count = 0; Count < 64; ++Count)
      Flood.push_back(Next++);
    crash(Flood);
    EXPECT_LE(Subject.parts().size(), PartLimits{}.MaxSuspects);
  }
  EXPECT_TRUE(isRefused(Bad));
}

// Guards against a refusal that never ends because nothing is sent that could
// end it, and against many requests that try the part at once.
TEST_F(PartQuarantineTest, OneRequestTriesThePartAfterAWhile) {
  for (int Index = 0; Index < 3; ++Index) {
    crash({Bad});
    pass(seconds(1));
  }
  pass(2 * PartLimits{}.RefusalTime);
  EXPECT_FALSE(isRefused(Bad));
  const Parts Shared{Bad};
  Subject.parts().recordSend(Shared, Team, Now);
  EXPECT_TRUE(isRefused(Bad)) << "while it is tried";
  pass(milliseconds(100));
  crash({Bad});
  pass(2 * PartLimits{}.RefusalTime);
  EXPECT_TRUE(isRefused(Bad)) << "for longer than the first time";
}

// Guards against hosts that refuse a part for which others have answers.
TEST_F(PartQuarantineTest, OtherHostsTellThatTheyKnowAPart) {
  Quarantine Other{QuarantineLimits{}};
  const Parts Shared{Bad};
  Other.parts().recordSound(Shared, Now, Now);
  pass(seconds(1));
  for (int Index = 0; Index < 3; ++Index)
    crash({Bad});
  passOnTo(Other);
  for (const EndpointNotice &Notice : Other.takeNotices(Now))
    Subject.observe(Notice, Now);
  pass(seconds(1));
  EXPECT_FALSE(isRefused(Bad));
}

// Guards against taking a part for a new one of which another host has told a
// run before the crash.
TEST_F(PartQuarantineTest, RunOfAnotherHostMakesAPartFamiliar) {
  Subject.observe(SoundNotice{{{Bad, seconds(1)}}}, Now);
  pass(seconds(10));
  for (int Index = 0; Index < 3; ++Index)
    crash({Bad});
  pass(seconds(1));
  EXPECT_FALSE(isRefused(Bad));
}

// Guards against a host that starts and lets further endpoints crash.
TEST_F(PartQuarantineTest, StartingHostDecidesByTheEvidenceOfTheOthers) {
  for (int Index = 0; Index < 3; ++Index) {
    crash({Common, Bad});
    pass(seconds(1));
    serve({Common});
  }
  Quarantine Started{QuarantineLimits{}};
  passOnTo(Started);
  EXPECT_TRUE(Started.parts().refusedUntil(std::span(&Bad, 1), Team, Now));
  EXPECT_FALSE(Started.parts().refusedUntil(std::span(&Common, 1), Team, Now));
}

// Guards against crashes that were none counting against parts.
TEST_F(PartQuarantineTest, DismissedCrashesDoNotCount) {
  for (int Index = 0; Index < 3; ++Index) {
    crash({Bad});
    Subject.endpointClosed("e" + std::to_string(Endpoints), Now);
    pass(seconds(1));
  }
  EXPECT_FALSE(isRefused(Bad));
  Subject.dismissOwnLosses(Start);
  EXPECT_FALSE(isRefused(Bad));
}

// Guards against requests that were beside the guilty ones and are refused for
// the same crashes.
TEST_F(PartQuarantineTest, NeighboursOfExplainedCrashesAreClear) {
  constexpr std::uint64_t Neighbour = 5;
  for (int Index = 0; Index < 3; ++Index) {
    crash({Bad});
    Subject.endpointLost("e" + std::to_string(Endpoints),
                         DataCentreName("dc-0"), 1, std::span(&Neighbour, 1),
                         Now);
    pass(seconds(1));
  }
  EXPECT_TRUE(isRefused(Bad));
  EXPECT_EQ(Subject.standing(Neighbour, Now), Standing::Clear);
}

// Guards against a part that is refused in one pool and crashes as many
// endpoints in the next.
TEST_F(PartQuarantineTest, OneCrashIsEnoughForAPartRefusedElsewhere) {
  Subject.parts().addRefusedElsewhere(Bad, Now);
  EXPECT_FALSE(isRefused(Bad));
  crash({Bad});
  EXPECT_TRUE(isRefused(Bad));
}

} // namespace
} // namespace coltsfoottrail
