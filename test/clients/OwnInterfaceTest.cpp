#include "test/ClientCrowd.h"
#include "test/ServedDaemon.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::size_t kEndlessClients = 8;
constexpr std::size_t kEndlessBytes = std::size_t{ 80 } << 20U;
constexpr std::size_t kBodyClients = 200;

ClientScript
EndlessTrailers()
{
  return { ServedDaemon::RequestHead() +
             "Transfer-Encoding: chunked\r\n\r\n0\r\n",
           "X-Trailer-Field: value\r\n",
           kEndlessBytes,
           "" };
}

/** A body that lacks its last byte. */
ClientScript
ShortOfLength()
{
  return { ServedDaemon::RequestHead() + "Content-Length: " +
             std::to_string(ServedDaemon::kMaxBodyBytes) + "\r\n\r\n",
           "b",
           0,
           std::string(ServedDaemon::kMaxBodyBytes - 1, 'b') };
}

} // namespace

// Guards against read-ahead without bound, which ends the process.
TEST_CASE("own interface: trailers without end are not held")
{
  ServedDaemon daemon;
  ClientCrowd crowd(daemon.callers, kEndlessClients, EndlessTrailers());
  crowd.AwaitSent();
  CheckSurvives(daemon);
}

// Guards against a bound that only the callers' port has.
TEST_CASE("own interface: operators' trailers without end are not held")
{
  ServedDaemon daemon;
  ClientCrowd crowd(daemon.operators, kEndlessClients, EndlessTrailers());
  crowd.AwaitSent();
  CheckSurvives(daemon);
}

// Guards against a sum of bodies beyond the machine's memory.
TEST_CASE("own interface: unfinished bodies stay within the memory")
{
  ServedDaemon daemon;
  ClientCrowd crowd(daemon.callers, kBodyClients, ShortOfLength());
  crowd.AwaitSent();
  CheckSurvives(daemon);
}

// Guards against a sum of proper requests beyond the machine's memory.
TEST_CASE("own interface: whole bodies at once stay within the memory")
{
  ServedDaemon daemon;
  ClientScript script = ShortOfLength();
  script.tail += "b";
  script.returns = true;
  ClientCrowd crowd(daemon.callers, kBodyClients, script);
  crowd.AwaitSent();
  CheckSurvives(daemon);
}

// Guards against connections that take all descriptors.
TEST_CASE("own interface: idle connections leave descriptors to callers")
{
  constexpr std::size_t kMaxDescriptors = 300;
  constexpr std::size_t kClients = 400;
  ServedDaemon daemon(kMaxDescriptors);
  ClientScript script;
  script.returns = true;
  ClientCrowd callers(daemon.callers, kClients, script);
  ClientCrowd operators(daemon.operators, kClients, script);
  callers.AwaitSent();
  operators.AwaitSent();
  CheckSurvives(daemon);
}

// Guards against a bound on the sum that refuses a single large request.
TEST_CASE("own interface: the largest body is served in calm")
{
  ServedDaemon daemon;
  const bool answered =
    daemon.IsAnswered(std::string(ServedDaemon::kMaxBodyBytes, 'b'));
  CHECK(answered);
  CheckSurvives(daemon);
}

} // namespace toucanshed::test
