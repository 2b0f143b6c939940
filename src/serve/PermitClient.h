/** \file
 * Asks other daemons for permits to send requests to back ends, and answers
 * such questions.
 */
#pragma once

#include "base/Types.h"
#include "coord/CrashSuspects.h"
#include "coord/WarmupLimits.h"
#include "edge/Task.h"
#include "serving.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace toucanshed {

struct ServingState;

/** Thread safety: belongs to the worker. */
class PermitClient
{
public:
  static constexpr Millis kReplyTimeout = WarmupLimits::kReplyTimeout;

  /** Sends a datagram to an address. */
  using SendHook =
    std::function<void(const serving::Datagram&, const std::string& aAddress)>;

  PermitClient(ServingState& aState, SendHook aSend);
  ~PermitClient();
  PermitClient(const PermitClient&) = delete;
  PermitClient& operator=(const PermitClient&) = delete;

  /** Asks for a permit. Without an answer in time it is refused: the owner may
   * have granted it, and nothing is sent with it. */
  Task<PermitDecision> Request(InstanceId aBackend, DaemonId aOwner);

  /** Asks for the next trial of a suspect, in the same way. */
  Task<TrialDecision> RequestTrial(SuspectId aSuspect, DaemonId aOwner);

  /** Answers another daemon's question. */
  void HandleRequest(const serving::PermitRequest& aRequest);
  void HandleReply(const serving::PermitReply& aReply);

private:
  struct Pending;

  /** Sends a question and waits for its answer.
   * \param aRequest without its sender and number */
  Task<PermitDecision> Ask(serving::PermitRequest aRequest, DaemonId aOwner);
  PermitDecision DecideTrial(const serving::SuspectState& aSuspect);
  PermitDecision DecidePermit(const InstanceId& aBackend);

  ServingState& state;
  SendHook send;
  std::uint64_t lastNumber = 0;
  std::map<std::uint64_t, std::shared_ptr<Pending>> pending;
};

} // namespace toucanshed
