#include "StreamMigrationQueue.h"

#include <algorithm>

namespace toucanshed {

void
StreamMigrationQueue::AddOrUpdate(const std::string& aLife,
                                  const RequestId& aRequest,
                                  std::uint64_t aTokens)
{
  this->streamsByEngine[aLife][aRequest].tokens = aTokens;
}

bool
StreamMigrationQueue::TryStart(const std::string& aLife,
                               const RequestId& aRequest)
{
  StreamMap& line = this->streamsByEngine[aLife];
  Stream& stream = line[aRequest];
  if (stream.migrating) {
    return true;
  }
  const auto before =
    std::count_if(line.begin(), line.end(), [&](const auto& aOther) {
      return aOther.second.migrating || aOther.second.tokens > stream.tokens;
    });
  stream.migrating = static_cast<std::size_t>(before) < kMaxConcurrent;
  return stream.migrating;
}

void
StreamMigrationQueue::Remove(const std::string& aLife,
                             const RequestId& aRequest)
{
  const auto line = this->streamsByEngine.find(aLife);
  if (line == this->streamsByEngine.end()) {
    return;
  }
  line->second.erase(aRequest);
  if (line->second.empty()) {
    this->streamsByEngine.erase(line);
  }
}

} // namespace toucanshed
