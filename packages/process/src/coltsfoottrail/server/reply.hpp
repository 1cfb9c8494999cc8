/// @file
/// Passes one value from any thread to a waiting coroutine.
#ifndef COLTSFOOTTRAIL_SERVER_REPLY_HPP
#define COLTSFOOTTRAIL_SERVER_REPLY_HPP

#include "coltsfoottrail/http/fwd.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace coltsfoottrail {

/// @brief A one-shot channel to one coroutine.
/// @tparam Value Type of the value.
template <class Value>
class Reply : public std::enable_shared_from_this<Reply<Value>> {
public:
  /// @brief Creates a reply without a value.
  /// @param Executor Executor of the waiting coroutine.
  explicit Reply(const boost::asio::any_io_executor &Executor)
      : Wake(Executor, boost::asio::steady_timer::time_point::max()) {}

  /// @brief Sets the value. Thread-safe; calls after the first have no effect.
  /// @param NewValue The value.
  void set(Value NewValue) {
    boost::asio::post(Wake.get_executor(),
                      [Self = this->shared_from_this(),
                       Stored = std::move(NewValue)]() mutable {
                        if (!Self->Ready)
                          Self->Ready.emplace(std::move(Stored));
                        Self->Wake.cancel();
                      });
  }

  /// @brief Waits for the value. Called once, by the waiting coroutine.
  /// @return The value.
  /// @throws boost::system::system_error The coroutine was cancelled.
  [[nodiscard]] Awaitable<Value> wait() {
    namespace asio = boost::asio;
    const auto Self = this->shared_from_this();
    while (!Ready) {
      boost::system::error_code WaitError;
      co_await Wake.async_wait(
          asio::redirect_error(asio::use_awaitable, WaitError));
      const asio::cancellation_state State =
          co_await asio::this_coro::cancellation_state;
      if (State.cancelled() != asio::cancellation_type::none)
        throw boost::system::system_error(asio::error::operation_aborted);
    }
    co_return std::move(*Ready);
  }

private:
  boost::asio::steady_timer Wake;
  std::optional<Value> Ready;
};

} // namespace coltsfoottrail

#endif
