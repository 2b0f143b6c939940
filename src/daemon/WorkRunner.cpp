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

/** Work this daemon is running now. */
using RunningWork = std::set<WorkId>;

HttpResponse
AcceptedReply(const WorkId& aId, unsigned aStatus)
{
  const std::string location = "/v1/accepted/" + aId.value;
  const json::object body{ { "id", aId.value },
                           { "state", "accepted" },
                           { "location", location } };
  HttpResponse reply = MakeResponse(aStatus, json::serialize(body) + "\n");
  reply.set(http::field::location, location);
  reply.set(kOutcomeHeader, "accepted");
  return reply;
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

/** Runs one piece of work. A run that fails leaves it open, to be tried again
 * here or elsewhere; only a request that crashes back ends is ended. */
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
  const RequestResult end = co_await call.Run();
  aState.events.Emit(Event("work.ended")
                       .With("request", aEntry.id)
                       .With("outcome", ToText(end.outcome))
                       .With("reason", end.reason));
  const bool givenUp = aState.factTables.WithLock([&](FactTables& aCaution) {
    return SuspectTable::LevelOf(aCaution.facts, request.fingerprint) ==
           SuspectLevel::eRejected;
  });
  if (end.outcome == RequestOutcome::eCompleted) {
    QueueResult(aState,
                aEntry.id,
                kOk,
                CompletionJson(aEntry.id.value,
                               aEntry.service.value,
                               route,
                               call.Response().Text(),
                               call.Response().TokenCount()));
  } else if (givenUp) {
    constexpr unsigned kBadGateway = 502;
    QueueResult(aState, aEntry.id, kBadGateway, FailureJson(end));
  }
  if (end.outcome == RequestOutcome::eCompleted || givenUp) {
    // Kept as running until the result is folded, so that it does not start
    // again in between.
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
    const RequestResult end{ RequestOutcome::eNotRun,
                             "too much work is accepted",
                             30 };
    co_return FailureResponse(end);
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
  const bool known =
    co_await AwaitApplied(aState, aWorker, aState.Now() + kLogTimeout, [&] {
      return IsAccepted(aState, id);
    });
  if (known) {
    co_return AcceptedReply(id, kAccepted);
  }
  // The record may still land and the work be run, so "not run" would be a
  // lie; the caller can ask for it by its id.
  const RequestResult unconfirmed{ RequestOutcome::eMayHaveRun,
                                   "the log has not confirmed the acceptance",
                                   2 };
  HttpResponse reply = FailureResponse(unconfirmed);
  reply.set(http::field::location, "/v1/accepted/" + id.value);
  co_return reply;
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
    return AcceptedReply(aId, kOk);
  }
  HttpResponse reply = MakeResponse(*entry->status, entry->result);
  reply.set(kOutcomeHeader,
            *entry->status == kOk ? "completed" : "may-have-run");
  return reply;
}

Task<void>
RunAssignedWork(DaemonState& aState, Worker& aWorker)
{
  auto running = std::make_shared<RunningWork>();
  while (true) {
    const auto owners = aState.membership.WithLock(
      [](Membership& aMembers) { return aMembers.EligibleOwners(); });
    std::vector<WorkEntry> mine;
    aState.work.WithLock([&](WorkTable& aWork) {
      for (const WorkId& id :
           aWork.AssignedTo(aState.settings.id.value, owners)) {
        if (running->count(id) == 0 &&
            running->size() + mine.size() < kMaxConcurrentWork) {
          mine.push_back(*aWork.Find(id));
        }
      }
    });
    for (WorkEntry& entry : mine) {
      running->insert(entry.id);
      aWorker.Spawn(RunWork(aState, aWorker, std::move(entry), running));
    }
    const std::uint64_t seen = aState.recordsApplied.Version();
    co_await aState.recordsApplied.WaitForChange(seen, aWorker, kPollInterval);
  }
}

} // namespace toucanshed
