#include "coltsfoottrail/mesh/message.hpp"

namespace coltsfoottrail::internal {

namespace {

/// Maximum nesting depth of a message.
constexpr std::size_t MaxDepth = 64;

// NOLINTBEGIN(readability-identifier-naming): the library prescribes the names.
/// Builds a JSON value and stops at MaxDepth.
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
  Json Value;
  BoundedBuilder Builder(Value);
  if (!Json::sax_parse(Bytes, &Builder, Json::input_format_t::cbor))
    throw Error("message of a peer: not valid CBOR, or nested too deeply");
  return Value;
}

} // namespace

std::string encodeMessage(Channel ChannelId, Json Body) {
  Json Message = Json::object();
  Message["c"] = static_cast<unsigned>(ChannelId);
  Message["b"] = std::move(Body);
  std::string Encoded;
  Json::to_cbor(Message, Encoded);
  return Encoded;
}

DecodedMessage decodeMessage(std::string_view Bytes) {
  try {
    Json Message = decodeCbor(Bytes);
    ObjectReader Reader(Message, "message of a peer", "", UnknownKeys::Ignore);
    const std::uint64_t Number = Reader.number("c");
    DecodedMessage Result;
    if (Number < ChannelCount)
      Result.ChannelId = static_cast<Channel>(Number);
    if (Reader.has("b"))
      Result.Body = std::move(Message["b"]);
    return Result;
  } catch (const Json::exception &) {
    throw Error("message of a peer: not valid CBOR");
  }
}

} // namespace coltsfoottrail::internal
