#include "Settings.h"

#include "edge/Machine.h"
#include "settings.pb.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>

namespace toucanshed {

namespace {

using ValidationErrors = std::vector<ValidationError>;

std::uint64_t
CheckRange(std::uint64_t aGiven,
           std::uint64_t aDefault,
           std::uint64_t aMin,
           std::uint64_t aMax,
           const char* aPath,
           ValidationErrors& aErrors)
{
  const std::uint64_t value = aGiven == 0 ? aDefault : aGiven;
  if (value < aMin || value > aMax) {
    aErrors.push_back(
      ValidationError{ aPath,
                       std::to_string(aGiven),
                       std::to_string(aMin) + " to " + std::to_string(aMax) });
  }
  return value;
}

void
RequireText(const std::string& aGiven,
            const char* aPath,
            ValidationErrors& aErrors)
{
  if (aGiven.empty()) {
    aErrors.push_back(ValidationError{ aPath, "nothing", "a value" });
  }
}

Endpoint
CheckEndpoint(const std::string& aGiven,
              const char* aPath,
              ValidationErrors& aErrors)
{
  const auto endpoint = ParseEndpoint(aGiven);
  if (!endpoint) {
    aErrors.push_back(
      ValidationError{ aPath, "\"" + aGiven + "\"", "IP:PORT" });
    return {};
  }
  return *endpoint;
}

void
ReadPorts(const settings::DaemonSettings& aGiven,
          Settings& aSettings,
          ValidationErrors& aErrors)
{
  constexpr std::uint64_t kMaxPort = 65535;
  const auto port = [&](std::uint32_t aPort, const char* aPath) {
    const auto checked = CheckRange(aPort, 0, 1, kMaxPort, aPath, aErrors);
    return aSettings.address + ":" + std::to_string(checked);
  };
  const auto errorsBefore = aErrors.size();
  const std::string callers = port(aGiven.caller_port(), "caller_port");
  const std::string operators = port(aGiven.operator_port(), "operator_port");
  aSettings.peerAddress = port(aGiven.peer_port(), "peer_port");
  if (aErrors.size() > errorsBefore) {
    return;
  }
  aSettings.callerEndpoint = CheckEndpoint(callers, "address", aErrors);
  aSettings.operatorEndpoint = CheckEndpoint(operators, "address", aErrors);
  const bool portsClash = callers == operators ||
                          callers == aSettings.peerAddress ||
                          operators == aSettings.peerAddress;
  if (portsClash) {
    aErrors.push_back(ValidationError{
      "operator_port", "a port that is used twice", "three different ports" });
  }
}

void
ReadTeams(const settings::DaemonSettings& aGiven,
          Settings& aSettings,
          ValidationErrors& aErrors)
{
  constexpr std::size_t kHashDigits = 64;
  for (int i = 0; i < aGiven.teams_size(); ++i) {
    const settings::TeamToken& team = aGiven.teams(i);
    const std::string path = "teams[" + std::to_string(i) + "]";
    RequireText(team.team(), (path + ".team").c_str(), aErrors);
    const std::string& hash = team.token_sha256();
    const bool isValidHash =
      hash.size() == kHashDigits &&
      hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!isValidHash) {
      aErrors.push_back(ValidationError{ path + ".token_sha256",
                                         "\"" + hash + "\"",
                                         "64 lower-case hex digits" });
    }
    aSettings.teamsByTokenHash[hash] = TeamId{ team.team() };
  }
}

void
ReadKeys(const settings::DaemonSettings& aGiven,
         Settings& aSettings,
         ValidationErrors& aErrors)
{
  constexpr std::size_t kKeyLength = 40;
  aSettings.peerKeys =
    PeerKeys{ aGiven.curve().public_key(), aGiven.curve().secret_key() };
  const auto isValidLength = [](const std::string& aKey) {
    return aKey.empty() || aKey.size() == kKeyLength;
  };
  const bool bothOrNone = aSettings.peerKeys.publicKey.empty() ==
                          aSettings.peerKeys.secretKey.empty();
  if (!bothOrNone || !isValidLength(aSettings.peerKeys.publicKey) ||
      !isValidLength(aSettings.peerKeys.secretKey)) {
    aErrors.push_back(ValidationError{ "curve",
                                       "keys of other lengths, or one alone",
                                       "two keys of 40 letters, or none" });
  }
}

} // namespace

