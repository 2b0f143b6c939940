#include "coord/DocumentValidation.h"
#include "daemon/CallerRequest.h"
#include "daemon/Settings.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

/** Returns a valid document in which aFrom is replaced by aTo. */
std::string
DocumentWith(const std::string& aFrom, const std::string& aTo)
{
  std::string text = R"({"services":[{"service":"survey","kind":"MODEL",
    "versions":[{"name":"v1","share_percent":100},{"name":"v2"}],
    "move":{"from":"v1","to":"v2","deadline_s":300,"canary_percent":5,
            "soak_s":30,"min_requests":30},
    "first_token_target_ms":320}]})";
  const auto position = text.find(aFrom);
  REQUIRE(position != std::string::npos);
  return text.replace(position, aFrom.size(), aTo);
}

std::string
DocumentErrors(const std::string& aJson)
{
  const auto parsed = ParseConfiguration(aJson);
  return parsed ? "" : FormatValidationErrors(parsed.error());
}

std::string
SettingsWith(const std::string& aFrom, const std::string& aTo)
{
  std::string text = R"({"id":"d1","zone":"z1","address":"127.0.0.1",
    "caller_port":8000,"operator_port":8001,"peer_port":8002,
    "log":"127.0.0.1:9000","instances":"127.0.0.1:9001"})";
  const auto position = text.find(aFrom);
  REQUIRE(position != std::string::npos);
  return text.replace(position, aFrom.size(), aTo);
}

std::string
SettingsErrors(const std::string& aJson)
{
  const auto parsed = ParseSettings(aJson);
  return parsed ? "" : FormatValidationErrors(parsed.error());
}

std::string
BodyError(const std::string& aJson)
{
  const auto parsed = ParseModelRequestBody(aJson, true);
  return parsed ? "" : FormatValidationErrors({ parsed.error() });
}

} // namespace

TEST_CASE("a document error names its path and allowed values")
{
  CHECK(DocumentErrors(DocumentWith("300", "300")).empty());
  CHECK(DocumentErrors(
          DocumentWith("\"canary_percent\":5", "\"canary_percent\":50")) ==
        "services[0].move.canary_percent: given 50, allowed 1 to 10\n");
  CHECK(DocumentErrors(
          DocumentWith("\"share_percent\":100", "\"share_percent\":90")) ==
        "services[0].versions: given shares adding up to 90, allowed shares "
        "adding up to 100\n");
  CHECK(DocumentErrors(DocumentWith("\"to\":\"v2\"", "\"to\":\"v3\"")) ==
        "services[0].move.to: given \"v3\", allowed a name in versions\n");
  CHECK(DocumentErrors(DocumentWith("\"soak_s\":30", "\"soak_s\":300")) ==
        "services[0].move.soak_s: given 300, allowed less than "
        "move.deadline_s\n");
  CHECK(DocumentErrors(DocumentWith("\"MODEL\"", "\"PLAIN\"")) ==
        "services[0].routes: given none, allowed at least one for a PLAIN "
        "service\n");
}

TEST_CASE("an unknown document field is rejected by name")
{
  const std::string text =
    DocumentErrors(DocumentWith("\"deadline_s\"", "\"deadline\""));
  CHECK(text.find("deadline") != std::string::npos);
  CHECK(text.find("allowed JSON of the configuration schema") !=
        std::string::npos);
}

TEST_CASE("a malformed or empty document is rejected")
{
  CHECK_FALSE(DocumentErrors("{").empty());
  CHECK(DocumentErrors("{}") == "services: given none, allowed at least one\n");
}

TEST_CASE("a settings error names its path and allowed values")
{
  CHECK(SettingsErrors(SettingsWith("8000", "8000")).empty());
  CHECK(SettingsErrors(SettingsWith("8000", "80000")) ==
        "caller_port: given 80000, allowed 1 to 65535\n");
  CHECK(SettingsErrors(SettingsWith("8001", "8000")) ==
        "operator_port: given a port that is used twice, allowed three "
        "different ports\n");
  CHECK(SettingsErrors(SettingsWith("127.0.0.1:9000", "log.example")) ==
        "log: given \"log.example\", allowed IP:PORT\n");
  CHECK(SettingsErrors(SettingsWith("\"id\":\"d1\"", "\"id\":\"\"")) ==
        "id: given nothing, allowed a value\n");
  CHECK(SettingsErrors(SettingsWith("\"log\"", "\"workers\":65,\"log\"")) ==
        "workers: given 65, allowed 1 to 64\n");
  CHECK(SettingsErrors(SettingsWith(
          "\"log\"", "\"curve\":{\"public_key\":\"x\"},\"log\"")) ==
        "curve: given keys of other lengths, or one alone, allowed two keys "
        "of 40 letters, or none\n");
}

TEST_CASE("a request error names its field and allowed values")
{
  CHECK(BodyError("{") == "body: given 1 bytes, allowed a JSON object\n");
  CHECK(BodyError("{}") == "model: given nothing, allowed a string\n");
  CHECK(BodyError(R"({"model":"m","messages":[]})") ==
        "messages: given [], allowed a list of messages\n");
  CHECK(BodyError(R"({"model":"m","messages":[{"content":1}]})") ==
        "messages[0].content: given 1, allowed a string\n");
  CHECK(BodyError(
          R"({"model":"m","messages":[{"content":"x"}],"max_tokens":-1})") ==
        "max_tokens: given -1, allowed a whole number from 1 to 32768\n");
  CHECK(
    BodyError(R"({"model":"m","messages":[{"content":"x"}],"stream":"yes"})") ==
    "stream: given \"yes\", allowed true or false\n");
}

TEST_CASE("a foreign event id cannot be resumed from")
{
  CHECK_FALSE(ParseEventId(""));
  CHECK_FALSE(ParseEventId("abc"));
  CHECK_FALSE(ParseEventId("r-1:x:2"));
  const auto resumePoint =
    ParseEventId(FormatEventId(ResumePoint{ "r-1", 7, 99 }));
  REQUIRE(resumePoint);
  CHECK(resumePoint->request == "r-1");
  CHECK(resumePoint->tokenCount == 7);
  CHECK(resumePoint->tokenHash == 99);
}

} // namespace toucanshed::test
