#include "StatusView.h"

#include "edge/Json.h"

#include <boost/json.hpp>
#include <iomanip>
#include <map>
#include <sstream>

namespace toucanshed {

namespace json = boost::json;

namespace {

struct ServiceTotals
{
  std::uint64_t engines = 0;
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
  std::uint64_t slots = 0;
  std::uint64_t leaving = 0;
  std::uint64_t down = 0;
};

void
AddBackends(const json::array& aBackends, std::ostringstream& aText)
{
  std::map<std::string, ServiceTotals> services;
  for (const json::value& entry : aBackends) {
    const json::object& backend = entry.as_object();
    ServiceTotals& sums = services[StringOf(backend, "service") + "/" +
                                   StringOf(backend, "version")];
    ++sums.engines;
    sums.running += NumberOf(backend, "running");
    sums.waiting += NumberOf(backend, "waiting");
    sums.slots += NumberOf(backend, "slots");
    sums.leaving += BoolOf(backend, "leaving") ? 1 : 0;
    sums.down += BoolOf(backend, "down") ? 1 : 0;
  }
  aText << "\nservice/version          back ends  leaving  down"
        << "  running/slots  waiting\n";
  for (const auto& [name, sums] : services) {
    aText << std::left << std::setw(25) << name << std::right << std::setw(9)
          << sums.engines << std::setw(9) << sums.leaving << std::setw(6)
          << sums.down << std::setw(9) << sums.running << "/" << std::left
          << std::setw(6) << sums.slots << std::right << std::setw(7)
          << sums.waiting << "\n";
  }
}

void
AddMembers(const json::array& aMembers, std::ostringstream& aText)
{
  aText << "\npeer            zone            status\n";
  for (const json::value& entry : aMembers) {
    const json::object& member = entry.as_object();
    aText << std::left << std::setw(16) << StringOf(member, "id")
          << std::setw(16) << StringOf(member, "zone")
          << StringOf(member, "status") << "\n";
  }
}

} // namespace

std::string
RenderRollouts(const json::array& aRollouts)
{
  std::ostringstream text;
  text << "move          service        from -> to        step status\n";
  for (const json::value& entry : aRollouts) {
    const json::object& rollout = entry.as_object();
    text << std::left << std::setw(14) << NumberOf(rollout, "move")
         << std::setw(15) << StringOf(rollout, "service") << std::setw(18)
         << (StringOf(rollout, "from") + " -> " + StringOf(rollout, "to"))
         << std::setw(5) << NumberOf(rollout, "step")
         << StringOf(rollout, "status");
    const std::string reason = StringOf(rollout, "reason");
    text << (reason.empty() ? "" : "\n              " + reason) << "\n";
  }
  return text.str();
}

std::string
RenderStatus(const json::object& aStatus)
{
  std::ostringstream text;
  const std::uint64_t logSilentMs = NumberOf(aStatus, "log_heard_ms_ago");
  constexpr std::uint64_t kMaxLogSilenceMs = 5000;
  text << StringOf(aStatus, "daemon") << " in " << StringOf(aStatus, "zone")
       << ", version " << StringOf(aStatus, "version") << ": "
       << (BoolOf(aStatus, "ready") ? "ready" : "NOT READY") << "\n"
       << "log: "
       << (logSilentMs > kMaxLogSilenceMs
             ? "SILENT for " + std::to_string(logSilentMs / 1000) + " s"
             : std::string("answers"))
       << ", revision " << NumberOf(aStatus, "applied") << " in force\n"
       << "requests: " << NumberOf(aStatus, "in_flight") << " in flight, "
       << NumberOf(aStatus, "waiting") << " waiting, "
       << NumberOf(aStatus, "work_unfinished") << " accepted and unfinished, "
       << NumberOf(aStatus, "keys_kept") << " keys kept\n";
  AddMembers(aStatus.at("members").as_array(), text);
  AddBackends(aStatus.at("backends").as_array(), text);
  const json::array& rollouts = aStatus.at("moves").as_array();
  if (!rollouts.empty()) {
    text << "\n" << RenderRollouts(rollouts);
  }
  return text.str();
}

} // namespace toucanshed
