#include "InstanceListServer.h"

namespace toucanshed::standin {

namespace json = boost::json;

void
InstanceListServer::Publish()
{
  json::array list;
  for (const auto& [id, instance] : this->instances) {
    list.push_back(instance);
  }
  this->snapshots.push_back(
    Snapshot{ std::chrono::steady_clock::now(), json::serialize(list) });
}

std::string
InstanceListServer::VisibleList()
{
  const auto totalLag =
    this->lag + std::chrono::milliseconds(this->faults.Value("lag_ms"));
  const auto visibleUntil = std::chrono::steady_clock::now() - totalLag;
  while (this->snapshots.size() > 1 &&
         this->snapshots[1].publishedAt <= visibleUntil) {
    this->snapshots.pop_front();
  }
  const bool visible = !this->snapshots.empty() &&
                       this->snapshots.front().publishedAt <= visibleUntil;
  return visible ? this->snapshots.front().text : "[]";
}

Task<void>
InstanceListServer::Handle(const HttpRequest& aRequest,
                           HttpResponder& aResponder)
{
  if (auto response = this->faults.HandleRequest(aRequest)) {
    co_await aResponder.Send(std::move(*response));
    co_return;
  }
  if (this->faults.IsOn("outage")) {
    co_await aResponder.Send(MakeResponse(503, "{}\n"));
    co_return;
  }
  if (aRequest.method() == http::verb::get) {
    co_await aResponder.Send(MakeResponse(200, this->VisibleList()));
    co_return;
  }
  boost::system::error_code error;
  const auto parsed = json::parse(aRequest.body(), error);
  const auto* id = !error && parsed.is_object()
                     ? parsed.as_object().if_contains("id")
                     : nullptr;
  if (id == nullptr || !id->is_string()) {
    co_await aResponder.Send(
      MakeResponse(400, "{\"error\":\"expected an id\"}"));
    co_return;
  }
  if (aRequest.method() == http::verb::delete_) {
    this->instances.erase(id->as_string());
  } else {
    this->instances[id->as_string()] = parsed;
  }
  this->Publish();
  co_await aResponder.Send(MakeResponse(200, "{}\n"));
}

} // namespace toucanshed::standin
