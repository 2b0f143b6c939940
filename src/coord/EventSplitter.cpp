#include "EventSplitter.h"

#include <charconv>

namespace toucanshed {

namespace {

/** Length of the first event with its blank line; npos while it is incomplete.
 */
std::size_t
EventLength(std::string_view aText)
{
  const auto lf = aText.find("\n\n");
  const auto crlf = aText.find("\r\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lf < crlf ? lf + 2 : crlf + 4;
}

std::optional<std::uint64_t>
IdOf(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const std::string_view line = aEvent.substr(0, aEvent.find('\n'));
    if (line.starts_with("id:")) {
      std::string_view digits = line.substr(3);
      while (digits.starts_with(' ')) {
        digits.remove_prefix(1);
      }
      std::uint64_t id = 0;
      const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), id);
      return parsed.ec == std::errc() ? std::optional(id) : std::nullopt;
    }
    aEvent.remove_prefix(std::min(aEvent.size(), line.size() + 1));
  }
  return std::nullopt;
}

} // namespace

bool
EventSplitter::Accept(const StreamEvent& aEvent)
{
  if (!aEvent.id) {
    return true;
  }
  if (this->lastId && *aEvent.id <= *this->lastId) {
    return false;
  }
  if (this->lastId && *aEvent.id != *this->lastId + 1) {
    this->broken = true;
    return false;
  }
  this->lastId = aEvent.id;
  return true;
}

std::optional<StreamEvent>
EventSplitter::Next()
{
  while (!this->broken) {
    const std::size_t length = EventLength(this->pending);
    if (length == std::string::npos) {
      this->broken = this->pending.size() > kMaxEventBytes;
      return std::nullopt;
    }
    StreamEvent event;
    event.bytes = this->pending.substr(0, length);
    this->pending.erase(0, length);
    event.id = IdOf(event.bytes);
    if (this->Accept(event)) {
      ++this->returnedCount;
      return event;
    }
  }
  return std::nullopt;
}

} // namespace toucanshed
