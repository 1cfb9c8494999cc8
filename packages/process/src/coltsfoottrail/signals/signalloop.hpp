/// @file
/// Signals of a process, from its start to its end.
#ifndef COLTSFOOTTRAIL_SIGNALS_SIGNALLOOP_HPP
#define COLTSFOOTTRAIL_SIGNALS_SIGNALLOOP_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace coltsfoottrail {

/// @brief What a process does on signals.
struct SignalHandlers {
  /// Called on the first SIGINT or SIGTERM; later ones are logged.
  std::function<void()> OnStop;
  /// Called on each SIGHUP.
  std::function<void()> OnReload;
};

/// @brief Handles SIGINT, SIGTERM and SIGHUP. None of them ends the process
/// from the creation of this object on; those that arrive before run() are
/// handled there.
class SignalLoop {
public:
  SignalLoop();

  /// @brief Handles signals until end().
  /// @param Callbacks Called on the calling thread.
  void run(SignalHandlers Callbacks);

  /// @brief Begins a stop as if SIGTERM had arrived. Thread-safe.
  /// @param OnBegun Called before OnStop if the stop had not begun; may be
  /// empty.
  void requestStop(std::function<void()> OnBegun = {});

  /// @brief Makes run() return. Thread-safe.
  void end();

private:
  void listen();
  void handle(int Signal);
  void beginStop();

  boost::asio::io_context Context{1};
  boost::asio::signal_set Signals;
  SignalHandlers Handlers;
  bool Stopping = false;
};

} // namespace coltsfoottrail

#endif
