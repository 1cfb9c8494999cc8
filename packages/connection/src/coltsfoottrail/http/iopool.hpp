/// @file
/// Thread pool for network I/O.
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

/// @brief A fixed number of threads with one io_context each. A connection
/// stays on one thread for its lifetime and therefore needs no locks.
class IoPool {
public:
  /// @brief Starts the threads.
  /// @param Count Number of threads; zero is treated as one.
  explicit IoPool(std::size_t Count);
  IoPool(const IoPool &) = delete;
  IoPool &operator=(const IoPool &) = delete;
  /// @brief Stops and joins the threads.
  ~IoPool();

  /// @brief Stops and joins the threads; pending handlers do not run any more.
  /// May be called more than once, but not from one of the threads.
  void stop();

  /// @brief Destroys the contexts and with them all pending handlers and
  /// suspended coroutines. Objects that these refer to must still be alive.
  /// Precondition: stop() was called, and no socket or timer outside the
  /// contexts uses them.
  void clear();

  /// @brief Number of threads. Thread-safe.
  [[nodiscard]] std::size_t size() const noexcept;

  /// @brief The I/O context of a thread. Thread-safe.
  /// @param Index Thread index, less than size().
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
