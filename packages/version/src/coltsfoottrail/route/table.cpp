#include "coltsfoottrail/route/table.hpp"

namespace coltsfoottrail {

std::string poolOfModel(std::string_view Model) {
  return "model/" + std::string(Model);
}

std::string poolOfService(std::string_view Service) {
  return "service/" + std::string(Service);
}

} // namespace coltsfoottrail
