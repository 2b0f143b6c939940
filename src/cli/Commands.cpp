#include "Commands.h"

#include "Client.h"
#include "ReportHtml.h"
#include "ReportJson.h"
#include "SloReport.h"
#include "StatusView.h"
#include "Timeline.h"
#include "coord/DocumentValidation.h"
#include "daemon/Settings.h"
#include "edge/Json.h"
#include "records.pb.h"

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <iostream>
#include <sstream>

namespace toucanshed {

namespace json = boost::json;

namespace {

Result<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return Fail(ErrorCode::eInvalid, "cannot read " + aPath);
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

ExitCode
PrintError(const Error& aError, ExitCode aCode)
{
  std::cerr << "toucanshed: " << aError.message << "\n";
  return aCode;
}

Result<std::uint64_t>
FetchRevision(const std::string& aDaemon, const std::string& aService)
{
  const auto page = GetPage(aDaemon, "/config");
  if (!page) {
    return tl::unexpected<Error>(page.error());
  }
  const auto config = ParseJsonObject(*page);
  const auto* service = config ? config->if_contains(aService) : nullptr;
  if (service == nullptr || !service->is_object()) {
    return std::uint64_t{ 0 };
  }
  return NumberOf(service->as_object(), "revision");
}

ExitCode
PrintApplyResult(const std::string& aService, const HttpResponse& aResponse)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kConflict = 409;
  const auto result = ParseJsonObject(aResponse.body());
  if (!result) {
    return PrintError(Error{ ErrorCode::eProtocol,
                             "the daemon's response is not "
                             "a JSON object" },
                      ExitCode::eUnreachable);
  }
  if (aResponse.result_int() != kOk) {
    std::cerr << aService << ": refused: " << StringOf(*result, "error")
              << "\n";
    if (aResponse.result_int() == kConflict) {
      return ExitCode::eConflict;
    }
    return aResponse.result_int() < 500 ? ExitCode::eInvalidFile
                                        : ExitCode::eUnreachable;
  }
  std::cout << aService << ": revision " << NumberOf(*result, "revision");
  const auto* behind = result->if_contains("behind");
  if (behind == nullptr) {
    std::cout << " accepted\n";
    return ExitCode::eOk;
  }
  if (behind->as_array().empty()) {
    std::cout << " in force at every live daemon\n";
    return ExitCode::eOk;
  }
  std::cout << " in force, but not yet at";
  for (const json::value& id : behind->as_array()) {
    std::cout << " " << id.as_string().c_str();
  }
  std::cout << "\n";
  return ExitCode::eNotAppliedEverywhere;
}

ExitCode
ApplyDocument(const ApplyOptions& aOptions,
              const config::ServiceDocument& aDocument)
{
  records::ConfigChange change;
  if (aOptions.hasBaseRevision) {
    change.set_base_revision(aOptions.baseRevision);
  } else {
    const auto base = FetchRevision(aOptions.daemon, aDocument.service());
    if (!base) {
      return PrintError(base.error(), ExitCode::eUnreachable);
    }
    change.set_base_revision(*base);
  }
  change.set_author(aOptions.author);
  *change.mutable_document() = aDocument;
  std::string body;
  static_cast<void>(google::protobuf::util::MessageToJsonString(change, &body));
  const auto response = CallDaemon(
    aOptions.daemon,
    MakeRequest(
      http::verb::post, aOptions.wait ? "/config?wait=1" : "/config", body));
  if (!response) {
    return PrintError(response.error(), ExitCode::eUnreachable);
  }
  return PrintApplyResult(aDocument.service(), *response);
}

} // namespace

ExitCode
RunCheck(const std::string& aPath, bool aSettings)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return PrintError(text.error(), ExitCode::eInvalidFile);
  }
  std::vector<ValidationError> errors;
  if (aSettings) {
    const auto parsed = ParseSettings(*text);
    errors = parsed ? errors : parsed.error();
  } else {
    const auto parsed = ParseConfiguration(*text);
    errors = parsed ? errors : parsed.error();
  }
  if (errors.empty()) {
    std::cout << aPath << ": valid\n";
    return ExitCode::eOk;
  }
  std::cerr << FormatValidationErrors(errors);
  return ExitCode::eInvalidFile;
}

