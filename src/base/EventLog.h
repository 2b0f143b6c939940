/** \file
 * The event log of the process: one line of key=value pairs per event, written
 * through Boost.Log and kept in memory for the operator port.
 */
#pragma once

#include "HybridClock.h"

#include <concepts>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

class LogWriter;

/**
 * Builds one event. Values that are empty or contain white space, quotes or '='
 * are quoted, so that a line can always be split into its pairs.
 *
 * \code
 * log.Emit(Event("request.completed").With("request", id).With("ms", 12));
 * \endcode
 *
 * Thread safety: none; an event belongs to the thread that builds it.
 */
class Event
{
public:
  explicit Event(std::string_view aName);

  Event&& With(std::string_view aKey, std::string_view aValue) &&;
  template<std::integral N>
  Event&& With(std::string_view aKey, N aValue) &&
  {
    return std::move(*this).With(aKey,
                                 std::string_view(std::to_string(aValue)));
  }
  template<typename Tag>
  Event&& With(std::string_view aKey, const StrongId<Tag>& aId) &&
  {
    return std::move(*this).With(aKey, std::string_view(aId.value));
  }

  /** "event=NAME key=value ..." */
  [[nodiscard]] const std::string& Text() const { return this->text; }

private:
  std::string text;
};

/** Thread safety: all methods may be called from any thread. */
class EventLog
{
public:
  /** \param aProcess name of the process, added to each line.
   *  \param aNow returns the wall-clock time. */
  EventLog(std::string aProcess, std::function<TimePoint()> aNow);

  void Emit(const Event& aEvent);

  /** Lines with a number above aAfter, oldest first, and the latest number.
   * Only the latest kMaxLines lines are available. */
  struct Page
  {
    std::uint64_t latestNumber = 0;
    std::vector<std::string> lines;
  };
  Page LinesAfter(std::uint64_t aAfter);

  HybridClock& Clock() { return this->clock; }

  /** Number of lines kept in memory. */
  static constexpr std::size_t kMaxLines = 8000;

private:
  std::string processName;
  std::function<TimePoint()> now;
  HybridClock clock;
  std::mutex mutex;
  std::deque<std::string> lines;
  std::uint64_t latestNumber = 0;
};

/** Sends Boost.Log output to a writer, one line per record without a prefix.
 * \param aLevel "error" logs errors only; any other value also logs events.
 * Precondition: called once, before the first event; aWriter outlives all
 * logging. */
void
StartLogging(std::string_view aLevel, LogWriter& aWriter);

} // namespace toucanshed
