#include "Endpoint.h"

#include <charconv>

namespace toucanshed {

Result<Endpoint>
ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ErrorCode::eInvalid, "given " + aText + ", expected IP:PORT");
  }
  boost::system::error_code error;
  const auto address =
    boost::asio::ip::make_address(aText.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* begin = aText.data() + colon + 1;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(begin, end, port);
  if (error || parsed.ec != std::errc{} || parsed.ptr != end || port == 0) {
    return Fail(ErrorCode::eInvalid, "given " + aText + ", expected IP:PORT");
  }
  return Endpoint(address, port);
}

std::string
ToText(const Endpoint& aEndpoint)
{
  return aEndpoint.address().to_string() + ":" +
         std::to_string(aEndpoint.port());
}

} // namespace toucanshed
