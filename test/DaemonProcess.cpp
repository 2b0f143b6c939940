#include "DaemonProcess.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace toucanshed::test {

namespace {

constexpr std::chrono::milliseconds kWatchInterval{ 5 };
constexpr int kExitNotStarted = 127;

std::string
MakeFolder()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "toucanshed-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("no folder for the daemon's settings");
  }
  return path;
}

/** Runs in the new process, where only async-signal-safe calls are allowed. */
[[noreturn]] void
Execute(const char* aSettingsPath,
        const char* aOutputPath,
        std::uint64_t aMaxDescriptors)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const rlimit limit{ aMaxDescriptors, aMaxDescriptors };
  setrlimit(RLIMIT_NOFILE, &limit);
  const int output = open(aOutputPath, O_WRONLY | O_CREAT | O_TRUNC, 0600);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  closefrom(STDERR_FILENO + 1);
  execl(TOUCANSHED_DAEMON,
        TOUCANSHED_DAEMON,
        "--settings",
        aSettingsPath,
        static_cast<char*>(nullptr));
  _exit(kExitNotStarted);
}

} // namespace

DaemonProcess::DaemonProcess(const std::string& aSettings,
                             std::uint64_t aMaxDescriptors)
  : folder(MakeFolder())
{
  const std::string settingsPath = this->folder + "/settings.json";
  const std::string outputPath = this->folder + "/output";
  std::ofstream(settingsPath) << aSettings;
  this->process = fork();
  if (this->process == 0) {
    Execute(settingsPath.c_str(), outputPath.c_str(), aMaxDescriptors);
  }
  this->watcher = std::thread([this] { this->Watch(); });
}

DaemonProcess::~DaemonProcess()
{
  this->stopped = true;
  this->watcher.join();
  if (this->IsAlive()) {
    kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
  }
  std::filesystem::remove_all(this->folder);
}

bool
DaemonProcess::IsAlive()
{
  if (this->process > 0 && waitpid(this->process, nullptr, WNOHANG) != 0) {
    this->process = -1;
  }
  return this->process > 0;
}

void
DaemonProcess::Terminate() const
{
  kill(this->process, SIGTERM);
}

void
DaemonProcess::Hangup() const
{
  kill(this->process, SIGHUP);
}

std::uint64_t
DaemonProcess::ProcessorTicks() const
{
  constexpr int kFieldsBefore = 11; // from the state to the user time
  std::ifstream file("/proc/" + std::to_string(this->process) + "/stat");
  std::string text;
  std::getline(file, text);
  const auto name = text.rfind(')');
  if (name == std::string::npos) {
    return 0;
  }
  std::istringstream fields(text.substr(name + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBefore; ++i) {
    fields >> skipped;
  }
  std::uint64_t user = 0;
  std::uint64_t system = 0;
  fields >> user >> system;
  return user + system;
}

void
DaemonProcess::AwaitIdle() const
{
  constexpr int kMaxPolls = 10;
  constexpr std::chrono::milliseconds kPollInterval{ 400 };
  constexpr std::uint64_t kIdleTicks = 2; // of its own regular work
  std::uint64_t before = this->ProcessorTicks();
  for (int i = 0; i < kMaxPolls; ++i) {
    std::this_thread::sleep_for(kPollInterval);
    const std::uint64_t now = this->ProcessorTicks();
    if (now - before <= kIdleTicks) {
      return;
    }
    before = now;
  }
}

std::size_t
DaemonProcess::PeakMemoryMb() const
{
  constexpr std::size_t kBytesPerKb = 1024;
  constexpr std::size_t kBytesPerMb = 1000000;
  const std::string name = "VmHWM:";
  std::ifstream file("/proc/" + std::to_string(this->process) + "/status");
  std::string word;
  while (file >> word) {
    std::size_t kilobytes = 0;
    if (word == name && file >> kilobytes) {
      return kilobytes * kBytesPerKb / kBytesPerMb;
    }
  }
  throw std::runtime_error("the daemon's memory is not known");
}

std::string
DaemonProcess::Output() const
{
  std::ifstream file(this->folder + "/output");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void
DaemonProcess::Watch()
{
  const std::filesystem::path descriptors =
    "/proc/" + std::to_string(this->process) + "/fd";
  while (!this->stopped) {
    std::error_code error;
    std::size_t open = 0;
    auto entry = std::filesystem::directory_iterator(descriptors, error);
    while (!error && entry != std::filesystem::directory_iterator()) {
      ++open;
      entry.increment(error);
    }
    if (open > this->peakDescriptors) {
      this->peakDescriptors = open;
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

} // namespace toucanshed::test
