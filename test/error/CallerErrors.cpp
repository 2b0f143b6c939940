#include "test/DaemonHarness.h"

#include "daemon/CallerApi.h"
#include "edge/HttpExchange.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

/** What a caller sends, and what comes back. */
struct CallerExchange
{
  std::string target;
  std::string body;
  std::string token = "crews-token";
  std::string deadline;
  unsigned status = 0;
  std::string answer;
  std::string outcome;
};

Task<void>
Play(DaemonHarness& aWorld, Endpoint aServer, CallerExchange& aExchange)
{
  HttpRequest request =
    MakeRequest(http::verb::post, aExchange.target, aExchange.body);
  request.set(http::field::authorization, "Bearer " + aExchange.token);
  if (!aExchange.deadline.empty()) {
    request.set("Toucanshed-Deadline-Ms", aExchange.deadline);
  }
  const auto reply = co_await Fetch(
    aWorld.FirstWorker(), aServer, std::move(request), CallTimeouts{}, true);
  if (reply) {
    aExchange.status = reply->result_int();
    aExchange.answer = reply->body();
    aExchange.outcome = HeaderOf(*reply, "Toucanshed-Outcome");
  }
}

/** Sends to a daemon's callers' port; every answer here must say "not-run". */
CallerExchange
Sent(std::uint16_t aPort, CallerExchange aExchange)
{
  DaemonHarness world(aPort);
  HttpServer server(
    world.state.pool,
    HttpLimits{},
    [&](Worker& aWorker, const HttpRequest& aRequest, HttpResponder& aReply) {
      return HandleCaller(world.state, aWorker, aRequest, aReply);
    });
  REQUIRE(server.Listen(world.state.settings.callerEndpoint));
  world.Run(Play(world, world.state.settings.callerEndpoint, aExchange));
  CHECK(aExchange.outcome == "not-run");
  return aExchange;
}

bool
MentionsText(const CallerExchange& aExchange, const std::string& aText)
{
  return aExchange.answer.find(aText) != std::string::npos;
}

} // namespace

TEST_CASE("a caller without a known token gets 401")
{
  CallerExchange exchange;
  exchange.target = "/v1/chat/completions";
  exchange.token = "nobody";
  const CallerExchange got = Sent(21500, exchange);
  CHECK(got.status == 401);
  CHECK(MentionsText(got, "Authorization: given no token that is known"));
}

TEST_CASE("an unknown service or path gets 404 with the choices")
{
  CallerExchange exchange;
  exchange.target = "/v1/chat/completions";
  exchange.body = R"({"model":"other","messages":[{"content":"x"}]})";
  const CallerExchange model = Sent(21501, exchange);
  CHECK(model.status == 404);
  CHECK(MentionsText(model, "model: given \\\"other\\\""));
  exchange.target = "/v2/chat";
  const CallerExchange path = Sent(21502, exchange);
  CHECK(path.status == 404);
  CHECK(MentionsText(path, "/v1/chat/completions"));
}

TEST_CASE("an invalid body gets 400 that names the field")
{
  CallerExchange exchange;
  exchange.target = "/v1/chat/completions";
  exchange.body = R"({"model":"survey"})";
  const CallerExchange got = Sent(21503, exchange);
  CHECK(got.status == 400);
  CHECK(MentionsText(got, "messages: given nothing"));
}

TEST_CASE("a non-idempotent call without a key gets 400")
{
  CallerExchange exchange;
  exchange.target = "/svc/jobdesk/bookings";
  exchange.body = "{}";
  const CallerExchange got = Sent(21504, exchange);
  CHECK(got.status == 400);
  CHECK(MentionsText(got, "Idempotency-Key: given nothing"));
}

TEST_CASE("a deadline out of range gets 400")
{
  CallerExchange exchange;
  exchange.target = "/v1/chat/completions";
  exchange.deadline = "soon";
  const CallerExchange got = Sent(21505, exchange);
  CHECK(got.status == 400);
  CHECK(MentionsText(got, "milliseconds from 1 to 600000"));
}

TEST_CASE("an unknown id of accepted work gets 404")
{
  CallerExchange exchange;
  exchange.target = "/v1/accepted/w-none";
  CHECK(Sent(21506, exchange).status == 404);
}

} // namespace toucanshed::test
