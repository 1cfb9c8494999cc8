/// @file
/// Stand-in for a model engine.
#ifndef COLTSFOOTTRAIL_STANDIN_ENGINE_HPP
#define COLTSFOOTTRAIL_STANDIN_ENGINE_HPP

#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/standin/fwd.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief What an engine can do.
struct EngineTraits {
  bool RefusesOldFences = true;
  /// Requests at once that it bears when warm; more make it fall over.
  std::uint32_t MaxConcurrentRequests = 64;
  milliseconds LoadTime{50};
  milliseconds TimePerToken{2};
};

/// @brief How an engine misbehaves.
struct EngineFaults {
  /// A prompt that holds this text breaks the connection, as a crash does.
  std::string CrashOn;
  /// Streams are cut after so many tokens; zero for never.
  std::uint32_t CutAfterTokens = 0;
  /// Added before the first token.
  milliseconds Delay{0};
};

/// @brief The text that every engine drafts for a prompt. Thread-safe.
/// @param Prompt Text of a completion's prompt.
/// @param Tokens Its max_tokens.
[[nodiscard]] std::string completionText(std::string_view Prompt,
                                         std::uint64_t Tokens);

/// @brief A model engine: takes orders, drafts deterministic text, counts.
class EngineStandin {
public:
  /// @brief Starts to serve.
  /// @param Threads Where connections live; must outlive the stand-in.
  /// @param Address IP number.
  /// @param Port Port; zero for any free one.
  /// @param Traits What it can do.
  EngineStandin(IoPool &Threads, const std::string &Address, std::uint16_t Port,
                EngineTraits Traits);

  /// @brief The port served on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief Sets the faults. Thread-safe.
  void setFaults(EngineFaults Wanted);
  /// @brief Forgets its group and takes another run, as a restart does.
  /// Thread-safe.
  void restart();
  /// @brief What it says of itself. Thread-safe.
  [[nodiscard]] EngineReport report() const;
  /// @brief Most requests that it had at once. Thread-safe.
  [[nodiscard]] std::uint32_t peakConcurrency() const;
  /// @brief Requests that it began to work on. Thread-safe.
  [[nodiscard]] std::uint64_t started() const;
  /// @brief Requests whose caller went away before the end. Thread-safe.
  [[nodiscard]] std::uint64_t cancelled() const;

private:
  struct Work;
  struct Running;

  [[nodiscard]] Awaitable<void> handle(Exchange &Call);
  [[nodiscard]] Awaitable<void> complete(Exchange &Call);
  [[nodiscard]] Awaitable<void> streamWords(Exchange &Call, const Work &Asked);
  [[nodiscard]] Awaitable<void> answerWhole(Exchange &Call, const Work &Asked);
  [[nodiscard]] HttpResponse obey(const std::string &Body);
  [[nodiscard]] HttpResponse setFaultsFrom(const std::string &Body);
  [[nodiscard]] std::optional<HttpResponse> refuse(const HttpRequest &Asked);
  void settlePhase() const;

  EngineTraits Can;
  mutable std::mutex Lock;
  EngineFaults Faults;
  mutable EngineReport Now;
  mutable TimePoint LoadedAt{};
  std::uint32_t Most = 0;
  std::uint64_t Started = 0;
  std::uint64_t Cancelled = 0;
  HttpServer Server;
};

} // namespace coltsfoottrail

#endif
