#include "OfferedRequests.h"

#include "ServingRequest.h"
#include "ServingState.h"

#include <algorithm>

namespace toucanshed {

namespace {

bool
IsMeasured(const ServingRequest& aRequest)
{
  const ServiceSpec* spec = aRequest.catalog->FindService(aRequest.service);
  return spec != nullptr && spec->engine;
}

std::uint64_t
SharedTokens(const ServingRequest& aRequest)
{
  return TotalTokens(aRequest.incoming.prompt) -
         UnsharedTokens(aRequest.incoming.prompt);
}

bool
IsLong(const ServingState& aState, const ServingRequest& aRequest)
{
  return aState.HasLongPrompt(aRequest.service,
                              TotalTokens(aRequest.incoming.prompt));
}

} // namespace

void
RecordOfferedLoad(ServingState& aState,
                  const ServingRequest& aRequest,
                  TimePoint aNow)
{
  if (!IsMeasured(aRequest)) {
    return;
  }
  AdmittedRequest admitted;
  admitted.priority = aRequest.Priority();
  admitted.unsharedTokens = UnsharedTokens(aRequest.incoming.prompt);
  admitted.sharedTokens = SharedTokens(aRequest);
  admitted.isLong = IsLong(aState, aRequest);
  aState.offeredLoad.RecordAdmission(aRequest.service, admitted, aNow);
}

void
RecordOfferedSend(ServingState& aState,
                  const ServingRequest& aRequest,
                  std::uint64_t aUncachedTokens,
                  TimePoint aNow)
{
  const std::uint64_t unshared = UnsharedTokens(aRequest.incoming.prompt);
  const std::uint64_t uncachedShared =
    aUncachedTokens - std::min(unshared, aUncachedTokens);
  aState.offeredLoad.RecordSend(
    aRequest.service, SharedTokens(aRequest), uncachedShared, aNow);
}

void
RecordOfferedFinish(ServingState& aState,
                    const ServingRequest& aRequest,
                    Millis aSlotTime)
{
  aState.offeredLoad.RecordFinish(
    aRequest.service, aRequest.Priority(), IsLong(aState, aRequest), aSlotTime);
}

} // namespace toucanshed
