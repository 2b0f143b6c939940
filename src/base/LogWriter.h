/** \file
 * Writes log lines to a file descriptor and never blocks on its reader.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace toucanshed {

/**
 * A log reader that hangs must not block the process, but a write to a full
 * pipe would. So lines are buffered in memory up to kMaxBufferedBytes and
 * written only while poll reports the descriptor as writable. Further lines are
 * dropped and counted; the number of dropped lines is logged before the next
 * line that fits.
 *
 * Thread safety: all methods may be called from any thread.
 */
class LogWriter
{
public:
  /** Maximum number of bytes buffered for a slow reader. */
  static constexpr std::size_t kMaxBufferedBytes = 256U << 10U;
  /** Size of a write that a pipe accepts without blocking once poll reports it
   * as writable. */
  static constexpr std::size_t kMaxWriteBytes = 4096;

  /** \param aFlushThreshold number of bytes to buffer before a write; a higher
   *   value saves system calls. If it is not 0, the owner must call Flush
   *   regularly. */
  explicit LogWriter(int aDescriptor, std::size_t aFlushThreshold = 0)
    : descriptor(aDescriptor)
    , flushThreshold(aFlushThreshold)
  {
  }

  /** Logs a line. \param aLine the text without a line end. */
  void Write(std::string_view aLine);
  /** Writes buffered lines as far as the descriptor accepts them now. */
  void Flush();

  [[nodiscard]] std::uint64_t DroppedLines() const
  {
    return this->droppedLines;
  }

private:
  void FlushLocked();

  int descriptor;
  std::size_t flushThreshold;
  std::mutex mutex;
  std::string pending;
  std::uint64_t droppedLines = 0;
  std::uint64_t unreportedLines = 0; // part of droppedLines, not logged yet
};

} // namespace toucanshed
