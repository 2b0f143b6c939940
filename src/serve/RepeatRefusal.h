/** \file
 * Why a request whose last send failed was not sent once more.
 */
#pragma once

namespace toucanshed {

enum class RepeatRefusal
{
  eKind,      // its kind may not run twice
  eRelayed,   // the daemon that admitted it decides
  eMayCrash,  // it may have crashed a back end
  eRuns,      // it may have run as often as its route allows
  eSends,     // it was sent as often as a request may be
  eAllowance, // the service's retry allowance is used up
  eNoBackEnd, // no back end may get it now
  eNoTime,    // too little time is left
  eStopping,  // this process ends
};

/** The name in the log. Thread safety: pure. */
constexpr const char*
NameOf(RepeatRefusal aRefusal)
{
  switch (aRefusal) {
    case RepeatRefusal::eKind:
      return "kind";
    case RepeatRefusal::eRelayed:
      return "relayed";
    case RepeatRefusal::eMayCrash:
      return "may_crash";
    case RepeatRefusal::eRuns:
      return "runs";
    case RepeatRefusal::eSends:
      return "sends";
    case RepeatRefusal::eAllowance:
      return "allowance";
    case RepeatRefusal::eNoBackEnd:
      return "no_back_end";
    case RepeatRefusal::eNoTime:
      return "no_time";
    case RepeatRefusal::eStopping:
      return "stopping";
  }
  return "";
}

} // namespace toucanshed
