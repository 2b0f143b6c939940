/** \file
 * Bounds the bytes of responses that a worker holds until they are complete.
 */
#pragma once

#include "ClientGuard.h"

#include <cstddef>

namespace toucanshed {

/** Bytes that all of a worker's calls hold. */
struct ResponseBufferPool
{
  /** What all calls together may hold on any machine; the ledger's bound
   * follows the machine. */
  static constexpr std::size_t kMaxBytes = std::size_t{ 48 } << 20U;

  ClientGuard& clients;
  std::size_t held = 0;
};

/**
 * The bytes that one call holds. A peer may send a body without end, and many
 * peers at once: a bound for each call alone would not bound their sum.
 *
 * Thread safety: none; belongs to the worker of its pool.
 */
class ResponseBuffer
{
public:
  /** What one call may hold. */
  static constexpr std::size_t kMaxCallBytes = std::size_t{ 8 } << 20U;

  /** \param aClient the client that the response is for; null: the process
   *   itself. Precondition: the pool and the client's place outlive this. */
  explicit ResponseBuffer(ResponseBufferPool& aPool,
                          ClientPlace* aClient = nullptr)
    : pool(aPool)
    , client(aClient)
  {
  }
  ResponseBuffer(const ResponseBuffer&) = delete;
  ResponseBuffer& operator=(const ResponseBuffer&) = delete;
  ~ResponseBuffer() { static_cast<void>(this->Resize(0)); }

  /** Sets how many bytes the call holds from now on. \return whether it may
   * hold them; if not, nothing changes. */
  [[nodiscard]] bool Resize(std::size_t aBytes)
  {
    const std::size_t others = this->pool.held - this->held;
    const bool fits = aBytes <= kMaxCallBytes &&
                      others + aBytes <= ResponseBufferPool::kMaxBytes &&
                      this->TryHold(aBytes);
    if (fits) {
      this->pool.held = others + aBytes;
      this->held = aBytes;
    }
    return fits;
  }

  /** The same, after connections of clients that have stood still were closed
   * if need be. */
  Task<bool> Grow(std::size_t aBytes)
  {
    if (this->Resize(aBytes)) {
      co_return true;
    }
    const bool madeRoom =
      aBytes <= kMaxCallBytes && this->client != nullptr &&
      co_await this->client->Hold(HeldBytes::eResponse, aBytes);
    co_return madeRoom&& this->Resize(aBytes);
  }

private:
  bool TryHold(std::size_t aBytes)
  {
    return this->client != nullptr
             ? this->client->TryHold(HeldBytes::eResponse, aBytes)
             : this->pool.clients.TryHoldForCall(
                 HeldBytes::eFetch, aBytes, this->counted);
  }

  ResponseBufferPool& pool;
  ClientPlace* client;
  std::size_t held = 0;
  std::size_t counted = 0; // by the ledger, when it is no client's
};

} // namespace toucanshed
