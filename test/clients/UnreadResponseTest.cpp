#include "test/ClientCrowd.h"
#include "test/ServedPlatform.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

/** Requests one after the other, whose responses are not read. */
ClientScript
UnreadRequests(const std::string& aPath)
{
  constexpr std::size_t kRequests = 30;
  const std::string request = ServedPlatform::RequestHead(aPath) + "\r\n";
  ClientScript script{ "", request, kRequests * request.size(), "" };
  script.reads = false;
  return script;
}

} // namespace

// Guards against engines that count as busy until a client has read.
TEST_CASE("clients that do not read leave engines to ordinary callers")
{
  constexpr std::size_t kClients = 32;
  PlatformLimits limits;
  limits.responseBytes = std::size_t{ 512 } << 10U;
  ServedPlatform platform(limits);
  ClientCrowd crowd(platform.callers, kClients, UnreadRequests("/look/1"));
  crowd.AwaitSent();
  CheckSurvives(platform);
}

// Guards against a sum of responses beyond the machine's memory.
TEST_CASE("large responses that are not read stay within the memory")
{
  constexpr std::size_t kClients = 128;
  PlatformLimits limits;
  limits.responseBytes = std::size_t{ 6 } << 20U;
  ServedPlatform platform(limits);
  ClientCrowd crowd(platform.callers, kClients, UnreadRequests("/look/1"));
  crowd.AwaitSent();
  CheckSurvives(platform);
}

// Guards against streams that clients do not read.
TEST_CASE("streams that are not read leave room to ordinary callers")
{
  constexpr std::size_t kClients = 128;
  PlatformLimits limits;
  limits.eventsPerStream = 4000;
  limits.eventBytes = 4096;
  ServedPlatform platform(limits);
  ClientCrowd crowd(platform.callers, kClients, UnreadRequests("/chat/1"));
  crowd.AwaitSent();
  CheckSurvives(platform);
}

} // namespace toucanshed::test
