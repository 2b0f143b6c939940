#include "edge/MessageFields.h"
#include "platform/RecordFormat.h"
#include "platform/RequestFormat.h"

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

// Checks that heads of any size are read, passed on and written with the values
// that they had, and that no number of a configuration makes the code that uses
// it throw or overflow.

namespace toucanshed::test {
namespace {

using Field = std::pair<std::string, std::string>;

const std::vector<std::string> kNames = { "Prefix-Hash", "X-One",
                                          "x-one",       "Cookie",
                                          "Deadline-Ms", "Tenant",
                                          "Connection",  "Token-Usage" };
/** Lengths around those that the library or this code treats differently. */
const std::vector<std::size_t> kLengths = { 0,     1,     40,    49151,
                                            49152, 49153, 65532, 65533,
                                            65534, 65536, 98304, 131072 };

Field
AnyField()
{
  const std::string name = *rc::gen::elementOf(kNames);
  const std::size_t length = *rc::gen::elementOf(kLengths);
  // The library reads Connection, and refuses what is no list.
  const std::string fills = name == "Connection" ? "a" : "a1,:x";
  const char fill = *rc::gen::elementOf(fills);
  return { name, std::string(length, fill) };
}

std::vector<Field>
FieldsOf(const http::fields& aFields)
{
  std::vector<Field> all;
  VisitFields(aFields, [&](std::string_view aName, std::string_view aValue) {
    all.emplace_back(aName, aValue);
  });
  return all;
}

/** The values of a name, in order. */
std::vector<std::string>
ValuesOf(const std::vector<Field>& aFields, const std::string& aName)
{
  std::vector<std::string> values;
  for (const auto& [name, value] : aFields) {
    if (boost::beast::iequals(name, aName)) {
      values.push_back(value);
    }
  }
  return values;
}

HttpRequest
Parse(const std::string& aText)
{
  MessageParser<true> parser;
  parser.header_limit(1U << 30U);
  boost::system::error_code error;
  parser.put(boost::asio::buffer(aText), error);
  RC_ASSERT(!error);
  RC_ASSERT(parser.is_header_done());
  return parser.release();
}

} // namespace

// Guards against a field that the HTTP library can't hold, and against values
// that are cut or joined on the way.
TEST_CASE("heads keep their fields when they are read and written")
{
  const bool holds = rc::check([] {
    const auto count = *rc::gen::inRange(0, 6);
    std::string text = "POST /look/1 HTTP/1.1\r\nHost: service.example\r\n";
    std::vector<Field> sent;
    for (int i = 0; i < count; ++i) {
      sent.push_back(AnyField());
      text += sent.back().first + ": " + sent.back().second + "\r\n";
    }
    const HttpRequest first = Parse(text + "\r\n");
    const HttpRequest second = Parse(FormatHead(first));
    for (const std::string& name : kNames) {
      RC_ASSERT(ValuesOf(FieldsOf(first), name) == ValuesOf(sent, name));
      RC_ASSERT(ValuesOf(FieldsOf(second), name) == ValuesOf(sent, name));
    }
    HttpRequest changed = second;
    SetField(changed, "X-One", "short");
    EraseField(changed, "Prefix-Hash");
    const HttpRequest third = Parse(FormatHead(changed));
    RC_ASSERT(ValuesOf(FieldsOf(third), "X-One") ==
              std::vector<std::string>{ "short" });
    RC_ASSERT(ValuesOf(FieldsOf(third), "Prefix-Hash").empty());
  });
  CHECK(holds);
}

// Guards against a request that reaches an engine with other values than its
// client's, or with those of fields that only this system sets.
TEST_CASE("requests of any size are passed on as they came")
{
  const bool holds = rc::check([] {
    std::string text = "POST /look/1 HTTP/1.1\r\nHost: service.example\r\n"
                       "Attempt-Id: a1\r\n";
    std::vector<Field> sent;
    for (int i = 0; i < 4; ++i) {
      Field field = AnyField();
      if (field.first != "Connection") {
        sent.push_back(std::move(field));
        text += sent.back().first + ": " + sent.back().second + "\r\n";
      }
    }
    const HttpRequest message = Parse(text + "\r\n");
    const auto incoming = platform::ParseRequest(message);
    RC_ASSERT(incoming.has_value());
    SendContext context;
    context.backend = InstanceId{ "e1" };
    context.timeLeft = Millis(1000);
    context.team = TeamId{ "team-one" };
    const HttpRequest forwarded =
      Parse(FormatHead(platform::FormatBackendRequest(*incoming, context)));
    const std::vector<Field> fields = FieldsOf(forwarded);
    for (const char* name :
         { "Prefix-Hash", "X-One", "Cookie", "Token-Usage" }) {
      RC_ASSERT(ValuesOf(fields, name) == ValuesOf(sent, name));
    }
    RC_ASSERT(ValuesOf(fields, "Tenant") ==
              std::vector<std::string>{ "team-one" });
    RC_ASSERT(ValuesOf(fields, "Deadline-Ms") ==
              std::vector<std::string>{ "1000" });
  });
  CHECK(holds);
}

// Guards against a limit of the configuration that wraps to a small one, or
// overflows where it is added to a time or to another size.
TEST_CASE("any number in a configuration is read as a usable limit")
{
  const std::vector<std::string> numbers = {
    "0",          "1",          "16384",
    "65533",      "65536",      "131072",
    "2147483648", "4294967295", "4294967296",
    "4294983680", "1e18",       "9223372036854775807",
    "1e300",      "-1",         "18446744073709551615"
  };
  for (const std::string& number : numbers) {
    const auto catalog = platform::ParseCatalog(
      R"({"version":1,"limits":{"max_header_bytes":)" + number +
      R"(,"max_body_bytes":)" + number + R"(,"header_timeout_ms":)" + number +
      R"(,"idle_timeout_ms":)" + number +
      R"(},"routes":[{"name":"r","host":"h","path_prefix":"/","max_attempts":)" +
      number + R"(,"timeout_ms":)" + number + "}]}");
    INFO(number);
    REQUIRE(catalog.has_value());
    const RequestLimits& limits = catalog->requestLimits;
    const double stated = std::max(0.0, std::stod(number));
    CHECK(static_cast<double>(limits.maxHeaderBytes) >=
          std::min(stated, 1024.0 * 1024 * 1024));
    CHECK(limits.maxHeaderBytes + std::uint32_t{ 4096 } > 4095);
    CHECK(static_cast<double>(limits.maxBodyBytes) >=
          std::min(stated, 1024.0 * 1024 * 1024 * 1024));
    CHECK(limits.maxBodyBytes <= 1ULL << 40U);
    for (const Millis time : { limits.headerTimeout,
                               limits.idleTimeout,
                               catalog->routes.front().timeout }) {
      const auto later = std::chrono::steady_clock::now() + time;
      CHECK((number == "-1" ||
             later >= std::chrono::steady_clock::now() - Millis(100)));
    }
    CHECK(catalog->routes.front().maxBackends >= 1);
  }
}

} // namespace toucanshed::test
