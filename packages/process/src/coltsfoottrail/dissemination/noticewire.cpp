#include "coltsfoottrail/dissemination/noticewire.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace coltsfoottrail {

namespace {

constexpr std::array<std::string_view, 3> Kinds{"crash", "dismiss", "clear"};
constexpr std::size_t ClearKind = 2;
constexpr std::uint64_t MaxRequests = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t LongestAge = std::uint64_t{1} << 62U;

std::vector<std::uint64_t> readNumbers(ObjectReader &Reader,
                                       std::string_view Key) {
  std::vector<std::uint64_t> Numbers;
  for (const Json &Number : Reader.raw(Key)) {
    if (!Number.is_number_unsigned())
      Reader.refuse(Key, "a list of whole numbers");
    Numbers.push_back(Number.get<std::uint64_t>());
  }
  return Numbers;
}

CrashNotice readCrash(ObjectReader &Reader) {
  CrashNotice Notice;
  Notice.EndpointKey = Reader.text("endpoint");
  Notice.DataCentre = DataCentreName(Reader.textOr("data_centre", ""));
  Notice.Run = Reader.number("run");
  Notice.Age = Duration(
      static_cast<Duration::rep>(Reader.number("age_ns", 0, LongestAge)));
  Notice.Fingerprints = readNumbers(Reader, "fingerprints");
  Reader.eachObject("suspects", [&](ObjectReader &Each) {
    Notice.Suspects.push_back({Each.number("fingerprint"), Each.number("team"),
                               readNumbers(Each, "parts")});
  });
  Notice.History.Host = Reader.numberOr("host_run", 0);
  Notice.History.Requests = static_cast<std::uint32_t>(
      Reader.numberOr("recent_requests", 0, 0, MaxRequests));
  return Notice;
}

SoundNotice readSound(ObjectReader &Reader) {
  SoundNotice Notice;
  Reader.eachObject("sound", [&](ObjectReader &Each) {
    Notice.Parts.push_back(
        {Each.number("part"), Duration(static_cast<Duration::rep>(
                                  Each.number("age_ns", 0, LongestAge)))});
  });
  return Notice;
}

double readRate(ObjectReader &Reader) {
  const Json &Value = Reader.raw("per_second");
  if (!Value.is_number() || !std::isfinite(Value.get<double>()) ||
      Value.get<double>() < 0.0)
    Reader.refuse("per_second", "a number of requests");
  return Value.get<double>();
}

RateLimitNotice readRates(ObjectReader &Reader) {
  RateLimitNotice Notice;
  Reader.eachObject("rate_limits", [&](ObjectReader &Each) {
    RateObservation Observed;
    Observed.Process = Each.text("process");
    if (Each.has("per_second"))
      Observed.PerSecond = readRate(Each);
    Observed.Age = Duration(
        static_cast<Duration::rep>(Each.number("age_ns", 0, LongestAge)));
    Observed.Observer = Each.number("observer");
    Observed.Number = Each.number("number");
    Notice.Observations.push_back(std::move(Observed));
  });
  return Notice;
}

/// Hosts of earlier releases take it for the clearance of no request.
Json writeRates(const RateLimitNotice &Rates) {
  Json Encoded{{"fingerprint", 0}, {"rate_limits", Json::array()}};
  for (const RateObservation &Observed : Rates.Observations) {
    Json Entry{{"process", Observed.Process},
               {"age_ns", Observed.Age.count()},
               {"observer", Observed.Observer},
               {"number", Observed.Number}};
    if (Observed.PerSecond)
      Entry["per_second"] = *Observed.PerSecond;
    Encoded["rate_limits"].push_back(std::move(Entry));
  }
  return Encoded;
}

LeavingNotice readLeaving(ObjectReader &Reader) {
  LeavingNotice Notice;
  Notice.Process = Reader.text("leaving");
  Notice.Age = Duration(
      static_cast<Duration::rep>(Reader.number("age_ns", 0, LongestAge)));
  return Notice;
}

/// Hosts of earlier releases take it for the clearance of no request.
Json writeLeaving(const LeavingNotice &Leaving) {
  return {{"fingerprint", 0},
          {"leaving", Leaving.Process},
          {"age_ns", Leaving.Age.count()}};
}

Json writeSuspects(const std::vector<SuspectedRequest> &Suspects) {
  Json Encoded = Json::array();
  for (const SuspectedRequest &Request : Suspects)
    Encoded.push_back({{"fingerprint", Request.Fingerprint},
                       {"team", Request.Team},
                       {"parts", Request.Parts}});
  return Encoded;
}

/// Hosts of earlier releases take it for the clearance of no request.
Json writeSound(const SoundNotice &Sound) {
  Json Encoded{{"fingerprint", 0}, {"sound", Json::array()}};
  for (const SoundPart &Run : Sound.Parts)
    Encoded["sound"].push_back(
        {{"part", Run.Part}, {"age_ns", Run.Age.count()}});
  return Encoded;
}

} // namespace

Json writeNotice(const PoolNotice &Notification) {
  Json Encoded = std::visit(
      Overloaded{
          [](const CrashNotice &Crash) {
            return Json{{"endpoint", Crash.EndpointKey},
                        {"data_centre", Crash.DataCentre.Text},
                        {"run", Crash.Run},
                        {"age_ns", Crash.Age.count()},
                        {"fingerprints", Crash.Fingerprints},
                        {"suspects", writeSuspects(Crash.Suspects)},
                        {"host_run", Crash.History.Host},
                        {"recent_requests", Crash.History.Requests}};
          },
          [](const DismissNotice &Dismiss) {
            return Json{{"endpoint", Dismiss.EndpointKey}};
          },
          [](const ClearNotice &Clear) {
            return Json{{"fingerprint", Clear.Fingerprint}};
          },
          [](const SoundNotice &Sound) { return writeSound(Sound); },
          [](const RateLimitNotice &Rates) { return writeRates(Rates); },
          [](const LeavingNotice &Leaving) { return writeLeaving(Leaving); },
      },
      Notification.Notice);
  Encoded["kind"] = Kinds.at(std::min(Notification.Notice.index(), ClearKind));
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
    if (Reader.has("sound"))
      Decoded.Notice = readSound(Reader);
    else if (Reader.has("rate_limits"))
      Decoded.Notice = readRates(Reader);
    else if (Reader.has("leaving"))
      Decoded.Notice = readLeaving(Reader);
    else
      Decoded.Notice = ClearNotice{Reader.number("fingerprint")};
    break;
  }
  return Decoded;
}

} // namespace coltsfoottrail
