#include "LogServer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace toucanshed::standin {

namespace net = boost::asio;

namespace {

constexpr std::string_view kStreamsPath = "/streams/";

std::uint64_t
NumberOf(const std::string& aText, std::uint64_t aDefault)
{
  std::uint64_t number = aDefault;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::string
StreamNameOf(std::string_view aTarget)
{
  return std::string(PathOf(aTarget).substr(kStreamsPath.size()));
}

} // namespace

Task<void>
LogServer::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (auto response = this->faults.HandleRequest(aRequest)) {
    co_await aResponder.Send(std::move(*response));
    co_return;
  }
  if (aRequest.target() == "/stats") {
    const boost::json::object stats{ { "appends", this->appends } };
    co_await aResponder.Send(MakeResponse(200, boost::json::serialize(stats)));
    co_return;
  }
  const bool isStreamPath =
    std::string_view(aRequest.target()).starts_with(kStreamsPath);
  if (!isStreamPath || this->faults.IsOn("outage")) {
    co_await aResponder.Send(MakeResponse(isStreamPath ? 503 : 404, "{}\n"));
    co_return;
  }
  if (aRequest.method() == http::verb::post) {
    co_await this->Append(aRequest, aResponder);
  } else {
    co_await this->Read(aRequest, aResponder);
  }
}

bool
LogServer::ExceedsRate()
{
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                        std::chrono::steady_clock::now().time_since_epoch())
                        .count();
  if (second != this->currentSecond) {
    this->currentSecond = second;
    this->appendsThisSecond = 0;
  }
  return ++this->appendsThisSecond > this->options.appendsPerSecond;
}

std::uint64_t
LogServer::AppendRecord(Stream& aStream, std::string aPayload)
{
  ++this->appends;
  const std::uint64_t offset = aStream.NextOffset();
  aStream.payloads.push_back(std::move(aPayload));
  if (aStream.payloads.size() > this->options.maxRecordsPerStream) {
    aStream.payloads.pop_front();
    ++aStream.earliest;
  }
  for (const ReaderTimer& reader : aStream.waitingReaders) {
    reader->cancel();
  }
  return offset;
}

Task<void>
LogServer::AppendAfterDelay(std::string aName,
                            std::string aPayload,
                            Millis aDelay)
{
  co_await Sleep(aDelay);
  this->AppendRecord(this->streams[aName], std::move(aPayload));
}

Task<void>
LogServer::Append(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const std::string name = StreamNameOf(aRequest.target());
  if (this->ExceedsRate()) {
    co_await aResponder.Send(MakeResponse(429, "{\"refused\":\"rate\"}\n"));
    co_return;
  }
  const auto delay = this->faults.Value("delay_append_ms");
  if (delay > 0) {
    // The append takes effect after the writer has stopped waiting for a
    // response, so that its outcome is unclear to the writer.
    this->worker.Spawn(
      this->AppendAfterDelay(name, aRequest.body(), Millis(delay)));
    co_await Sleep(Millis(delay));
    co_return;
  }
  const std::uint64_t offset =
    this->AppendRecord(this->streams[name], aRequest.body());
  if (this->faults.ShouldInject("drop_answer_percent")) {
    co_return;
  }
  co_await aResponder.Send(MakeResponse(200, std::to_string(offset)));
}

Task<void>
LogServer::Read(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  constexpr std::uint64_t kMaxEntries = 500;
  Stream& stream = this->streams[StreamNameOf(aRequest.target())];
  std::uint64_t from = NumberOf(QueryParamOf(aRequest.target(), "from"), 1);
  const std::uint64_t waitMs =
    NumberOf(QueryParamOf(aRequest.target(), "wait_ms"), 0);
  if (from >= stream.NextOffset() && waitMs > 0) {
    auto reader = std::make_shared<net::steady_timer>(this->worker.context);
    reader->expires_after(Millis(waitMs));
    const auto waitingReader =
      stream.waitingReaders.insert(stream.waitingReaders.end(), reader);
    boost::system::error_code waitError;
    co_await reader->async_wait(
      net::redirect_error(net::use_awaitable, waitError));
    stream.waitingReaders.erase(waitingReader);
  }
  records::LogPage page;
  page.set_earliest(stream.earliest);
  from = std::max(from, stream.earliest);
  const std::uint64_t end = std::min(stream.NextOffset(), from + kMaxEntries);
  for (std::uint64_t i = from; i < end; ++i) {
    records::LogEntry* entry = page.add_entries();
    entry->set_offset(i);
    entry->set_payload(stream.payloads[i - stream.earliest]);
  }
  page.set_next(std::max(from, end));
  co_await aResponder.Send(
    MakeResponse(200, page.SerializeAsString(), "application/x-protobuf"));
}

} // namespace toucanshed::standin
