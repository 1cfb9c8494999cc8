#include "coltsfoottrail/signals/signalloop.hpp"

#include "coltsfoottrail/logging/log.hpp"

#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

namespace coltsfoottrail {

SignalLoop::SignalLoop() : Signals(Context, SIGINT, SIGTERM, SIGHUP) {}

void SignalLoop::run(SignalHandlers Callbacks) {
  Handlers = std::move(Callbacks);
  listen();
  Context.run();
}

void SignalLoop::requestStop(std::function<void()> OnBegun) {
  boost::asio::post(Context, [this, Begun = std::move(OnBegun)] {
    if (!Stopping && Begun)
      Begun();
    beginStop();
  });
}

void SignalLoop::end() { Context.stop(); }

void SignalLoop::listen() {
  Signals.async_wait(
      [this](const boost::system::error_code &Problem, int Signal) {
        if (Problem)
          return;
        handle(Signal);
        listen();
      });
}

void SignalLoop::handle(int Signal) {
  if (Signal == SIGHUP)
    Handlers.OnReload();
  else
    beginStop();
}

void SignalLoop::beginStop() {
  if (std::exchange(Stopping, true))
    logEvent(Event::SecondStopSignal);
  else
    Handlers.OnStop();
}

} // namespace coltsfoottrail
