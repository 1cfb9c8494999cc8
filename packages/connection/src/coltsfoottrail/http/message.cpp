#include "coltsfoottrail/http/message.hpp"

#include <boost/beast/core/string.hpp>
#include <utility>

namespace coltsfoottrail {

std::string_view fieldOf(const std::vector<HttpField> &Fields,
                         std::string_view Name) noexcept {
  for (const HttpField &Field : Fields)
    if (boost::beast::iequals(Field.Name, Name))
      return Field.Value;
  return {};
}

HttpResponse jsonResponse(unsigned Status, std::string Body) {
  return HttpResponse{
      Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

} // namespace coltsfoottrail
