#include "coltsfoottrail/membership/types.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 5> MessageKinds{
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

FreshnessReply readFreshnessReply(ObjectReader &Reader) {
  FreshnessReply Reply;
  Reply.Number = Reader.number("n");
  Reply.Version = Reader.number("version");
  Reply.Proven = Reader.flagOr("proven", false);
  Reply.ProofAge = milliseconds(Reader.numberOr("age_ms", 0, 0, MaxAgeMs));
  Reply.LogFails = Reader.flagOr("log_fails", false);
  return Reply;
}

} // namespace

Json writeMembershipMessage(const MembershipMessage &Message) {
  MessageWriter Writer;
  std::visit(Writer, Message);
  Writer.Out["is"] = MessageKinds[Message.index()];
  return std::move(Writer.Out);
}

MembershipMessage readMembershipMessage(const Json &Value,
                                        std::string_view Source) {
  enum : std::size_t {
    HeartbeatKind,
    SuspicionQueryKind,
    SuspicionReplyKind,
    FreshnessQueryKind
  };
  ObjectReader Reader(Value, Source, "", UnknownKeys::Ignore);
  switch (Reader.word("is", MessageKinds)) {
  case HeartbeatKind:
    return Heartbeat{Reader.number("run")};
  case SuspicionQueryKind: {
    const std::uint64_t Number = Reader.number("n");
    HostName Host(Reader.text("host"));
    return SuspicionQuery{Number, std::move(Host), Reader.number("run")};
  }
  case SuspicionReplyKind: {
    const std::uint64_t Number = Reader.number("n");
    HostName Host(Reader.text("host"));
    return SuspicionReply{Number, std::move(Host),
                          Reader.flagOr("heard", true)};
  }
  case FreshnessQueryKind:
    return FreshnessQuery{Reader.number("n")};
  default:
    return readFreshnessReply(Reader);
  }
}

std::vector<HostName> rankedHosts(std::string_view Key,
                                  const std::vector<HostName> &Candidates,
                                  std::size_t Count) {
  std::vector<std::pair<std::uint64_t, HostName>> Weights;
  Weights.reserve(Candidates.size());
  for (const HostName &Name : Candidates)
    Weights.emplace_back(rendezvousWeight(Key, Name.Text), Name);
  const std::size_t ResultCount = std::min(Count, Weights.size());
  const auto End = Weights.begin() + static_cast<std::ptrdiff_t>(ResultCount);
  std::partial_sort(Weights.begin(), End, Weights.end(),
                    [](const auto &Left, const auto &Right) {
                      return Left.first != Right.first
                                 ? Left.first > Right.first
                                 : Left.second.Text < Right.second.Text;
                    });
  std::vector<HostName> Ranked;
  for (std::size_t Index = 0; Index < ResultCount; ++Index)
    Ranked.push_back(std::move(Weights[Index].second));
  return Ranked;
}

} // namespace coltsfoottrail
