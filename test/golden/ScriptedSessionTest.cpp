#include "ScriptedSession.h"

#include "cli/Timeline.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

// Runs each session and compares its transcript with the golden file beside it.
// To accept a new transcript after reviewing it, run with
// TOUCANSHED_GOLDEN=write.

namespace toucanshed::test {
namespace {

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void
CompareWithGolden(const std::string& aOutput, const std::string& aPath)
{
  if (std::getenv("TOUCANSHED_GOLDEN") != nullptr) {
    std::ofstream(aPath) << aOutput;
  }
  CHECK(aOutput == ReadFile(aPath));
}

void
CheckSession(const std::string& aName)
{
  const std::string path = "test/golden/" + aName;
  ScriptedSession session;
  CompareWithGolden(session.Run(ReadFile(path + ".session")), path + ".golden");
}

std::vector<std::string>
LinesOf(const std::string& aText)
{
  std::istringstream stream(aText);
  std::vector<std::string> lines;
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

} // namespace

TEST_CASE("of two racing changes one is refused with a reason")
{
  CheckSession("operator-race");
}

TEST_CASE("a bad canary is rolled back during a log outage")
{
  CheckSession("canary-in-outage");
}

TEST_CASE("a new document supersedes a running rollout")
{
  CheckSession("move-overtaken");
}

TEST_CASE("lost or late log responses apply no record twice")
{
  CheckSession("lost-answers");
}

TEST_CASE("a timeline orders reclaim and rollout causally")
{
  const auto lines = LinesOf(ReadFile("test/golden/reclaim-in-move.events"));
  REQUIRE(lines.size() > 5);
  CompareWithGolden(RenderTimeline(lines, {}),
                    "test/golden/reclaim-in-move.golden");
}

TEST_CASE("a timeline follows a request through its attempts")
{
  const auto lines = LinesOf(ReadFile("test/golden/reclaim-in-move.events"));
  CompareWithGolden(RenderTimeline(lines, { "r-daemon-1.1-4" }),
                    "test/golden/reclaim-in-move-request.golden");
}

} // namespace toucanshed::test
