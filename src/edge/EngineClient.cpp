#include "EngineClient.h"

#include "Json.h"
#include "Worker.h"

#include <boost/json.hpp>

namespace toucanshed {

namespace json = boost::json;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kTooManyRequests = 429;

EngineError
ErrorOf(const CallError& aError)
{
  EngineError error;
  error.message = aError.message;
  if (aError.phase == CallPhase::eConnect) {
    error.kind = EngineErrorKind::eUnreachable;
  } else if (aError.code == ErrorCode::eTimeout) {
    error.kind = EngineErrorKind::eTimedOut;
  } else {
    error.kind = aError.code == ErrorCode::eProtocol
                   ? EngineErrorKind::eMalformedEvent
                   : EngineErrorKind::eDisconnected;
  }
  return error;
}

std::optional<EngineEvent>
ParseEvent(const std::string& aLine)
{
  const auto object = ParseJsonObject(aLine);
  if (!object) {
    return std::nullopt;
  }
  EngineEvent event;
  event.done = BoolOf(*object, "done");
  event.attempt = StringOf(*object, "attempt");
  event.offset = NumberOf(*object, event.done ? "count" : "offset");
  event.token = StringOf(*object, "token");
  return event;
}

} // namespace

EngineStream::EngineStream(HttpExchange aExchange)
  : exchange(std::move(aExchange))
{
}

std::optional<std::string>
EngineStream::TakeLine()
{
  const auto end = this->buffer.find('\n');
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::string line = this->buffer.substr(0, end);
  this->buffer.erase(0, end + 1);
  return line;
}

Task<tl::expected<std::optional<EngineEvent>, EngineError>>
EngineStream::Next()
{
  while (true) {
    if (const auto line = this->TakeLine()) {
      auto event = ParseEvent(*line);
      if (!event) {
        co_return tl::unexpected<EngineError>(EngineError{
          EngineErrorKind::eMalformedEvent, "not an event: " + *line });
      }
      co_return event;
    }
    auto piece = co_await this->exchange.ReadChunk();
    if (!piece) {
      co_return tl::unexpected<EngineError>(ErrorOf(piece.error()));
    }
    if (!piece->has_value()) {
      co_return std::optional<EngineEvent>{};
    }
    this->buffer += **piece;
  }
}

Task<tl::expected<EngineStream, EngineError>>
OpenEngineStream(Worker& aWorker,
                 std::string aAddress,
                 GenerationRequest aCall,
                 CallTimeouts aTimeouts)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return tl::unexpected<EngineError>(
      EngineError{ EngineErrorKind::eUnreachable, endpoint.error().message });
  }
  const json::object body{
    { "attempt", aCall.attempt.value },  { "prompt", aCall.prompt },
    { "max_tokens", aCall.maxTokens },   { "priority", aCall.priority },
    { "resume_from", aCall.resumeFrom }, { "resume_text", aCall.resumeText }
  };
  HttpRequest request =
    MakeRequest(http::verb::post, "/generate", json::serialize(body));
  auto opened = co_await HttpExchange::Open(
    aWorker, *endpoint, std::move(request), aTimeouts);
  if (!opened) {
    if (opened.error().code == ErrorCode::eTimeout) {
      aWorker.connectionPool.CloseIdle(*endpoint);
    }
    co_return tl::unexpected<EngineError>(ErrorOf(opened.error()));
  }
  const unsigned status = opened->Status();
  if (status == kOk) {
    co_return EngineStream(std::move(*opened));
  }
  const bool refused =
    status == kServiceUnavailable || status == kTooManyRequests;
  co_return tl::unexpected<EngineError>(EngineError{
    refused ? EngineErrorKind::eRejected : EngineErrorKind::eErrorStatus,
    "engine answered " + std::to_string(status) });
}

Task<void>
CancelEngineAttempt(Worker& aWorker, std::string aAddress, AttemptId aAttempt)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return;
  }
  const json::object body{ { "attempt", aAttempt.value } };
  HttpRequest request =
    MakeRequest(http::verb::post, "/cancel", json::serialize(body));
  CallTimeouts timeouts;
  timeouts.head = std::chrono::milliseconds(500);
  co_await Fetch(aWorker, *endpoint, std::move(request), timeouts, true);
}

Task<bool>
TransferKvCache(Worker& aWorker,
                std::string aFrom,
                std::string aTo,
                AttemptId aAttempt,
                std::uint64_t aTokens)
{
  const auto from = ParseEndpoint(aFrom);
  const auto to = ParseEndpoint(aTo);
  if (!from || !to) {
    co_return false;
  }
  CallTimeouts timeouts;
  timeouts.connect = std::chrono::milliseconds(300);
  timeouts.head = std::chrono::milliseconds(1000);
  const json::object asked{ { "attempt", aAttempt.value },
                            { "count", aTokens } };
  HttpRequest request =
    MakeRequest(http::verb::post, "/export", json::serialize(asked));
  const auto state =
    co_await Fetch(aWorker, *from, std::move(request), timeouts, true);
  co_await CancelEngineAttempt(aWorker, aFrom, aAttempt);
  if (!state || state->result_int() != kOk) {
    co_return false;
  }
  HttpRequest import = MakeRequest(http::verb::post, "/import", state->body());
  const auto taken =
    co_await Fetch(aWorker, *to, std::move(import), timeouts, true);
  co_return taken && taken->result_int() == kOk;
}

Task<Result<EngineReport>>
FetchEngineReport(Worker& aWorker,
                  EngineReport aKnown,
                  std::chrono::milliseconds aTimeout)
{
  const auto endpoint = ParseEndpoint(aKnown.address);
  if (!endpoint) {
    co_return tl::unexpected<Error>(endpoint.error());
  }
  CallTimeouts timeouts;
  timeouts.connect = aTimeout;
  timeouts.head = aTimeout;
  HttpRequest request = MakeRequest(http::verb::get, "/load");
  const auto reply =
    co_await Fetch(aWorker, *endpoint, std::move(request), timeouts, true);
  if (!reply || reply->result_int() != kOk) {
    co_return Fail(ErrorCode::eUnavailable, "no load report");
  }
  const auto object = ParseJsonObject(reply->body());
  if (!object) {
    co_return Fail(ErrorCode::eProtocol, "load report is no JSON object");
  }
  const auto keep = [&](const char* aName, std::string& aField) {
    const std::string given = StringOf(*object, aName);
    aField = given.empty() ? aField : given;
  };
  keep("incarnation", aKnown.incarnation);
  keep("service", aKnown.service.value);
  keep("version", aKnown.version.value);
  aKnown.slots = std::max(aKnown.slots, NumberOf(*object, "slots"));
  aKnown.running = NumberOf(*object, "running");
  aKnown.waiting = NumberOf(*object, "waiting");
  aKnown.leaving = aKnown.leaving || BoolOf(*object, "leaving");
  co_return aKnown;
}

} // namespace toucanshed
