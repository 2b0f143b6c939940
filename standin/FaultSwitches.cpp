#include "FaultSwitches.h"

#include <boost/json.hpp>

namespace toucanshed::standin {

std::int64_t
FaultSwitches::Value(const std::string& aName) const
{
  const auto found = this->values.find(aName);
  return found == this->values.end() ? 0 : found->second;
}

void
FaultSwitches::Set(const std::string& aName, std::int64_t aValue)
{
  this->values[aName] = aValue;
  if (aValue != 0) {
    ++this->timesTurnedOn[aName];
  }
}

bool
FaultSwitches::ShouldInject(const std::string& aName)
{
  const std::int64_t percent = this->Value(aName);
  return percent > 0 &&
         this->random.NextBelow(100) < static_cast<std::uint64_t>(percent);
}

std::uint64_t
FaultSwitches::TimesTurnedOn(const std::string& aName) const
{
  const auto found = this->timesTurnedOn.find(aName);
  return found == this->timesTurnedOn.end() ? 0 : found->second;
}

std::optional<HttpResponse>
FaultSwitches::HandleRequest(const HttpRequest& aRequest)
{
  if (aRequest.target() != "/faults") {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto parsed = boost::json::parse(aRequest.body(), error);
  if (error || !parsed.is_object()) {
    return MakeResponse(400, "{\"error\":\"expected an object of numbers\"}\n");
  }
  for (const auto& [name, value] : parsed.as_object()) {
    if (!value.is_int64()) {
      return MakeResponse(400,
                          "{\"error\":\"expected an object of numbers\"}\n");
    }
    this->Set(name, value.as_int64());
  }
  return MakeResponse(200, "{}\n");
}

} // namespace toucanshed::standin
