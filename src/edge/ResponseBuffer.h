/** \file
 * Bounds the bytes of responses that a worker holds until they are complete.
 */
#pragma once

#include <cstddef>

namespace toucanshed {

/** Bytes that all of a worker's calls hold. */
struct ResponseBufferPool
{
  /** What all calls together may hold; a daemon has 260 MB for everything. */
  static constexpr std::size_t kMaxBytes = std::size_t{ 48 } << 20U;

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

  /** Precondition: the pool outlives this. */
  explicit ResponseBuffer(ResponseBufferPool& aPool)
    : pool(aPool)
  {
  }
  ResponseBuffer(const ResponseBuffer&) = delete;
  ResponseBuffer& operator=(const ResponseBuffer&) = delete;
  ~ResponseBuffer() { this->pool.held -= this->held; }

  /** Sets how many bytes the call holds from now on. \return whether it may
   * hold them; if not, nothing changes. */
  [[nodiscard]] bool Resize(std::size_t aBytes)
  {
    const std::size_t others = this->pool.held - this->held;
    const bool fits = aBytes <= kMaxCallBytes &&
                      others + aBytes <= ResponseBufferPool::kMaxBytes;
    if (fits) {
      this->pool.held = others + aBytes;
      this->held = aBytes;
    }
    return fits;
  }

private:
  ResponseBufferPool& pool;
  std::size_t held = 0;
};

} // namespace toucanshed
