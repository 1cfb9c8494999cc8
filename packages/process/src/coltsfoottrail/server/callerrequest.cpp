#include "coltsfoottrail/server/callerrequest.hpp"

#include "coltsfoottrail/claims/types.hpp"
#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::size_t PromptPrefixBytes = 256;
constexpr std::string_view ParagraphBreak = "\n\n";
constexpr std::size_t MaxSharedPromptParts = 64;
constexpr double BytesPerToken = 4.0;
constexpr std::array<std::string_view, 3> PriorityNames{"batch", "normal",
                                                        "urgent"};

/// Hop-by-hop fields and fields meant for this server; not forwarded to
/// endpoints.
constexpr std::array<std::string_view, 11> NotForwardedFields{
    "Authorization",
    "Connection",
    "Content-Length",
    "Host",
    "Keep-Alive",
    "Proxy-Authorization",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect"};

[[noreturn]] void refuse(Reason Why, const std::string &Detail) {
  throw RequestRefused(Verdict{RunState::NotRun, Why, std::nullopt}, Detail);
}

bool isNotForwarded(std::string_view Name) {
  return std::any_of(NotForwardedFields.begin(), NotForwardedFields.end(),
                     [Name](std::string_view Own) {
                       return boost::beast::iequals(Own, Name);
                     });
}

std::vector<HttpField> forwardedFields(const std::vector<HttpField> &Fields) {
  std::vector<HttpField> Forwarded;
  for (const HttpField &Field : Fields)
    if (!isNotForwarded(Field.Name))
      Forwarded.push_back(Field);
  return Forwarded;
}

TimePoint deadlineOf(const HttpRequest &Request, const CallerLimits &Limits,
                     TimePoint Now) {
  const std::string_view Text =
      fieldOf(Request.Fields, "Coltsfoottrail-Deadline-Ms");
  if (Text.empty())
    return Now + Limits.DefaultDeadline;
  std::int64_t Value = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc{} || Parsed.ptr != Text.data() + Text.size() ||
      Value < 1 || Value > Limits.MaxDeadline.count())
    refuse(Reason::BadRequest, "Coltsfoottrail-Deadline-Ms: found \"" +
                                   std::string(Text) +
                                   "\"; allowed: a whole number from 1 to " +
                                   std::to_string(Limits.MaxDeadline.count()));
  return Now + milliseconds(Value);
}

Priority priorityOf(const HttpRequest &Request) {
  const std::string_view Text =
      fieldOf(Request.Fields, "Coltsfoottrail-Priority");
  if (Text.empty())
    return Priority::Normal;
  const auto *const Found =
      std::find(PriorityNames.begin(), PriorityNames.end(), Text);
  if (Found == PriorityNames.end())
    refuse(Reason::BadRequest, "Coltsfoottrail-Priority: found \"" +
                                   std::string(Text) +
                                   "\"; allowed: batch, normal, urgent");
  return static_cast<Priority>(Found - PriorityNames.begin());
}

std::string keyOf(const HttpRequest &Request) {
  const std::string_view Key = fieldOf(Request.Fields, "Idempotency-Key");
  const bool Printable = std::all_of(Key.begin(), Key.end(), [](char Letter) {
    return Letter >= ' ' && Letter <= '~';
  });
  if (Key.size() > MaxClaimKeyBytes || !Printable)
    refuse(Reason::BadRequest,
           "Idempotency-Key: allowed: 1 to 256 printable ASCII characters");
  return std::string(Key);
}

std::string headOfPrompt(const Json &Body) {
  if (const auto Prompt = Body.find("prompt");
      Prompt != Body.end() && Prompt->is_string())
    return Prompt->get_ref<const std::string &>().substr(0, PromptPrefixBytes);
  if (const auto Messages = Body.find("messages");
      Messages != Body.end() && Messages->is_array() && !Messages->empty())
    return Messages->front()
        .dump(-1, ' ', false, Json::error_handler_t::replace)
        .substr(0, PromptPrefixBytes);
  return {};
}

/// Hashes of the parts of a prompt that other requests may have in theirs: the
/// messages of a chat, or the paragraphs of a text, but for the last one.
std::vector<PromptPartId> sharedPromptParts(const Json &Body) {
  std::vector<PromptPartId> Parts;
  const auto Add = [&](std::string_view Text) {
    const PromptPartId Id = hashText(Text);
    if (!Text.empty() && Parts.size() < MaxSharedPromptParts &&
        std::ranges::find(Parts, Id) == Parts.end())
      Parts.push_back(Id);
  };
  if (const auto Messages = Body.find("messages");
      Messages != Body.end() && Messages->is_array()) {
    for (std::size_t Index = 0; Index + 1 < Messages->size(); ++Index)
      Add((*Messages)[Index].dump(-1, ' ', false,
                                  Json::error_handler_t::replace));
    return Parts;
  }
  const auto Prompt = Body.find("prompt");
  if (Prompt == Body.end() || !Prompt->is_string())
    return Parts;
  std::string_view Rest = Prompt->get_ref<const std::string &>();
  for (std::size_t End = Rest.find(ParagraphBreak);
       End != std::string_view::npos; End = Rest.find(ParagraphBreak)) {
    Add(Rest.substr(0, End));
    Rest.remove_prefix(End + ParagraphBreak.size());
  }
  return Parts;
}

