#include "ClientLedger.h"

#include "base/Invariant.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** Part of the requests' bytes that large requests leave to small ones. */
constexpr double kSmallRequestPart = 0.2;
/** Connections that may wait to be closed at once: each has a descriptor until
 * its worker has closed it. */
constexpr std::size_t kMaxClosing = 16;

std::size_t
PartOf(double aPart, std::size_t aWhole)
{
  return static_cast<std::size_t>(aPart * static_cast<double>(aWhole));
}

} // namespace

std::size_t
ClientLedger::AddPort(double aPart)
{
  this->ports.push_back(Port{ aPart });
  return this->ports.size() - 1;
}

bool
ClientLedger::HasRoomAt(std::size_t aPort) const
{
  std::size_t taken = 0;
  for (std::size_t i = 0; i < this->ports.size(); ++i) {
    const Port& port = this->ports[i];
    const std::size_t own = port.connections + (i == aPort ? 1 : 0);
    taken += std::max(own, PartOf(port.part, this->limits.connections));
  }
  return taken <= this->limits.connections;
}

ClientLedger::Entry
ClientLedger::Add(std::size_t aPort,
                  TimePoint aNow,
                  std::function<void()> aClose)
{
  ++this->connections;
  ++this->ports.at(aPort).connections;
  ClientEntry entry;
  entry.port = aPort;
  entry.progressAt = aNow;
  entry.close = std::move(aClose);
  this->standing.push_back(std::move(entry));
  return std::prev(this->standing.end());
}

void
ClientLedger::Remove(Entry aEntry)
{
  Port& port = this->ports.at(aEntry->port);
  port.requestBytes -= aEntry->requestBytes;
  this->HeldOf(HeldBytes::eRequest) -= aEntry->requestBytes;
  this->HeldOf(HeldBytes::eResponse) -= aEntry->responseBytes;
  if (aEntry->closing) {
    --this->closing;
  } else {
    --port.connections;
  }
  --this->connections;
  const bool isStanding =
    !aEntry->closing && aEntry->stage != ClientStage::eRunning;
  (isStanding ? this->standing : this->running).erase(aEntry);
}

void
ClientLedger::SetStage(Entry aEntry, ClientStage aStage, TimePoint aNow)
{
  const bool wasStanding = aEntry->stage != ClientStage::eRunning;
  const bool isStanding = aStage != ClientStage::eRunning;
  aEntry->stage = aStage;
  aEntry->progressAt = aNow;
  aEntry->movedBytes = 0;
  aEntry->holdsBackend =
    aEntry->holdsBackend &&
    (aStage == ClientStage::eRunning || aStage == ClientStage::eWriting);
  if (aEntry->closing) {
    return; // it stays among those that are not chosen
  }
  auto& from = wasStanding ? this->standing : this->running;
  auto& to = isStanding ? this->standing : this->running;
  to.splice(to.end(), from, aEntry);
}

void
ClientLedger::RecordMoved(Entry aEntry, std::size_t aBytes, TimePoint aNow)
{
  aEntry->movedBytes += aBytes;
  if (aEntry->movedBytes >= kProgressBytes) {
    this->SetStage(aEntry, aEntry->stage, aNow);
  }
}

std::size_t
ClientLedger::LimitOf(HeldBytes aKind) const
{
  switch (aKind) {
    case HeldBytes::eRequest:
      return this->limits.requestBytes;
    case HeldBytes::eResponse:
      return this->limits.responseBytes;
    case HeldBytes::eFetch:
      break;
  }
  return this->limits.fetchBytes;
}

bool
ClientLedger::HasRoomForRequest(const ClientEntry& aEntry,
                                std::size_t aBytes) const
{
  const std::size_t limit = this->limits.requestBytes;
  std::size_t taken =
    aBytes > kSmallRequestBytes ? PartOf(kSmallRequestPart, limit) : 0;
  for (std::size_t i = 0; i < this->ports.size(); ++i) {
    const Port& port = this->ports[i];
    const std::size_t own = i == aEntry.port
                              ? port.requestBytes - aEntry.requestBytes + aBytes
                              : port.requestBytes;
    taken += std::max(own, PartOf(port.part, limit));
  }
  return taken <= limit;
}

