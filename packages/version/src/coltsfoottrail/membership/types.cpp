#include "coltsfoottrail/membership/types.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 5> MessageWords{
    "heartbeat", "suspect-ask", "suspect-answer", "fresh-ask", "fresh-answer"};
constexpr std::uint64_t MaxAgeMs = 24ULL * 3600 * 1000;

struct MessageWriter {
  Json Out = Json::object();

  void operator()(const Heartbeat &Message) { Out["run"] = Message.Run; }
  void operator()(const SuspicionQuery &Message) {
    Out["n"] = Message.Number;
    Out["host"] = Message.Host.Text;
    Out["run"] = Message.Run;
  }
  void operator()(const SuspicionReply &Message) {
    Out["n"] = Message.Number;
    Out["host"] = Message.Host.Text;
    Out["heard"] = Message.Heard;
  }
  void operator()(const FreshnessQuery &Message) { Out["n"] = Message.Number; }
  void operator()(const FreshnessReply &Message) {
    Out["n"] = Message.Number;
    Out["version"] = Message.Version;
    Out["proven"] = Message.Proven;
    Out["age_ms"] = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, Message.ProofAge.count()));
    Out["log_fails"] = Message.LogFails;
  }
};

FreshnessReply readFreshAnswer(ObjectReader &From) {
  FreshnessReply Answer;
  Answer.Number = From.number("n");
  Answer.Version = From.number("version");
  Answer.Proven = From.flagOr("proven", false);
  Answer.ProofAge = milliseconds(From.numberOr("age_ms", 0, 0, MaxAgeMs));
  Answer.LogFails = From.flagOr("log_fails", false);
  return Answer;
}

} // namespace

Json writeMembershipMessage(const MembershipMessage &Message) {
  MessageWriter Writer;
  std::visit(Writer, Message);
  Writer.Out["is"] = MessageWords[Message.index()];
  return std::move(Writer.Out);
}

MembershipMessage readMembershipMessage(const Json &Value,
                                        std::string_view Source) {
  enum : std::size_t { Beat, Ask, Answer, AskFresh };
  ObjectReader From(Value, Source, "", UnknownKeys::Ignore);
  switch (From.word("is", MessageWords)) {
  case Beat:
    return Heartbeat{From.number("run")};
  case Ask: {
    const std::uint64_t Number = From.number("n");
    HostName Host(From.text("host"));
    return SuspicionQuery{Number, std::move(Host), From.number("run")};
  }
  case Answer: {
    const std::uint64_t Number = From.number("n");
    HostName Host(From.text("host"));
    return SuspicionReply{Number, std::move(Host), From.flagOr("heard", true)};
  }
  case AskFresh:
    return FreshnessQuery{From.number("n")};
  default:
    return readFreshAnswer(From);
  }
}

std::vector<HostName> rankedHosts(std::string_view Key,
                                  const std::vector<HostName> &Among,
                                  std::size_t Count) {
  std::vector<std::pair<std::uint64_t, HostName>> Weights;
  Weights.reserve(Among.size());
  for (const HostName &Name : Among)
    Weights.emplace_back(rendezvousWeight(Key, Name.Text), Name);
  const std::size_t Kept = std::min(Count, Weights.size());
  const auto Middle = Weights.begin() + static_cast<std::ptrdiff_t>(Kept);
  std::partial_sort(Weights.begin(), Middle, Weights.end(),
                    [](const auto &Left, const auto &Right) {
                      return Left.first != Right.first
                                 ? Left.first > Right.first
                                 : Left.second.Text < Right.second.Text;
                    });
  std::vector<HostName> Ranked;
  for (std::size_t Index = 0; Index < Kept; ++Index)
    Ranked.push_back(std::move(Weights[Index].second));
  return Ranked;
}

} // namespace coltsfoottrail
