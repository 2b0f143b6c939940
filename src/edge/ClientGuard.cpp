#include "ClientGuard.h"

#include "Worker.h"

#include <boost/asio/post.hpp>

namespace toucanshed {

namespace net = boost::asio;

namespace {

/** Tries to hold bytes, while connections are being closed for them. */
constexpr int kMaxRoomTries = 64;
constexpr std::chrono::milliseconds kRoomPollInterval{ 1 };

TimePoint
SteadyNow()
{
  return TimePoint{ std::chrono::duration_cast<Millis>(
                      std::chrono::steady_clock::now().time_since_epoch())
                      .count() };
}

} // namespace

void
ClientGuard::SetLimits(ClientLimits aLimits)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->ledger.SetLimits(aLimits);
}

std::size_t
ClientGuard::AddPort(double aPart)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->ledger.AddPort(aPart);
}

ClientUsage
ClientGuard::Usage()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return ClientUsage{ this->ledger.Held(HeldBytes::eRequest),
                      this->ledger.Held(HeldBytes::eResponse),
                      this->ledger.Held(HeldBytes::eFetch),
                      this->ledger.Connections(),
                      this->ledger.Calls(),
                      this->ledger.ClosedForRoom(),
                      this->refused };
}

void
ClientGuard::CountRefusal()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->refused;
}

bool
ClientGuard::TryHoldForCall(HeldBytes aKind,
                            std::size_t aBytes,
                            std::size_t& aHeld)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->ledger.TryHoldForCall(aKind, aBytes, aHeld);
}

bool
ClientGuard::TryAddCall()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->ledger.TryAddCall();
}

void
ClientGuard::RemoveCall()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->ledger.RemoveCall();
}

bool
ClientGuard::CloseUnread()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->ledger.CloseUnread(SteadyNow());
}

void
ClientPlace::Socket::Close()
{
  if (this->stream == nullptr) {
    return;
  }
  this->closing = true;
  switch (this->stage) {
    case ClientStage::eReading:
      this->stream->socket().cancel();
      break;
    case ClientStage::eIdle:
    case ClientStage::eWriting:
      this->stream->close();
      break;
    case ClientStage::eRunning:
      break; // it was read to its end meanwhile, and is closed after it
  }
}

ClientPlace::ClientPlace(ClientGuard& aGuard, boost::beast::tcp_stream& aStream)
  : guard(aGuard)
  , socket(std::make_shared<Socket>())
{
  this->socket->stream = &aStream;
}

std::unique_ptr<ClientPlace>
ClientPlace::Open(ClientGuard& aGuard,
                  std::size_t aPort,
                  boost::beast::tcp_stream& aStream)
{
  std::unique_ptr<ClientPlace> place(new ClientPlace(aGuard, aStream));
  const auto executor = aStream.get_executor();
  // Only the connection's own worker may close it.
  auto close = [executor, socket = std::weak_ptr<Socket>(place->socket)] {
    net::post(executor, [socket] {
      if (const auto open = socket.lock()) {
        open->Close();
      }
    });
  };
  const std::lock_guard<std::mutex> lock(aGuard.mutex);
  ClientLedger& ledger = aGuard.ledger;
  const bool hasRoom =
    ledger.HasRoomAt(aPort) ||
    (ledger.CloseForConnection(aPort) && ledger.HasRoomAt(aPort));
  if (!hasRoom) {
    place->socket->stream = nullptr;
    return nullptr;
  }
  place->entry = ledger.Add(aPort, SteadyNow(), std::move(close));
  return place;
}

ClientPlace::~ClientPlace()
{
  if (this->socket->stream == nullptr) {
    return; // it was not added
  }
  this->socket->stream = nullptr;
  const std::lock_guard<std::mutex> lock(this->guard.mutex);
  this->guard.ledger.Remove(this->entry);
}

void
ClientPlace::SetStage(ClientStage aStage)
{
  this->socket->stage = aStage;
  const std::lock_guard<std::mutex> lock(this->guard.mutex);
  this->guard.ledger.SetStage(this->entry, aStage, SteadyNow());
}

void
ClientPlace::RecordMoved(std::size_t aBytes)
{
  const std::lock_guard<std::mutex> lock(this->guard.mutex);
  this->guard.ledger.RecordMoved(this->entry, aBytes, SteadyNow());
}

void
ClientPlace::SetHoldsBackend(bool aHolds)
{
  const std::lock_guard<std::mutex> lock(this->guard.mutex);
  ClientLedger::SetHoldsBackend(this->entry, aHolds);
}

bool
ClientPlace::TryHold(HeldBytes aKind, std::size_t aBytes)
{
  const std::lock_guard<std::mutex> lock(this->guard.mutex);
  return this->guard.ledger.TryHold(this->entry, aKind, aBytes);
}

std::size_t
ClientPlace::Held(HeldBytes aKind) const
{
  const std::lock_guard<std::mutex> lock(this->guard.mutex);
  return aKind == HeldBytes::eRequest ? this->entry->requestBytes
                                      : this->entry->responseBytes;
}

Task<bool>
ClientPlace::Hold(HeldBytes aKind, std::size_t aBytes)
{
  for (int i = 0; i < kMaxRoomTries; ++i) {
    if (this->TryHold(aKind, aBytes)) {
      co_return true;
    }
    bool closes = false;
    {
      const std::lock_guard<std::mutex> lock(this->guard.mutex);
      ClientLedger& ledger = this->guard.ledger;
      closes = ledger.CloseForBytes(this->entry, aKind, SteadyNow()) ||
               ledger.HasClosing();
    }
    if (!closes || this->IsClosing()) {
      co_return false;
    }
    co_await Sleep(kRoomPollInterval);
  }
  co_return false;
}

} // namespace toucanshed
