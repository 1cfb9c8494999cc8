#include "fixture.hpp"

#include <atomic>

namespace coltsfoottrail::testing {
namespace {

/// The text that a streamed answer carries, and whether it came whole.
struct Drafted {
  std::string Text;
  bool Whole = false;
  unsigned Status = 0;
  std::string Raw;
};

class Drafts : public Bench {
protected:
  void SetUp() override {
    for (int Index = 0; Index < 4; ++Index)
      addEngine(
          {.LoadTime = milliseconds(20), .TimePerToken = milliseconds(2)});
    addHost("entry-1", "east");
    addHost("entry-2", "north");
    addHost("entry-3", "west");
    ASSERT_TRUE(allReady());
    declare();
    ASSERT_TRUE(eventually([&] {
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        if (call(Hosts[Index]->callerPort(), draft("warm up", false, 1))
                .Status != 200)
          return false;
      return true;
    }));
  }

  [[nodiscard]] Drafted stream(std::size_t Host, const std::string &Prompt,
                               unsigned Tokens) const {
    Drafted Out;
    const auto Got =
        streamBlocking({std::string(Loopback), Hosts.at(Host)->callerPort()},
                       draft(Prompt, true, Tokens), CallTimeout,
                       [&Out](std::string_view Part) { Out.Raw += Part; });
    if (const auto *const Head = std::get_if<HttpResponse>(&Got)) {
      Out.Whole = Out.Raw.ends_with("data: [DONE]\n\n");
      Out.Status = Head->Status;
    }
    std::string_view Rest = Out.Raw;
    while (!Rest.empty()) {
      const std::string_view Event = Rest.substr(0, Rest.find("\n\n"));
      Rest.remove_prefix(std::min(Rest.size(), Event.size() + 2));
      if (!Event.starts_with("data: {"))
        continue;
      const Json Data = Json::parse(Event.substr(6));
      Out.Text += Data.at("choices").at(0).at("text").get<std::string>();
    }
    return Out;
  }
};

TEST_F(Drafts, WholeAndStreamedAnswersCarryTheSameText) {
  const HttpResponse Whole =
      call(Hosts[0]->callerPort(), draft("detour plan", false));
  ASSERT_EQ(Whole.Status, 200U) << Whole.Body;
  const Drafted Streamed = stream(1, "detour plan", 12);
  ASSERT_TRUE(Streamed.Whole) << Streamed.Raw;
  EXPECT_EQ(Json::parse(Whole.Body).at("choices").at(0).at("text"),
            Streamed.Text);
}

// An engine is lost in the middle of a stream. The caller must get the draft
// without a repeated or a lost word: the rest comes from another endpoint,
// resumed at the next token. (Lost twice, it would be taken for the cause.)
TEST_F(Drafts, BrokenStreamIsResumedAtTheNextToken) {
  const Drafted Whole = stream(0, "closure notice", 40);
  ASSERT_TRUE(Whole.Whole);
  EngineFaults Cutting;
  Cutting.CutAfterTokens = 25;
  for (const auto &Engine : Engines)
    Engine->setFaults(Cutting);
  const Drafted Broken = stream(0, "closure notice", 40);
  EXPECT_TRUE(Broken.Whole) << Broken.Raw;
  EXPECT_EQ(Broken.Text, Whole.Text);
  EXPECT_GT(Hosts[0]->counters().Resumed, 0U);
}

// A team is declared with one request in progress at most. A second one of it
// must wait for the first, though endpoints have room.
TEST_F(Drafts, TeamsLimitIsKept) {
  Json Declared = declaration();
  Declared["teams"][0]["max_in_flight"] = 1;
  apply({{"kind", "apply_declaration"}, {"declaration", Declared}});
  ASSERT_TRUE(eventually([&] {
    const auto &Teams = Hosts[0]->state()->Declared.Teams;
    return !Teams.empty() && Teams.front().MaxInFlight == 1U;
  }));
  std::vector<std::thread> Callers;
  std::atomic<std::uint32_t> Most{0};
  std::atomic<bool> Done{false};
  const auto Running = [&] {
    std::uint32_t Sum = 0;
    for (const auto &Engine : Engines)
      Sum += Engine->report().Running;
    return Sum;
  };
  // Engines are read one after the other: a stream that ends at one while the
  // next begins at another is counted twice by one reading, not by two. Two
  // streams at once last for half a second.
  std::thread Watcher([&] {
    while (!Done)
      Most = std::max(Most.load(), std::min(Running(), Running()));
  });
  for (int Index = 0; Index < 4; ++Index)
    Callers.emplace_back([&, Index] {
      EXPECT_TRUE(stream(0, "limited " + std::to_string(Index), 30).Whole);
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  Done = true;
  Watcher.join();
  EXPECT_EQ(Most, 1U);
}

// A caller hangs up in the middle of a long draft. The engine must not go on
// drafting for nobody.
TEST_F(Drafts, HangingUpStopsTheEnginesWork) {
  struct HungUp {};
  const auto HangUp = [](std::string_view) { throw HungUp{}; };
  EXPECT_THROW(
      (void)streamBlocking({std::string(Loopback), Hosts[0]->callerPort()},
                           draft("a very long plan", true, 50'000), CallTimeout,
                           HangUp),
      HungUp);
  EXPECT_TRUE(eventually([&] {
    for (const auto &Engine : Engines)
      if (Engine->cancelled() > 0)
        return true;
    return false;
  }));
}

// A planned stop comes while a draft is streamed. The balancer must see the
// host unready, and the draft must run to its end.
TEST_F(Drafts, PlannedStopCutsNothingOff) {
  Drafted Got;
  std::thread Caller([&] { Got = stream(0, "slow plan", 400); });
  ASSERT_TRUE(eventually([&] { return Hosts[0]->counters().Attempts > 1; }));
  EXPECT_EQ(Hosts[0]->stop(), 0U);
  Caller.join();
  EXPECT_TRUE(Got.Whole);
  EXPECT_TRUE(
      eventually([&] { return Hosts[1]->state()->EntryHosts.size() == 2U; }));
}

// A data centre is taken out while callers draft. Nothing new may go there once
// the drain is in force, and no draft is cut or lost; when it returns it gets
// work again. Prompts are new each time: known ones stay where they are cached.
TEST_F(Drafts, DrainedDataCentreGetsNothingNewAndNothingIsCut) {
  std::atomic<bool> Done{false};
  std::atomic<unsigned> Bad{0};
  std::atomic<unsigned> Good{0};
  std::vector<std::thread> Callers;
  for (std::size_t Index = 0; Index < 6; ++Index)
    Callers.emplace_back([&, Index] {
      for (unsigned Turn = 0; !Done; ++Turn) {
        const std::string Prompt =
            std::to_string(Turn) + " plan of caller " + std::to_string(Index);
        ++(stream(Index % 3, Prompt, 20).Whole ? Good : Bad);
      }
    });
  ASSERT_TRUE(eventually([&] { return Good > 12; }));
  apply({{"kind", "drain_data_centre"}, {"data_centre", "west"}}, 1);
  ASSERT_TRUE(eventually([&] {
    for (const auto &Host : Hosts)
      if (!Host->state()->DrainedDataCentres.contains(DataCentreName("west")))
        return false;
    return true;
  }));
  const std::uint64_t West = Engines[1]->started() + Engines[3]->started();
  const unsigned Before = Good;
  EXPECT_TRUE(eventually([&] { return Good > Before + 12; }));
  EXPECT_EQ(Engines[1]->started() + Engines[3]->started(), West);
  apply({{"kind", "return_data_centre"}, {"data_centre", "west"}}, 2);
  EXPECT_TRUE(eventually(
      [&] { return Engines[1]->started() + Engines[3]->started() > West; }));
  Done = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  EXPECT_EQ(Bad, 0U);
  for (const auto &Engine : Engines)
    EXPECT_LE(Engine->peakConcurrency(), 32U);
}

// One request crashes every engine that runs it, and its caller sends it again,
// through other entry hosts too. After the second crash it must be refused
// everywhere, with its own reason, and engines must stay up for the others.
TEST_F(Drafts, CrashingRequestIsRefusedOnAllHosts) {
  EngineFaults Crashing;
  Crashing.CrashOn = "poison";
  for (const auto &Engine : Engines)
    Engine->setFaults(Crashing);
  std::string Reason;
  EXPECT_TRUE(eventually([&] {
    const HttpResponse Got =
        call(Hosts[0]->callerPort(), draft("poison", false));
    const Json Body = Json::parse(Got.Body, nullptr, false);
    Reason = Body.is_object() ? Body.value("reason", "") : "";
    return Reason == "quarantined";
  })) << Reason;
  EXPECT_TRUE(eventually([&] {
    const HttpResponse Other =
        call(Hosts[2]->callerPort(), draft("poison", false));
    const Json Body = Json::parse(Other.Body, nullptr, false);
    return Body.is_object() && Body.value("reason", "") == "quarantined";
  }));
}

} // namespace
} // namespace coltsfoottrail::testing
