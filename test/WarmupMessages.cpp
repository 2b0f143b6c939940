// The messages between the daemons of WarmupSimulation.
#include "WarmupSimulation.h"

#include "HeartbeatTiming.h"

#include <utility>

namespace toucanshed::test {

void
WarmupSimulation::ReportList(std::size_t aDaemon)
{
  const Daemon& daemon = this->daemons[aDaemon];
  Message message;
  message.kind = Message::Kind::eListReport;
  for (const auto& [i, backend] : daemon.backends) {
    if (daemon.limits->IsCold(backend, this->ClockOf(aDaemon))) {
      message.cold.insert(backend.entry.id);
    }
  }
  constexpr Millis kReportWindow{ 1800 };
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    if (this->now - this->engines[i].listChangedAt <= kReportWindow) {
      message.changed.push_back(i);
    }
  }
  message.digest = this->DigestOf(aDaemon);
  for (std::size_t to = 0; to < this->daemons.size(); ++to) {
    this->Send(aDaemon, to, message);
  }
}

void
WarmupSimulation::Send(std::size_t aFrom, std::size_t aTo, Message aMessage)
{
  constexpr std::uint64_t kWhole = 10000;
  const bool separated =
    this->partitioned.contains(aFrom) != this->partitioned.contains(aTo);
  const auto chance =
    static_cast<double>(this->random.NextBelow(kWhole)) / kWhole;
  if (aFrom == aTo || separated || chance < this->network.lossRate) {
    return;
  }
  aMessage.from = aFrom;
  aMessage.to = aTo;
  const auto maxDelay =
    static_cast<std::uint64_t>(this->network.maxDelay.count());
  this->messages.emplace(this->now +
                           Millis(1 + this->random.NextBelow(maxDelay)),
                         std::move(aMessage));
}

void
WarmupSimulation::SendHeartbeat(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  const std::size_t count = this->daemons.size();
  const std::size_t batches =
    (count + kHeartbeatBatchSize - 1) / kHeartbeatBatchSize;
  daemon.heartbeatAt =
    this->now + HeartbeatInterval(count) / static_cast<std::int64_t>(batches);
  daemon.heartbeatBatch = (daemon.heartbeatBatch + 1) % batches;
  Message message;
  for (std::size_t to = daemon.heartbeatBatch; to < count; to += batches) {
    this->Send(aDaemon, to, message);
  }
}

void
WarmupSimulation::Deliver()
{
  auto next = this->messages.begin();
  while (next != this->messages.end() && next->first <= this->now) {
    if (!this->IsAwake(next->second.to)) {
      ++next; // it waits in the socket
      continue;
    }
    const Message message = std::move(next->second);
    next = this->messages.erase(next);
    this->HandleMessage(message);
  }
}

void
WarmupSimulation::HandleMessage(const Message& aMessage)
{
  Daemon& daemon = this->daemons[aMessage.to];
  const TimePoint clock = this->ClockOf(aMessage.to);
  switch (aMessage.kind) {
    case Message::Kind::eHeartbeat:
      daemon.shares->RecordHeartbeat(IdOf(aMessage.from), clock);
      return;
    case Message::Kind::ePermitRequest: {
      Message reply = aMessage;
      reply.kind = Message::Kind::ePermitReply;
      const auto backend = daemon.backends.find(aMessage.engine);
      if (backend != daemon.backends.end()) {
        reply.decision = daemon.limits->Grant(backend->second, true, clock);
      }
      this->Send(aMessage.to, aMessage.from, std::move(reply));
      return;
    }
    case Message::Kind::ePermitReply: {
      const auto found = this->waiting.find(aMessage.request);
      if (found != this->waiting.end()) {
        const Waiting request = found->second;
        this->waiting.erase(found);
        const Backend& backend = daemon.backends.at(request.engine);
        this->DecidePermit(request,
                           aMessage.decision.ownerStarting
                             ? daemon.limits->GrantEqualPart(backend, clock)
                             : aMessage.decision);
      }
      return;
    }
    case Message::Kind::eListReport:
      break;
  }
  if (daemon.backends.empty()) {
    return; // it has not read the list since its start
  }
  for (const std::size_t engine : aMessage.changed) {
    this->ApplyEntry(aMessage.to, engine);
  }
  daemon.limits->RecordRead(aMessage.cold, clock);
  if (aMessage.digest == this->DigestOf(aMessage.to)) {
    daemon.listAsOf = clock;
  } else {
    daemon.listAsOf.reset();
  }
}

} // namespace toucanshed::test
