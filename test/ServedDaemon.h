/** \file
 * A daemon in a process of its own that serves the product's own interface,
 * beside stand-ins of the log, the instance list and a plain service in the
 * test's process.
 */
#pragma once

#include "DaemonProcess.h"

#include "edge/HttpServer.h"
#include "edge/WorkerPool.h"
#include "standin/InstanceListServer.h"
#include "standin/LogServer.h"
#include "standin/PlainService.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace toucanshed::test {

/** Thread safety: none; belongs to the test's thread. */
class ServedDaemon
{
public:
  /** Most memory of a daemon whose settings do not state its machine's. */
  static constexpr std::size_t kDefaultMemoryMb = 512;
  static constexpr std::size_t kMaxBodyBytes = std::size_t{ 4 } << 20U;

  /** Starts the stand-ins and the daemon, and waits until it serves.
   * \param aMaxDescriptors the process's limit */
  explicit ServedDaemon(std::size_t aMaxDescriptors = 4100);
  ~ServedDaemon();
  ServedDaemon(const ServedDaemon&) = delete;
  ServedDaemon& operator=(const ServedDaemon&) = delete;

  /** The head of an ordinary caller's request, without the empty line that ends
   * it. */
  static std::string RequestHead();
  /** Whether an ordinary request gets a 200, with the returns that a refusal
   * asks for. */
  [[nodiscard]] bool IsAnswered(const std::string& aBody = "{}") const;
  /** Whether an operator's request does. */
  [[nodiscard]] bool IsOperatorAnswered() const;

  const std::size_t maxDescriptors;
  Endpoint callers;
  Endpoint operators;
  std::unique_ptr<DaemonProcess> daemon;

private:
  void StartServer(const Endpoint& aEndpoint, HttpHandler aHandler);
  void Configure() const;

  WorkerPool pool{ 1 };
  standin::LogServer log;
  standin::InstanceListServer instances;
  standin::PlainService service;
  std::vector<std::unique_ptr<HttpServer>> servers;
  std::thread thread;
};

/** Checks that the daemon lives, that its memory and its descriptors have
 * stayed within its bounds, and that an ordinary caller and an operator get
 * their answers. */
void
CheckSurvives(ServedDaemon& aDaemon);

} // namespace toucanshed::test
