#include "coltsfoottrail/platform/engine.hpp"

namespace coltsfoottrail {

std::string textOf(const EngineAddress &Address) {
  const bool IsIpv6 = Address.Address.find(':') != std::string::npos;
  const std::string Host =
      IsIpv6 ? "[" + Address.Address + "]" : Address.Address;
  return Host + ":" + std::to_string(Address.Port);
}

} // namespace coltsfoottrail
