// What the caller sees: a prompt that no engine can hold is rejected at once
// with 503, without an invitation to return. Sent to engines, it would be
// rejected by one after the other, and its caller would return with it.
#include "platform/RecordFormat.h"
#include "test/PlatformHarness.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

namespace json = boost::json;

CallerResponse
SendPrompt(PlatformHarness& aHarness, const std::string& aSections)
{
  CallerMessage message;
  message.path = "/chat/1";
  message.fields = { { "Prefix-Hash", aSections } };
  CallerResponse response;
  aHarness.Run([](PlatformHarness& aTarget,
                  CallerMessage aRequest,
                  CallerResponse& aResponse) -> Task<void> {
    aResponse = co_await aTarget.SendRequest(std::move(aRequest));
  }(aHarness, message, response));
  return response;
}

} // namespace

TEST_CASE("a prompt larger than the engines' memory is rejected")
{
  PlatformHarness harness(24560);
  auto& engine = harness.AddEngine("e1", "model");
  json::object catalog =
    json::parse(PlatformHarness::CatalogText(1)).as_object();
  catalog["services"] = json::array{ json::object{
    { "name", "model" },
    { "engine",
      json::object{ { "slots", 8 }, { "kv_capacity_tokens", 1000 } } } } };
  harness.state->catalog = std::make_shared<const Catalog>(
    *platform::ParseCatalog(json::serialize(catalog)));
  const CallerResponse rejected = SendPrompt(harness, "all:500,own:501");
  CHECK(rejected.status == 503);
  CHECK(rejected.retryAfter.empty());
  CHECK(rejected.body.find("the prompt exceeds the engines' memory") !=
        std::string::npos);
  CHECK(engine.receivedRequests.empty());
  CHECK(SendPrompt(harness, "all:500,own:500").status == 200);
  CHECK(engine.receivedRequests.size() == 1);
}

} // namespace toucanshed::test