bool
ClientLedger::TryHold(Entry aEntry, HeldBytes aKind, std::size_t aBytes)
{
  const bool isRequest = aKind == HeldBytes::eRequest;
  std::size_t& own = isRequest ? aEntry->requestBytes : aEntry->responseBytes;
  const std::size_t others = this->Held(aKind) - own;
  const bool fits = isRequest ? this->HasRoomForRequest(*aEntry, aBytes)
                              : others + aBytes <= this->LimitOf(aKind);
  if (!fits && aBytes > own) {
    return false;
  }
  if (isRequest) {
    Port& port = this->ports.at(aEntry->port);
    port.requestBytes = port.requestBytes - own + aBytes;
  }
  this->HeldOf(aKind) = others + aBytes;
  own = aBytes;
  return true;
}

bool
ClientLedger::TryHoldForCall(HeldBytes aKind,
                             std::size_t aBytes,
                             std::size_t& aHeld)
{
  const std::size_t others = this->Held(aKind) - aHeld;
  if (others + aBytes > this->LimitOf(aKind) && aBytes > aHeld) {
    return false;
  }
  this->HeldOf(aKind) = others + aBytes;
  aHeld = aBytes;
  return true;
}

bool
ClientLedger::TryAddCall()
{
  if (this->calls >= this->limits.calls) {
    return false;
  }
  ++this->calls;
  return true;
}

void
ClientLedger::RemoveCall()
{
  Invariant(this->calls > 0, "a call is removed once");
  --this->calls;
}

bool
ClientLedger::Close(ClientEntry& aEntry)
{
  aEntry.closing = true;
  ++this->closing;
  ++this->closed;
  --this->ports.at(aEntry.port).connections;
  aEntry.close();
  return true;
}

bool
ClientLedger::MayCloseFor(const ClientEntry& aEntry, std::size_t aPort) const
{
  const Port& port = this->ports.at(aEntry.port);
  return aEntry.port == aPort ||
         port.requestBytes > PartOf(port.part, this->limits.requestBytes);
}

bool
ClientLedger::CloseForBytes(Entry aFor, HeldBytes aKind, TimePoint aNow)
{
  for (auto entry = this->standing.begin(); entry != this->standing.end();
       ++entry) {
    if (aNow - entry->progressAt < kMinStandstill) {
      break; // and the later ones have made progress since
    }
    const std::size_t bytes =
      aKind == HeldBytes::eRequest ? entry->requestBytes : entry->responseBytes;
    const bool mayClose =
      aKind != HeldBytes::eRequest || this->MayCloseFor(*entry, aFor->port);
    if (entry != aFor && bytes > 0 && mayClose) {
      this->running.splice(this->running.end(), this->standing, entry);
      return this->Close(*entry);
    }
  }
  return false;
}

bool
ClientLedger::CloseForConnection(std::size_t aPort)
{
  if (this->closing >= kMaxClosing) {
    return false;
  }
  for (auto entry = this->standing.begin(); entry != this->standing.end();
       ++entry) {
    const Port& port = this->ports.at(entry->port);
    const bool mayClose =
      entry->port == aPort ||
      port.connections > PartOf(port.part, this->limits.connections);
    if (mayClose) {
      this->running.splice(this->running.end(), this->standing, entry);
      return this->Close(*entry);
    }
  }
  return false;
}

bool
ClientLedger::CloseUnread(TimePoint aNow)
{
  for (auto entry = this->standing.begin(); entry != this->standing.end();
       ++entry) {
    if (aNow - entry->progressAt < kMinWriteStandstill) {
      break;
    }
    if (entry->stage == ClientStage::eWriting && entry->holdsBackend) {
      this->running.splice(this->running.end(), this->standing, entry);
      return this->Close(*entry);
    }
  }
  return false;
}

} // namespace toucanshed
