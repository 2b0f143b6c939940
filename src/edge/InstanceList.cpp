#include "InstanceList.h"

#include "HttpExchange.h"
#include "Json.h"
#include "Worker.h"

#include <boost/json.hpp>

namespace toucanshed {

namespace {

EngineReport
ParseBackend(const boost::json::object& aInstance)
{
  EngineReport report;
  report.id = InstanceId{ StringOf(aInstance, "id") };
  report.address = StringOf(aInstance, "address");
  report.service = ServiceId{ StringOf(aInstance, "service") };
  report.version = VersionId{ StringOf(aInstance, "version") };
  report.zone = ZoneId{ StringOf(aInstance, "zone") };
  report.incarnation = StringOf(aInstance, "incarnation");
  report.slots = std::max<std::uint64_t>(1, NumberOf(aInstance, "slots"));
  report.leaving = StringOf(aInstance, "state") == "leaving";
  return report;
}

} // namespace

Task<Result<InstanceList>>
FetchInstanceList(Worker& aWorker, Endpoint aEndpoint)
{
  HttpRequest request = MakeRequest(http::verb::get, "/instances");
  CallTimeouts timeouts;
  timeouts.head = std::chrono::milliseconds(1000);
  const auto response =
    co_await Fetch(aWorker, aEndpoint, std::move(request), timeouts);
  if (!response || response->result_int() != 200) {
    co_return Fail(ErrorCode::eUnavailable, "cannot fetch the instance list");
  }
  boost::system::error_code error;
  const auto parsed = boost::json::parse(response->body(), error);
  if (error || !parsed.is_array()) {
    co_return Fail(ErrorCode::eProtocol,
                   "instance list: expected a JSON array");
  }
  InstanceList list;
  for (const auto& entry : parsed.as_array()) {
    if (!entry.is_object()) {
      continue;
    }
    const std::string role = StringOf(entry.as_object(), "role");
    if (role == "backend") {
      list.backends.push_back(ParseBackend(entry.as_object()));
    } else if (role == "entry") {
      list.peerAddresses.push_back(StringOf(entry.as_object(), "peer_address"));
    }
  }
  co_return list;
}

} // namespace toucanshed
