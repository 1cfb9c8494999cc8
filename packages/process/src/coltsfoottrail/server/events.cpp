#include "coltsfoottrail/server/events.hpp"

#include <nlohmann/json.hpp>

namespace coltsfoottrail {

namespace {

using Json = nlohmann::json;

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataPrefix = "data: ";
constexpr std::string_view EndOfStream = "[DONE]";

std::string_view eventData(std::string_view Event) {
  return Event.starts_with(DataPrefix) ? Event.substr(DataPrefix.size())
                                       : std::string_view{};
}

template <class Function>
void forEachEvent(std::string_view Events, Function Visit) {
  while (!Events.empty()) {
    const std::size_t End = Events.find(EventEnd);
    Visit(Events.substr(0, End));
    if (End == std::string_view::npos)
      return;
    Events.remove_prefix(End + EventEnd.size());
  }
}

const std::string *choiceText(const Json &Choice) {
  if (const auto Text = Choice.find("text");
      Text != Choice.end() && Text->is_string())
    return &Text->get_ref<const std::string &>();
  const auto Delta = Choice.find("delta");
  if (Delta == Choice.end() || !Delta->is_object())
    return nullptr;
  const auto Content = Delta->find("content");
  if (Content == Delta->end() || !Content->is_string())
    return nullptr;
  return &Content->get_ref<const std::string &>();
}

} // namespace

std::string_view EventSplitter::take(std::string_view Part) {
  Pending += Part;
  const std::size_t End = Pending.rfind(EventEnd);
  if (End == std::string::npos)
    return {};
  Ready.assign(Pending, 0, End + EventEnd.size());
  Pending.erase(0, End + EventEnd.size());
  note(Ready);
  return Ready;
}

void EventSplitter::note(std::string_view Events) {
  forEachEvent(Events, [this](std::string_view Event) {
    const std::string_view Data = eventData(Event);
    if (Data == EndOfStream)
      Ended = true;
    else if (!Data.empty())
      ++Count;
  });
  if (Overflowed || Kept.size() + Events.size() > MaxKept) {
    Overflowed = true;
    Kept.clear();
    return;
  }
  Kept += Events;
}

std::optional<std::string> EventSplitter::text() const {
  if (Overflowed)
    return std::nullopt;
  std::string FullText;
  bool Understood = true;
  forEachEvent(Kept, [&](std::string_view Event) {
    const std::string_view Data = eventData(Event);
    if (Data.empty() || Data == EndOfStream)
      return;
    const Json Parsed = Json::parse(Data, nullptr, false);
    const auto Choices =
        Parsed.is_object() ? Parsed.find("choices") : Parsed.end();
    const bool HasChoice = Parsed.is_object() && Choices != Parsed.end() &&
                           Choices->is_array() && !Choices->empty() &&
                           Choices->front().is_object();
    const std::string *const TokenText =
        HasChoice ? choiceText(Choices->front()) : nullptr;
    if (TokenText == nullptr)
      Understood = false;
    else
      FullText += *TokenText;
  });
  return Understood ? std::optional(std::move(FullText)) : std::nullopt;
}

} // namespace coltsfoottrail
