#include "coltsfoottrail/platform/engine.hpp"

namespace coltsfoottrail {

std::string textOf(const EngineAddress &Address) {
  const bool IsV6 = Address.Address.find(':') != std::string::npos;
  const std::string Shown =
      IsV6 ? "[" + Address.Address + "]" : Address.Address;
  return Shown + ":" + std::to_string(Address.Port);
}

} // namespace coltsfoottrail
