#include "SuspectTable.h"

namespace toucanshed {

namespace {
constexpr std::string_view kCrashPrefix = "crash/";
}

FactEntry
SuspectTable::CrashFact(Fingerprint aFingerprint,
                        const std::string& aEngineIncarnation,
                        TimePoint aNow)
{
  return FactEntry{ std::string(kCrashPrefix) +
                      std::to_string(aFingerprint.value) + "/" +
                      aEngineIncarnation,
                    aNow + kCrashRetention };
}

bool
SuspectTable::IsCrash(std::string_view aKey)
{
  return aKey.starts_with(kCrashPrefix);
}

SuspectLevel
SuspectTable::LevelOf(const FactSet& aFacts, Fingerprint aFingerprint)
{
  const std::string prefix =
    std::string(kCrashPrefix) + std::to_string(aFingerprint.value) + "/";
  const std::size_t crashes = aFacts.WithPrefix(prefix).size();
  if (crashes == 0) {
    return SuspectLevel::eClear;
  }
  if (crashes == 1) {
    return SuspectLevel::eSerialized;
  }
  return crashes < kMaxCrashes ? SuspectLevel::eIsolated
                               : SuspectLevel::eRejected;
}

FactEntry
SuspectTable::IsolationFact(Fingerprint aFingerprint,
                            const std::string& aEngineIncarnation,
                            TimePoint aExpires)
{
  return FactEntry{ "alone/" + aEngineIncarnation + "/" +
                      std::to_string(aFingerprint.value),
                    aExpires };
}

bool
SuspectTable::HasIsolationPriority(const FactSet& aFacts,
                                   Fingerprint aFingerprint,
                                   const std::string& aEngineIncarnation)
{
  const std::string own =
    IsolationFact(aFingerprint, aEngineIncarnation, {}).key;
  const auto all = aFacts.WithPrefix("alone/" + aEngineIncarnation + "/");
  return all.empty() || own <= all.front().key;
}

bool
SuspectTable::TryStart(Fingerprint aFingerprint)
{
  return this->running.insert(aFingerprint).second;
}

void
SuspectTable::RecordEnd(Fingerprint aFingerprint)
{
  this->running.erase(aFingerprint);
}

} // namespace toucanshed
