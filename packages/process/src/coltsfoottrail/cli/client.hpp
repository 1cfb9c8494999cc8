/// @file
/// Calls to the operators' interface of whichever entry host answers.
#ifndef COLTSFOOTTRAIL_CLI_CLIENT_HPP
#define COLTSFOOTTRAIL_CLI_CLIENT_HPP

#include "coltsfoottrail/cli/command.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/settings/secret.hpp"

#include <functional>
#include <string>
#include <variant>

namespace coltsfoottrail {

/// @brief A request that may have been carried out although no answer came. It
/// is not sent again; the status tells what became of it.
class AnswerLost : public CommandError {
public:
  /// @brief Says at which host an answer was lost.
  /// @param Host The host.
  explicit AnswerLost(const std::string &Host)
      : CommandError(ExitCode::NoAnswer,
                     "the answer of " + Host +
                         " was lost; the request may have been taken and is "
                         "not sent again: look at the status before you ask "
                         "again") {}
};

/// @brief Calls entry hosts in order. Belongs to one thread.
///
/// Failure guarded against: a confirmation whose answer is lost is sent again
/// to another host and takes effect a second time, or is told to be a conflict
/// with itself. So a request that changes something goes to the next host only
/// where no byte of it can have left this one.
class OperatorClient {
public:
  /// Sends one request and gives the answer.
  using Send = std::function<std::variant<HttpResponse, CallFailure>(
      const EngineAddress &, HttpRequest, milliseconds)>;

  /// @brief Makes a client.
  /// @param Given Hosts, operator and timeout.
  /// @param Credential The operators' credential.
  /// @param Sender How to send; fetchBlocking outside of tests.
  OperatorClient(ConnectionOptions Given, Secret Credential, Send Sender);

  /// @brief Looks something up; may be asked of several hosts.
  /// @param Target Path.
  /// @return The answer's body.
  /// @throws CommandError No host answers, or the answer is a refusal.
  [[nodiscard]] Json query(const std::string &Target) const;

  /// @brief Sends a request that changes something; at most one host gets it.
  /// @param Target Path.
  /// @param Body What to send.
  /// @return The answer's body.
  /// @throws AnswerLost It may have been taken.
  /// @throws CommandError No host answers, or the answer is a refusal.
  [[nodiscard]] Json submit(const std::string &Target, const Json &Body) const;

private:
  enum class Kind : std::uint8_t { Lookup, Change };
  [[nodiscard]] Json call(const HttpRequest &Asked, Kind What) const;
  [[nodiscard]] HttpRequest requestTo(const std::string &Target) const;

  ConnectionOptions Options;
  Secret Proof;
  Send Sending;
};

} // namespace coltsfoottrail

#endif
