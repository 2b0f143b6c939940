/** \file
 * The results of a run of the load generator, and whether a guarantee was
 * violated.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace toucanshed::standin {

/** Times in milliseconds. */
struct TeamLatencies
{
  std::vector<double> firstToken;
  std::vector<double> tokenGap;
};

struct LoadReport
{
  std::uint64_t sent = 0;
  std::uint64_t completed = 0;
  std::uint64_t refusedNotRun = 0;
  std::uint64_t mayHaveRun = 0;
  std::uint64_t failed = 0; // neither completed nor correctly refused
  std::uint64_t wrongAnswers = 0;
  std::uint64_t lostAccepted = 0;
  std::uint64_t doubledExecutions = 0;
  std::uint64_t falseNotRun = 0;       // "not run", but executed
  std::uint64_t missingExecutions = 0; // "completed", but never executed
  std::uint64_t resumedStreams = 0;    // streams resumed after an interruption
  std::uint64_t tokens = 0;
  std::map<std::string, TeamLatencies> teams;

  [[nodiscard]] bool GuaranteesHold() const;
  [[nodiscard]] std::string ToTable() const;
  [[nodiscard]] std::string ToJson() const;
};

} // namespace toucanshed::standin
