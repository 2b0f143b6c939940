/** \file
 * A model's response in the format for callers: one JSON document, or
 * server-sent events. The events' ids allow a caller to resume the stream at
 * any daemon.
 */
#pragma once

#include "CallerRequest.h"
#include "ModelRequest.h"
#include "RequestResult.h"
#include "edge/HttpResponder.h"

#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** Formats the complete response of a model as a JSON document. */
std::string
CompletionJson(const std::string& aId,
               const std::string& aModel,
               const std::string& aRoute,
               const std::string& aText,
               std::uint64_t aTokens);

/**
 * Writes one stream. An event's id contains the number of tokens so far and a
 * hash over them. A caller that resumes gets only the tokens that it has not
 * received. It gets no token if the tokens before the resume point differ from
 * those that it has received.
 *
 * Thread safety: none; belongs to the connection's worker.
 */
class CallerStream
{
public:
  /** The request and responder outlive the stream. */
  CallerStream(const ModelRequest& aRequest,
               std::optional<ResumePoint> aResumePoint,
               HttpResponder& aResponder);

  /** Writes the next token.
   * \return false if the caller has disconnected, or if the tokens up to the
   *   resume point differ from those that the caller has received. */
  Task<bool> WriteToken(std::string aToken);
  /** Writes the tokens that another daemon had produced, if they match those
   * that the caller has received; otherwise writes nothing and returns false.
   * Precondition: the stream has a resume point. */
  Task<bool> ReplayTokens(const std::vector<std::string>& aTokens);
  /** Ends the stream. A stream that was handed over gets no end, so that the
   * caller sees an interrupted stream and resumes it at another daemon. */
  Task<void> End(const RequestResult& aResult);

  [[nodiscard]] bool HasMismatch() const { return this->mismatch; }

private:
  Task<bool> SendHead();

  const ModelRequest& request;
  std::optional<ResumePoint> resumePoint;
  HttpResponder& responder;
  std::uint64_t tokenCount = 0;
  std::uint64_t tokenHash = 0;
  bool mismatch = false;
};

} // namespace toucanshed