void readModelCall(const HttpRequest &Request, bool Chat, CallerRequest &Call) {
  try {
    const Json Body = parseJson(Request.Body, "request body");
    ObjectReader Reader(Body, "request body", "", UnknownKeys::Ignore);
    Call.PoolName = modelPoolName(Reader.text("model", 256));
    Call.IsStreaming = Reader.flagOr("stream", false);
    if (Chat &&
        (!Reader.has("messages") || !Reader.raw("messages").is_array() ||
         Reader.raw("messages").empty()))
      Reader.refuse("messages", "a list of at least one message");
    if (!Chat)
      (void)Reader.text("prompt", Request.Body.size());
    const std::uint64_t Tokens =
        Reader.numberOr("max_tokens", 256, 1, 1'000'000);
    const std::string Head = headOfPrompt(Body);
    Call.Item.PrefixHash = Head.empty() ? 0 : hashText(Head);
    Call.Item.SharedParts = sharedPromptParts(Body);
    Call.Item.Cost = static_cast<double>(Tokens) +
                     static_cast<double>(Request.Body.size()) / BytesPerToken;
  } catch (const InputError &Problem) {
    refuse(Reason::BadRequest, Problem.what());
  }
  Call.IsModelCall = true;
  Call.Item.Repeatable = true;
}

bool isRepeatablePath(const Pool &Target, std::string_view Path) {
  return std::find(Target.RepeatablePaths.begin(), Target.RepeatablePaths.end(),
                   Path) != Target.RepeatablePaths.end();
}

void readServiceCall(const HttpRequest &Request, const RouteTable &Routes,
                     CallerRequest &Out) {
  std::string_view Rest = Request.Target;
  Rest.remove_prefix(ServicesPrefix.size());
  const std::string_view Name = Rest.substr(0, Rest.find_first_of("/?"));
  Rest.remove_prefix(Name.size());
  Out.PoolName = servicePoolName(Name);
  Out.Forwarded.Target =
      Rest.starts_with("/") ? std::string(Rest) : "/" + std::string(Rest);
  const std::string_view Path = std::string_view(Out.Forwarded.Target)
                                    .substr(0, Out.Forwarded.Target.find('?'));
  const auto Found = Routes.Pools.find(Out.PoolName);
  Out.Item.Repeatable =
      Request.Method == "GET" || Request.Method == "HEAD" ||
      (Found != Routes.Pools.end() && isRepeatablePath(Found->second, Path));
}

} // namespace

const TeamSpec &authenticate(const HttpRequest &Request,
                             const RouteTable &Routes) {
  const std::string_view Authorization =
      fieldOf(Request.Fields, "Authorization");
  if (!Authorization.starts_with(BearerPrefix))
    refuse(Reason::Unauthenticated,
           "Authorization: allowed: \"Bearer\" and the team's credential");
  const auto Found = Routes.TeamsByCredential.find(
      sha256Hex(Authorization.substr(BearerPrefix.size())));
  if (Found == Routes.TeamsByCredential.end())
    refuse(Reason::Unauthenticated, "no team has this credential");
  return Found->second;
}

CallerRequest readCallerRequest(const HttpRequest &Request,
                                const RouteTable &Routes,
                                const CallerLimits &Limits, TimePoint Now) {
  CallerRequest Out;
  Out.Team = authenticate(Request, Routes);
  Out.Forwarded.Method = Request.Method;
  Out.Forwarded.Target = Request.Target;
  const std::string_view Path =
      std::string_view(Request.Target).substr(0, Request.Target.find('?'));
  const bool Chat = Path == "/v1/chat/completions";
  if (Path.starts_with(ServicesPrefix))
    readServiceCall(Request, Routes, Out);
  else if (!Chat && Path != "/v1/completions")
    refuse(Reason::UnknownTarget,
           "allowed: /v1/completions, /v1/chat/completions, /services/NAME/");
  else if (Request.Method != "POST")
    refuse(Reason::BadRequest, "allowed: POST");
  else
    readModelCall(Request, Chat, Out);
  if (!Routes.Pools.contains(Out.PoolName))
    refuse(Reason::UnknownTarget, "there is no " + Out.PoolName);

  Out.IdempotencyKey = keyOf(Request);
  Out.Item.Team = Out.Team.Name;
  Out.Item.Urgency = priorityOf(Request);
  Out.Item.Deadline = deadlineOf(Request, Limits, Now);
  Out.AnswerDeadline = Out.Item.Deadline;
  Out.Item.Bytes = Request.Body.size() + Request.Target.size();
  Out.Item.Fingerprint =
      hashText(Request.Body, hashText(Out.PoolName + Out.Forwarded.Target,
                                      hashText(Out.Team.Name.Text)));
  Out.Forwarded.Fields = forwardedFields(Request.Fields);
  Out.Forwarded.Body = Request.Body;
  return Out;
}

} // namespace coltsfoottrail
