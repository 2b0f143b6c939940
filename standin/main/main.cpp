/** \file
 * standin: small stand-ins for the services around the system, with one
 * subcommand for each.
 */
#include "edge/WorkerPool.h"
#include "standin/Balancer.h"
#include "standin/Cloud.h"
#include "standin/Engine.h"
#include "standin/InstanceListServer.h"
#include "standin/LoadGenerator.h"
#include "standin/LogServer.h"
#include "standin/PlainService.h"
#include "standin/WeightStore.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

namespace toucanshed::standin {
namespace {

constexpr std::string_view kUsage =
  "standin SUBCOMMAND [OPTIONS]; SUBCOMMAND is one of engine, service, log,\n"
  "instances, cloud, weights, balancer, load. `standin SUBCOMMAND --help`\n"
  "lists its options. Fault switches: POST /faults {\"NAME\": NUMBER}.\n";

Endpoint
ParseEndpointOrExit(const std::string& aText)
{
  const auto endpoint = ParseEndpoint(aText);
  if (!endpoint) {
    std::cerr << "standin: " << endpoint.error().message << "\n";
    std::exit(2);
  }
  return *endpoint;
}

template<typename Server>
int
RunServer(WorkerPool& aPool, Server& aServer, const Endpoint& aListen)
{
  HttpLimits limits;
  limits.maxBodyBytes = 16U << 20U;
  const auto handler = [&aServer](Worker&,
                                  const HttpRequest& aRequest,
                                  HttpResponder& aResponder) {
    return aServer.Handle(aRequest, aResponder);
  };
  HttpServer server(aPool, limits, handler);
  const auto listening = server.Listen(aListen);
  if (!listening) {
    std::cerr << "standin: " << listening.error().message << "\n";
    return 1;
  }
  aPool.Run();
  return 0;
}

cxxopts::Options
OptionsOf(const std::string& aCommand)
{
  cxxopts::Options options("standin " + aCommand);
  auto add = options.add_options();
  add("listen", "IP:PORT", cxxopts::value<std::string>());
  add("seed",
      "seed of the faults and the load",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("help", "print this text");
  if (aCommand == "engine") {
    add("id", "instance id", cxxopts::value<std::string>());
    add("service", "service", cxxopts::value<std::string>());
    add("version", "version", cxxopts::value<std::string>());
    add("zone", "zone", cxxopts::value<std::string>());
    add("slots",
        "sequences in a batch",
        cxxopts::value<std::uint64_t>()->default_value("8"));
    add("step-ms",
        "milliseconds between tokens",
        cxxopts::value<std::uint64_t>()->default_value("4"));
    add("fault",
        "fault switch that is on from the start",
        cxxopts::value<std::string>());
  } else if (aCommand == "instances") {
    add("lag-ms",
        "age of the returned list, milliseconds",
        cxxopts::value<std::uint64_t>()->default_value("500"));
  } else if (aCommand == "log") {
    add("rate",
        "appends per second",
        cxxopts::value<std::uint64_t>()->default_value("500"));
    add("keep",
        "records retained per stream",
        cxxopts::value<std::uint64_t>()->default_value("1000000"));
  } else if (aCommand == "balancer") {
    add("targets",
        "CALLERS/OPERATORS pairs of IP:PORT, separated by commas",
        cxxopts::value<std::vector<std::string>>());
  } else if (aCommand == "load") {
    add("target", "the balancer", cxxopts::value<std::string>());
    add("services",
        "plain services, separated by commas",
        cxxopts::value<std::vector<std::string>>());
    add("seconds",
        "duration in seconds",
        cxxopts::value<std::uint64_t>()->default_value("10"));
    add("rate",
        "requests per second",
        cxxopts::value<double>()->default_value("40"));
    add("poison",
        "requests that crash engines",
        cxxopts::value<std::uint64_t>()->default_value("0"));
    add("tokens",
        "maximum tokens of a response, at least 9",
        cxxopts::value<std::uint64_t>()->default_value("48"));
    add("report", "file for the JSON report", cxxopts::value<std::string>());
  }
  return options;
}

int
RunBalancer(const cxxopts::ParseResult& aParsed)
{
  std::vector<BalancerTarget> targets;
  for (const auto& pair : aParsed["targets"].as<std::vector<std::string>>()) {
    const auto slash = pair.find('/');
    targets.push_back(
      BalancerTarget{ ParseEndpointOrExit(pair.substr(0, slash)),
                      ParseEndpointOrExit(pair.substr(slash + 1)) });
  }
  WorkerPool pool(1);
  Balancer balancer(pool.First(), targets);
  const auto listening =
    balancer.Listen(ParseEndpointOrExit(aParsed["listen"].as<std::string>()));
  if (!listening) {
    std::cerr << "standin: " << listening.error().message << "\n";
    return 1;
  }
  pool.Run();
  return 0;
}

int
RunLoad(const cxxopts::ParseResult& aParsed)
{
  LoadOptions options;
  options.target = ParseEndpointOrExit(aParsed["target"].as<std::string>());
  if (aParsed.count("services") != 0) {
    for (const auto& text :
         aParsed["services"].as<std::vector<std::string>>()) {
      options.serviceEndpoints.push_back(ParseEndpointOrExit(text));
    }
  }
  options.seconds = aParsed["seconds"].as<std::uint64_t>();
  options.ratePerSecond = aParsed["rate"].as<double>();
  options.seed = aParsed["seed"].as<std::uint64_t>();
  options.poisonRequests = aParsed["poison"].as<std::uint64_t>();
  options.maxTokens =
    std::max<std::uint64_t>(9, aParsed["tokens"].as<std::uint64_t>());
  WorkerPool pool(1);
  LoadGenerator load(pool.First(), options);
  pool.First().Spawn([](LoadGenerator& aLoad, WorkerPool& aPool) -> Task<void> {
    co_await aLoad.Run();
    aPool.Stop();
  }(load, pool));
  pool.Run();
  std::cout << load.Report().ToTable();
  if (aParsed.count("report") != 0) {
    std::ofstream file(aParsed["report"].as<std::string>());
    file << load.Report().ToJson();
  }
  return load.Report().GuaranteesHold() ? 0 : 1;
}

int
RunEngine(const cxxopts::ParseResult& aParsed, const Endpoint& aListen)
{
  EngineOptions options;
  options.id = aParsed["id"].as<std::string>();
  options.service = aParsed["service"].as<std::string>();
  options.version = aParsed["version"].as<std::string>();
  options.zone = aParsed["zone"].as<std::string>();
  options.slots = aParsed["slots"].as<std::uint64_t>();
  options.decodeStepMs = aParsed["step-ms"].as<std::uint64_t>();
  options.seed = aParsed["seed"].as<std::uint64_t>();
  if (aParsed.count("fault") != 0) {
    options.initialFault = aParsed["fault"].as<std::string>();
  }
  WorkerPool pool(1);
  Engine engine(pool.First(), options);
  return RunServer(pool, engine, aListen);
}

int
RunServerCommand(const std::string& aCommand,
                 const cxxopts::ParseResult& aParsed)
{
  const Endpoint listen =
    ParseEndpointOrExit(aParsed["listen"].as<std::string>());
  const std::uint64_t seed = aParsed["seed"].as<std::uint64_t>();
  if (aCommand == "engine") {
    return RunEngine(aParsed, listen);
  }
  WorkerPool pool(1);
  if (aCommand == "service") {
    PlainService service(seed);
    return RunServer(pool, service, listen);
  }
  if (aCommand == "log") {
    LogOptions options;
    options.appendsPerSecond = aParsed["rate"].as<std::uint64_t>();
    options.maxRecordsPerStream = aParsed["keep"].as<std::uint64_t>();
    options.seed = seed;
    LogServer log(pool.First(), options);
    return RunServer(pool, log, listen);
  }
  if (aCommand == "instances") {
    InstanceListServer instances(
      std::chrono::milliseconds(aParsed["lag-ms"].as<std::uint64_t>()));
    return RunServer(pool, instances, listen);
  }
  if (aCommand == "cloud") {
    Cloud cloud(seed);
    return RunServer(pool, cloud, listen);
  }
  if (aCommand == "weights") {
    constexpr std::uint64_t kFetchesPerSecond = 2;
    WeightStore weights(kFetchesPerSecond, seed);
    return RunServer(pool, weights, listen);
  }
  std::cerr << kUsage;
  return 2;
}

int
Main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::string command = aCount > 1 ? aArguments[1] : "--help";
  if (command == "--help") {
    std::cout << kUsage;
    return 0;
  }
  try {
    cxxopts::Options options = OptionsOf(command);
    const auto parsed = options.parse(aCount - 1, aArguments + 1);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    if (command == "balancer") {
      return RunBalancer(parsed);
    }
    return command == "load" ? RunLoad(parsed)
                             : RunServerCommand(command, parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "standin: " << error.what() << "\n";
    return 2;
  }
}

} // namespace
} // namespace toucanshed::standin

int
main(int aCount, char** aArguments)
{
  return toucanshed::standin::Main(aCount, aArguments);
}
