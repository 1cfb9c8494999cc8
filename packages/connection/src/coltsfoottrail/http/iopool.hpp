/// @file
/// The threads that carry connections.
#ifndef COLTSFOOTTRAIL_HTTP_IOPOOL_HPP
#define COLTSFOOTTRAIL_HTTP_IOPOOL_HPP

#include "coltsfoottrail/http/fwd.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace coltsfoottrail {

/// @brief A fixed number of threads with an io_context each; a connection stays
/// on one of them for its whole life and needs no lock.
class IoPool {
public:
  /// @brief Starts the threads.
  /// @param Threads How many; at least one.
  explicit IoPool(std::size_t Threads);
  IoPool(const IoPool &) = delete;
  IoPool &operator=(const IoPool &) = delete;
  /// @brief Stops and joins the threads.
  ~IoPool();

  /// @brief Stops and joins the threads; what they carried is dropped. Safe to
  /// call twice, not from one of the threads.
  void stop();

  /// @brief Destroys the contexts with all that still waits in them: suspended
  /// coroutines end here, while what they refer to is still alive.
  /// Precondition: stop(), and no socket or timer outside of them uses them.
  void clear();

  /// @brief How many threads there are. Thread-safe.
  [[nodiscard]] std::size_t size() const noexcept;

  /// @brief The context of one thread. Thread-safe.
  /// @param Index Below size().
  [[nodiscard]] boost::asio::io_context &context(std::size_t Index);

private:
  using Guard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<boost::asio::io_context>> Contexts;
  std::vector<Guard> Guards;
  std::vector<std::thread> Threads;
};

} // namespace coltsfoottrail

#endif
