#include "Store.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <openssl/evp.h>

namespace toucanshed::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kOk = 200;

std::string
BigEndian64(std::uint64_t aNumber)
{
  std::string bytes(sizeof aNumber, '\0');
  boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes.data()),
                               aNumber);
  return bytes;
}

std::string
EncodeRecord(const std::string& aRecord)
{
  std::string bytes(kLengthBytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                               static_cast<std::uint32_t>(aRecord.size()));
  return bytes + aRecord;
}

std::string
Base64(const std::string& aText)
{
  constexpr std::size_t kMargin = 4;
  std::string text(aText.size() * 2 + kMargin, '\0');
  const int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

bool
IsKeyed(const std::string& aTopic)
{
  return aTopic.starts_with("keyed.");
}

std::uint64_t
QueryNumberOf(std::string_view aTarget, std::string_view aName)
{
  const std::string text = QueryParamOf(aTarget, aName);
  return text.empty() ? 0 : std::stoull(text);
}

/** Decodes a query parameter as forms encode it: "+" is a space, "%" and two
 * hexadecimal digits a byte. Nothing if it is not encoded so. */
std::optional<std::string>
DecodeQueryParam(const std::string& aText)
{
  constexpr std::size_t kDigits = 2;
  constexpr int kHexadecimal = 16;
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded += aText[i] == '+' ? ' ' : aText[i];
      continue;
    }
    const std::string digits = aText.substr(i + 1, kDigits);
    unsigned byte = 0;
    const auto [end, error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), byte, kHexadecimal);
    if (error != std::errc{} || end != digits.data() + kDigits) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    i += kDigits;
  }
  return decoded;
}

Task<void>
SendWithoutEnd(HttpResponder& aResponder)
{
  constexpr std::size_t kChunkBytes = std::size_t{ 64 } << 10U;
  HttpResponse head = MakeResponse(kOk, "");
  bool written = co_await aResponder.Begin(std::move(head));
  while (written) {
    std::string chunk(kChunkBytes, ' ');
    written = co_await aResponder.Write(std::move(chunk));
  }
}

} // namespace

std::uint64_t
PlatformStore::EndOf(const Topic& aTopic)
{
  return aTopic.firstPosition + aTopic.records.size();
}

void
PlatformStore::AppendRecord(const std::string& aTopic,
                            const std::string& aRecord)
{
  Topic& topic = this->topics[aTopic];
  if (IsKeyed(aTopic) && !aRecord.empty()) {
    const std::size_t length = static_cast<unsigned char>(aRecord[0]);
    const std::string key = aRecord.substr(1, length);
    const std::string value = aRecord.substr(1 + length);
    if (value.empty()) {
      topic.latestByKey.erase(key);
    } else {
      topic.latestByKey[key] = { value, EndOf(topic) };
    }
  }
  topic.records.push_back(aRecord);
}

void
PlatformStore::AppendKeyed(const std::string& aTopic,
                           const std::string& aKey,
                           const std::optional<std::string>& aValue)
{
  this->AppendRecord(
    aTopic, static_cast<char>(aKey.size()) + aKey + aValue.value_or(""));
}

void
PlatformStore::TakeCopy()
{
  this->copy = this->topics;
}

void
PlatformStore::Restore()
{
  this->topics = this->copy;
  ++this->era;
}

void
PlatformStore::ExecuteHeldAppends()
{
  for (const HttpRequest& request : this->heldAppends) {
    this->Append(request);
  }
  this->heldAppends.clear();
}

void
PlatformStore::DropHistory(const std::string& aTopic)
{
  Topic& topic = this->topics[aTopic];
  topic.firstPosition = EndOf(topic);
  topic.records.clear();
}

std::size_t
PlatformStore::RecordCount(const std::string& aTopic) const
{
  const auto found = this->topics.find(aTopic);
  return found == this->topics.end() ? 0 : found->second.records.size();
}

HttpResponse
PlatformStore::Append(const HttpRequest& aRequest)
{
  ++this->appends;
  const std::string name = QueryParamOf(aRequest.target(), "topic");
  const std::uint64_t begin = EndOf(this->topics[name]);
  const std::string at = QueryParamOf(aRequest.target(), "at");
  if (!at.empty() && std::stoull(at) != begin) {
    return MakeResponse(412, json::serialize(json::object{ { "end", begin } }));
  }
  std::string_view bytes = aRequest.body();
  while (bytes.size() >= kLengthBytes) {
    const std::size_t length = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(bytes.data()));
    this->AppendRecord(name, std::string(bytes.substr(kLengthBytes, length)));
    bytes.remove_prefix(kLengthBytes + length);
  }
  const json::object result{ { "offset", begin },
                             { "end", EndOf(this->topics[name]) } };
  return MakeResponse(kOk, json::serialize(result));
}

