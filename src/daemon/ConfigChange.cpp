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
ErrorReply(unsigned aStatus, const std::string& aMessage)
{
  return MakeResponse(
    aStatus, json::serialize(json::object{ { "error", aMessage } }) + "\n");
}

Task<std::optional<ChangeResult>>
AwaitChangeResult(DaemonState& aState, Worker& aWorker, std::string aChangeId)
{
  std::optional<ChangeResult> verdict;
  const TimePoint limit = aState.Now() + kConfirmTimeout;
  co_await AwaitApplied(aState, aWorker, limit, [&] {
    verdict = aState.control.WithLock([&](ControlReader& aReader) {
      return aReader.Table().ResultOf(aChangeId);
    });
    return verdict.has_value();
  });
  co_return verdict;
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
  const auto reply =
    co_await Fetch(aWorker, *endpoint, std::move(request), timeouts);
  if (!reply) {
    co_return false;
  }
  std::uint64_t applied = 0;
  const std::string& text = reply->body();
  std::from_chars(text.data(), text.data() + text.size(), applied);
  co_return applied >= aRevision.value;
}

/** Waits for the daemons that are alive; \return ids of those behind. */
Task<std::vector<std::string>>
AwaitAllDaemons(DaemonState& aState, Worker& aWorker, Position aRevision)
{
  const TimePoint limit = aState.Now() + kPropagationTimeout;
  std::set<std::string> done;
  while (true) {
    std::vector<std::pair<std::string, std::string>> others;
    aState.membership.WithLock([&](Membership& aMembers) {
      for (const auto& [id, view] : aMembers.Others()) {
        if (view.member.status() != peer::DEAD && done.count(id) == 0) {
          others.emplace_back(id, view.member.operator_address());
        }
      }
    });
    std::vector<std::string> behind;
    for (const auto& [id, address] : others) {
      const bool applied = co_await HasApplied(aWorker, address, aRevision);
      if (applied) {
        done.insert(id);
      } else {
        behind.push_back(id);
      }
    }
    if (behind.empty() || aState.Now() >= limit) {
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
    co_return ErrorReply(400, std::string(status.message()));
  }
  const auto complaints = ValidateDocument(change->document(), "document");
  if (!complaints.empty()) {
    co_return ErrorReply(422, FormatValidationErrors(complaints));
  }
  const std::string changeId = aState.NewId("c");
  change->set_change_id(changeId);
  change->set_written_ms(static_cast<std::uint64_t>(aState.Now().ms));
  aState.control.WithLock(
    [&](ControlReader& aReader) { aReader.Queue().Add(std::move(record)); });
  aState.appendRequested.NotifyAll();
  const auto verdict = co_await AwaitChangeResult(aState, aWorker, changeId);
  if (!verdict) {
    co_return ErrorReply(
      503, "the log has not confirmed; the change may still come into force");
  }
  if (!verdict->accepted) {
    co_return ErrorReply(409, verdict->reason);
  }
  json::object answer{ { "revision", verdict->revision.value } };
  if (QueryParamOf(aRequest.target(), "wait") == "1") {
    json::array behind;
    for (const std::string& id :
         co_await AwaitAllDaemons(aState, aWorker, verdict->revision)) {
      behind.push_back(json::string(id));
    }
    answer["behind"] = behind;
  }
  co_return MakeResponse(200, json::serialize(answer) + "\n");
}

} // namespace toucanshed
