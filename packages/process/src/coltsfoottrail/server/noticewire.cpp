#include "coltsfoottrail/server/noticewire.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <array>

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 3> Kinds{"crash", "dismiss", "clear"};
constexpr std::uint64_t LongestAge = std::uint64_t{1} << 62U;

CrashNotice readCrash(ObjectReader &Reader) {
  CrashNotice Out;
  Out.EndpointKey = Reader.text("endpoint");
  Out.DataCentre = DataCentreName(Reader.textOr("data_centre", ""));
  Out.Run = Reader.number("run");
  Out.Age = Duration(
      static_cast<Duration::rep>(Reader.number("age_ns", 0, LongestAge)));
  for (const Json &Fingerprint : Reader.raw("fingerprints")) {
    if (!Fingerprint.is_number_unsigned())
      Reader.refuse("fingerprints", "a list of whole numbers");
    Out.Fingerprints.push_back(Fingerprint.get<std::uint64_t>());
  }
  return Out;
}

} // namespace

Json writeNotice(const PoolNotice &Notification) {
  Json Out =
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
  Out["kind"] = Kinds.at(Notification.Notice.index());
  Out["pool"] = Notification.PoolName;
  return Out;
}

PoolNotice readNotice(const Json &Value) {
  ObjectReader Reader(Value, "notice", "", UnknownKeys::Ignore);
  PoolNotice Out;
  Out.PoolName = Reader.text("pool");
  switch (Reader.word("kind", Kinds)) {
  case 0:
    Out.Notice = readCrash(Reader);
    break;
  case 1:
    Out.Notice = DismissNotice{Reader.text("endpoint")};
    break;
  default:
    Out.Notice = ClearNotice{Reader.number("fingerprint")};
    break;
  }
  return Out;
}

} // namespace coltsfoottrail
