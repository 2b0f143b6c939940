/** \file
 * Simulates several daemons that share one log. The log loses replies, delays
 * appends and becomes unavailable. An oracle counts the executions per key.
 */
#pragma once

#include "coord/ClaimCoordinator.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace toucanshed::test {

/** One step of a history. Each field is taken modulo the number of choices. */
struct ClaimStep
{
  std::uint8_t kind = 0;
  std::uint8_t daemon = 0;
  std::uint8_t index = 0;
  std::uint8_t variant = 0;
};

/** A deliberate error in the simulated daemon, to show that the oracle detects
 * it. */
enum class ClaimMutant
{
  eNone,
  eDispatchBeforeReadBack,
  eDispatchAfterAbandon,
  eResendAfterUnclear,
};

/** Daemons, log and oracle; RunStep applies one step to them. */
class ClaimSimulation
{
public:
  explicit ClaimSimulation(ClaimMutant aMutant);

  void RunStep(const ClaimStep& aStep);
  /** A description of the last violation; empty if there was none. */
  [[nodiscard]] const std::string& Violation() const { return this->violation; }
  /** Number of executions, so that a test can check that requests ran at all.
   */
  [[nodiscard]] std::uint64_t Executions() const { return this->executions; }

private:
  struct Attempt
  {
    AttemptId id;
    std::size_t key = 0;
    bool sent = false;
    bool ended = false;
    bool reportedNotRun = false;
    std::uint64_t executions = 0;
  };
  struct Daemon
  {
    std::unique_ptr<ClaimCoordinator> claims;
    std::size_t batchesRead = 0;
    std::vector<Attempt> attempts;
  };
  struct Key
  {
    IdempotencyKey id;
    std::uint64_t executions = 0;
    std::string response;
  };

  void RestartDaemon(Daemon& aDaemon);
  void TryClaim(Daemon& aDaemon, const ClaimStep& aStep);
  void SendBatch(Daemon& aDaemon, const ClaimStep& aStep);
  void LandDelayedBatch(const ClaimStep& aStep);
  void ReadLog(Daemon& aDaemon, const ClaimStep& aStep);
  void Dispatch(Daemon& aDaemon, Attempt& aAttempt);
  void EndAttempt(Daemon& aDaemon, Attempt& aAttempt, const ClaimStep& aStep);
  void AbandonAttempt(Daemon& aDaemon, Attempt& aAttempt);
  void Execute(Attempt& aAttempt);
  void CheckReplay(const Daemon& aDaemon, const Key& aKey);

  ClaimMutant mutant;
  TimePoint now;
  std::vector<records::Batch> log;
  std::vector<records::Batch> delayedBatches;
  std::vector<Daemon> daemons;
  std::vector<Key> keys;
  std::uint64_t lastId = 0;
  std::uint64_t executions = 0;
  std::string violation;
};

} // namespace toucanshed::test
