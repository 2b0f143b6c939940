#include "StreamMigrationQueue.h"

#include <algorithm>

namespace toucanshed {

void
StreamMigrationQueue::AddOrUpdate(const std::string& aIncarnation,
                                  const RequestId& aRequest,
                                  std::uint64_t aTokens)
{
  this->streamsByEngine[aIncarnation][aRequest].tokens = aTokens;
}

bool
StreamMigrationQueue::TryStart(const std::string& aIncarnation,
                               const RequestId& aRequest)
{
  StreamMap& streams = this->streamsByEngine[aIncarnation];
  Stream& stream = streams[aRequest];
  if (stream.migrating) {
    return true;
  }
  const auto ahead =
    std::count_if(streams.begin(), streams.end(), [&](const auto& aOther) {
      return aOther.second.migrating || aOther.second.tokens > stream.tokens;
    });
  stream.migrating = static_cast<std::size_t>(ahead) < kMaxConcurrent;
  return stream.migrating;
}

void
StreamMigrationQueue::Remove(const std::string& aIncarnation,
                             const RequestId& aRequest)
{
  const auto streams = this->streamsByEngine.find(aIncarnation);
  if (streams == this->streamsByEngine.end()) {
    return;
  }
  streams->second.erase(aRequest);
  if (streams->second.empty()) {
    this->streamsByEngine.erase(streams);
  }
}

} // namespace toucanshed
