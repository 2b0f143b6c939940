#include "test/OnWorker.h"

#include "edge/EngineClient.h"
#include "edge/HttpServer.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const Endpoint kEngine(boost::asio::ip::make_address("127.77.0.1"), 21077);

Task<void>
FetchThenGenerate(WorkerPool& aPool, EngineErrorKind& aError)
{
  EngineReport report;
  report.address = ToText(kEngine);
  HttpRequest request = MakeRequest(http::verb::get, "/load");
  co_await Fetch(aPool.First(), kEngine, std::move(request), CallTimeouts{});
  GenerationRequest generation;
  generation.attempt = AttemptId{ "a1" };
  generation.maxTokens = 1;
  const auto stream = co_await OpenEngineStream(
    aPool.First(), report.address, std::move(generation), CallTimeouts{});
  aError = stream ? EngineErrorKind::eMalformedEvent : stream.error().kind;
}

} // namespace

TEST_CASE("a crash on a reused connection is not retried")
{
  // The request goes to an engine over a connection that carried another call
  // before, and crashes it: the connection closes, and nothing listens any
  // more. A retry on a new connection would report that nothing was sent. The
  // crash would then not be counted, and the request would crash one engine
  // more than allowed.
  WorkerPool pool(1);
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
    pool,
    HttpLimits{},
    [&](Worker&,
        const HttpRequest& aRequest,
        HttpResponder& aResponder) -> Task<void> {
      if (aRequest.target() == "/load") {
        co_await aResponder.Send(MakeResponse(200, "{}"));
      } else {
        server->Close();
      }
    });
  REQUIRE(server->Listen(kEngine));
  EngineErrorKind error = EngineErrorKind::eMalformedEvent;
  RunOn(pool, FetchThenGenerate(pool, error));
  CHECK(error == EngineErrorKind::eDisconnected);
}

// Guards against a stream's state being moved to an engine that began to leave
// while the other one exported it.
TEST_CASE("a stream's state is not moved to an engine that leaves")
{
  WorkerPool pool(1);
  std::size_t exports = 0;
  std::size_t imports = 0;
  HttpServer server(pool,
                    HttpLimits{},
                    [&](Worker&,
                        const HttpRequest& aRequest,
                        HttpResponder& aResponder) -> Task<void> {
                      exports += aRequest.target() == "/export" ? 1 : 0;
                      imports += aRequest.target() == "/import" ? 1 : 0;
                      co_await aResponder.Send(MakeResponse(200, "{}"));
                    });
  const Endpoint engine(boost::asio::ip::make_address("127.77.0.1"), 21078);
  REQUIRE(server.Listen(engine));
  for (const bool usable : { true, false }) {
    bool imported = false;
    RunOn(pool,
          [](WorkerPool& aPool,
             std::string aAddress,
             bool aUsable,
             bool& aImported) -> Task<void> {
            PreSendCheck check = [aUsable] { return aUsable; };
            AttemptId attempt{ "a1" };
            aImported = co_await TransferKvCache(aPool.First(),
                                                 aAddress,
                                                 aAddress,
                                                 std::move(attempt),
                                                 5,
                                                 std::move(check));
          }(pool, ToText(engine), usable, imported));
    CHECK(imported == usable);
  }
  CHECK(exports == 2);
  CHECK(imports == 1);
}

} // namespace toucanshed::test
