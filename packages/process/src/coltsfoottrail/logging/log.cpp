#include "coltsfoottrail/logging/log.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxValueBytes = 512;
/// Lines that the asynchronous appender buffers: several seconds of a busy
/// host, about 0.3 MB.
constexpr int AsyncBufferLines = 1024;
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7f;

log4cxx::LoggerPtr logger() {
  static const log4cxx::LoggerPtr Logger =
      log4cxx::Logger::getLogger("coltsfoottrail");
  return Logger;
}

log4cxx::LevelPtr log4cxxLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warn:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    break;
  }
  return log4cxx::Level::getError();
}

bool isValidUnquoted(std::string_view Value) {
  return !Value.empty() &&
         std::all_of(Value.begin(), Value.end(), [](char Character) {
           const auto Byte = static_cast<unsigned char>(Character);
           return Byte > FirstPrintable && Byte < Delete && Character != '"' &&
                  Character != '\\' && Character != '=';
         });
}

void appendEscaped(std::string &Line, char Character) {
  const auto Byte = static_cast<unsigned char>(Character);
  if (Character == '"' || Character == '\\') {
    Line += '\\';
    Line += Character;
  } else if (Byte < FirstPrintable || Byte >= Delete) {
    std::array<char, 5> Text{};
    std::snprintf(Text.data(), Text.size(), "\\x%02x",
                  static_cast<unsigned>(Byte));
    Line += Text.data();
  } else {
    Line += Character;
  }
}

void appendValue(std::string &Line, std::string_view Value) {
  const bool IsTruncated = Value.size() > MaxValueBytes;
  const std::string_view Prefix = Value.substr(0, MaxValueBytes);
  if (!IsTruncated && isValidUnquoted(Prefix)) {
    Line += Prefix;
    return;
  }
  Line += '"';
  for (const char Character : Prefix)
    appendEscaped(Line, Character);
  Line += IsTruncated ? "...\"" : "\"";
}

log4cxx::AppenderPtr makeAppender(const std::filesystem::path &File) {
  const log4cxx::LayoutPtr Layout(
      new log4cxx::PatternLayout("%d{yyyy-MM-ddTHH:mm:ss.SSSZ} %-5p %m%n"));
  if (File.empty())
    return log4cxx::AppenderPtr(new log4cxx::ConsoleAppender(
        Layout, log4cxx::ConsoleAppender::getSystemErr()));
  if (!std::ofstream(File, std::ios::app))
    throw Error("the log file \"" + File.string() +
                "\" cannot be opened for writing");
  return log4cxx::AppenderPtr(
      new log4cxx::FileAppender(Layout, File.string(), true));
}

} // namespace

void openLog(const TelemetrySettings &Config) {
  const log4cxx::AppenderPtr Appender = makeAppender(Config.LogFile);
  logger()->removeAllAppenders();
  logger()->setAdditivity(false);
  logger()->setLevel(log4cxxLevel(Config.Level));
  logger()->addAppender(Appender);
}

void openOutputLog(LogLevel MinLevel) {
  const log4cxx::LayoutPtr Layout(
      new log4cxx::PatternLayout("%d{yyyy-MM-ddTHH:mm:ss.SSSZ} %-5p %m%n"));
  const log4cxx::AppenderPtr Output(new log4cxx::ConsoleAppender(
      Layout, log4cxx::ConsoleAppender::getSystemOut()));
  const auto Asynchronous = std::make_shared<log4cxx::AsyncAppender>();
  Asynchronous->setBufferSize(AsyncBufferLines);
  Asynchronous->setBlocking(false);
  Asynchronous->addAppender(Output);
  logger()->removeAllAppenders();
  logger()->setAdditivity(false);
  logger()->setLevel(log4cxxLevel(MinLevel));
  logger()->addAppender(Asynchronous);
}

void closeLog() {
  for (const log4cxx::AppenderPtr &Appender : logger()->getAllAppenders())
    Appender->close();
  logger()->removeAllAppenders();
  logger()->setLevel(log4cxx::Level::getOff());
}

std::string eventLine(Event Kind, std::initializer_list<Field> Fields,
                      std::initializer_list<Field> LeadingFields) {
  std::string Line = "E";
  Line += std::to_string(static_cast<unsigned>(Kind));
  Line += ' ';
  Line += eventInfo(Kind).Name;
  for (const auto &List : {LeadingFields, Fields})
    for (const Field &Entry : List) {
      Line += ' ';
      Line += Entry.Key;
      Line += '=';
      appendValue(Line, Entry.Value);
    }
  return Line;
}

void logEvent(Event Kind, std::initializer_list<Field> Fields) noexcept {
  try {
    if (logger()->isEnabledFor(log4cxxLevel(eventInfo(Kind).Level)))
      logLine(Kind, eventLine(Kind, Fields));
  } catch (const std::exception &Problem) {
    std::fprintf(stderr, "the log cannot be written: %s\n", Problem.what());
  }
}

void logLine(Event Kind, const std::string &Line) noexcept {
  try {
    const log4cxx::LevelPtr Level = log4cxxLevel(eventInfo(Kind).Level);
    if (logger()->isEnabledFor(Level))
      logger()->forcedLog(Level, Line,
                          log4cxx::spi::LocationInfo::getLocationUnavailable());
  } catch (const std::exception &Problem) {
    std::fprintf(stderr, "the log cannot be written: %s\n", Problem.what());
  }
}

std::optional<std::uint64_t> EventSampler::admit(Event Kind, TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  Count &KindCount = Counts[Kind];
  if (Now - KindCount.PeriodStart >= Period) {
    KindCount.PeriodStart = Now;
    KindCount.Admitted = 0;
  }
  if (KindCount.Admitted >= Limit) {
    ++KindCount.Suppressed;
    return std::nullopt;
  }
  ++KindCount.Admitted;
  return std::exchange(KindCount.Suppressed, 0);
}

} // namespace coltsfoottrail
