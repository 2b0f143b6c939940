#include "DocumentValidation.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <set>

namespace toucanshed {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint32_t kFullSharePercent = 100;

/** Collects complaints under one path. */
class Checker
{
public:
  explicit Checker(std::string aPath)
    : path(std::move(aPath))
  {
  }

  void Require(bool aHolds,
               const std::string& aField,
               const std::string& aGiven,
               const std::string& aAllowed)
  {
    if (!aHolds) {
      this->complaints.push_back(
        ValidationError{ this->path + "." + aField, aGiven, aAllowed });
    }
  }

  void Range(std::uint64_t aValue,
             std::uint64_t aLeast,
             std::uint64_t aMost,
             const std::string& aField)
  {
    this->Require(aValue >= aLeast && aValue <= aMost,
                  aField,
                  std::to_string(aValue),
                  std::to_string(aLeast) + " to " + std::to_string(aMost));
  }

  void Name(const std::string& aValue, const std::string& aField)
  {
    const bool plain =
      std::all_of(aValue.begin(), aValue.end(), [](unsigned char aLetter) {
        return std::isalnum(aLetter) != 0 || aLetter == '-' || aLetter == '_' ||
               aLetter == '.';
      });
    this->Require(!aValue.empty() && aValue.size() <= kMaxNameBytes && plain,
                  aField,
                  "\"" + aValue + "\"",
                  "1 to 64 letters, digits, '-', '_' or '.'");
  }

  std::vector<ValidationError> complaints;

private:
  std::string path;
};

std::string
At(const std::string& aField, int aIndex, const std::string& aMember)
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
    aChecker.Name(version.name(), At("versions", i, ".name"));
    aChecker.Require(names.insert(version.name()).second,
                     At("versions", i, ".name"),
                     "\"" + version.name() + "\" again",
                     "each version once");
    aChecker.Range(version.share_percent(),
                   0,
                   kFullSharePercent,
                   At("versions", i, ".share_percent"));
    sum += version.share_percent();
  }
  aChecker.Require(sum == kFullSharePercent,
                   "versions",
                   "shares adding up to " + std::to_string(sum),
                   "shares adding up to 100");
  return names;
}

void
ValidateRollout(const config::Move& aMove,
                const std::set<std::string>& aVersions,
                Checker& aChecker)
{
  const auto known = [&](const std::string& aName, const char* aField) {
    aChecker.Require(aVersions.count(aName) != 0,
                     aField,
                     "\"" + aName + "\"",
                     "a name in versions");
  };
  known(aMove.from(), "move.from");
  known(aMove.to(), "move.to");
  aChecker.Require(aMove.from() != aMove.to(),
                   "move.to",
                   "the version it comes from",
                   "another version");
  aChecker.Range(aMove.deadline_s(), 1, 86400, "move.deadline_s");
  aChecker.Range(aMove.canary_percent(), 1, 10, "move.canary_percent");
  aChecker.Range(aMove.soak_s(), 0, 86400, "move.soak_s");
  aChecker.Require(aMove.soak_s() < aMove.deadline_s(),
                   "move.soak_s",
                   std::to_string(aMove.soak_s()),
                   "less than move.deadline_s");
  aChecker.Range(aMove.min_requests(), 1, 100000, "move.min_requests");
}

void
ValidateRoutes(const config::ServiceDocument& aDocument, Checker& aChecker)
{
  const bool model = aDocument.kind() == config::MODEL;
  aChecker.Require(!model || aDocument.routes_size() == 0,
                   "routes",
                   std::to_string(aDocument.routes_size()) + " routes",
                   "none for a MODEL service");
  aChecker.Require(model || aDocument.routes_size() > 0,
                   "routes",
                   "none",
                   "at least one for a PLAIN service");
  for (int i = 0; i < aDocument.routes_size(); ++i) {
    const config::Route& route = aDocument.routes(i);
    aChecker.Require(route.prefix().starts_with('/'),
                     At("routes", i, ".prefix"),
                     "\"" + route.prefix() + "\"",
                     "a path that starts with '/'");
    aChecker.Range(
      route.timeout_ms(), 10, 600000, At("routes", i, ".timeout_ms"));
  }
}

void
ValidateTeams(const config::ServiceDocument& aDocument, Checker& aChecker)
{
  std::set<std::string> teams;
  for (int i = 0; i < aDocument.teams_size(); ++i) {
    const config::TeamShare& share = aDocument.teams(i);
    aChecker.Name(share.team(), At("teams", i, ".team"));
    aChecker.Range(share.weight(), 1, 1000, At("teams", i, ".weight"));
    aChecker.Require(teams.insert(share.team()).second,
                     At("teams", i, ".team"),
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
  checker.Name(aDocument.service(), "service");
  const bool kind =
    aDocument.kind() == config::MODEL || aDocument.kind() == config::PLAIN;
  checker.Require(kind, "kind", "none", "MODEL or PLAIN");
  const auto versions = ValidateVersions(aDocument, checker);
  if (aDocument.has_move()) {
    ValidateRollout(aDocument.move(), versions, checker);
  }
  ValidateRoutes(aDocument, checker);
  ValidateTeams(aDocument, checker);
  if (aDocument.kind() == config::MODEL) {
    checker.Range(
      aDocument.first_token_target_ms(), 1, 60000, "first_token_target_ms");
  }
  return checker.complaints;
}

tl::expected<config::ConfigurationDocument, std::vector<ValidationError>>
ParseConfiguration(const std::string& aJson)
{
  config::ConfigurationDocument parsed;
  const auto status =
    google::protobuf::util::JsonStringToMessage(aJson, &parsed);
  std::vector<ValidationError> complaints;
  if (!status.ok()) {
    complaints.push_back(ValidationError{ "document",
                                          std::string(status.message()),
                                          "JSON of the configuration schema" });
    return tl::unexpected<std::vector<ValidationError>>(complaints);
  }
  std::set<std::string> services;
  for (int i = 0; i < parsed.services_size(); ++i) {
    const std::string path = "services[" + std::to_string(i) + "]";
    const auto found = ValidateDocument(parsed.services(i), path);
    complaints.insert(complaints.end(), found.begin(), found.end());
    if (!services.insert(parsed.services(i).service()).second) {
      complaints.push_back(
        ValidationError{ path + ".service",
                         "\"" + parsed.services(i).service() + "\" again",
                         "each service once" });
    }
  }
  if (parsed.services_size() == 0) {
    complaints.push_back(ValidationError{ "services", "none", "at least one" });
  }
  if (!complaints.empty()) {
    return tl::unexpected<std::vector<ValidationError>>(complaints);
  }
  return parsed;
}

} // namespace toucanshed
