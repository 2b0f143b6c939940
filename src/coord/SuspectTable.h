/** \file
 * Requests that were running on back ends when these crashed.
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

/** How a request may be run. */
enum class SuspectLevel
{
  eClear,      // anywhere
  eSerialized, // anywhere, one at a time
  eIsolated,   // on an engine that runs nothing else
  eRejected,   // not at all
};

/**
 * A crash implicates all that was in flight on the engine; the innocent among
 * them complete on their next run, the guilty one crashes the next engine too.
 * Implicated twice, a request runs alone, so that no innocent dies with it;
 * after a third crash it is given up. Crashes are counted by distinct engine
 * lives, so six daemons that report the same crash count it once.
 *
 * Thread safety: none; the owner serialises.
 */
class SuspectTable
{
public:
  /** How long a crash is remembered after it happened. */
  static constexpr Millis kCrashRetention{ 10 * 60 * 1000 };
  /** Crashes after which a request is given up. */
  static constexpr std::size_t kMaxCrashes = 3;

  /** The fact that aFingerprint was in flight on an engine that crashed. */
  static FactEntry CrashFact(Fingerprint aFingerprint,
                             const std::string& aEngineLife,
                             TimePoint aNow);
  /** Whether a fact's key is a crash. */
  static bool IsCrash(std::string_view aKey);

  /** Counts the distinct engines it crashed. */
  static SuspectLevel LevelOf(const FactSet& aFacts, Fingerprint aFingerprint);

  /** The fact that an engine's life is kept free for one request. */
  static FactEntry IsolationFact(Fingerprint aFingerprint,
                                 const std::string& aEngineLife,
                                 TimePoint aExpires);
  /** Whether of those for whom this life is kept free, aFingerprint comes
   * first. Two suspects that ran beside each other would each be blamed for
   * the other's crash, and an innocent one given up. */
  static bool HasIsolationPriority(const FactSet& aFacts,
                                   Fingerprint aFingerprint,
                                   const std::string& aEngineLife);

  /** Takes the one place in which a watched or lone request may run.
   * \return false while another request with the fingerprint runs here. */
  bool TryStart(Fingerprint aFingerprint);
  void RecordEnd(Fingerprint aFingerprint);

private:
  std::set<Fingerprint> running;
};

} // namespace toucanshed
