/** \file
 * toucanshedd: the daemon.
 */
#include "base/EventLog.h"
#include "base/LogWriter.h"
#include "base/Version.h"
#include "daemon/Daemon.h"
#include "daemon/Settings.h"
#include "platform/Adapter.h"
#include "platform/SettingsFormat.h"
#include "serve/ServingDaemon.h"

#include <chrono>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace toucanshed {
namespace {

/** Log lines are buffered until a write has this many bytes. */
constexpr std::size_t kLogFlushThreshold = 2048;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitPorts = 4;

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int
RunServingDaemon(const std::string& aPath)
{
  const auto read = [aPath] {
    return platform::ParseServingSettings(ReadFile(aPath));
  };
  auto settings = read();
  if (!settings) {
    std::cerr << FormatValidationErrors(settings.error());
    return kExitSettings;
  }
  static LogWriter sWriter(STDOUT_FILENO, kLogFlushThreshold);
  StartLogging("info", sWriter);
  ServingDaemon daemon(
    std::move(*settings), platform::MakeWireFormats(), read, sWriter);
  const auto started = daemon.Start();
  if (!started) {
    std::cerr << "toucanshedd: " << started.error().message << "\n";
    return kExitPorts;
  }
  daemon.Run();
  return 0;
}

int
RunDaemon(const std::string& aPath)
{
  const std::string text = ReadFile(aPath);
  if (text.empty()) {
    std::cerr << "toucanshedd: cannot read " << aPath << "\n";
    return kExitSettings;
  }
  if (platform::IsPlatformSettings(text)) {
    return RunServingDaemon(aPath);
  }
  auto settings = ParseSettings(text);
  if (!settings) {
    std::cerr << FormatValidationErrors(settings.error());
    return kExitSettings;
  }
  static LogWriter sWriter(STDOUT_FILENO);
  StartLogging(settings->logLevel, sWriter);
  const auto incarnation = static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
  Daemon daemon(std::move(*settings), incarnation);
  const auto started = daemon.Start();
  if (!started) {
    std::cerr << "toucanshedd: " << started.error().message << "\n";
    return kExitPorts;
  }
  daemon.Run();
  return 0;
}

int
Main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options options(
    "toucanshedd",
    "One daemon of the serving system. Exit codes: 0 stopped in good order, "
    "2 wrong command line, 3 wrong settings, 4 a port cannot be opened.");
  options.add_options()(
    "settings", "settings file in JSON", cxxopts::value<std::string>())(
    "version", "print the version")("help", "print this text");
  try {
    const auto given = options.parse(aCount, aArguments);
    if (given.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    if (given.count("version") != 0) {
      std::cout << "toucanshedd " << kProgramVersion << "\n";
      return 0;
    }
    if (given.count("settings") == 0 || !given.unmatched().empty()) {
      std::cerr << options.help();
      return kExitUsage;
    }
    return RunDaemon(given["settings"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "toucanshedd: " << error.what() << "\n";
    return kExitUsage;
  }
}

} // namespace
} // namespace toucanshed

int
main(int aCount, char** aArguments)
{
  return toucanshed::Main(aCount, aArguments);
}
