#include "DocumentValidation.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <set>

namespace toucanshed {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint32_t kFullSharePercent = 100;

/** Collects the errors of the document at a path. */
class Checker
{
public:
  explicit Checker(std::string aPath)
    : path(std::move(aPath))
  {
  }

  void Require(bool aCondition,
               const std::string& aField,
               const std::string& aGiven,
               const std::string& aAllowed)
  {
    if (!aCondition) {
      this->errors.push_back(
        ValidationError{ this->path + "." + aField, aGiven, aAllowed });
    }
  }

  void RequireRange(std::uint64_t aValue,
                    std::uint64_t aMin,
                    std::uint64_t aMax,
                    const std::string& aField)
  {
    this->Require(aValue >= aMin && aValue <= aMax,
                  aField,
                  std::to_string(aValue),
                  std::to_string(aMin) + " to " + std::to_string(aMax));
  }

  void RequireName(const std::string& aValue, const std::string& aField)
  {
    const bool isPlain =
      std::all_of(aValue.begin(), aValue.end(), [](unsigned char aCharacter) {
        return std::isalnum(aCharacter) != 0 || aCharacter == '-' ||
               aCharacter == '_' || aCharacter == '.';
      });
    this->Require(!aValue.empty() && aValue.size() <= kMaxNameBytes && isPlain,
                  aField,
                  "\"" + aValue + "\"",
                  "1 to 64 letters, digits, '-', '_' or '.'");
  }

  std::vector<ValidationError> errors;

private:
  std::string path;
};

std::string
IndexedField(const std::string& aField, int aIndex, const std::string& aMember)
{
  return aField + "[" + std::to_string(aIndex) + "]" + aMember;
}

std::set<std::string>
ValidateVersions(const config::ServiceDocument& aDocument, Checker& aChecker)
{
  std::set<std::string> names;
  std::uint64_t sum = 0;
  for (int i = 0; i < aDocument.versions_size(); ++i) {
    const config::Version& version = aDocument.versions(i);
    aChecker.RequireName(version.name(), IndexedField("versions", i, ".name"));
    aChecker.Require(names.insert(version.name()).second,
                     IndexedField("versions", i, ".name"),
                     "\"" + version.name() + "\" again",
                     "each version once");
    aChecker.RequireRange(version.share_percent(),
                          0,
                          kFullSharePercent,
                          IndexedField("versions", i, ".share_percent"));
    sum += version.share_percent();
  }
  aChecker.Require(sum == kFullSharePercent,
                   "versions",
                   "shares adding up to " + std::to_string(sum),
                   "shares adding up to 100");
  return names;
}

void
ValidateRollout(const config::Move& aRollout,
                const std::set<std::string>& aVersions,
                Checker& aChecker)
{
  const auto requireVersion = [&](const std::string& aName,
                                  const char* aField) {
    aChecker.Require(aVersions.count(aName) != 0,
                     aField,
                     "\"" + aName + "\"",
                     "a name in versions");
  };
  requireVersion(aRollout.from(), "move.from");
  requireVersion(aRollout.to(), "move.to");
  aChecker.Require(aRollout.from() != aRollout.to(),
                   "move.to",
                   "the version it comes from",
                   "another version");
  aChecker.RequireRange(aRollout.deadline_s(), 1, 86400, "move.deadline_s");
  aChecker.RequireRange(
    aRollout.canary_percent(), 1, 10, "move.canary_percent");
  aChecker.RequireRange(aRollout.soak_s(), 0, 86400, "move.soak_s");
  aChecker.Require(aRollout.soak_s() < aRollout.deadline_s(),
                   "move.soak_s",
                   std::to_string(aRollout.soak_s()),
                   "less than move.deadline_s");
  aChecker.RequireRange(
    aRollout.min_requests(), 1, 100000, "move.min_requests");
}

void
ValidateRoutes(const config::ServiceDocument& aDocument, Checker& aChecker)
{
  const bool isModel = aDocument.kind() == config::MODEL;
  aChecker.Require(!isModel || aDocument.routes_size() == 0,
                   "routes",
                   std::to_string(aDocument.routes_size()) + " routes",
                   "none for a MODEL service");
  aChecker.Require(isModel || aDocument.routes_size() > 0,
                   "routes",
                   "none",
                   "at least one for a PLAIN service");
  for (int i = 0; i < aDocument.routes_size(); ++i) {
    const config::Route& route = aDocument.routes(i);
    aChecker.Require(route.prefix().starts_with('/'),
                     IndexedField("routes", i, ".prefix"),
                     "\"" + route.prefix() + "\"",
                     "a path that starts with '/'");
    aChecker.RequireRange(
      route.timeout_ms(), 10, 600000, IndexedField("routes", i, ".timeout_ms"));
  }
}

void
ValidateTeams(const config::ServiceDocument& aDocument, Checker& aChecker)
{
  std::set<std::string> teams;
  for (int i = 0; i < aDocument.teams_size(); ++i) {
    const config::TeamShare& share = aDocument.teams(i);
    aChecker.RequireName(share.team(), IndexedField("teams", i, ".team"));
    aChecker.RequireRange(
      share.weight(), 1, 1000, IndexedField("teams", i, ".weight"));
    aChecker.Require(teams.insert(share.team()).second,
                     IndexedField("teams", i, ".team"),
                     "\"" + share.team() + "\" again",
                     "each team once");
  }
}

} // namespace

std::vector<ValidationError>
ValidateDocument(const config::ServiceDocument& aDocument,
                 const std::string& aPath)
{
  Checker checker(aPath);
  checker.RequireName(aDocument.service(), "service");
  const bool hasKind =
    aDocument.kind() == config::MODEL || aDocument.kind() == config::PLAIN;
  checker.Require(hasKind, "kind", "none", "MODEL or PLAIN");
  const auto versions = ValidateVersions(aDocument, checker);
  if (aDocument.has_move()) {
    ValidateRollout(aDocument.move(), versions, checker);
  }
  ValidateRoutes(aDocument, checker);
  ValidateTeams(aDocument, checker);
  if (aDocument.kind() == config::MODEL) {
    checker.RequireRange(
      aDocument.first_token_target_ms(), 1, 60000, "first_token_target_ms");
  }
  return checker.errors;
}

tl::expected<config::ConfigurationDocument, std::vector<ValidationError>>
ParseConfiguration(const std::string& aJson)
{
  config::ConfigurationDocument parsed;
  const auto status =
    google::protobuf::util::JsonStringToMessage(aJson, &parsed);
  std::vector<ValidationError> errors;
  if (!status.ok()) {
    errors.push_back(ValidationError{ "document",
                                      std::string(status.message()),
                                      "JSON of the configuration schema" });
    return tl::unexpected<std::vector<ValidationError>>(errors);
  }
  std::set<std::string> services;
  for (int i = 0; i < parsed.services_size(); ++i) {
    const std::string path = "services[" + std::to_string(i) + "]";
    const auto serviceErrors = ValidateDocument(parsed.services(i), path);
    errors.insert(errors.end(), serviceErrors.begin(), serviceErrors.end());
    if (!services.insert(parsed.services(i).service()).second) {
      errors.push_back(
        ValidationError{ path + ".service",
                         "\"" + parsed.services(i).service() + "\" again",
                         "each service once" });
    }
  }
  if (parsed.services_size() == 0) {
    errors.push_back(ValidationError{ "services", "none", "at least one" });
  }
  if (!errors.empty()) {
    return tl::unexpected<std::vector<ValidationError>>(errors);
  }
  return parsed;
}

} // namespace toucanshed
