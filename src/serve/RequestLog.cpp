// The part of RequestForwarder that logs sends and the ends of requests.
#include "RequestForwarder.h"

#include "ServingState.h"

#include <algorithm>
#include <sstream>

namespace toucanshed {

namespace {

const char*
NameOf(SendOutcome aOutcome)
{
  switch (aOutcome) {
    case SendOutcome::eResponded:
      return "answered";
    case SendOutcome::eNotRun:
      return "not_run";
    case SendOutcome::eMayHaveRun:
      return "may_have_run";
    case SendOutcome::eDeadlineExceeded:
      return "late";
    case SendOutcome::eCallerDisconnected:
      return "caller_gone";
  }
  return "";
}

/** \return hexadecimal, separated by commas */
std::string
ToText(const std::vector<SuspectId>& aSuspects)
{
  std::ostringstream text;
  for (const SuspectId suspect : aSuspects) {
    text << (text.tellp() > 0 ? "," : "") << std::hex << suspect.value;
  }
  return text.str();
}

} // namespace

Millis
RequestForwarder::SilentTime(TimePoint aNow) const
{
  return aNow - std::max(this->sentAt, this->progressAt);
}

void
RequestForwarder::LogSend(const Placement& aPlacement,
                          SendOutcome aOutcome,
                          const std::string& aReason)
{
  const bool isRoutine =
    aOutcome == SendOutcome::eResponded && this->sends == 1;
  if (isRoutine) {
    return; // request.ended has it all
  }
  const TimePoint now = ServingState::Now();
  this->state.log.Emit(
    Event("request.sent")
      .With("request", this->request.incoming.attempt)
      .With("backend", aPlacement.backend)
      .With("peer", this->peer)
      .With("cause", NameOf(this->failureCause))
      .With("outcome", NameOf(aOutcome))
      .With("why", aOutcome == SendOutcome::eResponded ? "" : aReason)
      .With("ms", (now - this->sentAt).count())
      .With("silent_ms", this->SilentTime(now).count())
      .With("left_ms", this->TimeLeft().count())
      .With("engine_leaving", this->engineLeaving ? 1 : 0)
      .With("engine_rest_ms", this->engineRest.count())
      .With("expected_ms", static_cast<std::int64_t>(aPlacement.expectedMs))
      .With("ahead_tokens", aPlacement.queuedTokens)
      .With("shared_sections", SharedSectionIds(this->request.incoming.prompt))
      .With("suspects", ToText(this->request.suspects))
      .With("events", this->splitter.ReturnedCount()));
}

void
RequestForwarder::LogEnd(unsigned aStatus, const std::string& aReason)
{
  const TimePoint now = ServingState::Now();
  const Millis untilFirstEvent = this->firstEventAt.ms == 0
                                   ? Millis(0)
                                   : this->firstEventAt - this->request.arrived;
  const Placement placement = this->lastPlacement.value_or(Placement{});
  const std::uint64_t promptTokens = TotalTokens(this->request.incoming.prompt);
  const std::uint64_t unsharedTokens =
    UnsharedTokens(this->request.incoming.prompt);
  this->state.metrics.Count("toucanshed_requests_total",
                            "status=\"" + std::to_string(aStatus) + "\"");
  this->state.log.Emit(
    Event(this->request.relayed ? "relay.ended" : "request.ended")
      .With("request", this->request.incoming.attempt)
      .With("route", this->request.route->name)
      .With("team", this->request.TeamName())
      .With("priority", this->request.Priority())
      .With("tokens", this->request.incoming.promptTokens)
      .With("most_output", this->request.incoming.maxOutputTokens)
      .With("backend", placement.backend)
      .With("status", aStatus)
      .With("why", aReason)
      .With("sends", this->sends)
      .With("not_repeated", this->NotRepeated())
      .With("peer", this->peer)
      .With("within_limit",
            this->ticket.limitUse == LimitDecision::eAllowed ? 1 : 0)
      .With("stood_back_ms", this->deferredFor.count())
      .With("sent_ms",
            this->sends > 0 ? (this->sentAt - this->request.arrived).count()
                            : -1)
      .With("first_ms", untilFirstEvent.count())
      .With("engine_leaving", this->engineLeaving ? 1 : 0)
      .With("engine_rest_ms", this->engineRest.count())
      .With("target_ms", this->request.route->latencyTarget.count())
      .With("expected_ms", static_cast<std::int64_t>(placement.expectedMs))
      .With("ahead_tokens", placement.queuedTokens)
      .With("shared_part", SharedSectionId(this->request.incoming.prompt))
      .With("shared_tokens", promptTokens - unsharedTokens)
      .With("shared_read", placement.uncachedTokens > unsharedTokens ? 1 : 0)
      .With("gap_ms", this->longestGap.count())
      .With("gap_target_ms", this->request.route->eventGapTarget.count())
      .With("ms", (now - this->request.arrived).count())
      .With("events", this->splitter.ReturnedCount())
      .With("catalog", this->request.catalog->version));
}

} // namespace toucanshed
