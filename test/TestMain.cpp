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
  static toucanshed::LogWriter sWriter(STDERR_FILENO);
  toucanshed::StartLogging("error", sWriter);
  return Catch::Session().run(aCount, aArguments);
}
