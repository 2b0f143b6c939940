#include "HandoverTable.h"

namespace toucanshed {

void
HandoverTable::Add(HandedOverStream aStream, TimePoint aNow)
{
  const auto found = this->streams.find(aStream.request);
  if (found != this->streams.end()) {
    const bool isLonger =
      aStream.tokens.size() > found->second.stream.tokens.size();
    if (isLonger) {
      found->second.stream = std::move(aStream);
    }
    return;
  }
  if (this->streams.size() < kMaxStreams) {
    const RequestId request = aStream.request;
    this->streams.emplace(request, Entry{ std::move(aStream), aNow });
  }
}

const HandedOverStream*
HandoverTable::Find(const RequestId& aRequest) const
{
  const auto found = this->streams.find(aRequest);
  return found == this->streams.end() ? nullptr : &found->second.stream;
}

void
HandoverTable::Expire(TimePoint aNow)
{
  std::erase_if(this->streams, [&](const auto& aEntry) {
    return aNow - aEntry.second.addedAt >= kRetention;
  });
}

} // namespace toucanshed
