#include "Cloud.h"

#include "edge/MessageFields.h"

namespace toucanshed::standin {

Task<void>
PlatformCloud::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kConflict = 409;
  CloudCall call;
  call.path = std::string(PathOf(aRequest.target()));
  call.body = aRequest.body();
  call.holder = HeaderOf(aRequest, "Duty-Holder");
  call.fence = std::stoull("0" + HeaderOf(aRequest, "Fencing-Token"));
  unsigned status = kOk;
  if (call.fence < this->highestFence) {
    ++this->rejectedForFence;
    status = kConflict;
  } else {
    this->highestFence = call.fence;
    this->accepted.push_back(std::move(call));
  }
  HttpResponse response = MakeResponse(status, "{}");
  co_await aResponder.Send(std::move(response));
}

} // namespace toucanshed::standin
