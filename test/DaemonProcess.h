/** \file
 * A daemon that runs as a process of its own, and what the kernel says about
 * it.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <thread>

namespace toucanshed::test {

/** Thread safety: none; belongs to the test's thread. */
class DaemonProcess
{
public:
  /** Starts the daemon.
   * \param aSettings its settings file, as JSON
   * \param aMaxDescriptors the process's limit of open descriptors */
  DaemonProcess(const std::string& aSettings, std::uint64_t aMaxDescriptors);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  [[nodiscard]] bool IsAlive();
  /** Asks the process to stop, as the platform does before planned work. */
  void Terminate() const;
  /** Tells the process that its settings file has changed (SIGHUP). */
  void Hangup() const;
  /** Waits until the process has handled what it has received: it uses no more
   * processor time. One that always has something to do is not waited for long.
   */
  void AwaitIdle() const;
  /** Highest resident memory since the start, in MB of 10^6 bytes. */
  [[nodiscard]] std::size_t PeakMemoryMb() const;
  /** Most descriptors that were open at once, of those looked at every few
   * milliseconds. */
  [[nodiscard]] std::size_t PeakDescriptors() const
  {
    return this->peakDescriptors;
  }
  /** What the process has written so far. */
  [[nodiscard]] std::string Output() const;

private:
  void Watch();
  /** Processor time used so far, in the kernel's ticks. */
  [[nodiscard]] std::uint64_t ProcessorTicks() const;

  std::string folder;
  pid_t process = -1;
  std::atomic<bool> stopped{ false };
  std::atomic<std::size_t> peakDescriptors{ 0 };
  std::thread watcher;
};

} // namespace toucanshed::test
