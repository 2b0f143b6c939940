#include "HttpTypes.h"

namespace toucanshed {

namespace {
constexpr unsigned kHttp11 = 11;
}

HttpRequest
MakeRequest(http::verb aVerb,
            std::string_view aTarget,
            std::string aBody,
            std::string_view aContentType)
{
  HttpRequest request{ aVerb, aTarget, kHttp11 };
  if (!aBody.empty()) {
    request.set(http::field::content_type, aContentType);
  }
  request.body() = std::move(aBody);
  request.prepare_payload();
  return request;
}

HttpResponse
MakeResponse(unsigned aStatus, std::string aBody, std::string_view aContentType)
{
  HttpResponse response{ http::int_to_status(aStatus), kHttp11 };
  response.result(aStatus);
  response.set(http::field::content_type, aContentType);
  response.body() = std::move(aBody);
  return response;
}

std::string
QueryParamOf(std::string_view aTarget, std::string_view aName)
{
  const auto mark = aTarget.find('?');
  if (mark == std::string_view::npos) {
    return {};
  }
  std::string_view rest = aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      return equals == std::string_view::npos
               ? std::string{}
               : std::string(pair.substr(equals + 1));
    }
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return {};
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace toucanshed
