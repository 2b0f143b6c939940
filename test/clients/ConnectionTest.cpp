#include "test/ClientCrowd.h"
#include "test/ServedPlatform.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::size_t kClients = 400;

PlatformLimits
FewDescriptors()
{
  PlatformLimits limits;
  limits.maxDescriptors = 300;
  return limits;
}

} // namespace

// Guards against connections that take all descriptors.
TEST_CASE("idle connections leave descriptors to ordinary callers")
{
  ServedPlatform platform(FewDescriptors());
  ClientScript script;
  script.returns = true;
  ClientCrowd crowd(platform.callers, kClients, script);
  crowd.AwaitSent();
  CheckSurvives(platform);
}

// Guards against connections that take all descriptors.
TEST_CASE("heads left open leave descriptors to ordinary callers")
{
  ServedPlatform platform(FewDescriptors());
  ClientScript script{ ServedPlatform::RequestHead(), "X", 0, "X-Field: v" };
  script.returns = true;
  ClientCrowd crowd(platform.callers, kClients, script);
  crowd.AwaitSent();
  CheckSurvives(platform);
}

// Guards against another port's connections that take all descriptors.
TEST_CASE("connections to the metrics port leave descriptors to callers")
{
  ServedPlatform platform(FewDescriptors());
  ClientScript script;
  script.returns = true;
  ClientCrowd metrics(platform.metrics, kClients, script);
  ClientCrowd readiness(platform.readiness, kClients, script);
  ClientCrowd relays(platform.relays, kClients, script);
  for (ClientCrowd* crowd : { &metrics, &readiness, &relays }) {
    crowd->AwaitSent();
  }
  CheckSurvives(platform);
}

// Guards against connections that are still held after they were reset.
TEST_CASE("clients that connect and reset leave descriptors to callers")
{
  ServedPlatform platform(FewDescriptors());
  ClientScript script{ ServedPlatform::RequestHead() + "\r\n", "X", 0, "" };
  script.resetsWhenSent = true;
  ClientCrowd crowd(platform.callers, kClients, script);
  crowd.AwaitSent();
  CheckSurvives(platform);
}

// Guards against requests that take all descriptors for their engine.
TEST_CASE("many requests at once leave descriptors to ordinary callers")
{
  ServedPlatform platform(FewDescriptors());
  ClientScript script{
    "", ServedPlatform::RequestHead() + "\r\n", std::size_t{ 1 } << 20U, ""
  };
  script.returns = true;
  ClientCrowd crowd(platform.callers, kClients, script);
  crowd.AwaitSent();
  CheckSurvives(platform);
}

} // namespace toucanshed::test
