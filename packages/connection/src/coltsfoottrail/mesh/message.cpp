#include "coltsfoottrail/mesh/message.hpp"

namespace coltsfoottrail::internal {

namespace {

/// Deepest nesting of a message.
constexpr std::size_t MaxDepth = 64;

// NOLINTBEGIN(readability-identifier-naming): the library prescribes the names.
/// Builds a message and stops where it nests too deeply.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

public:
  explicit BoundedBuilder(Json &Root) : Base(Root, false) {}

  bool start_object(std::size_t Size) {
    return ++Depth <= MaxDepth && Base::start_object(Size);
  }
  bool end_object() {
    --Depth;
    return Base::end_object();
  }
  bool start_array(std::size_t Size) {
    return ++Depth <= MaxDepth && Base::start_array(Size);
  }
  bool end_array() {
    --Depth;
    return Base::end_array();
  }

private:
  std::size_t Depth = 0;
};
// NOLINTEND(readability-identifier-naming)

Json decodeCbor(std::string_view Bytes) {
  Json Out;
  BoundedBuilder Builder(Out);
  if (!Json::sax_parse(Bytes, &Builder, Json::input_format_t::cbor))
    throw Error("a message of a peer is no CBOR or nests too deeply");
  return Out;
}

} // namespace

std::string encodeMessage(Channel Which, Json Body) {
  Json Message = Json::object();
  Message["c"] = static_cast<unsigned>(Which);
  Message["b"] = std::move(Body);
  std::string Out;
  Json::to_cbor(Message, Out);
  return Out;
}

Incoming decodeMessage(std::string_view Bytes) {
  try {
    Json Message = decodeCbor(Bytes);
    ObjectReader Reader(Message, "message of a peer", "", UnknownKeys::Ignore);
    const std::uint64_t Number = Reader.number("c");
    Incoming Out;
    if (Number < ChannelCount)
      Out.Which = static_cast<Channel>(Number);
    if (Reader.has("b"))
      Out.Body = std::move(Message["b"]);
    return Out;
  } catch (const Json::exception &) {
    throw Error("a message of a peer is no CBOR");
  }
}

} // namespace coltsfoottrail::internal