ExitCode
RunApply(const ApplyOptions& aOptions)
{
  const auto text = ReadFile(aOptions.path);
  if (!text) {
    return PrintError(text.error(), ExitCode::eInvalidFile);
  }
  const auto parsed = ParseConfiguration(*text);
  if (!parsed) {
    std::cerr << FormatValidationErrors(parsed.error());
    return ExitCode::eInvalidFile;
  }
  for (const config::ServiceDocument& document : parsed->services()) {
    const ExitCode code = ApplyDocument(aOptions, document);
    if (code != ExitCode::eOk) {
      return code;
    }
  }
  return ExitCode::eOk;
}

ExitCode
RunStatus(const std::string& aDaemon)
{
  const auto page = GetPage(aDaemon, "/status");
  if (!page) {
    return PrintError(page.error(), ExitCode::eUnreachable);
  }
  const auto status = ParseJsonObject(*page);
  std::cout << (status ? RenderStatus(*status) : *page);
  return ExitCode::eOk;
}

ExitCode
RunRollouts(const std::string& aDaemon)
{
  const auto page = GetPage(aDaemon, "/moves");
  if (!page) {
    return PrintError(page.error(), ExitCode::eUnreachable);
  }
  std::cout << RenderRollouts(json::parse(*page).as_array());
  return ExitCode::eOk;
}

ExitCode
RunReport(const std::vector<std::string>& aFiles, const std::string& aFolder)
{
  LogEvents events;
  for (const std::string& path : aFiles) {
    std::ifstream file(path);
    ReadLogEvents(path, file, events);
  }
  const SloReport report = MakeSloReport(events);
  std::error_code error;
  std::filesystem::create_directories(aFolder, error);
  const std::filesystem::path folder(aFolder);
  std::ofstream page(folder / "report.html");
  page << RenderReportHtml(report);
  std::ofstream data(folder / "report.json");
  data << RenderReportJson(report);
  if (!page.flush() || !data.flush()) {
    std::cerr << "toucanshed: cannot write to " << aFolder << "\n";
    return ExitCode::eUsage;
  }
  std::cout << report.all.total << " requests from " << report.eventLines
            << " events, " << report.all.onTime << " on time, "
            << report.unreadable.size()
            << " lines unreadable: " << (folder / "report.html").string()
            << "\n";
  for (const UnreadableLine& bad : report.unreadable) {
    if (bad.line == 0) {
      std::cerr << "toucanshed: " << bad.file << ": " << bad.reason << "\n";
    }
  }
  return report.eventLines == 0 ? ExitCode::eInvalidFile : ExitCode::eOk;
}

ExitCode
RunTimeline(const std::vector<std::string>& aDaemons,
            const std::vector<std::string>& aFiles,
            const std::vector<std::string>& aFollow)
{
  std::vector<std::string> lines;
  const auto add = [&](const std::string& aText) {
    std::istringstream text(aText);
    for (std::string line; std::getline(text, line);) {
      lines.push_back(line);
    }
  };
  for (const std::string& daemon : aDaemons) {
    const auto page = GetPage(daemon, "/events");
    if (!page) {
      // The events of the other daemons are useful without this one.
      PrintError(page.error(), ExitCode::eUnreachable);
      continue;
    }
    add(*page);
  }
  for (const std::string& path : aFiles) {
    const auto text = ReadFile(path);
    if (!text) {
      return PrintError(text.error(), ExitCode::eInvalidFile);
    }
    add(*text);
  }
  std::cout << RenderTimeline(lines, aFollow);
  return lines.empty() ? ExitCode::eUnreachable : ExitCode::eOk;
}

} // namespace toucanshed
