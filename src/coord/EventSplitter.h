/** \file
 * Cuts the bytes of an event stream into whole events and checks their order.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanshed {

/** One whole event with the blank line that ends it. */
struct StreamEvent
{
  std::string bytes;
  std::optional<std::uint64_t> id;
};

/**
 * An engine may stop in the middle of an event. Half an event that reached the
 * caller would be completed by the next engine's first bytes and read as one
 * event; therefore only whole events leave here. Ids must grow by one: a gap
 * is an event that was lost, a repeat one that the caller already has.
 *
 * \code
 * splitter.Add(piece);
 * while (auto event = splitter.Next()) { forward(event->bytes); }
 * \endcode
 *
 * Thread safety: none; the owner serialises.
 */
class EventSplitter
{
public:
  /** \param aAfter id of the last event that the caller has. */
  explicit EventSplitter(std::optional<std::uint64_t> aAfter = std::nullopt)
    : lastId(aAfter)
  {
  }

  void Add(std::string_view aBytes) { this->pending += aBytes; }

  /** The next whole event; nothing while none is complete or after a fault.
   * Repeats of events that were given out are passed over. */
  std::optional<StreamEvent> Next();

  /** An id was missing, so what follows must not reach the caller. */
  [[nodiscard]] bool Broken() const { return this->broken; }
  /** Bytes of an event that has not ended. */
  [[nodiscard]] bool HasPartialEvent() const { return !this->pending.empty(); }
  [[nodiscard]] std::optional<std::uint64_t> LastId() const
  {
    return this->lastId;
  }
  /** Events given out. */
  [[nodiscard]] std::uint64_t ReturnedCount() const
  {
    return this->returnedCount;
  }

  /** Forgets the unfinished rest; a new engine goes on after Last(). */
  void DiscardPartialEvent() { this->pending.clear(); }

  /** An unfinished event larger than this is a fault of the engine. */
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

private:
  bool Accept(const StreamEvent& aEvent);

  std::string pending;
  std::optional<std::uint64_t> lastId;
  std::uint64_t returnedCount = 0;
  bool broken = false;
};

} // namespace toucanshed