namespace {

MachineLimits
ReadMachine(const settings::DaemonSettings& aGiven, ValidationErrors& aErrors)
{
  constexpr std::uint64_t kBytesPerMb = 1000000;
  constexpr std::uint64_t kMinMemoryMb = 64;
  constexpr std::uint64_t kMaxMemoryMb = 1000000;
  constexpr std::uint64_t kMinDescriptors = kFileDescriptors + 56;
  constexpr std::uint64_t kMaxDescriptors = 10000000;
  const MachineLimits machine = ThisMachine();
  MachineLimits limits;
  limits.memoryBytes = aGiven.memory_mb() == 0
                         ? machine.memoryBytes
                         : kBytesPerMb * CheckRange(aGiven.memory_mb(),
                                                    0,
                                                    kMinMemoryMb,
                                                    kMaxMemoryMb,
                                                    "memory_mb",
                                                    aErrors);
  limits.descriptors = aGiven.max_descriptors() == 0
                         ? machine.descriptors
                         : CheckRange(aGiven.max_descriptors(),
                                      0,
                                      kMinDescriptors,
                                      kMaxDescriptors,
                                      "max_descriptors",
                                      aErrors) -
                             kFileDescriptors;
  return limits;
}

} // namespace

tl::expected<Settings, ValidationErrors>
ParseSettings(const std::string& aJson)
{
  settings::DaemonSettings given;
  ValidationErrors errors;
  const auto status =
    google::protobuf::util::JsonStringToMessage(aJson, &given);
  if (!status.ok()) {
    errors.push_back(ValidationError{ "settings",
                                      std::string(status.message()),
                                      "JSON of the settings schema" });
    return tl::unexpected<ValidationErrors>(errors);
  }
  Settings settings;
  settings.id = DaemonId{ given.id() };
  settings.zone = ZoneId{ given.zone() };
  settings.address = given.address();
  RequireText(given.id(), "id", errors);
  RequireText(given.zone(), "zone", errors);
  ReadPorts(given, settings, errors);
  settings.logEndpoint = CheckEndpoint(given.log(), "log", errors);
  settings.instancesEndpoint =
    CheckEndpoint(given.instances(), "instances", errors);
  ReadTeams(given, settings, errors);
  ReadKeys(given, settings, errors);
  settings.workerCount =
    CheckRange(given.workers(), 2, 1, 64, "workers", errors);
  settings.maxBodyBytes = CheckRange(given.max_body_bytes(),
                                     1U << 20U,
                                     1024,
                                     64U << 20U,
                                     "max_body_bytes",
                                     errors);
  settings.maxInFlight =
    CheckRange(given.max_in_flight(), 2000, 1, 100000, "max_in_flight", errors);
  settings.idempotencyWindow = Millis(
    1000 *
    CheckRange(given.key_window_s(), 3600, 60, 604800, "key_window_s", errors));
  settings.balancerRemovalDelay = Millis(CheckRange(
    given.balancer_delay_ms(), 1500, 1, 600000, "balancer_delay_ms", errors));
  settings.drainTimeout = Millis(
    CheckRange(given.drain_ms(), 600000, 1, 3600000, "drain_ms", errors));
  settings.machine = ReadMachine(given, errors);
  settings.logLevel = given.log_level().empty() ? "info" : given.log_level();
  if (settings.logLevel != "info" && settings.logLevel != "error") {
    errors.push_back(ValidationError{
      "log_level", "\"" + settings.logLevel + "\"", "error or info" });
  }
  if (!errors.empty()) {
    return tl::unexpected<ValidationErrors>(errors);
  }
  return settings;
}

} // namespace toucanshed
