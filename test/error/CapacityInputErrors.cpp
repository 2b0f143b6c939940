// Sizes in requests and in the configuration that are missing or make no sense.
// Guards against an engine that appears to be full, or against the loss of the
// request, because of one.
#include "coord/Placement.h"
#include "platform/Names.h"
#include "platform/RecordFormat.h"
#include "platform/RequestFormat.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

std::uint64_t
HintIn(const char* aText)
{
  HttpRequest message{ http::verb::post, "/", 11 };
  message.set(http::field::host, "svc");
  message.set(platform::kAttemptField, "a1");
  message.set(platform::kLengthHintField, aText);
  const auto request = platform::ParseRequest(message);
  REQUIRE(request);
  return request->lengthHint;
}

EngineTraits
TraitsIn(const std::string& aEngine)
{
  const auto catalog = platform::ParseCatalog(
    R"({"version":1,"services":[{"name":"model","engine":)" + aEngine +
    R"(}],"routes":[],"tenants":[]})");
  REQUIRE(catalog);
  const ServiceSpec* spec = catalog->FindService(ServiceId{ "model" });
  REQUIRE(spec != nullptr);
  REQUIRE(spec->engine);
  return *spec->engine;
}

} // namespace

TEST_CASE("a length hint that cannot be read is none")
{
  CHECK(HintIn("250") == 250);
  CHECK(HintIn("1000000000000") == 1'000'000'000'000);
  for (const char* bad :
       { "", "0", "-5", "many", "1e3", "99999999999999999999", "12 tokens" }) {
    CHECK(HintIn(bad) == 0);
  }
}

// Guards against a sum of sections that overflows, so that a prompt larger than
// any engine's memory seems to be a short one.
TEST_CASE("token counts of prompt sections do not overflow")
{
  HttpRequest message{ http::verb::post, "/", 11 };
  message.set(http::field::host, "svc");
  message.set(platform::kAttemptField, "a1");
  message.set(platform::kPrefixHashField,
              "aa:18446744073709551615,bb:11,cc:1000000000000");
  const auto request = platform::ParseRequest(message);
  REQUIRE(request);
  CHECK(TotalTokens(request->prompt) > 1'000'000'000);
  CHECK(TotalTokens(request->prompt) < 1'000'000'000'000);
}

TEST_CASE("engine sizes that make no sense count as not stated")
{
  const EngineTraits stated =
    TraitsIn(R"({"slots":12,"kv_capacity_tokens":200000,"stride":4})");
  CHECK(stated.slots == 12);
  CHECK(stated.memoryTokens == 200000);
  CHECK(stated.tokensPerEvent == 4);
  for (const char* bad : { "-1", "0", "\"many\"", "null", "1.5" }) {
    const std::string value = bad;
    const EngineTraits traits =
      TraitsIn(R"({"slots":12,"kv_capacity_tokens":)" + value +
               R"(,"stride":)" + value + "}");
    CHECK(traits.memoryTokens == 0);
    CHECK(traits.tokensPerEvent == 1);
  }
  const EngineTraits absent = TraitsIn(R"({"slots":12})");
  CHECK(absent.memoryTokens == 0);
  CHECK(absent.tokensPerEvent == 1);
  const EngineTraits huge =
    TraitsIn(R"({"slots":1000000000000,"stride":1000000000000})");
  CHECK(huge.slots == 65536);
  CHECK(huge.tokensPerEvent == 1024);
}

} // namespace toucanshed::test
