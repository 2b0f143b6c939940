/** \file
 * Writes log lines to a descriptor without ever waiting for its reader.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace toucanshed {

/**
 * A log reader that stops must not stop the process: a write to a full pipe
 * blocks. Lines are kept in memory up to a bound and written only when the
 * descriptor can take a whole block; beyond the bound they are counted and
 * dropped, and the next line that fits says how many were.
 *
 * Thread safety: all methods may be called from any thread.
 */
class LogWriter
{
public:
  /** Bytes kept for a reader that is slow. */
  static constexpr std::size_t kMaxBufferedBytes = 256U << 10U;
  /** Bytes that a pipe takes whole once it says that it can be written to. */
  static constexpr std::size_t kMaxWriteBytes = 4096;

  /** \param aGather bytes to gather before a write is tried; fewer system
   *   calls, but whoever sets it must call Flush regularly. */
  explicit LogWriter(int aDescriptor, std::size_t aGather = 0)
    : descriptor(aDescriptor)
    , flushThreshold(aGather)
  {
  }

  /** Takes a line without its end. */
  void Write(std::string_view aLine);
  /** Writes what the descriptor takes now. */
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
  std::uint64_t unreportedLines = 0; // of dropped, not yet said in the log
};

} // namespace toucanshed
