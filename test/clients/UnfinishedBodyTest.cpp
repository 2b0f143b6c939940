#include "test/ClientCrowd.h"
#include "test/ServedPlatform.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>

namespace toucanshed::test {
namespace {

constexpr std::size_t kClients = 64;
constexpr std::size_t kBodyBytes = std::size_t{ 4 } << 20U;

/** A chunk of a body, of aBytes. */
std::string
ChunkOf(std::size_t aBytes)
{
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes);
  return size.data() + std::string(aBytes, 'b') + "\r\n";
}

/** A chunked body of the largest length but for one chunk, and no end. */
ClientScript
UnendedChunks(std::size_t aChunkBytes)
{
  const std::string chunk = ChunkOf(aChunkBytes);
  return { ServedPlatform::RequestHead() + "Transfer-Encoding: chunked\r\n\r\n",
           chunk,
           (kBodyBytes / aChunkBytes - 1) * chunk.size(),
           "" };
}

/** A body that lacks its last byte. */
ClientScript
ShortOfLength()
{
  return { ServedPlatform::RequestHead() +
             "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n",
           "b",
           0,
           std::string(kBodyBytes - 1, 'b') };
}

void
CheckSurvivesAt(Endpoint ServedPlatform::*aPort, const ClientScript& aScript)
{
  ServedPlatform platform{ {} };
  ClientCrowd crowd(platform.*aPort, kClients, aScript);
  crowd.AwaitSent();
  CheckSurvives(platform);
}

} // namespace

// Guards against a sum of bodies beyond the machine's memory.
TEST_CASE("unfinished bodies in large chunks stay within the memory")
{
  CheckSurvivesAt(&ServedPlatform::callers,
                  UnendedChunks(std::size_t{ 1 } << 20U));
}

// Guards against a sum of bodies beyond the machine's memory.
TEST_CASE("unfinished bodies in one chunk stay within the memory")
{
  ClientScript script{ ServedPlatform::RequestHead() +
                         "Transfer-Encoding: chunked\r\n\r\n400000\r\n",
                       "b",
                       0,
                       std::string(kBodyBytes - 1, 'b') };
  CheckSurvivesAt(&ServedPlatform::callers, script);
}

// Guards against a sum of bodies beyond the machine's memory.
TEST_CASE("unfinished bodies in small chunks stay within the memory")
{
  CheckSurvivesAt(&ServedPlatform::callers, UnendedChunks(4));
}

// Guards against a sum of bodies beyond the machine's memory.
TEST_CASE("bodies that lack a byte stay within the memory")
{
  CheckSurvivesAt(&ServedPlatform::callers, ShortOfLength());
}

// Guards against a sum of bodies beyond the machine's memory.
TEST_CASE("clients that return with unfinished bodies stay within the memory")
{
  ClientScript script = ShortOfLength();
  script.returns = true;
  CheckSurvivesAt(&ServedPlatform::callers, script);
}

// Guards against a bound that only the callers' port has.
TEST_CASE("unfinished bodies at the relays' port stay within the memory")
{
  CheckSurvivesAt(&ServedPlatform::relays, ShortOfLength());
}

// Guards against ports that are bounded one by one, and not together.
TEST_CASE("unfinished bodies at all ports stay within the memory")
{
  ServedPlatform platform{ {} };
  const ClientScript script = ShortOfLength();
  ClientCrowd callers(platform.callers, kClients / 2, script);
  ClientCrowd relays(platform.relays, kClients / 2, script);
  ClientCrowd readiness(platform.readiness, kClients, script);
  ClientCrowd metrics(platform.metrics, kClients, script);
  for (ClientCrowd* crowd : { &callers, &relays, &readiness, &metrics }) {
    crowd->AwaitSent();
  }
  CheckSurvives(platform);
}

// Guards against a bound that follows no machine but one.
TEST_CASE("unfinished bodies stay within the memory of a larger machine")
{
  PlatformLimits limits;
  limits.memoryMb = 260;
  ServedPlatform platform(limits);
  ClientCrowd crowd(platform.callers, 2 * kClients, ShortOfLength());
  crowd.AwaitSent();
  CheckSurvives(platform);
}

// Guards against many small requests that are bounded only one by one.
TEST_CASE("many unfinished small requests stay within the memory")
{
  constexpr std::size_t kManyClients = 3500;
  constexpr std::size_t kSmallBytes = 60000;
  ServedPlatform platform{ {} };
  ClientCrowd crowd(platform.callers,
                    kManyClients,
                    { ServedPlatform::RequestHead() + "Content-Length: " +
                        std::to_string(kSmallBytes + 1) + "\r\n\r\n",
                      "b",
                      kSmallBytes,
                      "" });
  crowd.AwaitSent();
  CheckSurvives(platform);
}

} // namespace toucanshed::test
