#include "OperatorApi.h"

#include "ConfigChange.h"
#include "Handover.h"
#include "base/Version.h"
#include "edge/ClientMetrics.h"

#include <boost/json.hpp>
#include <charconv>
#include <google/protobuf/util/json_util.h>

namespace toucanshed {

namespace json = boost::json;

namespace {

/** If neither the log nor a peer is reachable for this time, the daemon's
 * configuration may be outdated. The daemon is then not ready, so that other
 * daemons serve its callers. */
constexpr Millis kMaxIsolationTime{ 30000 };

json::array
MembersJson(DaemonState& aState)
{
  static const std::array<const char*, 4> sStatusNames{
    "alive", "suspect", "dead", "leaving"
  };
  json::array members;
  aState.membership.WithLock([&](Membership& aMembers) {
    for (const auto& [id, view] : aMembers.Others()) {
      members.push_back(json::object{
        { "id", id },
        { "zone", view.member.zone() },
        { "status",
          sStatusNames.at(static_cast<std::size_t>(view.member.status())) },
        { "operator_address", view.member.operator_address() } });
    }
  });
  return members;
}

json::array
BackendsJson(DaemonState& aState)
{
  json::array backends;
  const TimePoint now = aState.Now();
  aState.router.WithLock([&](Router& aRouter) {
    for (const EngineReport& report : aRouter.Reports()) {
      const Engine* engine = aRouter.FindIncarnation(IncarnationKeyOf(report));
      backends.push_back(
        json::object{ { "id", report.id.value },
                      { "service", report.service.value },
                      { "version", report.version.value },
                      { "zone", report.zone.value },
                      { "running", report.running },
                      { "waiting", report.waiting },
                      { "slots", report.slots },
                      { "leaving", report.leaving },
                      { "down", engine->downUntil > now },
                      { "in_flight", engine->inFlight },
                      { "limit", engine->concurrencyLimit.Value() } });
    }
  });
  return backends;
}

json::array
RolloutsJson(DaemonState& aState)
{
  json::array rollouts;
  aState.control.WithLock([&](ControlReader& aReader) {
    for (const auto& [position, rollout] :
         aReader.Table().RolloutsByRevision()) {
      rollouts.push_back(json::object{ { "move", position.value },
                                       { "service", rollout.service.value },
                                       { "from", rollout.from.value },
                                       { "to", rollout.to.value },
                                       { "step", rollout.step },
                                       { "status", ToText(rollout.status) },
                                       { "reason", rollout.reason } });
    }
  });
  return rollouts;
}

json::array
QueuesJson(DaemonState& aState)
{
  json::array queues;
  for (const AdmissionController::QueueStatus& queue :
       aState.admission.QueueStatuses()) {
    queues.push_back(json::object{ { "service", queue.service.value },
                                   { "version", queue.version.value },
                                   { "waiting", queue.waiting },
                                   { "in_flight", queue.inFlight },
                                   { "places", queue.slots } });
  }
  return queues;
}

json::object
ConfigJson(DaemonState& aState)
{
  json::object services;
  aState.control.WithLock([&](ControlReader& aReader) {
    for (const auto& [service, entry] : aReader.Table().Services()) {
      std::string document;
      google::protobuf::util::JsonPrintOptions options;
      options.preserve_proto_field_names = true;
      static_cast<void>(google::protobuf::util::MessageToJsonString(
        entry.document, &document, options));
      services[service.value] =
        json::object{ { "revision", entry.revision.value },
                      { "document", json::parse(document) } };
    }
  });
  return services;
}

std::uint64_t
AppliedRevision(DaemonState& aState)
{
  return aState.control.WithLock([](ControlReader& aReader) {
    return aReader.Table().AppliedPosition().value;
  });
}

std::string
StatusJson(DaemonState& aState, const PeerExchange& aPeers)
{
  const PeerTraffic& traffic = aPeers.Traffic();
  const json::object status{
    { "daemon", aState.settings.id.value },
    { "life", aState.writer.value },
    { "zone", aState.settings.zone.value },
    { "version", kProgramVersion },
    { "ready", IsReady(aState) },
    { "stopping", aState.stopping.load() },
    { "applied", AppliedRevision(aState) },
    { "log_heard_ms_ago", aState.Now().ms - aState.logLastReadMs },
    { "in_flight", aState.inFlight.load() },
    { "waiting", aState.admission.WaitingCount() },
    { "work_unfinished", aState.work.WithLock([](WorkTable& aWork) {
       return aWork.UnfinishedCount();
     }) },
    { "keys_kept", aState.claims.WithLock([](ClaimCoordinator& aClaims) {
       return aClaims.Table().Size();
     }) },
    { "facts", aState.factTables.WithLock([](FactTables& aTables) {
       return aTables.facts.Size();
     }) },
    { "peer_bytes_sent", traffic.bytesSent.load() },
    { "peer_bytes_received", traffic.bytesReceived.load() },
    { "peer_messages_sent", traffic.messagesSent.load() },
    { "peer_refused", traffic.rejectedHandshakes.load() },
    { "members", MembersJson(aState) },
    { "lines", QueuesJson(aState) },
    { "backends", BackendsJson(aState) },
    { "moves", RolloutsJson(aState) },
  };
  return json::serialize(status) + "\n";
}

HttpResponse
EventsResponse(DaemonState& aState, std::string_view aTarget)
{
  const std::string text = QueryParamOf(aTarget, "after");
  std::uint64_t after = 0;
  std::from_chars(text.data(), text.data() + text.size(), after);
  const EventLog::Page page = aState.events.LinesAfter(after);
  std::string lines;
  for (const std::string& line : page.lines) {
    lines += line + "\n";
  }
  HttpResponse response = MakeResponse(200, lines, "text/plain");
  response.set("Newest-Event", std::to_string(page.latestNumber));
  return response;
}

HttpResponse
SnapshotResponse(DaemonState& aState)
{
  const auto snapshot = aState.control.WithLock([](ControlReader& aReader) {
    return aReader.IsComplete() ? aReader.Snapshot()
                                : records::ControlSnapshot{};
  });
  return MakeResponse(
    200, snapshot.SerializeAsString(), "application/x-protobuf");
}

HttpResponse
MetricsResponse(DaemonState& aState, const PeerExchange& aPeers)
{
  RecordClientUsage(aState.pool.Clients().Usage(), aState.metrics);
  std::string text = aState.metrics.ToPrometheusText();
  const auto gauge = [&](const char* aName, std::uint64_t aValue) {
    text += std::string("# TYPE ") + aName + " gauge\n" + aName + " " +
            std::to_string(aValue) + "\n";
  };
  gauge("toucanshed_requests_in_flight", aState.inFlight);
  gauge("toucanshed_requests_waiting", aState.admission.WaitingCount());
  gauge("toucanshed_peer_bytes_sent", aPeers.Traffic().bytesSent);
  gauge("toucanshed_peer_bytes_received", aPeers.Traffic().bytesReceived);
  gauge("toucanshed_ready", IsReady(aState) ? 1 : 0);
  return MakeResponse(200, text, "text/plain; version=0.0.4");
}

} // namespace

bool
IsReady(DaemonState& aState)
{
  if (aState.stopping || !aState.controlLoaded) {
    return false;
  }
  const bool logReachable =
    aState.Now().ms - aState.logLastReadMs < kMaxIsolationTime.count();
  return logReachable || aState.membership.WithLock([](Membership& aMembers) {
    return aMembers.LiveMembers().size() > 1;
  });
}

Task<void>
HandleOperator(DaemonState& aState,
               const PeerExchange& aPeers,
               Worker& aWorker,
               const HttpRequest& aRequest,
               HttpResponder& aResponder)
{
  const std::string_view path = PathOf(aRequest.target());
  HttpResponse response = MakeResponse(404, "{\"error\":\"no such page\"}\n");
  if (path == "/healthz") {
    response = MakeResponse(200, "ok\n", "text/plain");
  } else if (path == "/readyz") {
    const bool ready = IsReady(aState);
    response = MakeResponse(
      ready ? 200 : 503, ready ? "ready\n" : "not ready\n", "text/plain");
  } else if (path == "/metrics") {
    response = MetricsResponse(aState, aPeers);
  } else if (path == "/status") {
    response = MakeResponse(200, StatusJson(aState, aPeers));
  } else if (path == "/events") {
    response = EventsResponse(aState, aRequest.target());
  } else if (path == "/moves") {
    response = MakeResponse(200, json::serialize(RolloutsJson(aState)) + "\n");
  } else if (path == "/applied") {
    response =
      MakeResponse(200, std::to_string(AppliedRevision(aState)) + "\n");
  } else if (path == "/handed-over") {
    const RequestId request{ QueryParamOf(aRequest.target(), "request") };
    const std::string bytes = SerializeHandedOver(aState, request);
    response =
      MakeResponse(bytes.empty() ? 404 : 200, bytes, "application/x-protobuf");
  } else if (path == "/control-snapshot") {
    response = SnapshotResponse(aState);
  } else if (path == "/config") {
    if (aRequest.method() == http::verb::post) {
      response = co_await ApplyConfigChange(aState, aWorker, aRequest);
    } else {
      response = MakeResponse(200, json::serialize(ConfigJson(aState)) + "\n");
    }
  }
  co_await aResponder.Send(std::move(response));
}

} // namespace toucanshed
