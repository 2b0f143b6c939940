// The part of PeerMessenger that receives the other daemons' messages.
// PeerMessenger.cpp has what is sent and when.
#include "PeerMessenger.h"

#include "PeerReports.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "StoreWatcher.h"
#include "SuspectReports.h"
#include "edge/Worker.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>

namespace toucanshed {

namespace net = boost::asio;
using net::ip::udp;

namespace {

/** Larger than any heartbeat with a hundred back ends. */
constexpr std::size_t kMaxDatagramBytes = 60000;

} // namespace

Task<void>
PeerMessenger::ReceiveDatagrams()
{
  std::vector<char> buffer(kMaxDatagramBytes);
  udp::endpoint from;
  while (true) {
    boost::system::error_code error;
    const std::size_t size = co_await this->socket.async_receive_from(
      net::buffer(buffer),
      from,
      net::redirect_error(net::use_awaitable, error));
    this->state.CheckForPause();
    if (this->state.TakePauseFlag()) {
      this->DiscardReceived();
      continue;
    }
    serving::Datagram datagram;
    const bool valid =
      !error && datagram.ParseFromArray(buffer.data(), static_cast<int>(size));
    if (valid) {
      this->traffic.RecordReceived(datagram, size);
    }
    if (!valid || !this->TryHandleDatagram(datagram)) {
      this->state.metrics.Count("toucanshed_unreadable_words_total");
    }
  }
}

void
PeerMessenger::DiscardReceived()
{
  std::array<char, 1> buffer{};
  std::size_t discarded = 1;
  boost::system::error_code error;
  while (!error) {
    udp::endpoint from;
    this->socket.receive_from(net::buffer(buffer), from, 0, error);
    discarded += error ? 0 : 1;
  }
  this->state.log.Emit(Event("peers.discarded").With("datagrams", discarded));
}

bool
PeerMessenger::TryHandleDatagram(const serving::Datagram& aDatagram)
{
  // Any process can send to the port.
  try {
    this->HandleDatagram(aDatagram);
    return true;
  } catch (const std::exception& error) {
    this->state.log.Emit(
      Event("peers.failed").With("reason", std::string(error.what())));
  }
  return false;
}

void
PeerMessenger::HandleDatagram(const serving::Datagram& aDatagram)
{
  if (aDatagram.has_word()) {
    this->HandleHeartbeat(aDatagram.word());
  }
  if (aDatagram.has_ledger()) {
    this->state.peers.ReceiveLedger(aDatagram.ledger(), ServingState::Now());
  }
  for (const auto& report : aDatagram.ledger().reported()) {
    this->state.reportedUsage.Remember(report);
  }
  for (const auto& report : aDatagram.usage_reports().reports()) {
    this->state.reportedUsage.Remember(report);
  }
  for (const peer::Evidence& evidence : aDatagram.evidence().evidence()) {
    this->state.evidence.Merge(evidence);
  }
  if (aDatagram.has_quota()) {
    this->HandleQuotaReport(aDatagram.quota());
  }
  for (const serving::RateLimitState& limit : aDatagram.limits().limits()) {
    this->HandleRateLimit(limit, aDatagram.limits().id());
  }
  if (aDatagram.has_permit_request()) {
    this->permits.HandleRequest(aDatagram.permit_request());
  }
  if (aDatagram.has_permit_reply()) {
    this->permits.HandleReply(aDatagram.permit_reply());
  }
  if (aDatagram.has_reach()) {
    this->state.peers.ReceiveReach(aDatagram.reach());
  }
  this->HandleRolloutReports(aDatagram.rollouts().rollouts());
  MergeSuspects(this->state, aDatagram.suspects().suspects());
  if (aDatagram.has_store_era()) {
    const serving::StoreEraReport& report = aDatagram.store_era();
    ObserveStoreEra(this->state, StoreEra{ report.era() }, report.id());
  }
  if (aDatagram.has_store()) {
    ApplyStoreReadReport(this->state, aDatagram.store());
  }
  if (aDatagram.has_sent()) {
    const serving::PromptNotice& notice = aDatagram.sent();
    this->state.peers.ReceiveSendNotice(notice);
    this->state.prefixCacheIndex.RecordUse(notice.shared_part(),
                                           InstanceId{ notice.backend() },
                                           ServingState::Now());
    Backend* backend =
      this->state.backends.Find(InstanceId{ notice.backend() });
    if (backend != nullptr) {
      backend->remoteLoad.running += 1;
      backend->remoteLoad.promptTokens += notice.prompt_tokens();
    }
  }
}

void
PeerMessenger::HandleHeartbeat(const serving::DaemonHeartbeat& aHeartbeat)
{
  const TimePoint now = ServingState::Now();
  if (!this->state.peers.ReceiveHeartbeat(aHeartbeat, now)) {
    return;
  }
  this->state.limitShares.RecordHeartbeat(DaemonId{ aHeartbeat.id() }, now);
  if (aHeartbeat.has_store_era()) {
    ObserveStoreEra(
      this->state, StoreEra{ aHeartbeat.store_era() }, aHeartbeat.id());
  }
  for (const serving::RateLimitState& limit : aHeartbeat.limits()) {
    this->HandleRateLimit(limit, aHeartbeat.id());
  }
  this->state.quotaExchange.ReceiveReport(
    aHeartbeat.quota(), QuotaReportTiming::ePeriodic, now);
  for (const serving::BackendState& backend : aHeartbeat.backends()) {
    const InstanceId id{ backend.id() };
    const bool begins =
      backend.leaving() && this->state.backends.MarkLeaving(id, backend.born());
    if (begins) {
      this->state.log.Emit(Event("backend.leaving")
                             .With("backend", id)
                             .With("born", backend.born())
                             .With("from", aHeartbeat.id()));
    }
  }
  this->HandleRolloutReports(aHeartbeat.rollouts());
  MergeSuspects(this->state, aHeartbeat.suspects());
}

void
PeerMessenger::HandleRolloutReports(
  const google::protobuf::RepeatedPtrField<serving::RolloutReport>& aReports)
{
  for (const serving::RolloutReport& entry : aReports) {
    RolloutReport report;
    report.order.service = ServiceId{ entry.service() };
    report.order.target = VersionId{ entry.target() };
    report.order.position = Position{ entry.order() };
    report.order.record = Unpack(entry.record());
    report.order.duration =
      Millis(static_cast<std::int64_t>(entry.duration_ms()));
    if (!entry.active()) {
      report.phase = entry.completed() ? RolloutPhase::eCompleted
                                       : RolloutPhase::eRolledBack;
    }
    const RolloutNews news =
      this->state.rollouts.Merge(report, ServingState::Now());
    if (news.renamed) {
      this->state.evidence.Rename(*news.renamed, report.order.position);
      this->state.statedRollouts.end.reset(); // its ends bear the old identity
    }
    if (news.started || news.ended) {
      this->state.log.Emit(Event("move.reported")
                             .With("service", report.order.service)
                             .With("target", report.order.target)
                             .With("position", report.order.position.value)
                             .With("started", news.started ? 1 : 0)
                             .With("ended", news.ended ? 1 : 0)
                             .With("completed", entry.completed() ? 1 : 0));
    }
  }
}

void
PeerMessenger::HandleRateLimit(const serving::RateLimitState& aLimit,
                               const std::string& aFrom)
{
  const InstanceId id{ aLimit.backend() };
  const Backend* backend = this->state.backends.Find(id);
  const bool isEarlier =
    backend != nullptr && aLimit.born() < backend->entry.incarnation;
  if (isEarlier) {
    return;
  }
  const TimePoint now = ServingState::Now();
  const LimitUpdate update{ id,
                            aLimit.born(),
                            RequestRate{ aLimit.per_s() },
                            aLimit.ended(),
                            now - Millis(aLimit.age_ms()) };
  EngineLimits& limits = aLimit.rejections() ? this->state.rejectionLimits
                                             : this->state.engineLimits;
  if (limits.ReceiveUpdate(update, now)) {
    this->state.log.Emit(
      Event(aLimit.rejections() ? "backend.brittle" : "backend.limit")
        .With("backend", id)
        .With("per_s",
              update.ended ? "none" : std::to_string(update.rate.perSecond))
        .With("from", aFrom)
        .With("answer_ms_ago", aLimit.age_ms()));
  }
}

void
PeerMessenger::HandleQuotaReport(const serving::QuotaReport& aReport)
{
  this->state.quotaExchange.ReceiveReport(
    aReport, QuotaReportTiming::eImmediate, ServingState::Now());
  if (!aReport.ask()) {
    return;
  }
  serving::Datagram reply;
  *reply.mutable_quota() = MakeQuotaReport(this->state);
  this->SendDatagram(reply, { aReport.address() });
}

} // namespace toucanshed
