#include "LogWriter.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace toucanshed {

namespace {

bool
IsWritable(int aDescriptor)
{
  pollfd request{ aDescriptor, POLLOUT, 0 };
  return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

void
LogWriter::Write(std::string_view aLine)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->pending.size() + aLine.size() + 1 > kMaxBufferedBytes) {
    ++this->droppedLines;
    ++this->unreportedLines;
    return;
  }
  if (this->unreportedLines > 0) {
    this->pending +=
      "event=log.dropped lines=" + std::to_string(this->unreportedLines);
    this->pending += '\n';
    this->unreportedLines = 0;
  }
  this->pending += aLine;
  this->pending += '\n';
  if (this->pending.size() > this->flushThreshold) {
    this->FlushLocked();
  }
}

void
LogWriter::Flush()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->FlushLocked();
}

void
LogWriter::FlushLocked()
{
  std::size_t written = 0;
  while (written < this->pending.size() && IsWritable(this->descriptor)) {
    const std::size_t block =
      std::min(kMaxWriteBytes, this->pending.size() - written);
    const ssize_t count =
      ::write(this->descriptor, this->pending.data() + written, block);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  this->pending.erase(0, written);
}

} // namespace toucanshed
