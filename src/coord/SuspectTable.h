/** \file
 * Tracks requests that were running on back ends when these crashed.
 */
#pragma once

#include "FactSet.h"
#include "base/Types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace toucanshed {

/** How a request may run. */
enum class SuspectLevel
{
  eClear,      // anywhere
  eSerialized, // anywhere, one at a time
  eIsolated,   // on an engine that runs nothing else
  eRejected,   // not at all
};

/**
 * A crash implicates all requests that were in flight on the engine. The ones
 * that did not cause it complete on their next run; the one that did crashes
 * the next engine too. A request implicated twice runs isolated, so that its
 * crash fails no other request; after a third crash it is rejected. Crashes are
 * counted by distinct engine incarnations, so six daemons that report the same
 * crash count it once.
 *
 * Thread safety: none; the owner serialises.
 */
class SuspectTable
{
public:
  /** How long a crash counts after it happened. */
  static constexpr Millis kCrashRetention{ 10 * 60 * 1000 };
  /** Crashes after which a request is rejected. */
  static constexpr std::size_t kMaxCrashes = 3;

  /** The fact that aFingerprint was in flight on an engine that crashed. */
  static FactEntry CrashFact(Fingerprint aFingerprint,
                             const std::string& aEngineIncarnation,
                             TimePoint aNow);
  /** Whether a fact's key is a crash. */
  static bool IsCrash(std::string_view aKey);

  /** Level of a request, by the number of distinct engine incarnations that
   * crashed while it was in flight. */
  static SuspectLevel LevelOf(const FactSet& aFacts, Fingerprint aFingerprint);

  /** The fact that an engine incarnation is reserved for one request. */
  static FactEntry IsolationFact(Fingerprint aFingerprint,
                                 const std::string& aEngineIncarnation,
                                 TimePoint aExpires);
  /** Whether aFingerprint comes first among the requests that the incarnation
   * is reserved for. If two suspects ran together, each would be implicated in
   * the other's crash, and a harmless one could be rejected. */
  static bool HasIsolationPriority(const FactSet& aFacts,
                                   Fingerprint aFingerprint,
                                   const std::string& aEngineIncarnation);

  /** Starts a serialized or isolated request with the fingerprint on this
   * daemon.
   * \return false while another request with it runs here */
  bool TryStart(Fingerprint aFingerprint);
  void RecordEnd(Fingerprint aFingerprint);

private:
  std::set<Fingerprint> running;
};

} // namespace toucanshed
