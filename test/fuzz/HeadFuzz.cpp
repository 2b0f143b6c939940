#include "edge/MessageFields.h"
#include "platform/RequestFormat.h"

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

// Checks that heads of any size are read, passed on and written with the values
// that they had.

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

} // namespace toucanshed::test
