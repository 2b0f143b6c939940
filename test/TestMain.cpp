#define CATCH_CONFIG_RUNNER
#include "base/EventLog.h"
#include "base/LogWriter.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <unistd.h>

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  static toucanshed::LogWriter writer(STDERR_FILENO);
  toucanshed::StartLogging("error", writer);
  return Catch::Session().run(aCount, aArguments);
}
