#include "coltsfoottrail/dissemination/noticewire.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <array>

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 3> Kinds{"crash", "dismiss", "clear"};
constexpr std::uint64_t LongestAge = std::uint64_t{1} << 62U;

CrashNotice readCrash(ObjectReader &Reader) {
  CrashNotice Notice;
  Notice.EndpointKey = Reader.text("endpoint");
  Notice.DataCentre = DataCentreName(Reader.textOr("data_centre", ""));
  Notice.Run = Reader.number("run");
  Notice.Age = Duration(
      static_cast<Duration::rep>(Reader.number("age_ns", 0, LongestAge)));
  for (const Json &Fingerprint : Reader.raw("fingerprints")) {
    if (!Fingerprint.is_number_unsigned())
      Reader.refuse("fingerprints", "a list of whole numbers");
    Notice.Fingerprints.push_back(Fingerprint.get<std::uint64_t>());
  }
  return Notice;
}

} // namespace

Json writeNotice(const PoolNotice &Notification) {
  Json Encoded =
      std::visit(Overloaded{
                     [](const CrashNotice &Crash) {
                       return Json{{"endpoint", Crash.EndpointKey},
                                   {"data_centre", Crash.DataCentre.Text},
                                   {"run", Crash.Run},
                                   {"age_ns", Crash.Age.count()},
                                   {"fingerprints", Crash.Fingerprints}};
                     },
                     [](const DismissNotice &Dismiss) {
                       return Json{{"endpoint", Dismiss.EndpointKey}};
                     },
                     [](const ClearNotice &Clear) {
                       return Json{{"fingerprint", Clear.Fingerprint}};
                     },
                 },
                 Notification.Notice);
  Encoded["kind"] = Kinds.at(Notification.Notice.index());
  Encoded["pool"] = Notification.PoolName;
  return Encoded;
}

PoolNotice readNotice(const Json &Value) {
  ObjectReader Reader(Value, "notice", "", UnknownKeys::Ignore);
  PoolNotice Decoded;
  Decoded.PoolName = Reader.text("pool");
  switch (Reader.word("kind", Kinds)) {
  case 0:
    Decoded.Notice = readCrash(Reader);
    break;
  case 1:
    Decoded.Notice = DismissNotice{Reader.text("endpoint")};
    break;
  default:
    Decoded.Notice = ClearNotice{Reader.number("fingerprint")};
    break;
  }
  return Decoded;
}

} // namespace coltsfoottrail
