/// @file
/// A planned stop while requests wait for a slot of a full runner.
#include "platform.hpp"

#include <cstdlib>

using namespace review;

namespace {

constexpr int TimeLimitMs = 8'000;
/// A few requests are long ones and take all slots; the others are short.
constexpr milliseconds LongWork{7'800};
constexpr milliseconds ShortWork{20};
constexpr int WarmUpRequests = 150;
constexpr unsigned Runners = 4;
constexpr unsigned Slots = 2;

struct Call {
  std::string Id;
  std::string Body = "short";
  std::string Outcome = "none";
  int Status = 0;
  Clock::time_point SentAt;
  Clock::time_point EndedAt;
};

/// Sends a request on a kept channel and waits for its answer.
void perform(Connection &Link, Call &Sent, Record &Log, const Host &To) {
  Sent.SentAt = Clock::now();
  Log.line("requester sends " + Sent.Id + " to " + To.name());
  if (!Link.send(request("POST", "/order/a", Sent.Id, TimeLimitMs, Sent.Body)))
    Sent.Outcome = "not sent";
  const auto [Answer, Ended] =
      Link.read(Sent.SentAt + milliseconds(TimeLimitMs + 500));
  Sent.EndedAt = Clock::now();
  if (Answer) {
    Sent.Outcome = "answered";
    Sent.Status = Answer->status();
    Log.line("requester gets " + std::to_string(Sent.Status) + " to " +
             Sent.Id + " " + Answer->Body.substr(0, 100));
  } else {
    Sent.Outcome =
        Ended == Connection::End::TimedOut ? "time limit" : "channel closed";
    Log.line("requester: " + Sent.Outcome + " without an answer to " + Sent.Id);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 4)
    return 2;
  const std::string Program = Arguments[1];
  const std::string Folder = Arguments[2];
  Record Log(Arguments[3]);
  const char *const Trouble = std::getenv("TROUBLE");
  const bool Stops = Trouble == nullptr || std::string(Trouble) != "0";

  Store Directory;
  Directory.put(
      "keyed.op", "config",
      configuration(1, route("/order/", "non_idempotent", "desk", 8000),
                    "{\"name\":\"desk\",\"max_conns\":100}", 4194304));
  std::vector<std::unique_ptr<Runner>> Desks;
  for (unsigned Index = 0; Index < Runners; ++Index)
    Desks.push_back(std::make_unique<Runner>(
        Directory, Log, "i-desk" + std::to_string(Index), "desk", Slots, 0,
        [](const Message &Request) {
          const bool IsLong = Request.Body == "long";
          std::this_thread::sleep_for(IsLong ? LongWork : ShortWork);
          return std::string("done");
        }));
  Host First(Program, Folder, "edge-1", Directory.port());
  Host Second(Program, Folder, "edge-2", Directory.port());
  First.start();
  Second.start();
  if (!First.awaitReady(milliseconds(20'000)) ||
      !Second.awaitReady(milliseconds(20'000)))
    return 2;
  // Usual traffic before.
  for (const Host *const To : {&First, &Second}) {
    const auto Link = dial(To->callers());
    for (int Index = 0; Link && Index < WarmUpRequests; ++Index) {
      Call Sent;
      Sent.Id = To->name() + "-before" + std::to_string(Index);
      perform(*Link, Sent, Log, *To);
    }
  }

  // Channels that were open before the stop.
  std::vector<std::unique_ptr<Connection>> Links;
  std::vector<Call> Calls(2 * Runners * Slots);
  for (std::size_t Index = 0; Index < Calls.size(); ++Index) {
    const bool IsFiller = Index < Calls.size() / 2;
    Calls[Index].Id = (IsFiller ? "long" : "order") + std::to_string(Index);
    Calls[Index].Body = IsFiller ? "long" : "short";
    Links.push_back(dial((IsFiller ? Second : First).callers()));
    if (!Links.back())
      return 2;
  }
  std::vector<std::thread> Threads;
  const auto Start = [&](std::size_t Index, const Host &To) {
    Threads.emplace_back(
        [&, Index] { perform(*Links[Index], Calls[Index], Log, To); });
  };
  for (std::size_t Index = 0; Index < Calls.size() / 2; ++Index)
    Start(Index, Second);
  const auto Full = [&] {
    unsigned Running = 0;
    for (const auto &Desk : Desks)
      Running += Desk->running();
    return Running == Runners * Slots;
  };
  for (int Polls = 0; Polls < 1000 && !Full(); ++Polls)
    std::this_thread::sleep_for(milliseconds(1));
  if (!Full())
    return 2;
  for (std::size_t Index = Calls.size() / 2; Index < Calls.size(); ++Index)
    Start(Index, First);
  std::this_thread::sleep_for(milliseconds(100));
  if (Stops) {
    Log.line("SIGTERM to edge-1");
    First.signal(SIGTERM);
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  if (Stops)
    First.wait();

  std::size_t Cut = 0;
  for (std::size_t Index = Calls.size() / 2; Index < Calls.size(); ++Index) {
    const Call &Sent = Calls[Index];
    std::size_t Runs = 0;
    for (const auto &Desk : Desks)
      Runs += Desk->runs().count(Sent.Id);
    const bool IsCut = Sent.Outcome == "channel closed" && Runs == 0 &&
                       Sent.EndedAt - Sent.SentAt > milliseconds(200) &&
                       Sent.EndedAt - Sent.SentAt < milliseconds(TimeLimitMs);
    Cut += IsCut ? 1U : 0U;
  }
  Log.line("requests read by edge-1, never run, and ended with a closed "
           "channel: " +
           std::to_string(Cut));
  finish(Cut > 0 ? 1 : 0, {&First, &Second});
}
