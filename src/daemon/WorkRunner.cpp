#include "WorkRunner.h"

#include "CallerRequest.h"
#include "CallerResponses.h"
#include "CallerStream.h"
#include "ModelCall.h"
#include "base/Hash.h"

#include <boost/json.hpp>
#include <memory>

namespace toucanshed {

namespace json = boost::json;

namespace {

constexpr Millis kLogTimeout{ 3000 };
constexpr Millis kPollInterval{ 200 };
constexpr Millis kWorkDeadline{ 120000 };
constexpr std::size_t kMaxConcurrentWork = 16;
constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;

/** Ids of the work that this daemon runs now. */
using RunningWork = std::set<WorkId>;

HttpResponse
AcceptedResponse(const WorkId& aId, unsigned aStatus)
{
  const std::string location = "/v1/accepted/" + aId.value;
  const json::object body{ { "id", aId.value },
                           { "state", "accepted" },
                           { "location", location } };
  HttpResponse response = MakeResponse(aStatus, json::serialize(body) + "\n");
  response.set(http::field::location, location);
  response.set(kOutcomeHeader, "accepted");
  return response;
}

bool
IsAccepted(DaemonState& aState, const WorkId& aId)
{
  return aState.work.WithLock(
    [&](WorkTable& aWork) { return aWork.Find(aId) != nullptr; });
}

ModelRequest
MakeWorkRequest(DaemonState& aState,
                const WorkEntry& aEntry,
                const std::string& aRoute)
{
  ModelRequest request;
  request.id = RequestId{ aEntry.id.value };
  request.team = aEntry.team;
  request.service = aEntry.service;
  request.route = aRoute;
  request.latencyClass = LatencyClass::eBatch;
  request.arrived = aState.Now();
  request.deadline = request.arrived + kWorkDeadline;
  return request;
}

void
QueueResult(DaemonState& aState,
            const WorkId& aId,
            unsigned aStatus,
            std::string aBody)
{
  records::Record record;
  records::WorkResult* result = record.mutable_work_result();
  result->set_id(aId.value);
  result->set_status(aStatus);
  result->set_body(std::move(aBody));
  aState.work.WithLock(
    [&](WorkTable& aWork) { aWork.Queue().Add(std::move(record)); });
  aState.appendRequested.NotifyAll();
}

/** Runs one item of accepted work. After a failed run the work stays
 * unfinished, and this or another daemon runs it again. Only a request that is
 * rejected because it crashes back ends gets a failure as its result. */
Task<void>
RunWork(DaemonState& aState,
        Worker& aWorker,
        WorkEntry aEntry,
        std::shared_ptr<RunningWork> aRunning)
{
  const auto stored = json::parse(aEntry.body).as_object();
  const std::string route(stored.at("route").as_string());
  const auto body =
    ParseModelRequestBody(stored.at("body").as_string(), route == "chat");
  ModelRequest request = MakeWorkRequest(aState, aEntry, route);
  request.prompt = body->prompt;
  request.maxTokens = body->maxTokens;
  request.fingerprint = Fingerprint{ CombineHashes(
    Hash64(aEntry.service.value),
    CombineHashes(Hash64(body->prompt), body->maxTokens)) };
  aState.events.Emit(Event("work.started").With("request", aEntry.id));
  ModelCall call(aState, aWorker, request, &AcceptToken);
  const RequestResult result = co_await call.Run();
  aState.events.Emit(Event("work.ended")
                       .With("request", aEntry.id)
                       .With("outcome", ToText(result.outcome))
                       .With("reason", result.reason));
  const bool rejected = aState.factTables.WithLock([&](FactTables& aTables) {
    return SuspectTable::LevelOf(aTables.facts, request.fingerprint) ==
           SuspectLevel::eRejected;
  });
  if (result.outcome == RequestOutcome::eCompleted) {
    QueueResult(aState,
                aEntry.id,
                kOk,
                CompletionJson(aEntry.id.value,
                               aEntry.service.value,
                               route,
                               call.Response().Text(),
                               call.Response().TokenCount()));
  } else if (rejected) {
    constexpr unsigned kBadGateway = 502;
    QueueResult(aState, aEntry.id, kBadGateway, FailureJson(result));
  }
  if (result.outcome == RequestOutcome::eCompleted || rejected) {
    // The work counts as running until its result is applied, so that it is not
    // started again before.
    co_await AwaitApplied(aState, aWorker, aState.Now() + kLogTimeout, [&] {
      return aState.work.WithLock([&](WorkTable& aWork) {
        const WorkEntry* entry = aWork.Find(aEntry.id);
        return entry == nullptr || entry->status.has_value();
      });
    });
  }
  aRunning->erase(aEntry.id);
}

} // namespace

Task<HttpResponse>
AcceptWork(DaemonState& aState,
           Worker& aWorker,
           TeamId aTeam,
           ServiceId aService,
           std::string aRoute,
           std::string aBody)
{
  const bool full = aState.work.WithLock([](WorkTable& aWork) {
    return aWork.UnfinishedCount() >= WorkTable::kMaxUnfinished;
  });
  if (full) {
    const RequestResult result{ RequestOutcome::eNotRun,
                                "too much work is accepted",
                                30 };
    co_return FailureResponse(result);
  }
  const WorkId id{ aState.NewId("w") };
  records::Record record;
  records::WorkAccepted* accepted = record.mutable_work_accepted();
  accepted->set_id(id.value);
  accepted->set_service(aService.value);
  accepted->set_team(aTeam.value);
  accepted->set_body(
    json::serialize(json::object{ { "route", aRoute }, { "body", aBody } }));
  accepted->set_written_ms(static_cast<std::uint64_t>(aState.Now().ms));
  aState.work.WithLock(
    [&](WorkTable& aWork) { aWork.Queue().Add(std::move(record)); });
  aState.appendRequested.NotifyAll();
  const bool confirmed =
    co_await AwaitApplied(aState, aWorker, aState.Now() + kLogTimeout, [&] {
      return IsAccepted(aState, id);
    });
  if (confirmed) {
    co_return AcceptedResponse(id, kAccepted);
  }
  // The record may still reach the log and the work may run, so "not run" could
  // be false. The caller can query the work by its id.
  const RequestResult unconfirmed{ RequestOutcome::eMayHaveRun,
                                   "the log has not confirmed the acceptance",
                                   2 };
  HttpResponse response = FailureResponse(unconfirmed);
  response.set(http::field::location, "/v1/accepted/" + id.value);
  co_return response;
}

HttpResponse
WorkStatusResponse(DaemonState& aState, const TeamId& aTeam, const WorkId& aId)
{
  std::optional<WorkEntry> entry;
  aState.work.WithLock([&](WorkTable& aWork) {
    if (const WorkEntry* found = aWork.Find(aId)) {
      entry = *found;
    }
  });
  if (!entry || entry->team != aTeam) {
    return ClientErrorResponse(404,
                               ValidationError{ "path",
                                                "\"" + aId.value + "\"",
                                                "accepted work of this team" });
  }
  if (!entry->status) {
    return AcceptedResponse(aId, kOk);
  }
  HttpResponse response = MakeResponse(*entry->status, entry->result);
  response.set(kOutcomeHeader,
               *entry->status == kOk ? "completed" : "may-have-run");
  return response;
}

Task<void>
RunAssignedWork(DaemonState& aState, Worker& aWorker)
{
  auto running = std::make_shared<RunningWork>();
  while (true) {
    const auto owners = aState.membership.WithLock(
      [](Membership& aMembers) { return aMembers.EligibleOwners(); });
    std::vector<WorkEntry> assigned;
    aState.work.WithLock([&](WorkTable& aWork) {
      for (const WorkId& id :
           aWork.AssignedTo(aState.settings.id.value, owners)) {
        if (running->count(id) == 0 &&
            running->size() + assigned.size() < kMaxConcurrentWork) {
          assigned.push_back(*aWork.Find(id));
        }
      }
    });
    for (WorkEntry& entry : assigned) {
      running->insert(entry.id);
      aWorker.Spawn(RunWork(aState, aWorker, std::move(entry), running));
    }
    const std::uint64_t seen = aState.recordsApplied.Version();
    co_await aState.recordsApplied.WaitForChange(seen, aWorker, kPollInterval);
  }
}

} // namespace toucanshed