HttpResponse
PlatformStore::Read(const HttpRequest& aRequest)
{
  ++this->reads;
  Topic& topic = this->topics[QueryParamOf(aRequest.target(), "topic")];
  const std::uint64_t from = QueryNumberOf(aRequest.target(), "from");
  if (from < topic.firstPosition || from > EndOf(topic)) {
    return MakeResponse(
      410, json::serialize(json::object{ { "first", topic.firstPosition } }));
  }
  std::string body =
    BigEndian64(EndOf(topic)) + BigEndian64(topic.firstPosition);
  const std::uint64_t end =
    std::min(EndOf(topic), from + this->maxRecordsPerRead);
  for (std::uint64_t i = from; i < end; ++i) {
    body += EncodeRecord(topic.records[i - topic.firstPosition]);
  }
  return MakeResponse(kOk, body, "application/octet-stream");
}

HttpResponse
PlatformStore::ReadLatest(const HttpRequest& aRequest)
{
  ++this->reads;
  ++this->snapshots;
  const auto after = DecodeQueryParam(QueryParamOf(aRequest.target(), "after"));
  if (!after) {
    return MakeResponse(400, "");
  }
  Topic& topic = this->topics[QueryParamOf(aRequest.target(), "topic")];
  json::array items;
  std::size_t bytes = 0;
  auto next = this->ignoresAfter ? topic.latestByKey.begin()
                                 : topic.latestByKey.upper_bound(*after);
  for (; next != topic.latestByKey.end(); ++next) {
    const auto& [key, entry] = *next;
    const std::string value = Base64(entry.first);
    bytes += key.size() + value.size();
    const bool full = items.size() == this->maxRecordsPerPage ||
                      (!items.empty() && bytes > this->maxBytesPerPage);
    if (full) {
      break;
    }
    items.push_back(json::object{
      { "key", key }, { "value", value }, { "offset", entry.second } });
  }
  const json::object result{ { "items", items },
                             { "more", next != topic.latestByKey.end() },
                             { "end", EndOf(topic) } };
  return MakeResponse(kOk, json::serialize(result));
}

void
PlatformStore::StateEra(HttpResponse& aResponse) const
{
  if (this->statesEra) {
    aResponse.set("Store-Era", std::to_string(this->era));
  }
}

Task<void>
PlatformStore::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (this->down) {
    HttpResponse response = MakeResponse(503, "");
    this->StateEra(response);
    co_await aResponder.Send(std::move(response));
    co_return;
  }
  if (this->endless) {
    co_await SendWithoutEnd(aResponder);
    co_return;
  }
  const std::string_view path = PathOf(aRequest.target());
  HttpResponse response = MakeResponse(404, "");
  if (path == "/log-append" && this->holdAppends) {
    this->heldAppends.push_back(aRequest);
    co_return; // no response is sent, and the connection closes
  }
  if (path == "/log-append") {
    response = this->Append(aRequest);
    if (this->dropAppendResponses) {
      co_return; // no response is sent, and the connection closes
    }
  } else if (path == "/log-newest") {
    response = this->ReadLatest(aRequest);
  } else if (path == "/log-read") {
    const std::size_t before = this->reads;
    response = this->Read(aRequest);
    // A reader at the end of the topic waits for new records, up to the time
    // that it requested. The loop checks for them every kPollInterval.
    constexpr std::chrono::milliseconds kPollInterval{ 10 };
    constexpr std::size_t kHeaderBytes = 16;
    std::chrono::milliseconds remaining(
      QueryNumberOf(aRequest.target(), "wait_ms"));
    while (response.body().size() == kHeaderBytes &&
           remaining > kPollInterval && !this->down) {
      co_await Sleep(kPollInterval);
      remaining -= kPollInterval;
      response = this->Read(aRequest);
    }
    this->reads = before + 1;
  }
  this->StateEra(response);
  co_await aResponder.Send(std::move(response));
}

} // namespace toucanshed::standin
