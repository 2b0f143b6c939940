#include "test/CallerSocket.h"
#include "test/ServedPlatform.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::size_t kMaxHeaderBytes = std::size_t{ 192 } << 10U;

PlatformLimits
WithLargeHeads()
{
  PlatformLimits limits;
  limits.maxHeaderBytes = kMaxHeaderBytes;
  return limits;
}

/** A list of prompt sections of about this length. */
std::string
SectionList(std::size_t aBytes)
{
  std::string list = "abc:100";
  for (int i = 0; list.size() < aBytes; ++i) {
    list += "," + std::to_string(i) + "f:7";
  }
  return list;
}

std::string
RequestWith(const std::string& aFields)
{
  return ServedPlatform::RequestHead() + aFields +
         "Content-Length: 2\r\n\r\n{}";
}

} // namespace

// Guards against one request within the configured limit that ends the process,
// and all other requests with it, by a field that the HTTP library can't hold.
TEST_CASE("a field of any length within the limit reaches the engine unchanged")
{
  ServedPlatform platform(WithLargeHeads());
  for (const std::size_t bytes :
       { 4100, 49151, 49152, 49153, 65532, 65534, 65536, 71000, 150000 }) {
    const std::string list = SectionList(bytes);
    INFO(bytes << " bytes");
    CHECK(
      platform.IsRequestAnswered(RequestWith("Prefix-Hash: " + list + "\r\n")));
    CHECK(platform.HasEngineReceivedField("Prefix-Hash", list));
  }
  CheckSurvives(platform);
}

// Guards against the same by other fields: those that are replaced on the way,
// the id that every response repeats, and two long ones of one name.
TEST_CASE("long fields of every kind leave the process alive")
{
  ServedPlatform platform(WithLargeHeads());
  const std::string value(70000, 'x');
  for (const char* name : { "Tenant",
                            "Deadline-Ms",
                            "Last-Event-Id",
                            "Cookie",
                            "Toucanshed-Relay-From",
                            "Keep-Alive",
                            "Token-Usage",
                            "Expect-Instance" }) {
    INFO(name);
    CHECK(platform.IsRequestAnswered(
      RequestWith(std::string(name) + ": " + value + "\r\n")));
  }
  CHECK_FALSE(platform.HasEngineReceivedField("Tenant", value));
  CHECK(platform.IsRequestAnswered(
    RequestWith("X-One: " + value + "1\r\nX-One: " + value + "2\r\n")));
  CHECK(platform.HasEngineReceivedField("X-One", value + "1"));
  CHECK(platform.HasEngineReceivedField("X-One", value + "2"));
  std::string longId = RequestWith("");
  const auto id =
    longId.find("Attempt-Id: ") + std::string("Attempt-Id: ").size();
  longId.insert(id, value);
  const std::string answer = Exchange(platform.callers, longId);
  INFO(answer.substr(answer.rfind("\r\n\r\n") + 4, 200));
  CHECK(StatusOf(answer) == 200);
  CHECK(StatusOf(Exchange(platform.callers,
                          RequestWith(value + ": the longest name\r\n"))) ==
        431);
  CHECK(StatusOf(
          Exchange(platform.callers,
                   RequestWith("X-Long: " + std::string(kMaxHeaderBytes, 'x') +
                               "\r\n"))) == 431);
  CheckSurvives(platform);
}

// Guards against a trailer that ends the process.
TEST_CASE("a long trailer leaves the process alive")
{
  ServedPlatform platform(WithLargeHeads());
  const std::string head =
    ServedPlatform::RequestHead() + "Transfer-Encoding: chunked\r\n\r\n";
  CHECK(platform.IsRequestAnswered(head + "2\r\n{}\r\n0\r\nX-Trailer: " +
                                   std::string(70000, 'x') + "\r\n\r\n"));
  CheckSurvives(platform);
}

} // namespace toucanshed::test
