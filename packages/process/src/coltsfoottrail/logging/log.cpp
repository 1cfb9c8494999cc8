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
/// Lines that wait to be written: several seconds of a busy host, about 0.3 MB.
constexpr int LinesAside = 1024;
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7f;

log4cxx::LoggerPtr logger() {
  static const log4cxx::LoggerPtr Logger =
      log4cxx::Logger::getLogger("coltsfoottrail");
  return Logger;
}

log4cxx::LevelPtr levelOf(LogLevel Level) {
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

bool isPlain(std::string_view Value) {
  return !Value.empty() &&
         std::all_of(Value.begin(), Value.end(), [](char Letter) {
           const auto Byte = static_cast<unsigned char>(Letter);
           return Byte > FirstPrintable && Byte < Delete && Letter != '"' &&
                  Letter != '\\' && Letter != '=';
         });
}

void appendEscaped(std::string &Out, char Letter) {
  const auto Byte = static_cast<unsigned char>(Letter);
  if (Letter == '"' || Letter == '\\') {
    Out += '\\';
    Out += Letter;
  } else if (Byte < FirstPrintable || Byte >= Delete) {
    std::array<char, 5> Text{};
    std::snprintf(Text.data(), Text.size(), "\\x%02x",
                  static_cast<unsigned>(Byte));
    Out += Text.data();
  } else {
    Out += Letter;
  }
}

void appendValue(std::string &Out, std::string_view Value) {
  const bool Cut = Value.size() > MaxValueBytes;
  const std::string_view Shown = Value.substr(0, MaxValueBytes);
  if (!Cut && isPlain(Shown)) {
    Out += Shown;
    return;
  }
  Out += '"';
  for (const char Letter : Shown)
    appendEscaped(Out, Letter);
  Out += Cut ? "...\"" : "\"";
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

void openLog(const TelemetrySettings &Where) {
  const log4cxx::AppenderPtr Appender = makeAppender(Where.LogFile);
  logger()->removeAllAppenders();
  logger()->setAdditivity(false);
  logger()->setLevel(levelOf(Where.Level));
  logger()->addAppender(Appender);
}

void openOutputLog(LogLevel Least) {
  const log4cxx::LayoutPtr Layout(
      new log4cxx::PatternLayout("%d{yyyy-MM-ddTHH:mm:ss.SSSZ} %-5p %m%n"));
  const log4cxx::AppenderPtr Output(new log4cxx::ConsoleAppender(
      Layout, log4cxx::ConsoleAppender::getSystemOut()));
  const auto Aside = std::make_shared<log4cxx::AsyncAppender>();
  Aside->setBufferSize(LinesAside);
  Aside->setBlocking(false);
  Aside->addAppender(Output);
  logger()->removeAllAppenders();
  logger()->setAdditivity(false);
  logger()->setLevel(levelOf(Least));
  logger()->addAppender(Aside);
}

void closeLog() {
  for (const log4cxx::AppenderPtr &Each : logger()->getAllAppenders())
    Each->close();
  logger()->removeAllAppenders();
  logger()->setLevel(log4cxx::Level::getOff());
}

std::string eventLine(Event Which, std::initializer_list<Field> Fields,
                      std::initializer_list<Field> First) {
  std::string Line = "E";
  Line += std::to_string(static_cast<unsigned>(Which));
  Line += ' ';
  Line += eventInfo(Which).Name;
  for (const auto &List : {First, Fields})
    for (const Field &Each : List) {
      Line += ' ';
      Line += Each.Key;
      Line += '=';
      appendValue(Line, Each.Value);
    }
  return Line;
}

void logEvent(Event Which, std::initializer_list<Field> Fields) noexcept {
  try {
    if (logger()->isEnabledFor(levelOf(eventInfo(Which).Level)))
      logLine(Which, eventLine(Which, Fields));
  } catch (const std::exception &Problem) {
    std::fprintf(stderr, "the log cannot be written: %s\n", Problem.what());
  }
}

void logLine(Event Which, const std::string &Line) noexcept {
  try {
    const log4cxx::LevelPtr Level = levelOf(eventInfo(Which).Level);
    if (logger()->isEnabledFor(Level))
      logger()->forcedLog(Level, Line,
                          log4cxx::spi::LocationInfo::getLocationUnavailable());
  } catch (const std::exception &Problem) {
    std::fprintf(stderr, "the log cannot be written: %s\n", Problem.what());
  }
}

std::optional<std::uint64_t> EventSampler::admit(Event Which, TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  Count &Its = Counts[Which];
  if (Now - Its.PeriodStart >= Period) {
    Its.PeriodStart = Now;
    Its.Admitted = 0;
  }
  if (Its.Admitted >= Bound) {
    ++Its.HeldBack;
    return std::nullopt;
  }
  ++Its.Admitted;
  return std::exchange(Its.HeldBack, 0);
}

} // namespace coltsfoottrail
