#include "coltsfoottrail/mesh/outbox.hpp"

namespace coltsfoottrail::internal {

namespace {

/// The part of a bound that bulk channels may use: three quarters.
constexpr std::size_t bulkLimit(std::size_t Bound) { return Bound - Bound / 4; }

} // namespace

Outbox::~Outbox() { SharedBytes -= Bytes; }

bool Outbox::fits(std::size_t NewBytes, bool Bulk) const {
  const std::size_t MaxMessages =
      Bulk ? bulkLimit(Bounds.MaxMessages) : Bounds.MaxMessages;
  const std::size_t MaxBytes =
      Bulk ? bulkLimit(Bounds.MaxBytes) : Bounds.MaxBytes;
  const std::size_t SharedLimit =
      Bulk ? bulkLimit(MaxSharedBytes) : MaxSharedBytes;
  return Count < MaxMessages && Bytes + NewBytes <= MaxBytes &&
         SharedBytes + NewBytes <= SharedLimit;
}

QueuedMessage Outbox::popFront(std::size_t Index) {
  QueuedMessage Message{static_cast<Channel>(Index),
                        std::move(Queues[Index].front())};
  Queues[Index].pop_front();
  --Count;
  Bytes -= Message.Bytes->size();
  SharedBytes -= Message.Bytes->size();
  return Message;
}

PushResult Outbox::push(QueuedMessage Message) {
  const std::lock_guard Lock(Mutex);
  const auto Index = static_cast<std::size_t>(Message.ChannelId);
  const std::size_t NewBytes = Message.Bytes->size();
  const bool Bulk = isBulk(Message.ChannelId);
  PushResult Result;
  if (Closed)
    return Result;
  while (!fits(NewBytes, Bulk)) {
    if (overflowPolicy(Message.ChannelId) == OverflowPolicy::Reject ||
        Queues[Index].empty())
      return Result;
    (void)popFront(Index);
    ++Result.Evicted;
  }
  Queues[Index].push_back(std::move(Message.Bytes));
  ++Count;
  Bytes += NewBytes;
  SharedBytes += NewBytes;
  Result.Accepted = true;
  return Result;
}

std::optional<QueuedMessage> Outbox::pop() {
  const std::lock_guard Lock(Mutex);
  for (std::size_t Index = 0; Index < Queues.size(); ++Index)
    if (!Queues[Index].empty())
      return popFront(Index);
  return std::nullopt;
}

void Outbox::moveTo(Outbox &Successor) {
  const std::lock_guard Lock(Mutex);
  Closed = true;
  for (std::size_t Index = 0; Index < Queues.size(); ++Index)
    while (!Queues[Index].empty())
      (void)Successor.push(popFront(Index));
}

std::array<std::size_t, ChannelCount> Outbox::close() {
  const std::lock_guard Lock(Mutex);
  Closed = true;
  std::array<std::size_t, ChannelCount> Discarded{};
  for (std::size_t Index = 0; Index < Queues.size(); ++Index) {
    Discarded[Index] = Queues[Index].size();
    while (!Queues[Index].empty())
      (void)popFront(Index);
  }
  return Discarded;
}

std::size_t Outbox::size() const {
  const std::lock_guard Lock(Mutex);
  return Count;
}

std::size_t Outbox::bytes() const {
  const std::lock_guard Lock(Mutex);
  return Bytes;
}

} // namespace coltsfoottrail::internal
