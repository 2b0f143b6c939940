#include "WeightStore.h"

#include "edge/Worker.h"

#include <chrono>

namespace toucanshed::standin {

Task<void>
WeightStore::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (auto response = this->faults.HandleRequest(aRequest)) {
    co_await aResponder.Send(std::move(*response));
    co_return;
  }
  const auto now = std::chrono::duration_cast<std::chrono::seconds>(
                     std::chrono::steady_clock::now().time_since_epoch())
                     .count();
  if (now != this->currentSecond) {
    this->currentSecond = now;
    this->fetchesThisSecond = 0;
  }
  if (++this->fetchesThisSecond > this->maxFetchesPerSecond) {
    HttpResponse refused = MakeResponse(429, "{\"refused\":\"rate\"}\n");
    refused.set(http::field::retry_after, "1");
    co_await aResponder.Send(std::move(refused));
    co_return;
  }
  co_await Sleep(std::chrono::milliseconds(this->faults.Value("delay_ms")));
  co_await aResponder.Send(
    MakeResponse(200, "weights of " + std::string(aRequest.target()) + "\n"));
}

} // namespace toucanshed::standin
