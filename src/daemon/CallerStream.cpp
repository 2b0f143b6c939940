#include "CallerStream.h"

#include "CallerResponses.h"
#include "base/Hash.h"

#include <boost/json.hpp>

namespace toucanshed {

namespace json = boost::json;

namespace {

/** The data of one event.
 * \param aFinishReason why the response ended; null while it has not ended. */
std::string
ChunkJson(const ModelRequest& aRequest,
          const std::string& aText,
          const json::value& aFinishReason)
{
  const bool chat = aRequest.route == "chat";
  json::object choice{ { "index", 0 }, { "finish_reason", aFinishReason } };
  if (chat) {
    choice["delta"] = json::object{ { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  const json::object chunk{
    { "id", aRequest.id.value },
    { "object", chat ? "chat.completion.chunk" : "text_completion" },
    { "model", aRequest.service.value },
    { "choices", json::array{ choice } }
  };
  return json::serialize(chunk);
}

} // namespace

std::string
CompletionJson(const std::string& aId,
               const std::string& aModel,
               const std::string& aRoute,
               const std::string& aText,
               std::uint64_t aTokens)
{
  const bool chat = aRoute == "chat";
  json::object choice{ { "index", 0 }, { "finish_reason", "length" } };
  if (chat) {
    choice["message"] =
      json::object{ { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  const json::object completion{
    { "id", aId },
    { "object", chat ? "chat.completion" : "text_completion" },
    { "model", aModel },
    { "choices", json::array{ choice } },
    { "usage", json::object{ { "completion_tokens", aTokens } } }
  };
  return json::serialize(completion) + "\n";
}

CallerStream::CallerStream(const ModelRequest& aRequest,
                           std::optional<ResumePoint> aResumePoint,
                           HttpResponder& aResponder)
  : request(aRequest)
  , resumePoint(std::move(aResumePoint))
  , responder(aResponder)
{
}

Task<bool>
CallerStream::SendHead()
{
  if (this->responder.Started()) {
    co_return true;
  }
  HttpResponse head = MakeResponse(200, {}, "text/event-stream");
  head.set(http::field::cache_control, "no-store");
  head.set(kRequestIdHeader, this->request.id.value);
  head.set(http::field::trailer, kOutcomeHeader);
  const bool begun = co_await this->responder.Begin(std::move(head));
  co_return begun;
}

Task<bool>
CallerStream::WriteToken(std::string aToken)
{
  ++this->tokenCount;
  this->tokenHash = Hash64(aToken, this->tokenHash);
  if (this->resumePoint && this->tokenCount <= this->resumePoint->tokenCount) {
    this->mismatch = this->tokenCount == this->resumePoint->tokenCount &&
                     this->tokenHash != this->resumePoint->tokenHash;
    co_return !this->mismatch;
  }
  const bool begun = co_await this->SendHead();
  if (!begun) {
    co_return false;
  }
  const ResumePoint point{ this->request.id.value,
                           this->tokenCount,
                           this->tokenHash };
  std::string event = "id: " + FormatEventId(point) +
                      "\ndata: " + ChunkJson(this->request, aToken, nullptr) +
                      "\n\n";
  const bool written = co_await this->responder.Write(std::move(event));
  co_return written;
}

Task<bool>
CallerStream::ReplayTokens(const std::vector<std::string>& aTokens)
{
  std::uint64_t prefixHash = 0;
  for (std::size_t i = 0;
       i < aTokens.size() && i < this->resumePoint->tokenCount;
       ++i) {
    prefixHash = Hash64(aTokens[i], prefixHash);
  }
  if (aTokens.size() < this->resumePoint->tokenCount ||
      prefixHash != this->resumePoint->tokenHash) {
    co_return false;
  }
  for (const std::string& token : aTokens) {
    co_await this->WriteToken(token);
  }
  co_return true;
}

Task<void>
CallerStream::End(const RequestResult& aResult)
{
  if (aResult.outcome == RequestOutcome::eHandedOver) {
    co_return;
  }
  std::string lastEvent =
    "data: " + ChunkJson(this->request, {}, "length") + "\n\ndata: [DONE]\n\n";
  if (aResult.outcome != RequestOutcome::eCompleted) {
    lastEvent = "event: error\ndata: " + FailureJson(aResult) + "\n";
  }
  const bool begun = co_await this->SendHead();
  if (begun) {
    co_await this->responder.Write(std::move(lastEvent));
    co_await this->responder.End(std::string(kOutcomeHeader) + ": " +
                                 ToText(aResult.outcome) + "\r\n");
  }
}

} // namespace toucanshed
