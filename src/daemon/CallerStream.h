/** \file
 * A model's answer as callers read it: whole, or as server-sent events whose
 * ids let the stream be resumed at any daemon.
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

/** The whole answer of a model, as callers expect it. */
std::string
CompletionJson(const std::string& aId,
               const std::string& aModel,
               const std::string& aRoute,
               const std::string& aText,
               std::uint64_t aTokens);

/**
 * Writes one stream. An event's id bears the number of tokens so far and a
 * hash over them. A caller that resumes gets only what it has not had, and
 * nothing if the answer's beginning comes out differently this time.
 *
 * Thread safety: none; belongs to the connection's worker.
 */
class CallerStream
{
public:
  /** The request and responder outlive the stream. */
  CallerStream(const ModelRequest& aRequest,
               std::optional<ResumePoint> aResume,
               HttpResponder& aResponder);

  /** Takes the next token; false when the caller has gone or the answer is not
   * the one it has begun to read. */
  Task<bool> WriteToken(std::string aToken);
  /** Takes what another daemon had of the answer, if it agrees with what the
   * caller has; otherwise takes nothing. Precondition: a resume point. */
  Task<bool> ReplayTokens(const std::vector<std::string>& aTokens);
  /** Ends the stream; one that was handed over is left without an end, so that
   * the caller sees it cut and resumes elsewhere. */
  Task<void> End(const RequestResult& aEnd);

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
