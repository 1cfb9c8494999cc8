#include "coltsfoottrail/mesh/outbox.hpp"

namespace coltsfoottrail::internal {

namespace {

/// Bulk may use this share of a bound.
constexpr std::size_t bulkShare(std::size_t Bound) { return Bound - Bound / 4; }

} // namespace

Outbox::~Outbox() { Total -= Bytes; }

bool Outbox::fits(std::size_t NewBytes, bool Bulk) const {
  const std::size_t MaxMessages =
      Bulk ? bulkShare(Limits.MaxMessages) : Limits.MaxMessages;
  const std::size_t MaxBytes =
      Bulk ? bulkShare(Limits.MaxBytes) : Limits.MaxBytes;
  const std::size_t MaxShared = Bulk ? bulkShare(MaxTotal) : MaxTotal;
  return Count < MaxMessages && Bytes + NewBytes <= MaxBytes &&
         Total + NewBytes <= MaxShared;
}

Outgoing Outbox::takeFront(std::size_t Index) {
  Outgoing Out{static_cast<Channel>(Index), std::move(Waiting[Index].front())};
  Waiting[Index].pop_front();
  --Count;
  Bytes -= Out.Bytes->size();
  Total -= Out.Bytes->size();
  return Out;
}

Queued Outbox::push(Outgoing Message) {
  const std::lock_guard Lock(Mutex);
  const auto Index = static_cast<std::size_t>(Message.Which);
  const std::size_t NewBytes = Message.Bytes->size();
  const bool Bulk = isBulk(Message.Which);
  Queued Out;
  if (Closed)
    return Out;
  while (!fits(NewBytes, Bulk)) {
    if (fullPolicy(Message.Which) == FullPolicy::Refuse ||
        Waiting[Index].empty())
      return Out;
    (void)takeFront(Index);
    ++Out.Evicted;
  }
  Waiting[Index].push_back(std::move(Message.Bytes));
  ++Count;
  Bytes += NewBytes;
  Total += NewBytes;
  Out.Taken = true;
  return Out;
}

std::optional<Outgoing> Outbox::pop() {
  const std::lock_guard Lock(Mutex);
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index)
    if (!Waiting[Index].empty())
      return takeFront(Index);
  return std::nullopt;
}

void Outbox::drainInto(Outbox &Next) {
  const std::lock_guard Lock(Mutex);
  Closed = true;
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index)
    while (!Waiting[Index].empty())
      (void)Next.push(takeFront(Index));
}

std::array<std::size_t, ChannelCount> Outbox::close() {
  const std::lock_guard Lock(Mutex);
  Closed = true;
  std::array<std::size_t, ChannelCount> Out{};
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index) {
    Out[Index] = Waiting[Index].size();
    while (!Waiting[Index].empty())
      (void)takeFront(Index);
  }
  return Out;
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
