/** \file
 * Splits the bytes of an event stream into complete events and checks their
 * order.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanshed {

/** One complete event, including the blank line that ends it. */
struct StreamEvent
{
  std::string bytes;
  std::optional<std::uint64_t> id;
};

/**
 * An engine may stop in the middle of an event. If the caller received the
 * first part, it would join it with the first bytes of the next engine and
 * parse both as one event. Therefore only complete events are returned. Ids
 * must increase by one: a gap means that an event was lost, and a repeated id
 * means that the caller already has the event.
 *
 * \code
 * splitter.Add(chunk);
 * while (auto event = splitter.Next()) { forward(event->bytes); }
 * \endcode
 *
 * Thread safety: none; the owner serialises calls.
 */
class EventSplitter
{
public:
  /** \param aAfter id of the last event that the caller has received. */
  explicit EventSplitter(std::optional<std::uint64_t> aAfter = std::nullopt)
    : lastId(aAfter)
  {
  }

  void Add(std::string_view aBytes) { this->pending += aBytes; }

  /** The next complete event. Empty while there is none, and always once
   * Broken(). Events that were already returned are skipped. */
  std::optional<StreamEvent> Next();

  /** An id was missing or an event was larger than kMaxEventBytes. What follows
   * must not reach the caller. */
  [[nodiscard]] bool Broken() const { return this->broken; }
  /** Whether bytes of an incomplete event are buffered. */
  [[nodiscard]] bool HasPartialEvent() const { return !this->pending.empty(); }
  [[nodiscard]] std::optional<std::uint64_t> LastId() const
  {
    return this->lastId;
  }
  /** Number of events returned. */
  [[nodiscard]] std::uint64_t ReturnedCount() const
  {
    return this->returnedCount;
  }

  /** Bytes of the incomplete event that are held. */
  [[nodiscard]] std::size_t PendingBytes() const
  {
    return this->pending.size();
  }

  /** Discards an incomplete event. A new engine continues after LastId(). */
  void DiscardPartialEvent() { this->pending.clear(); }

  /** An incomplete event larger than this is a fault of the engine. */
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

private:
  bool Accept(const StreamEvent& aEvent);

  std::string pending;
  std::optional<std::uint64_t> lastId;
  std::uint64_t returnedCount = 0;
  bool broken = false;
};

} // namespace toucanshed
