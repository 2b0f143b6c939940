#include "LogWriter.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace toucanshed {

namespace {

bool
CanWrite(int aDescriptor)
{
  pollfd wanted{ aDescriptor, POLLOUT, 0 };
  return ::poll(&wanted, 1, 0) == 1 && (wanted.revents & POLLOUT) != 0;
}

} // namespace

void
LogWriter::Write(std::string_view aLine)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->kept.size() + aLine.size() + 1 > kMostKept) {
    ++this->dropped;
    ++this->unsaid;
    return;
  }
  if (this->unsaid > 0) {
    this->kept += "event=log.dropped lines=" + std::to_string(this->unsaid);
    this->kept += '\n';
    this->unsaid = 0;
  }
  this->kept += aLine;
  this->kept += '\n';
  if (this->kept.size() > this->gather) {
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
  while (written < this->kept.size() && CanWrite(this->descriptor)) {
    const std::size_t block = std::min(kBlock, this->kept.size() - written);
    const ssize_t took =
      ::write(this->descriptor, this->kept.data() + written, block);
    if (took <= 0) {
      break;
    }
    written += static_cast<std::size_t>(took);
  }
  this->kept.erase(0, written);
}

} // namespace toucanshed
