/** \file
 * toucanshed: the command line for operators.
 */
#include "base/Version.h"
#include "cli/Commands.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace toucanshed {
namespace {

constexpr const char* kUsage =
  "toucanshed COMMAND [OPTIONS]\n"
  "  check FILE [--settings]   check a configuration (or settings) file\n"
  "  apply FILE [--wait]       apply a configuration\n"
  "  status                    the state of one daemon\n"
  "  moves                     rollouts between versions\n"
  "  timeline                  events of all processes, in causal order\n"
  "  report FILE... --out DIR  which requests were not served on time, and "
  "why\n"
  "  version                   print the version\n"
  "`toucanshed COMMAND --help` lists a command's options. Exit codes: 0 done,\n"
  "2 wrong command line, 3 a file has errors, 4 another change was applied\n"
  "first, 5 a daemon or the log does not respond, 6 in force but not at every\n"
  "daemon in time.\n";

constexpr const char* kDefaultDaemon = "127.0.0.1:9100";

using StringList = std::vector<std::string>;

cxxopts::Options
OptionsOf(const std::string& aCommand)
{
  cxxopts::Options options("toucanshed " + aCommand);
  auto add = options.add_options();
  add("help", "print this text");
  if (aCommand == "check" || aCommand == "apply") {
    add("file", "file in JSON", cxxopts::value<std::string>());
    options.parse_positional({ "file" });
    options.positional_help("FILE");
  }
  if (aCommand == "check") {
    add("settings", "the file holds a daemon's settings");
  }
  const bool asksDaemon =
    aCommand != "check" && aCommand != "timeline" && aCommand != "report";
  if (asksDaemon) {
    add("daemon",
        "operator port of a daemon, IP:PORT",
        cxxopts::value<std::string>()->default_value(kDefaultDaemon));
  }
  if (aCommand == "apply") {
    add("wait", "return once it is in force at every live daemon");
    add("base",
        "revision the change is based on; by default the one in force",
        cxxopts::value<std::uint64_t>());
    add("author",
        "author to record with the change",
        cxxopts::value<std::string>()->default_value("operator"));
  }
  if (aCommand == "report") {
    add("files", "log files of the daemons", cxxopts::value<StringList>());
    add("out", "folder to write to", cxxopts::value<std::string>());
    options.parse_positional({ "files" });
    options.positional_help("FILE...");
  }
  if (aCommand == "timeline") {
    add("daemons",
        "operator ports, separated by commas",
        cxxopts::value<StringList>()->default_value(kDefaultDaemon));
    add(
      "files", "log files, separated by commas", cxxopts::value<StringList>());
    add("follow",
        "only events that contain one of these values (a request, version, "
        "instance, move), separated by commas",
        cxxopts::value<StringList>());
  }
  return options;
}

StringList
ListOption(const cxxopts::ParseResult& aParsed, const std::string& aName)
{
  return aParsed.count(aName) == 0 ? StringList{}
                                   : aParsed[aName].as<StringList>();
}

ExitCode
RunTimelineCommand(const cxxopts::ParseResult& aParsed)
{
  const StringList files = ListOption(aParsed, "files");
  const bool filesOnly = !files.empty() && aParsed.count("daemons") == 0;
  const StringList daemons =
    filesOnly ? StringList{} : aParsed["daemons"].as<StringList>();
  return RunTimeline(daemons, files, ListOption(aParsed, "follow"));
}

ExitCode
RunReportCommand(const cxxopts::ParseResult& aParsed)
{
  const StringList files = ListOption(aParsed, "files");
  if (files.empty() || aParsed.count("out") == 0) {
    std::cerr << "toucanshed: FILE... and --out DIR are expected\n";
    return ExitCode::eUsage;
  }
  return RunReport(files, aParsed["out"].as<std::string>());
}

ExitCode
Run(const std::string& aCommand, const cxxopts::ParseResult& aParsed)
{
  if (aCommand == "timeline") {
    return RunTimelineCommand(aParsed);
  }
  if (aCommand == "report") {
    return RunReportCommand(aParsed);
  }
  if (aCommand == "status") {
    return RunStatus(aParsed["daemon"].as<std::string>());
  }
  if (aCommand == "moves") {
    return RunRollouts(aParsed["daemon"].as<std::string>());
  }
  if (aParsed.count("file") == 0) {
    std::cerr << "toucanshed: a FILE is expected\n";
    return ExitCode::eUsage;
  }
  const std::string path = aParsed["file"].as<std::string>();
  if (aCommand == "check") {
    return RunCheck(path, aParsed.count("settings") != 0);
  }
  ApplyOptions options;
  options.path = path;
  options.daemon = aParsed["daemon"].as<std::string>();
  options.author = aParsed["author"].as<std::string>();
  options.wait = aParsed.count("wait") != 0;
  options.hasBaseRevision = aParsed.count("base") != 0;
  if (options.hasBaseRevision) {
    options.baseRevision = aParsed["base"].as<std::uint64_t>();
  }
  return RunApply(options);
}

ExitCode
Main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::string command = aCount > 1 ? aArguments[1] : "--help";
  if (command == "--help" || command == "help") {
    std::cout << kUsage;
    return ExitCode::eOk;
  }
  if (command == "version" || command == "--version") {
    std::cout << "toucanshed " << kProgramVersion << "\n";
    return ExitCode::eOk;
  }
  const std::vector<std::string> commands{ "check", "apply",    "status",
                                           "moves", "timeline", "report" };
  if (std::find(commands.begin(), commands.end(), command) == commands.end()) {
    std::cerr << "toucanshed: no command \"" << command << "\"\n" << kUsage;
    return ExitCode::eUsage;
  }
  try {
    cxxopts::Options options = OptionsOf(command);
    const auto parsed = options.parse(aCount - 1, aArguments + 1);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return ExitCode::eOk;
    }
    return Run(command, parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "toucanshed: " << error.what() << "\n";
    return ExitCode::eUsage;
  }
}

} // namespace
} // namespace toucanshed

int
main(int aCount, char** aArguments)
{
  return static_cast<int>(toucanshed::Main(aCount, aArguments));
}
