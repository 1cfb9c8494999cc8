#include "coltsfoottrail/record/codec.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/json/cbor.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/support.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::dataCentre;
using test::host;
using test::model;

std::vector<Record> recordsOfEachKind() {
  const Declaration Declared = test::makeDeclaration();
  const GroupId Group{12, 3};
  Plan FullPlan;
  FullPlan.RequestedIntent = ApplyDeclaration{Declared};
  FullPlan.PlannedAt = 9;
  FullPlan.Steps = {
      StopGroup{Group}, SwapAdapters{Group, {AdapterName("polish")}},
      test::formStep(Declared, 4, model(0), {host(0, 0, 0), host(0, 0, 1)})};
  FullPlan.Forecast = {CapacityForecast{model(0), 1, 2, 3, 4}};
  FullPlan.WillNotDo = {"nothing in dc2"};
  std::vector<Record> Result{
      EntryHostJoined{HostName("a"), ~Incarnation{0}, dataCentre(0), "::1", 1,
                      65535},
      EntryHostLeft{HostName("a"), 5},
      PlanProposed{FullPlan, "Jadwiga"},
      PlanConfirmed{7, ""},
      PlanAbandoned{7, "why"},
      ExecutorTaken{7, HostName("a"), 5, 2},
      StepFinished{7, 8, 1},
      GroupConfirmed{Group, 8, {1, ~Incarnation{0}}},
      GroupBroken{Group, host(0, 0, 0), ""},
      HostReleased{host(0, 0, 0), Group},
      CheckpointPart{9, 1, 2, ~std::uint64_t{0}, {0, 255, 7}}};
  const std::vector<Intent> Intents{
      SetCapacity{model(0), dataCentre(1), 0},
      SetVersion{model(0), VersionName("v2")},
      SetAdapters{model(0), {}},
      DrainDataCentre{dataCentre(1)},
      ReturnDataCentre{dataCentre(1)},
      DrainHost{host(0, 0, 0)},
      ReturnHost{host(0, 0, 0)},
      ApplyDeclaration{Declared,
                       DroppedNames{{TeamName("t")}, {host(9, 9, 9)}, {}, {}}}};
  for (const Intent &Request : Intents)
    Result.emplace_back(PlanProposed{Plan{Request, 0, {}, {}, {}}, "o"});
  return Result;
}

TEST(RecordCodec, EachKindRoundTrips) {
  for (const Record &Body : recordsOfEachKind()) {
    const Envelope Written{WriterId{3, 4}, Body};
    EXPECT_EQ(decodeRecord(encodeRecord(Written)), Written) << Body.index();
  }
}

TEST(RecordCodec, NewerFormsAndUnknownKindsAreRefusedUnknownFieldsIgnored) {
  Json Value = Json::from_cbor(
      encodeRecord(Envelope{WriterId{3, 4}, EntryHostLeft{HostName("a"), 5}}));
  Value["added"] = 1;
  Value["record"]["added_too"] = Json::array({1, 2});
  EXPECT_NO_THROW(static_cast<void>(decodeRecord(writeCbor(Value))));
  Json Newer = Value;
  Newer["form"] = RecordFormatVersion + 1;
  EXPECT_THROW(static_cast<void>(decodeRecord(writeCbor(Newer))), InputError);
  Json Unknown = Value;
  Unknown["record"]["kind"] = "entry_host_danced";
  EXPECT_THROW(static_cast<void>(decodeRecord(writeCbor(Unknown))), InputError);
}

// A record is truncated or some of its bits flip. Every reader must refuse it,
// and none may crash.
TEST(RecordCodec, CutAndFlippedRecordsNeverCrash) {
  Random Rng(7);
  for (const Record &Body : recordsOfEachKind()) {
    const auto Whole = encodeRecord(Envelope{WriterId{3, 4}, Body});
    for (int Round = 0; Round < 200; ++Round) {
      std::vector<std::byte> Bytes = Whole;
      if (Round % 2 == 0)
        Bytes.resize(Rng.below(Bytes.size()));
      else
        Bytes[Rng.below(Bytes.size())] ^= static_cast<std::byte>(Rng());
      try {
        static_cast<void>(decodeRecord(Bytes));
      } catch (const InputError &) {
        continue;
      }
    }
  }
}

// A record holds hundreds of kilobytes of nested list openings. The CBOR
// library would recurse once for each of them and crash every reader by a stack
// overflow, again after each restart.
TEST(RecordCodec, DeepNestingIsRefusedBeforeTheStackEnds) {
  for (const unsigned Opening : {0x81U, 0x9FU, 0x7FU, 0x5FU, 0xBFU, 0xD8U}) {
    const std::vector<std::byte> Bytes(std::size_t{1} << 20U,
                                       static_cast<std::byte>(Opening));
    EXPECT_THROW(static_cast<void>(decodeRecord(Bytes)), InputError) << Opening;
  }
}

TEST(RecordCodec, OversizedRecordsAreRefusedOnBothSides) {
  CheckpointPart Part;
  Part.Bytes.resize(MaxRecordBytes);
  EXPECT_THROW(static_cast<void>(encodeRecord(Envelope{WriterId{1, 1}, Part})),
               Error);
  const std::vector<std::byte> Bytes(MaxRecordBytes + 1);
  EXPECT_THROW(static_cast<void>(decodeRecord(Bytes)), InputError);
}

TEST(RecordCodec, TextThatIsNotUtf8IsRefused) {
  const std::string InvalidText = "\x61\xC3\x28";
  std::vector<std::byte> Bytes{std::byte{0x63}};
  for (const char Character : InvalidText)
    Bytes.push_back(static_cast<std::byte>(Character));
  EXPECT_THROW(static_cast<void>(parseCbor(Bytes, "test")), InputError);
}

} // namespace
} // namespace coltsfoottrail
