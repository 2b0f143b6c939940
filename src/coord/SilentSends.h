/** \file
 * Finds the requests in flight whose back end has been silent for long.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <set>
#include <vector>

namespace toucanshed {

class BackendTable;
struct Backend;

/** A request in flight at a back end, by the signs of it. */
struct SendSilence
{
  InstanceId backend;
  std::uint64_t listing = 0; // see Backend
  std::int64_t incarnation = 0;
  TimePoint lastSignAt;      // data, or the send itself
  Millis limit{ 0 };         // longer without a sign: silent
  bool awaitsBackend = true; // false while its caller doesn't read
  bool silent = false;
};

/**
 * A silent back end may still answer, so silence ends no request. It only shows
 * which back ends should get no more for now: one of which no request has shown
 * a sign for so long counts as failed, once for each time that it falls silent.
 *
 * Thread safety: none; the owner serialises.
 */
class SilentSends
{
public:
  /** Precondition: aTable outlives this. */
  explicit SilentSends(BackendTable& aTable)
    : table(aTable)
  {
  }
  SilentSends(const SilentSends&) = delete;
  SilentSends& operator=(const SilentSends&) = delete;

  /** Precondition: aSend stays where it is until it is removed. */
  void Add(SendSilence& aSend) { this->sends.insert(&aSend); }
  /** No effect when it was removed before. */
  void Remove(SendSilence& aSend);
  /** The back end has sent data to this request. */
  void RecordSign(SendSilence& aSend, TimePoint aNow);
  /** Marks the requests that have become silent. Those that an earlier start of
   * a back end had say nothing about it.
   * \return the back ends that have fallen silent as a whole, and those that
   * are still silent to a request sent since that was found; each once */
  std::vector<InstanceId> Update(TimePoint aNow);

private:
  /** \param aChange 1 when a request has become silent, -1 when it no longer
   *   is */
  void Count(const SendSilence& aSend, std::int64_t aChange);
  /** Records that a request has become silent.
   * \return whether that is a failure of its back end */
  static bool RecordSilence(const SendSilence& aSend,
                            Backend& aBackend,
                            TimePoint aNow);

  BackendTable& table;
  std::set<SendSilence*> sends;
};

} // namespace toucanshed
