#include "coltsfoottrail/http/iopool.hpp"

#include <algorithm>

namespace coltsfoottrail {

IoPool::IoPool(std::size_t Count) {
  const std::size_t ThreadCount = std::max<std::size_t>(Count, 1);
  for (std::size_t Index = 0; Index < ThreadCount; ++Index) {
    Contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    Guards.push_back(boost::asio::make_work_guard(*Contexts.back()));
  }
  for (const auto &Context : Contexts)
    Threads.emplace_back([IoContext = Context.get()] { IoContext->run(); });
}

IoPool::~IoPool() { stop(); }

void IoPool::stop() {
  Guards.clear();
  for (const auto &Context : Contexts)
    Context->stop();
  for (std::thread &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
}

void IoPool::clear() { Contexts.clear(); }

std::size_t IoPool::size() const noexcept { return Contexts.size(); }

boost::asio::io_context &IoPool::context(std::size_t Index) {
  return *Contexts.at(Index);
}

} // namespace coltsfoottrail
