#include "Cloud.h"

#include "edge/MessageFields.h"

namespace toucanshed::standin {

namespace json = boost::json;

HttpResponse
Cloud::StartInstance(const HttpRequest& aRequest)
{
  const std::string token = HeaderOf(aRequest, "Client-Token");
  if (token.empty()) {
    return MakeResponse(400, "{\"error\":\"expected a Client-Token\"}\n");
  }
  if (this->instancesByToken.contains(token)) {
    return MakeResponse(200, json::serialize(this->instancesByToken[token]));
  }
  if (this->faults.ShouldInject("refuse_start_percent")) {
    return MakeResponse(503, "{\"refused\":\"no capacity\"}\n");
  }
  boost::system::error_code error;
  const auto parsed = json::parse(aRequest.body(), error);
  if (error || !parsed.is_object()) {
    return MakeResponse(400, "{\"error\":\"expected an object\"}\n");
  }
  json::object instance = parsed.as_object();
  instance["id"] = "i-" + std::to_string(++this->lastId);
  this->instancesByToken[token] = instance;
  return MakeResponse(200, json::serialize(instance));
}

Task<void>
Cloud::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (auto response = this->faults.HandleRequest(aRequest)) {
    co_await aResponder.Send(std::move(*response));
    co_return;
  }
  if (aRequest.method() == http::verb::post) {
    HttpResponse response = this->StartInstance(aRequest);
    if (this->faults.ShouldInject("drop_answer_percent")) {
      co_return;
    }
    co_await aResponder.Send(std::move(response));
    co_return;
  }
  json::array list;
  for (const auto& [token, instance] : this->instancesByToken) {
    list.push_back(instance);
  }
  co_await aResponder.Send(MakeResponse(200, json::serialize(list)));
}

} // namespace toucanshed::standin
