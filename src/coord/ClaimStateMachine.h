/** \file
 * States of one non-repeatable request at the daemon that received it.
 */
#pragma once

#include <memory>

namespace toucanshed {

/** The state of the request. */
enum class ClaimPhase
{
  eClaiming,    // the claim is being appended to the log
  eOwned,       // read back as the first claim; not sent yet
  eHeldByOther, // another claim was first
  eRunning,     // sent to a back end, once
  eAbandoned,   // ended before it was sent; will never be sent
  eCompleted,   // the back end's response is known
  eUnclear,     // sent; whether it ran is unknown
};

/**
 * State machine (Boost.MSM) that allows at most one dispatch. Each method
 * returns whether the transition is legal in the current phase; an illegal
 * transition changes nothing. A request that is abandoned while its claim is
 * being appended stays abandoned even if the claim then becomes the first one
 * in the log. Therefore the reply "not run" remains correct.
 *
 * \code
 * ClaimStateMachine machine;
 * machine.ReadBack(true);
 * if (machine.Dispatch()) { send(); }
 * \endcode
 *
 * Thread safety: none; the owner serialises calls.
 */
class ClaimStateMachine
{
public:
  ClaimStateMachine();
  ~ClaimStateMachine();
  ClaimStateMachine(ClaimStateMachine&&) noexcept;
  ClaimStateMachine& operator=(ClaimStateMachine&&) noexcept;

  /** The claim was read back from the log. \param aFirst whether it is the
   * first one of its key. */
  bool ReadBack(bool aFirst);
  bool Dispatch();
  bool Abandon();
  bool Complete();
  bool MarkUnclear();
  /** From running to abandoned: the request was dispatched, but no byte was
   * sent. */
  bool AbandonUnsent();

  [[nodiscard]] ClaimPhase Phase() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace toucanshed
