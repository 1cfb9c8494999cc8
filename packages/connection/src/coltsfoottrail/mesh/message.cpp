#include "coltsfoottrail/mesh/message.hpp"

namespace coltsfoottrail::internal {

namespace {

/// Deepest nesting of a large message.
constexpr std::size_t MaxDepth = 64;
/// A message of up to this size cannot nest deeply enough to do harm.
constexpr std::size_t MaxUncheckedBytes = 2048;

/// Reads over a message and stops where it nests too deeply.
class DepthCheck final : public nlohmann::json_sax<Json> {
public:
  bool null() override { return true; }
  bool boolean(bool /*Value*/) override { return true; }
  bool number_integer(number_integer_t /*Value*/) override { // NOLINT
    return true;
  }
  bool number_unsigned(number_unsigned_t /*Value*/) override { // NOLINT
    return true;
  }
  bool number_float(number_float_t /*Value*/, // NOLINT
                    const string_t & /*Text*/) override {
    return true;
  }
  bool string(string_t & /*Value*/) override { return true; }
  bool binary(binary_t & /*Value*/) override { return true; }
  bool key(string_t & /*Value*/) override { return true; }
  bool start_object(std::size_t /*Size*/) override { return enter(); } // NOLINT
  bool end_object() override { return leave(); }                       // NOLINT
  bool start_array(std::size_t /*Size*/) override { return enter(); }  // NOLINT
  bool end_array() override { return leave(); }                        // NOLINT
  bool parse_error(std::size_t /*At*/, const std::string & /*Token*/,  // NOLINT
                   const Json::exception & /*Problem*/) override {
    return false;
  }

private:
  bool enter() { return ++Depth <= MaxDepth; }
  bool leave() {
    --Depth;
    return true;
  }

  std::size_t Depth = 0;
};

void checkDepth(std::string_view Bytes) {
  DepthCheck Check;
  if (!Json::sax_parse(Bytes, &Check, Json::input_format_t::cbor))
    throw Error("a message of a peer is no CBOR or nests too deeply");
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
  if (Bytes.size() > MaxUncheckedBytes)
    checkDepth(Bytes);
  try {
    Json Message = Json::from_cbor(Bytes);
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
