/// @file
/// Client of the operators' interface, which tries several entry hosts.
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

/// @brief A request may have been executed although no answer arrived. It is
/// not retried; the status shows whether it took effect.
class AnswerLost : public CommandError {
public:
  /// @brief Reports the host whose answer was lost.
  /// @param Host The host.
  explicit AnswerLost(const std::string &Host)
      : CommandError(ExitCode::NoAnswer,
                     "the answer of " + Host +
                         " was lost; the request may have been taken and is "
                         "not sent again: look at the status before you ask "
                         "again") {}
};

/// @brief Calls entry hosts in order until one answers. Not thread-safe.
///
/// Failure guarded against: a confirmation whose answer is lost is sent again
/// to another host and takes effect twice, or is refused as a conflict with
/// itself. A request that changes something is therefore sent to the next host
/// only if no byte of it can have been sent to the previous one.
class OperatorClient {
public:
  /// Sends one request and returns the answer.
  using Send = std::function<std::variant<HttpResponse, CallFailure>(
      const EngineAddress &, HttpRequest, milliseconds)>;

  /// @brief Makes a client.
  /// @param Connection Hosts, operator and timeout.
  /// @param OperatorCredential The operators' credential.
  /// @param SendFunction Sends a request; fetchBlocking outside of tests.
  OperatorClient(ConnectionOptions Connection, Secret OperatorCredential,
                 Send SendFunction);

  /// @brief Sends a GET request; if a host does not answer, the next one is
  /// asked.
  /// @param Target Path of the request.
  /// @return The answer's body.
  /// @throws CommandError No host answers, or the answer is a refusal.
  [[nodiscard]] Json query(const std::string &Target) const;

  /// @brief Sends a POST request, which at most one host executes.
  /// @param Target Path of the request.
  /// @param Body Body of the request.
  /// @return The answer's body.
  /// @throws AnswerLost The request may have been executed.
  /// @throws CommandError No host answers, or the answer is a refusal.
  [[nodiscard]] Json submit(const std::string &Target, const Json &Body) const;

private:
  enum class Kind : std::uint8_t { Query, Change };
  [[nodiscard]] Json call(const HttpRequest &Request, Kind Effect) const;
  [[nodiscard]] HttpRequest makeRequest(const std::string &Target) const;

  ConnectionOptions Options;
  Secret Credential;
  Send Sender;
};

} // namespace coltsfoottrail

#endif
