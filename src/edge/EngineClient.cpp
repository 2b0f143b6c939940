#include "EngineClient.h"

#include "Json.h"
#include "Worker.h"

#include <boost/json.hpp>

namespace toucanshed {

namespace json = boost::json;

namespace {

/** A longer line of an engine's stream is no event. */
constexpr std::size_t kMaxLineBytes = std::size_t{ 1 } << 20U;

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
        co_return tl::unexpected<EngineError>(
          EngineError{ EngineErrorKind::eMalformedEvent,
                       "invalid event of an engine: " + *line });
      }
      co_return event;
    }
    auto chunk = co_await this->exchange.ReadChunk();
    if (!chunk) {
      co_return tl::unexpected<EngineError>(ErrorOf(chunk.error()));
    }
    if (!chunk->has_value()) {
      co_return std::optional<EngineEvent>{};
    }
    this->buffer += **chunk;
    if (this->buffer.size() > kMaxLineBytes) {
      this->exchange.CloseConnection();
      co_return tl::unexpected<EngineError>(EngineError{
        EngineErrorKind::eMalformedEvent, "an engine's event has no end" });
    }
  }
}

Task<tl::expected<EngineStream, EngineError>>
OpenEngineStream(Worker& aWorker,
                 std::string aAddress,
                 GenerationRequest aGeneration,
                 CallTimeouts aTimeouts,
                 std::shared_ptr<AbortHandle> aAbortHandle,
                 PreSendCheck aPreSendCheck)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return tl::unexpected<EngineError>(
      EngineError{ EngineErrorKind::eUnreachable, endpoint.error().message });
  }
  const json::object body{ { "attempt", aGeneration.attempt.value },
                           { "prompt", aGeneration.prompt },
                           { "max_tokens", aGeneration.maxTokens },
                           { "priority", aGeneration.priority },
                           { "resume_from", aGeneration.resumeFrom },
                           { "resume_text", aGeneration.resumeText } };
  HttpRequest request =
    MakeRequest(http::verb::post, "/generate", json::serialize(body));
  auto opened = co_await HttpExchange::Open(aWorker,
                                            *endpoint,
                                            std::move(request),
                                            aTimeouts,
                                            false,
                                            std::move(aAbortHandle),
                                            std::move(aPreSendCheck));
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
  const bool rejected =
    status == kServiceUnavailable || status == kTooManyRequests;
  co_return tl::unexpected<EngineError>(EngineError{
    rejected ? EngineErrorKind::eRejected : EngineErrorKind::eErrorStatus,
    "engine responded with status " + std::to_string(status) });
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
                std::uint64_t aTokens,
                PreSendCheck aImportCheck)
{
  const auto from = ParseEndpoint(aFrom);
  const auto to = ParseEndpoint(aTo);
  if (!from || !to) {
    co_return false;
  }
  CallTimeouts timeouts;
  timeouts.connect = std::chrono::milliseconds(300);
  timeouts.head = std::chrono::milliseconds(1000);
  const json::object exportBody{ { "attempt", aAttempt.value },
                                 { "count", aTokens } };
  HttpRequest request =
    MakeRequest(http::verb::post, "/export", json::serialize(exportBody));
  const auto kvState =
    co_await Fetch(aWorker, *from, std::move(request), timeouts, true);
  co_await CancelEngineAttempt(aWorker, aFrom, aAttempt);
  if (!kvState || kvState->result_int() != kOk) {
    co_return false;
  }
  HttpRequest import =
    MakeRequest(http::verb::post, "/import", kvState->body());
  const auto imported = co_await Fetch(
    aWorker, *to, std::move(import), timeouts, true, std::move(aImportCheck));
  co_return imported && imported->result_int() == kOk;
}

Task<Result<EngineReport>>
FetchEngineReport(Worker& aWorker,
                  EngineReport aBase,
                  std::chrono::milliseconds aTimeout)
{
  const auto endpoint = ParseEndpoint(aBase.address);
  if (!endpoint) {
    co_return tl::unexpected<Error>(endpoint.error());
  }
  CallTimeouts timeouts;
  timeouts.connect = aTimeout;
  timeouts.head = aTimeout;
  HttpRequest request = MakeRequest(http::verb::get, "/load");
  const auto response =
    co_await Fetch(aWorker, *endpoint, std::move(request), timeouts, true);
  if (!response || response->result_int() != kOk) {
    co_return Fail(ErrorCode::eUnavailable, "engine sent no load report");
  }
  const auto object = ParseJsonObject(response->body());
  if (!object) {
    co_return Fail(ErrorCode::eProtocol, "load report: expected a JSON object");
  }
  const auto update = [&](const char* aName, std::string& aField) {
    const std::string reported = StringOf(*object, aName);
    aField = reported.empty() ? aField : reported;
  };
  update("incarnation", aBase.incarnation);
  update("service", aBase.service.value);
  update("version", aBase.version.value);
  aBase.slots = std::max(aBase.slots, NumberOf(*object, "slots"));
  aBase.running = NumberOf(*object, "running");
  aBase.waiting = NumberOf(*object, "waiting");
  aBase.leaving = aBase.leaving || BoolOf(*object, "leaving");
  co_return aBase;
}

} // namespace toucanshed
