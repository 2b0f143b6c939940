/** \file
 * The life of one request that may not be repeated, at the daemon that took
 * it in.
 */
#pragma once

#include <memory>

namespace toucanshed {

/** Where the request stands. */
enum class ClaimPhase
{
  eClaiming,    // the claim is on its way to the log
  eOwned,       // read back as first; nothing sent yet
  eHeldByOther, // another claim was first
  eRunning,     // handed to a back end, once
  eAbandoned,   // given up before anything was sent; will never be sent
  eCompleted,   // the back end's answer is known
  eUnclear,     // sent, and its end is not known
};

/**
 * State machine (Boost.MSM) that allows one dispatch at most. Its methods
 * answer whether the step is legal in the present phase; an illegal step
 * changes nothing. A request abandoned while its claim is still on its way
 * stays abandoned when the claim lands first after all: that is what makes
 * the answer "not run" true for ever.
 *
 * \code
 * ClaimMachine machine;
 * machine.ReadBack(true);
 * if (machine.Dispatch()) { send(); }
 * \endcode
 *
 * Thread safety: none; the owner serialises.
 */
class ClaimStateMachine
{
public:
  ClaimStateMachine();
  ~ClaimStateMachine();
  ClaimStateMachine(ClaimStateMachine&&) noexcept;
  ClaimStateMachine& operator=(ClaimStateMachine&&) noexcept;

  bool ReadBack(bool aFirst);
  bool Dispatch();
  bool Abandon();
  bool Complete();
  bool MarkUnclear();
  /** Back to abandoned: dispatched, but no byte could be sent. */
  bool AbandonUnsent();

  [[nodiscard]] ClaimPhase Phase() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace toucanshed
