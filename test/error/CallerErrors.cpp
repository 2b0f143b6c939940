#include "test/DaemonHarness.h"

#include "daemon/CallerApi.h"
#include "edge/HttpExchange.h"
#include "edge/MessageFields.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

/** A request of a caller and its response. */
struct CallerExchange
{
  std::string target;
  std::string body;
  std::string token = "crews-token";
  std::string deadline;
  unsigned status = 0;
  std::string responseBody;
  std::string outcome;
};

Task<void>
Exchange(DaemonHarness& aHarness, Endpoint aServer, CallerExchange& aExchange)
{
  HttpRequest request =
    MakeRequest(http::verb::post, aExchange.target, aExchange.body);
  request.set(http::field::authorization, "Bearer " + aExchange.token);
  if (!aExchange.deadline.empty()) {
    request.set("Toucanshed-Deadline-Ms", aExchange.deadline);
  }
  const auto response = co_await Fetch(
    aHarness.FirstWorker(), aServer, std::move(request), CallTimeouts{}, true);
  if (response) {
    aExchange.status = response->result_int();
    aExchange.responseBody = response->body();
    aExchange.outcome = HeaderOf(*response, "Toucanshed-Outcome");
  }
}

/** Sends a request to the callers' port of a daemon. Checks that the outcome is
 * "not-run". */
CallerExchange
SendExpectingNotRun(std::uint16_t aPort, CallerExchange aExchange)
{
  DaemonHarness harness(aPort);
  HttpServer server(
    harness.state.pool,
    HttpLimits{},
    [&](
      Worker& aWorker, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return HandleCaller(harness.state, aWorker, aRequest, aResponder);
    });
  REQUIRE(server.Listen(harness.state.settings.callerEndpoint));
  harness.Run(
    Exchange(harness, harness.state.settings.callerEndpoint, aExchange));
  CHECK(aExchange.outcome == "not-run");
  return aExchange;
}

bool
MentionsText(const CallerExchange& aExchange, const std::string& aText)
{
  return aExchange.responseBody.find(aText) != std::string::npos;
}

} // namespace

TEST_CASE("a caller without a known token gets 401")
{
  CallerExchange exchange;
  exchange.target = "/v1/chat/completions";
  exchange.token = "nobody";
  const CallerExchange result = SendExpectingNotRun(21500, exchange);
  CHECK(result.status == 401);
  CHECK(MentionsText(result, "Authorization: given no token that is known"));
}

TEST_CASE("an unknown service or path gets 404 with the choices")
{
  CallerExchange exchange;
  exchange.target = "/v1/chat/completions";
  exchange.body = R"({"model":"other","messages":[{"content":"x"}]})";
  const CallerExchange model = SendExpectingNotRun(21501, exchange);
  CHECK(model.status == 404);
  CHECK(MentionsText(model, "model: given \\\"other\\\""));
  exchange.target = "/v2/chat";
  const CallerExchange path = SendExpectingNotRun(21502, exchange);
  CHECK(path.status == 404);
  CHECK(MentionsText(path, "/v1/chat/completions"));
}

TEST_CASE("an invalid body gets 400 that names the field")
{
  CallerExchange exchange;
  exchange.target = "/v1/chat/completions";
  exchange.body = R"({"model":"survey"})";
  const CallerExchange result = SendExpectingNotRun(21503, exchange);
  CHECK(result.status == 400);
  CHECK(MentionsText(result, "messages: given nothing"));
}

TEST_CASE("a non-idempotent call without a key gets 400")
{
  CallerExchange exchange;
  exchange.target = "/svc/jobdesk/bookings";
  exchange.body = "{}";
  const CallerExchange result = SendExpectingNotRun(21504, exchange);
  CHECK(result.status == 400);
  CHECK(MentionsText(result, "Idempotency-Key: given nothing"));
}

TEST_CASE("a deadline out of range gets 400")
{
  CallerExchange exchange;
  exchange.target = "/v1/chat/completions";
  exchange.deadline = "soon";
  const CallerExchange result = SendExpectingNotRun(21505, exchange);
  CHECK(result.status == 400);
  CHECK(MentionsText(result, "milliseconds from 1 to 600000"));
}

TEST_CASE("an unknown id of accepted work gets 404")
{
  CallerExchange exchange;
  exchange.target = "/v1/accepted/w-none";
  CHECK(SendExpectingNotRun(21506, exchange).status == 404);
}

} // namespace toucanshed::test
