#include "LoadHelpers.h"

#include "base/Random.h"

#include <boost/json.hpp>

namespace toucanshed::standin {

namespace json = boost::json;

std::string
RandomWords(std::uint64_t aSeed, std::uint64_t aCount)
{
  Random random(aSeed);
  std::string text;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    text += "word" + std::to_string(random.NextBelow(1000)) + " ";
  }
  return text;
}

std::uint64_t
UnixSeconds()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

double
MsSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - aStart)
    .count();
}

CallTimeouts
ClientTimeouts()
{
  CallTimeouts timeouts;
  timeouts.head = std::chrono::seconds(20);
  timeouts.bodyIdle = std::chrono::seconds(20);
  return timeouts;
}

std::string
ContentOf(const json::value& aChunk, const char* aField)
{
  const json::object& choice =
    aChunk.as_object().at("choices").as_array().at(0).as_object();
  const json::object& field = choice.at(aField).as_object();
  const auto* content = field.if_contains("content");
  return content != nullptr ? std::string(content->as_string()) : "";
}

} // namespace toucanshed::standin
