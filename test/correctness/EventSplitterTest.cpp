#include "coord/EventSplitter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace toucanshed::test {
namespace {

std::string
EventText(std::uint64_t aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x\n\n";
}

std::string
NextEvents(EventSplitter& aSplitter)
{
  std::string text;
  while (auto event = aSplitter.Next()) {
    text += event->bytes;
  }
  return text;
}

} // namespace

TEST_CASE("only whole events are returned for any chunk sizes")
{
  rc::prop("any chunk sizes", [] {
    std::string stream;
    for (std::uint64_t id = 0; id < 6; ++id) {
      stream += EventText(id);
    }
    EventSplitter splitter;
    std::string received;
    std::string rest = stream;
    while (!rest.empty()) {
      const auto chunkSize = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      splitter.Add(rest.substr(0, chunkSize));
      rest.erase(0, chunkSize);
      const std::string events = NextEvents(splitter);
      RC_ASSERT(events.empty() || events.ends_with("\n\n"));
      received += events;
    }
    RC_ASSERT(received == stream);
    RC_ASSERT(!splitter.HasPartialEvent());
  });
}

TEST_CASE("a resumed stream drops repeats and detects gaps")
{
  EventSplitter splitter;
  splitter.Add(EventText(4) + EventText(5) + "id: 6\nda");
  CHECK(NextEvents(splitter) == EventText(4) + EventText(5));
  splitter.DiscardPartialEvent();
  splitter.Add(EventText(5) + EventText(6));
  CHECK(NextEvents(splitter) == EventText(6));
  splitter.Add(EventText(8));
  CHECK(NextEvents(splitter).empty());
  CHECK(splitter.Broken());
}

TEST_CASE("events may end with LF or CRLF line breaks")
{
  EventSplitter splitter;
  splitter.Add("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n");
  CHECK(splitter.Next()->id == 1);
  CHECK(splitter.Next()->id == 2);
  CHECK_FALSE(splitter.Next().has_value());
}

} // namespace toucanshed::test
