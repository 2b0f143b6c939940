#include "test/OnWorker.h"

#include "edge/EngineClient.h"
#include "edge/HttpServer.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const Endpoint kEngine(boost::asio::ip::make_address("127.77.0.1"), 21077);

Task<void>
FetchThenGenerate(WorkerPool& aPool, EngineErrorKind& aFault)
{
  EngineReport known;
  known.address = ToText(kEngine);
  HttpRequest request = MakeRequest(http::verb::get, "/load");
  co_await Fetch(aPool.First(), kEngine, std::move(request), CallTimeouts{});
  GenerationRequest call;
  call.attempt = AttemptId{ "a1" };
  call.maxTokens = 1;
  const auto stream = co_await OpenEngineStream(
    aPool.First(), known.address, std::move(call), CallTimeouts{});
  aFault = stream ? EngineErrorKind::eMalformedEvent : stream.error().kind;
}

} // namespace

TEST_CASE("a crash on a reused connection is not retried")
{
  // The caller's request goes to an engine over a connection that carried
  // another call before, and kills it: the connection closes, and nobody
  // listens any more. Tried again on a new connection it would look as if
  // nothing had been sent; the crash would not be counted, and the request
  // would kill one engine more than it may.
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
  EngineErrorKind fault = EngineErrorKind::eMalformedEvent;
  RunOn(pool, FetchThenGenerate(pool, fault));
  CHECK(fault == EngineErrorKind::eDisconnected);
}

} // namespace toucanshed::test
