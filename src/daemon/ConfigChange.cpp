#include "ConfigChange.h"

#include "coord/DocumentValidation.h"
#include "edge/HttpExchange.h"

#include <boost/json.hpp>
#include <charconv>
#include <google/protobuf/util/json_util.h>

namespace toucanshed {

namespace json = boost::json;

namespace {

constexpr Millis kConfirmTimeout{ 8000 };
constexpr Millis kPropagationTimeout{ 10000 };
constexpr Millis kAppliedPollInterval{ 50 };

HttpResponse
ErrorResponse(unsigned aStatus, const std::string& aMessage)
{
  return MakeResponse(
    aStatus, json::serialize(json::object{ { "error", aMessage } }) + "\n");
}

Task<std::optional<ChangeResult>>
AwaitChangeResult(DaemonState& aState, Worker& aWorker, std::string aChangeId)
{
  std::optional<ChangeResult> result;
  const TimePoint deadline = aState.Now() + kConfirmTimeout;
  co_await AwaitApplied(aState, aWorker, deadline, [&] {
    result = aState.control.WithLock([&](ControlReader& aReader) {
      return aReader.Table().ResultOf(aChangeId);
    });
    return result.has_value();
  });
  co_return result;
}

Task<bool>
HasApplied(Worker& aWorker, std::string aAddress, Position aRevision)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return false;
  }
  HttpRequest request = MakeRequest(http::verb::get, "/applied");
  CallTimeouts timeouts;
  timeouts.head = Millis(500);
  const auto response =
    co_await Fetch(aWorker, *endpoint, std::move(request), timeouts);
  if (!response) {
    co_return false;
  }
  std::uint64_t applied = 0;
  const std::string& responseText = response->body();
  std::from_chars(
    responseText.data(), responseText.data() + responseText.size(), applied);
  co_return applied >= aRevision.value;
}

/** Waits until all daemons that are not dead have applied a revision.
 * \return the ids of those that have not applied it in time. */
Task<std::vector<std::string>>
AwaitAllDaemons(DaemonState& aState, Worker& aWorker, Position aRevision)
{
  const TimePoint deadline = aState.Now() + kPropagationTimeout;
  std::set<std::string> upToDate;
  while (true) {
    std::vector<std::pair<std::string, std::string>> pending;
    aState.membership.WithLock([&](Membership& aMembers) {
      for (const auto& [id, view] : aMembers.Others()) {
        if (view.member.status() != peer::DEAD && upToDate.count(id) == 0) {
          pending.emplace_back(id, view.member.operator_address());
        }
      }
    });
    std::vector<std::string> behind;
    for (const auto& [id, address] : pending) {
      const bool applied = co_await HasApplied(aWorker, address, aRevision);
      if (applied) {
        upToDate.insert(id);
      } else {
        behind.push_back(id);
      }
    }
    if (behind.empty() || aState.Now() >= deadline) {
      co_return behind;
    }
    co_await Sleep(kAppliedPollInterval);
  }
}

} // namespace

Task<HttpResponse>
ApplyConfigChange(DaemonState& aState,
                  Worker& aWorker,
                  const HttpRequest& aRequest)
{
  records::Record record;
  records::ConfigChange* change = record.mutable_config();
  const auto status =
    google::protobuf::util::JsonStringToMessage(aRequest.body(), change);
  if (!status.ok()) {
    co_return ErrorResponse(400, std::string(status.message()));
  }
  const auto errors = ValidateDocument(change->document(), "document");
  if (!errors.empty()) {
    co_return ErrorResponse(422, FormatValidationErrors(errors));
  }
  const std::string changeId = aState.NewId("c");
  change->set_change_id(changeId);
  change->set_written_ms(static_cast<std::uint64_t>(aState.Now().ms));
  aState.control.WithLock(
    [&](ControlReader& aReader) { aReader.Queue().Add(std::move(record)); });
  aState.appendRequested.NotifyAll();
  const auto result = co_await AwaitChangeResult(aState, aWorker, changeId);
  if (!result) {
    co_return ErrorResponse(
      503, "the log has not confirmed; the change may still come into force");
  }
  if (!result->accepted) {
    co_return ErrorResponse(409, result->reason);
  }
  json::object body{ { "revision", result->revision.value } };
  if (QueryParamOf(aRequest.target(), "wait") == "1") {
    json::array behind;
    for (const std::string& id :
         co_await AwaitAllDaemons(aState, aWorker, result->revision)) {
      behind.push_back(json::string(id));
    }
    body["behind"] = behind;
  }
  co_return MakeResponse(200, json::serialize(body) + "\n");
}

} // namespace toucanshed
