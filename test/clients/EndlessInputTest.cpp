#include "test/ClientCrowd.h"
#include "test/ServedPlatform.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::size_t kClients = 8;
constexpr std::size_t kBytesPerClient = std::size_t{ 48 } << 20U;

std::string
ChunkedHead()
{
  return ServedPlatform::RequestHead() + "Transfer-Encoding: chunked\r\n\r\n";
}

ClientScript
EndlessTrailers()
{
  return { ChunkedHead() + "4\r\nbody\r\n0\r\n",
           "X-Trailer-Field: value\r\n",
           kBytesPerClient,
           "" };
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

// Guards against read-ahead without bound, which ends the process.
TEST_CASE("trailers without end are not held")
{
  CheckSurvivesAt(&ServedPlatform::callers, EndlessTrailers());
}

// Guards against read-ahead without bound, which ends the process.
TEST_CASE("a trailer field without end is not held")
{
  CheckSurvivesAt(&ServedPlatform::callers,
                  { ChunkedHead() + "0\r\nX-Field: ",
                    std::string(4096, 'x'),
                    kBytesPerClient,
                    "" });
}

// Guards against read-ahead without bound, which ends the process.
TEST_CASE("a chunk extension without end is not held")
{
  CheckSurvivesAt(
    &ServedPlatform::callers,
    { ChunkedHead() + "5;a=", std::string(4096, 'x'), kBytesPerClient, "" });
}

// Guards against read-ahead without bound, which ends the process.
TEST_CASE("a chunk size without end is not held")
{
  CheckSurvivesAt(
    &ServedPlatform::callers,
    { ChunkedHead(), std::string(4096, '0'), kBytesPerClient, "" });
}

// Guards against a head without bound, which ends the process.
TEST_CASE("a head without end is not held")
{
  CheckSurvivesAt(
    &ServedPlatform::callers,
    { ServedPlatform::RequestHead(), "X-Field: v\r\n", kBytesPerClient, "" });
}

// Guards against a bound that only the callers' port has.
TEST_CASE("trailers without end are not held at the relays' port")
{
  CheckSurvivesAt(&ServedPlatform::relays, EndlessTrailers());
}

// Guards against a bound that only the callers' port has.
TEST_CASE("trailers without end are not held at the readiness port")
{
  CheckSurvivesAt(&ServedPlatform::readiness, EndlessTrailers());
}

// Guards against a bound that only the callers' port has.
TEST_CASE("trailers without end are not held at the metrics port")
{
  CheckSurvivesAt(&ServedPlatform::metrics, EndlessTrailers());
}

// Guards against a body over the limit that is held before it is refused.
TEST_CASE("bodies far over the limit are not held")
{
  const std::string kilobytes(4096, 'b');
  CheckSurvivesAt(&ServedPlatform::callers,
                  { ServedPlatform::RequestHead() + "Content-Length: " +
                      std::to_string(kBytesPerClient) + "\r\n\r\n",
                    kilobytes,
                    kBytesPerClient,
                    "" });
  CheckSurvivesAt(
    &ServedPlatform::callers,
    { ChunkedHead(), "1000\r\n" + kilobytes + "\r\n", kBytesPerClient, "" });
}

} // namespace toucanshed::test
