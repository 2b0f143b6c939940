#include "test/ClientCrowd.h"
#include "test/ServedPlatform.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::size_t kBodyBytes = std::size_t{ 4 } << 20U;

std::string
ChunkedRequest(const std::string& aChunk, std::size_t aCount)
{
  std::string request =
    ServedPlatform::RequestHead() + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t i = 0; i < aCount; ++i) {
    request += aChunk;
  }
  return request + "0\r\n\r\n";
}

} // namespace

// Guards against a bound on the sum that refuses a single large request.
TEST_CASE("the largest body is served in calm")
{
  ServedPlatform platform{ {} };
  const std::string body(kBodyBytes, 'b');
  const bool whole = platform.IsAnswered(body);
  const bool oneChunk =
    platform.IsRequestAnswered(ChunkedRequest("400000\r\n" + body + "\r\n", 1));
  const bool smallChunks =
    platform.IsRequestAnswered(ChunkedRequest("4\r\nbody\r\n", kBodyBytes / 4));
  CHECK(whole);
  CHECK(oneChunk);
  CHECK(smallChunks);
  CheckSurvives(platform);
}

// Guards against a sum of proper requests beyond the machine's memory.
TEST_CASE("many whole bodies at once stay within the memory")
{
  constexpr std::size_t kClients = 64;
  ServedPlatform platform{ {} };
  ClientCrowd crowd(platform.callers,
                    kClients,
                    { ServedPlatform::RequestHead() + "Content-Length: " +
                        std::to_string(kBodyBytes) + "\r\n\r\n",
                      "b",
                      0,
                      std::string(kBodyBytes, 'b') });
  crowd.AwaitSent();
  CheckSurvives(platform);
}

// Guards against a sum of proper requests beyond the machine's memory, from
// clients that send the next as soon as the last is answered.
TEST_CASE("whole bodies without end stay within the memory")
{
  constexpr std::size_t kClients = 64;
  ServedPlatform platform{ {} };
  ClientScript script{ "",
                       ServedPlatform::RequestHead() +
                         "Content-Length: " + std::to_string(kBodyBytes) +
                         "\r\n\r\n" + std::string(kBodyBytes, 'b'),
                       std::size_t{ 16 } << 20U,
                       "" };
  script.returns = true;
  ClientCrowd crowd(platform.callers, kClients, script);
  crowd.AwaitSent();
  CheckSurvives(platform);
}

} // namespace toucanshed::test
