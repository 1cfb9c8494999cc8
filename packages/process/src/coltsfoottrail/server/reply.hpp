/// @file
/// Hands one value from any thread to a coroutine that waits for it.
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

/// @brief A value that comes later, for one coroutine.
/// @tparam Value What comes.
template <class Value>
class Reply : public std::enable_shared_from_this<Reply<Value>> {
public:
  /// @brief Makes an open reply.
  /// @param Executor Where the coroutine that waits runs.
  explicit Reply(const boost::asio::any_io_executor &Executor)
      : Wake(Executor, boost::asio::steady_timer::time_point::max()) {}

  /// @brief Gives the value. Thread-safe; only the first one counts.
  /// @param Given The value.
  void set(Value Given) {
    boost::asio::post(Wake.get_executor(), [Self = this->shared_from_this(),
                                            What = std::move(Given)]() mutable {
      if (!Self->Ready)
        Self->Ready.emplace(std::move(What));
      Self->Wake.cancel();
    });
  }

  /// @brief Waits for the value. Called once, by the coroutine.
  /// @return The value.
  /// @throws boost::system::system_error The coroutine was cancelled.
  [[nodiscard]] Awaitable<Value> wait() {
    namespace asio = boost::asio;
    const auto Self = this->shared_from_this();
    while (!Ready) {
      boost::system::error_code Woken;
      co_await Wake.async_wait(
          asio::redirect_error(asio::use_awaitable, Woken));
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
