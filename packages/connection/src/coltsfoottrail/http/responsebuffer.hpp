/// @file
/// Bounds the memory of responses that are collected before they are passed on.
#ifndef COLTSFOOTTRAIL_HTTP_RESPONSEBUFFER_HPP
#define COLTSFOOTTRAIL_HTTP_RESPONSEBUFFER_HPP

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace coltsfoottrail {

/// @brief Memory that all responses of a host may take while they are
/// collected. Thread-safe.
class ResponseMemory {
public:
  /// Memory of all responses together, and of one of them.
  static constexpr std::size_t MaxBytes = std::size_t{32} << 20U;
  static constexpr std::size_t MaxResponseBytes = std::size_t{8} << 20U;

  /// @brief Reserves memory.
  /// @return Whether there was enough.
  [[nodiscard]] bool reserve(std::size_t Bytes) noexcept {
    if (Used.fetch_add(Bytes) + Bytes <= MaxBytes)
      return true;
    Used.fetch_sub(Bytes);
    return false;
  }
  /// @brief Returns reserved memory.
  void release(std::size_t Bytes) noexcept { Used.fetch_sub(Bytes); }
  /// @brief Bytes that are reserved.
  [[nodiscard]] std::size_t used() const noexcept { return Used; }

private:
  std::atomic<std::size_t> Used{0};
};

/// @brief The body of one response while it is collected. Not thread-safe.
class ResponseBuffer {
public:
  /// @param Shared Memory of all responses; must outlive this object.
  explicit ResponseBuffer(ResponseMemory &Shared) noexcept : Memory(Shared) {}
  ResponseBuffer(const ResponseBuffer &) = delete;
  ResponseBuffer &operator=(const ResponseBuffer &) = delete;
  ~ResponseBuffer() { Memory.release(Reserved); }

  /// @brief Appends bytes.
  /// @return False if the response is too long, or all responses together take
  /// too much memory.
  [[nodiscard]] bool append(std::string_view Bytes) {
    const bool Fits =
        Reserved + Bytes.size() <= ResponseMemory::MaxResponseBytes;
    if (!Fits || !Memory.reserve(Bytes.size()))
      return false;
    Reserved += Bytes.size();
    Body += Bytes;
    return true;
  }
  /// @brief Number of bytes appended.
  [[nodiscard]] std::size_t size() const noexcept { return Reserved; }
  /// @brief Moves the body out. The memory stays reserved as long as this
  /// object lives.
  [[nodiscard]] std::string take() noexcept { return std::exchange(Body, {}); }

private:
  ResponseMemory &Memory;
  std::size_t Reserved = 0;
  std::string Body;
};

} // namespace coltsfoottrail

#endif
