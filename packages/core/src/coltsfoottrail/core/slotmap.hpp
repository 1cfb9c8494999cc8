/// @file
/// Dense storage addressed by index and generation.
#ifndef COLTSFOOTTRAIL_CORE_SLOTMAP_HPP
#define COLTSFOOTTRAIL_CORE_SLOTMAP_HPP

#include "coltsfoottrail/core/fwd.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief Identifier of an object in a SlotMap; after the object is erased it
/// finds nothing.
/// @tparam Tag Identifies the kind of object; never defined.
template <class Tag> struct Ident {
  std::uint32_t Index = 0;
  std::uint32_t Generation = 0;

  // The linter reports on the body that the compiler makes.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const Ident &, const Ident &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// @brief Container whose objects are addressed by identifiers that are never
/// reused: a slot is reused under another generation.
///
/// Not thread-safe: protected by the lock of the shard that owns it.
/// @tparam Value Type of the objects; movable.
/// @tparam Id An Ident.
template <class Value, class Id> class SlotMap {
public:
  /// @brief Stores an object.
  /// @param Object The object to store.
  /// @return Its identifier.
  [[nodiscard]] Id insert(Value Object) {
    ++Count;
    if (Free.empty()) {
      Slots.push_back(Slot{1, std::move(Object)});
      return Id{static_cast<std::uint32_t>(Slots.size() - 1), 1};
    }
    const std::uint32_t Index = Free.back();
    Free.pop_back();
    Slots[Index].Object.emplace(std::move(Object));
    return Id{Index, Slots[Index].Generation};
  }

  /// @brief Finds an object.
  /// @param Identifier Its identifier.
  /// @return The object, or null when it was erased. Valid until the next
  /// insert or erase.
  [[nodiscard]] Value *find(Id Identifier) noexcept {
    return holds(Identifier) ? &*Slots[Identifier.Index].Object : nullptr;
  }

  /// @copydoc find
  [[nodiscard]] const Value *find(Id Identifier) const noexcept {
    return holds(Identifier) ? &*Slots[Identifier.Index].Object : nullptr;
  }

  /// @brief Removes an object.
  /// @param Identifier Its identifier.
  /// @return The object, or nothing when it was erased before.
  std::optional<Value> erase(Id Identifier) {
    if (!holds(Identifier))
      return std::nullopt;
    std::optional<Value> Object = std::move(Slots[Identifier.Index].Object);
    Slots[Identifier.Index].Object.reset();
    ++Slots[Identifier.Index].Generation;
    Free.push_back(Identifier.Index);
    --Count;
    return Object;
  }

  /// @brief Number of objects.
  [[nodiscard]] std::size_t size() const noexcept { return Count; }

  /// @brief Calls a function with each identifier and object.
  /// @param Visit Takes (Id, Value &); must not insert or erase.
  template <class Function> void each(Function Visit) {
    for (std::uint32_t Index = 0; Index < Slots.size(); ++Index)
      if (Slots[Index].Object)
        Visit(Id{Index, Slots[Index].Generation}, *Slots[Index].Object);
  }

private:
  struct Slot {
    std::uint32_t Generation = 1;
    std::optional<Value> Object;
  };

  [[nodiscard]] bool holds(Id Identifier) const noexcept {
    return Identifier.Index < Slots.size() &&
           Slots[Identifier.Index].Generation == Identifier.Generation &&
           Slots[Identifier.Index].Object;
  }

  std::vector<Slot> Slots;
  std::vector<std::uint32_t> Free;
  std::size_t Count = 0;
};

} // namespace coltsfoottrail

template <class Tag> struct std::hash<coltsfoottrail::Ident<Tag>> {
  [[nodiscard]] std::size_t
  operator()(const coltsfoottrail::Ident<Tag> &Identifier) const noexcept {
    return (static_cast<std::size_t>(Identifier.Generation) << 32U) |
           Identifier.Index;
  }
};

#endif
