#include "fixture.hpp"

#include <atomic>

namespace coltsfoottrail::testing {
namespace {

/// The text of a streamed response, and whether the stream is complete.
struct StreamedCompletion {
  std::string Text;
  bool IsComplete = false;
  unsigned Status = 0;
  std::string Raw;
};

class Completions : public ClusterFixture {
protected:
  void SetUp() override {
    for (int Index = 0; Index < 4; ++Index)
      addEngine(
          {.LoadTime = milliseconds(20), .TimePerToken = milliseconds(2)});
    addHost("entry-1", "east");
    addHost("entry-2", "north");
    addHost("entry-3", "west");
    ASSERT_TRUE(allReady());
    applyDeclaration();
    ASSERT_TRUE(eventually([&] {
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        if (call(Hosts[Index]->callerPort(), draftRequest("warm up", false, 1))
                .Status != 200)
          return false;
      return true;
    }));
  }

  [[nodiscard]] StreamedCompletion
  stream(std::size_t Host, const std::string &Prompt, unsigned Tokens) const {
    StreamedCompletion Out;
    const auto Response =
        streamBlocking({std::string(Loopback), Hosts.at(Host)->callerPort()},
                       draftRequest(Prompt, true, Tokens), CallTimeout,
                       [&Out](std::string_view Part) { Out.Raw += Part; });
    if (const auto *const Head = std::get_if<HttpResponse>(&Response)) {
      Out.IsComplete = Out.Raw.ends_with("data: [DONE]\n\n");
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

TEST_F(Completions, WholeAndStreamedAnswersCarryTheSameText) {
  const HttpResponse IsComplete =
      call(Hosts[0]->callerPort(), draftRequest("detour plan", false));
  ASSERT_EQ(IsComplete.Status, 200U) << IsComplete.Body;
  const StreamedCompletion Streamed = stream(1, "detour plan", 12);
  ASSERT_TRUE(Streamed.IsComplete) << Streamed.Raw;
  EXPECT_EQ(Json::parse(IsComplete.Body).at("choices").at(0).at("text"),
            Streamed.Text);
}

// Guards against repeated or lost tokens when an engine is lost in the middle
// of a stream: another endpoint resumes it at the next token. The request may
// lose only one engine: after a second loss it would be quarantined as the
// cause of the crashes.
TEST_F(Completions, BrokenStreamIsResumedAtTheNextToken) {
  const StreamedCompletion IsComplete = stream(0, "closure notice", 40);
  ASSERT_TRUE(IsComplete.IsComplete);
  EngineFaults Cutting;
  Cutting.CutAfterTokens = 25;
  for (const auto &Engine : Engines)
    Engine->setFaults(Cutting);
  const StreamedCompletion Broken = stream(0, "closure notice", 40);
  EXPECT_TRUE(Broken.IsComplete) << Broken.Raw;
  EXPECT_EQ(Broken.Text, IsComplete.Text);
  EXPECT_GT(Hosts[0]->counters().Resumed, 0U);
}

// Guards against bytes that complete no event and fill the memory: the stream
// goes on at the other engine.
TEST_F(Completions, StreamThatEndsNoEventIsResumed) {
  EngineFaults Endless;
  Endless.EndlessBytes = std::string(16U << 10U, 'x');
  Engines.front()->setFaults(Endless);
  for (int Count = 0; Count < 4; ++Count) {
    const TimePoint Begin = BootClock::now();
    EXPECT_TRUE(stream(0, "closure notice", 40).IsComplete);
    EXPECT_LT(BootClock::now() - Begin, seconds(8));
  }
}

// Guards against exceeding a team's max_in_flight: with a limit of one, a
// second request of the team waits although endpoints have capacity.
TEST_F(Completions, TeamsLimitIsKept) {
  Json Declared = declaration();
  Declared["teams"][0]["max_in_flight"] = 1;
  applyIntent({{"kind", "apply_declaration"}, {"declaration", Declared}});
  ASSERT_TRUE(eventually([&] {
    const auto &Teams = Hosts[0]->state()->Declared.Teams;
    return !Teams.empty() && Teams.front().MaxInFlight == 1U;
  }));
  std::vector<std::thread> Callers;
  std::atomic<std::uint32_t> MaxRunning{0};
  std::atomic<bool> Done{false};
  const auto Running = [&] {
    std::uint32_t Sum = 0;
    for (const auto &Engine : Engines)
      Sum += Engine->report().Running;
    return Sum;
  };
  // Engines are read one after the other, so a single reading counts a stream
  // twice if it ends at one engine while the next one begins at another; two
  // readings in a row do not both do so. Two streams that really overlap do so
  // for half a second.
  std::thread Watcher([&] {
    while (!Done)
      MaxRunning = std::max(MaxRunning.load(), std::min(Running(), Running()));
  });
  for (int Index = 0; Index < 4; ++Index)
    Callers.emplace_back([&, Index] {
      EXPECT_TRUE(stream(0, "limited " + std::to_string(Index), 30).IsComplete);
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  Done = true;
  Watcher.join();
  EXPECT_EQ(MaxRunning, 1U);
}

// Guards against an engine that keeps generating after the caller has
// disconnected.
TEST_F(Completions, HangingUpStopsTheEnginesWork) {
  struct HungUp {};
  const auto HangUp = [](std::string_view) { throw HungUp{}; };
  EXPECT_THROW(
      (void)streamBlocking({std::string(Loopback), Hosts[0]->callerPort()},
                           draftRequest("a very long plan", true, 50'000),
                           CallTimeout, HangUp),
      HungUp);
  EXPECT_TRUE(eventually([&] {
    for (const auto &Engine : Engines)
      if (Engine->cancelled() > 0)
        return true;
    return false;
  }));
}

// Guards against cutting a stream during a planned stop: the host becomes
// unready and the stream runs to its end.
TEST_F(Completions, PlannedStopCutsNothingOff) {
  StreamedCompletion Response;
  std::thread Caller([&] { Response = stream(0, "slow plan", 400); });
  ASSERT_TRUE(eventually([&] { return Hosts[0]->counters().Attempts > 1; }));
  EXPECT_EQ(Hosts[0]->stop(), 0U);
  Caller.join();
  EXPECT_TRUE(Response.IsComplete);
  EXPECT_TRUE(
      eventually([&] { return Hosts[1]->state()->EntryHosts.size() == 2U; }));
}

// Guards against new requests to a drained data centre and against requests cut
// or lost by the drain; after its return the data centre gets work again.
// Prompts differ each time, since a known prompt is routed to the engine that
// has it cached.
TEST_F(Completions, DrainedDataCentreGetsNothingNewAndNothingIsCut) {
  std::atomic<bool> Done{false};
  std::atomic<unsigned> Incomplete{0};
  std::atomic<unsigned> Completed{0};
  std::vector<std::thread> Callers;
  for (std::size_t Index = 0; Index < 6; ++Index)
    Callers.emplace_back([&, Index] {
      for (unsigned Round = 0; !Done; ++Round) {
        const std::string Prompt =
            std::to_string(Round) + " plan of caller " + std::to_string(Index);
        ++(stream(Index % 3, Prompt, 20).IsComplete ? Completed : Incomplete);
      }
    });
  ASSERT_TRUE(eventually([&] { return Completed > 12; }));
  applyIntent({{"kind", "drain_data_centre"}, {"data_centre", "west"}}, 1);
  ASSERT_TRUE(eventually([&] {
    for (const auto &Host : Hosts)
      if (!Host->state()->DrainedDataCentres.contains(DataCentreName("west")))
        return false;
    return true;
  }));
  const std::uint64_t West = Engines[1]->started() + Engines[3]->started();
  const unsigned Before = Completed;
  EXPECT_TRUE(eventually([&] { return Completed > Before + 12; }));
  EXPECT_EQ(Engines[1]->started() + Engines[3]->started(), West);
  applyIntent({{"kind", "return_data_centre"}, {"data_centre", "west"}}, 2);
  EXPECT_TRUE(eventually(
      [&] { return Engines[1]->started() + Engines[3]->started() > West; }));
  Done = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  EXPECT_EQ(Incomplete, 0U);
  for (const auto &Engine : Engines)
    EXPECT_LE(Engine->peakConcurrency(), 32U);
}

// Guards against a request that crashes every engine that runs it and is sent
// repeatedly, through several entry hosts. After the second crash all hosts
// must refuse it as "quarantined", and engines must stay up for other requests.
TEST_F(Completions, CrashingRequestIsRefusedOnAllHosts) {
  EngineFaults Crashing;
  Crashing.CrashOn = "poison";
  for (const auto &Engine : Engines)
    Engine->setFaults(Crashing);
  std::string Reason;
  EXPECT_TRUE(eventually([&] {
    const HttpResponse Response =
        call(Hosts[0]->callerPort(), draftRequest("poison", false));
    const Json Body = Json::parse(Response.Body, nullptr, false);
    Reason = Body.is_object() ? Body.value("reason", "") : "";
    return Reason == "quarantined";
  })) << Reason;
  EXPECT_TRUE(eventually([&] {
    const HttpResponse Other =
        call(Hosts[2]->callerPort(), draftRequest("poison", false));
    const Json Body = Json::parse(Other.Body, nullptr, false);
    return Body.is_object() && Body.value("reason", "") == "quarantined";
  }));
}

/// Prompts with one paragraph that crashes each engine, and others beside them.
class CrashingParagraphs : public Completions {
protected:
  void SetUp() override {
    Completions::SetUp();
    for (int Number = 0; Number < 60; ++Number)
      ASSERT_EQ(call(Hosts[std::size_t(Number) % Hosts.size()]->callerPort(),
                     draftRequest(promptWith("house rules", Number), false, 1))
                    .Status,
                200U);
    EngineFaults Crashing;
    Crashing.CrashOn = "poison";
    for (const auto &Engine : Engines)
      Engine->setFaults(Crashing);
  }

  [[nodiscard]] static std::string promptWith(const std::string &Paragraph,
                                              int Number) {
    return Paragraph + "\n\nquestion " + std::to_string(Number);
  }
  [[nodiscard]] std::string reasonOf(std::size_t Host,
                                     const std::string &Prompt) const {
    const HttpResponse Response =
        call(Hosts.at(Host)->callerPort(), draftRequest(Prompt, false));
    const Json Body = Json::parse(Response.Body, nullptr, false);
    return Body.is_object() ? Body.value("reason", "") : "";
  }
  /// Sends such prompts, no two alike, until a host refuses them.
  void crashUntilRefused(std::size_t Host) {
    int Number = 0;
    EXPECT_TRUE(eventually([&] {
      return reasonOf(Host, promptWith("poison", ++Number)) ==
             "part-quarantined";
    }));
    EXPECT_LE(Number, 12);
  }
};

// Guards against requests that differ, share a paragraph that crashes engines,
// and are new to every host.
TEST_F(CrashingParagraphs, AreRefusedOnAllHosts) {
  crashUntilRefused(0);
  EXPECT_TRUE(eventually([&] {
    return reasonOf(2, promptWith("poison", 1'000)) == "part-quarantined";
  }));
  EXPECT_TRUE(eventually([&] {
    return call(Hosts[1]->callerPort(),
                draftRequest(promptWith("house rules", 2'000), false))
               .Status == 200;
  }));
}

// Guards against a host that starts and loses engines of its own to what the
// others refuse.
TEST_F(CrashingParagraphs, AreRefusedByAHostThatStarts) {
  crashUntilRefused(0);
  addHost("entry-4", "east");
  ASSERT_TRUE(allReady());
  std::this_thread::sleep_for(seconds(1));
  EXPECT_EQ(reasonOf(3, promptWith("poison", 3'000)), "part-quarantined");
}

} // namespace
} // namespace coltsfoottrail::testing
