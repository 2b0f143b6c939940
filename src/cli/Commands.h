/** \file
 * The subcommands of the command line for operators.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace toucanshed {

/** Exit codes, as documented by --help. */
enum class ExitCode
{
  eOk = 0,
  eUsage = 2,                // wrong command line
  eInvalidFile = 3,          // a file with errors; each one is printed
  eConflict = 4,             // another change was applied first
  eUnreachable = 5,          // a daemon or the log does not respond
  eNotAppliedEverywhere = 6, // in force, but not at every daemon in time
};

ExitCode
RunCheck(const std::string& aPath, bool aSettings);

struct ApplyOptions
{
  std::string path;
  std::string daemon;
  std::string author;
  bool wait = false;
  bool hasBaseRevision = false;
  std::uint64_t baseRevision = 0;
};

/** Applies the documents of the file in order; stops at the first one that is
 * refused. */
ExitCode
RunApply(const ApplyOptions& aOptions);

ExitCode
RunStatus(const std::string& aDaemon);

ExitCode
RunRollouts(const std::string& aDaemon);

/** Writes report.html and report.json from log files into a folder, which is
 * created if it does not exist. */
ExitCode
RunReport(const std::vector<std::string>& aFiles, const std::string& aFolder);

/** Prints the merged events of daemons (IP:PORT) and of log files. */
ExitCode
RunTimeline(const std::vector<std::string>& aDaemons,
            const std::vector<std::string>& aFiles,
            const std::vector<std::string>& aFollow);

} // namespace toucanshed
