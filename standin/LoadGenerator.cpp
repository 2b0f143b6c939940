#include "LoadGenerator.h"

#include "LoadHelpers.h"
#include "PlainServiceResponse.h"
#include "Tokens.h"
#include "edge/MessageFields.h"

#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <iostream>

namespace toucanshed::standin {

namespace json = boost::json;

namespace {

constexpr int kMaxTries = 6;
constexpr std::uint64_t kSharedPrefixes = 5;
constexpr std::chrono::milliseconds kPollInterval{ 100 };
constexpr std::chrono::seconds kAsyncDeadline{ 60 };
constexpr std::chrono::seconds kDrainDeadline{ 90 };

} // namespace

LoadGenerator::LoadGenerator(Worker& aWorker, LoadOptions aOptions)
  : worker(aWorker)
  , options(std::move(aOptions))
  , random(this->options.seed)
{
}

Task<CallResult<HttpResponse>>
LoadGenerator::SendRequest(HttpRequest aRequest)
{
  // Uses a new connection each time, so that the balancer distributes the
  // requests.
  auto response = co_await Fetch(this->worker,
                                 this->options.target,
                                 std::move(aRequest),
                                 ClientTimeouts(),
                                 true);
  co_return response;
}

LoadGenerator::Chat
LoadGenerator::MakeChat(std::uint64_t aNumber, bool aStream)
{
  Chat chat;
  chat.team = aNumber % 4 == 0 ? "estimators" : "crews";
  const std::uint64_t prefix = this->random.NextBelow(kSharedPrefixes);
  chat.prompt =
    RandomWords(prefix, 96) + "question " + std::to_string(this->options.seed) +
    "-" + std::to_string(aNumber) + " " + RandomWords(this->random.Next(), 8);
  chat.maxTokens = 8 + this->random.NextBelow(this->options.maxTokens - 8);
  const json::object message{ { "role", "user" }, { "content", chat.prompt } };
  const json::object body{ { "model", this->options.model },
                           { "stream", aStream },
                           { "max_tokens", chat.maxTokens },
                           { "messages", json::array{ message } } };
  chat.body = json::serialize(body);
  return chat;
}

HttpRequest
LoadGenerator::ChatRequest(const Chat& aChat) const
{
  HttpRequest request =
    MakeRequest(http::verb::post, "/v1/chat/completions", aChat.body);
  request.set(http::field::authorization, "Bearer " + aChat.team + "-token");
  if (!aChat.lastEventId.empty()) {
    request.set("Last-Event-ID", aChat.lastEventId);
  }
  return request;
}

LoadGenerator::Outcome
LoadGenerator::OutcomeOf(unsigned aStatus, const http::fields& aHeaders)
{
  const std::string outcome = HeaderOf(aHeaders, "Toucanshed-Outcome");
  if (aStatus == 200 && (outcome == "completed" || outcome.empty())) {
    return Outcome::eCompleted;
  }
  if (outcome == "not-run") {
    return Outcome::eNotRun;
  }
  return outcome == "may-have-run" ? Outcome::eMayHaveRun
                                   : Outcome::eInterrupted;
}

Task<void>
LoadGenerator::WaitRetryAfter(const http::fields& aHeaders)
{
  const std::string text = HeaderOf(aHeaders, "Retry-After");
  std::uint64_t seconds = 1;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  co_await Sleep(
    std::chrono::milliseconds(seconds * 1000 + this->random.NextBelow(200)));
}

void
LoadGenerator::CountOutcome(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::eCompleted:
      ++this->report.completed;
      break;
    case Outcome::eNotRun:
      ++this->report.refusedNotRun;
      break;
    case Outcome::eMayHaveRun:
      ++this->report.mayHaveRun;
      break;
    case Outcome::eInterrupted:
      ++this->report.failed;
      break;
  }
}

bool
LoadGenerator::ConsumeEvents(Chat& aChat, std::string& aBuffer, bool& aDone)
{
  auto end = aBuffer.find("\n\n");
  while (end != std::string::npos) {
    const std::string event = aBuffer.substr(0, end);
    aBuffer.erase(0, end + 2);
    end = aBuffer.find("\n\n");
    const auto idAt = event.find("id: ");
    const auto dataAt = event.find("data: ");
    if (dataAt == std::string::npos) {
      continue;
    }
    if (event.starts_with("event: error")) {
      aChat.streamError = true;
      continue;
    }
    const std::string data = event.substr(dataAt + 6);
    if (data == "[DONE]") {
      aDone = true;
      continue;
    }
    const std::string content = ContentOf(json::parse(data), "delta");
    if (content.empty()) {
      continue;
    }
    if (content != TokenAt(aChat.prompt, aChat.received)) {
      return false;
    }
    ++aChat.received;
    ++this->report.tokens;
    if (idAt == 0) {
      aChat.lastEventId = event.substr(4, event.find('\n') - 4);
    }
  }
  return true;
}

Task<LoadGenerator::Outcome>
LoadGenerator::TryStreamed(Chat& aChat)
{
  const auto start = std::chrono::steady_clock::now();
  auto last = start;
  HttpRequest request = this->ChatRequest(aChat);
  auto call = co_await HttpExchange::Open(this->worker,
                                          this->options.target,
                                          std::move(request),
                                          ClientTimeouts(),
                                          true);
  if (!call) {
    co_return Outcome::eInterrupted;
  }
  if (call->Status() != 200) {
    const Outcome outcome = this->OutcomeOf(call->Status(), call->Headers());
    if (outcome == Outcome::eNotRun) {
      co_await this->WaitRetryAfter(call->Headers());
    }
    co_return outcome;
  }
  std::string buffer;
  bool done = false;
  while (true) {
    auto chunk = co_await call->ReadChunk();
    if (!chunk) {
      co_return Outcome::eInterrupted;
    }
    if (!chunk->has_value()) {
      break;
    }
    buffer += **chunk;
    const std::uint64_t before = aChat.received;
    if (!this->ConsumeEvents(aChat, buffer, done)) {
      ++this->report.wrongAnswers;
      co_return Outcome::eMayHaveRun;
    }
    if (aChat.received > before) {
      TeamLatencies& times = this->report.teams[aChat.team];
      auto& list = before == 0 ? times.firstToken : times.tokenGap;
      list.push_back(MsSince(last));
      last = std::chrono::steady_clock::now();
    }
  }
  if (aChat.streamError) {
    co_return Outcome::eMayHaveRun;
  }
  if (!done) {
    co_return Outcome::eInterrupted;
  }
  if (aChat.received != aChat.maxTokens) {
    ++this->report.wrongAnswers;
  }
  co_return Outcome::eCompleted;
}

Task<LoadGenerator::Outcome>
LoadGenerator::TryBuffered(Chat& aChat)
{
  HttpRequest request = this->ChatRequest(aChat);
  auto response = co_await this->SendRequest(std::move(request));
  if (!response) {
    co_return Outcome::eInterrupted;
  }
  const Outcome outcome = this->OutcomeOf(response->result_int(), *response);
  if (outcome == Outcome::eCompleted) {
    const std::string text =
      ContentOf(json::parse(response->body()), "message");
    if (text != FullResponse(aChat.prompt, aChat.maxTokens)) {
      ++this->report.wrongAnswers;
    }
    this->report.tokens += aChat.maxTokens;
  }
  if (outcome == Outcome::eNotRun) {
    co_await this->WaitRetryAfter(*response);
  }
  co_return outcome;
}

Task<void>
LoadGenerator::RunChat(Chat aChat, bool aStream)
{
  Outcome outcome = Outcome::eInterrupted;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    if (tries > 0 && outcome == Outcome::eInterrupted) {
      ++this->report.resumedStreams;
      co_await Sleep(kPollInterval);
    }
    if (aStream) {
      outcome = co_await this->TryStreamed(aChat);
    } else {
      outcome = co_await this->TryBuffered(aChat);
    }
    if (outcome == Outcome::eCompleted || outcome == Outcome::eMayHaveRun) {
      break;
    }
  }
  this->CountOutcome(outcome);
}

Task<bool>
LoadGenerator::PollAsyncChat(const Chat& aChat, std::string aLocation)
{
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < kAsyncDeadline) {
    co_await Sleep(kPollInterval);
    HttpRequest request = MakeRequest(http::verb::get, aLocation);
    request.set(http::field::authorization, "Bearer " + aChat.team + "-token");
    auto response = co_await this->SendRequest(std::move(request));
    const bool ended =
      response && HeaderOf(*response, "Toucanshed-Outcome") == "completed";
    if (!ended) {
      continue;
    }
    const std::string text =
      ContentOf(json::parse(response->body()), "message");
    if (text != FullResponse(aChat.prompt, aChat.maxTokens)) {
      ++this->report.wrongAnswers;
    }
    this->report.tokens += aChat.maxTokens;
    co_return true;
  }
  co_return false;
}

Task<void>
LoadGenerator::RunAsyncChat(Chat aChat)
{
  Outcome outcome = Outcome::eInterrupted;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    HttpRequest request = this->ChatRequest(aChat);
    request.set("Prefer", "respond-async");
    auto response = co_await this->SendRequest(std::move(request));
    if (response && response->result_int() == 202) {
      const bool completed =
        co_await this->PollAsyncChat(aChat, HeaderOf(*response, "Location"));
      if (!completed) {
        ++this->report.lostAccepted;
      } else {
        ++this->report.completed;
      }
      co_return;
    }
    outcome = Outcome::eInterrupted;
    if (response) {
      outcome = this->OutcomeOf(response->result_int(), *response);
      co_await this->WaitRetryAfter(*response);
    } else {
      co_await Sleep(kPollInterval);
    }
  }
  this->CountOutcome(outcome);
}

Task<LoadGenerator::Outcome>
LoadGenerator::CallService(std::string aTarget, std::string aKey)
{
  const bool booking = !aKey.empty();
  const std::string body = booking ? "{\"crew\":7}" : "";
  HttpRequest request =
    MakeRequest(booking ? http::verb::post : http::verb::get, aTarget, body);
  request.set(http::field::authorization, "Bearer crews-token");
  if (booking) {
    request.set("Idempotency-Key", aKey);
  }
  auto response = co_await this->SendRequest(std::move(request));
  if (!response) {
    co_return Outcome::eInterrupted;
  }
  const Outcome outcome = this->OutcomeOf(response->result_int(), *response);
  const std::string path =
    aTarget.substr(std::string("/svc/" + this->options.service).size());
  if (outcome == Outcome::eCompleted &&
      response->body() != PlainServiceResponse(path, body)) {
    ++this->report.wrongAnswers;
  }
  if (outcome == Outcome::eNotRun) {
    co_await this->WaitRetryAfter(*response);
  }
  co_return outcome;
}

Task<void>
LoadGenerator::RunLookup(std::uint64_t aNumber)
{
  const std::string target =
    "/svc/" + this->options.service + "/jobs/" + std::to_string(aNumber);
  Outcome outcome = Outcome::eInterrupted;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    outcome = co_await this->CallService(target, {});
    if (outcome == Outcome::eCompleted) {
      break;
    }
  }
  this->CountOutcome(outcome);
}

Task<void>
LoadGenerator::RunBooking(std::uint64_t aNumber)
{
  const std::string target = "/svc/" + this->options.service + "/bookings";
  const std::string key = std::to_string(UnixSeconds()) + "-" +
                          std::to_string(this->options.seed) + "-" +
                          std::to_string(aNumber);
  Booking& booking = this->bookings[key];
  Outcome outcome = Outcome::eInterrupted;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    outcome = co_await this->CallService(target, key);
    booking.allNotRun = booking.allNotRun && outcome == Outcome::eNotRun;
    booking.anyCompleted =
      booking.anyCompleted || outcome == Outcome::eCompleted;
    if (outcome == Outcome::eCompleted || outcome == Outcome::eMayHaveRun) {
      break;
    }
  }
  this->CountOutcome(outcome);
}

Task<void>
LoadGenerator::RunPoisonRequest(std::uint64_t aNumber)
{
  Chat chat = this->MakeChat(aNumber, false);
  const json::object message{
    { "role", "user" }, { "content", "CRASH-THE-ENGINE " + chat.prompt }
  };
  const json::object body{ { "model", this->options.model },
                           { "max_tokens", 8 },
                           { "messages", json::array{ message } } };
  chat.body = json::serialize(body);
  for (int sends = 0; sends < 3; ++sends) {
    HttpRequest request = this->ChatRequest(chat);
    auto response = co_await this->SendRequest(std::move(request));
    if (response && this->OutcomeOf(response->result_int(), *response) ==
                      Outcome::eCompleted) {
      ++this->report.wrongAnswers;
    }
  }
}

Task<void>
LoadGenerator::RunRequest(std::uint64_t aNumber)
{
  ++this->report.sent;
  const std::uint64_t kind = this->random.NextBelow(20);
  if (kind < 11) {
    co_await this->RunChat(this->MakeChat(aNumber, true), true);
  } else if (kind < 13) {
    co_await this->RunChat(this->MakeChat(aNumber, false), false);
  } else if (kind < 14) {
    co_await this->RunAsyncChat(this->MakeChat(aNumber, false));
  } else if (kind < 17) {
    co_await this->RunLookup(aNumber);
  } else {
    co_await this->RunBooking(aNumber);
  }
  --this->outstanding;
}

Task<void>
LoadGenerator::CheckExecutions()
{
  std::map<std::string, std::uint64_t> executions;
  for (const Endpoint& service : this->options.serviceEndpoints) {
    HttpRequest request = MakeRequest(http::verb::get, "/counts");
    auto response = co_await Fetch(
      this->worker, service, std::move(request), ClientTimeouts(), true);
    if (!response) {
      std::cerr << "load: no counts from " << ToText(service) << "\n";
      continue;
    }
    const json::value counts = json::parse(response->body());
    for (const auto& [key, count] : counts.as_object()) {
      executions[std::string(key)] += count.to_number<std::uint64_t>();
    }
  }
  for (const auto& [key, booking] : this->bookings) {
    const std::uint64_t count = executions[key];
    this->report.doubledExecutions += count > 1 ? 1 : 0;
    this->report.falseNotRun += booking.allNotRun && count > 0 ? 1 : 0;
    this->report.missingExecutions +=
      booking.anyCompleted && count == 0 ? 1 : 0;
  }
}

Task<void>
LoadGenerator::Run()
{
  const auto start = std::chrono::steady_clock::now();
  const auto end = start + std::chrono::seconds(this->options.seconds);
  auto nextProgressAt = start + std::chrono::seconds(5);
  auto nextSendAt = start;
  std::uint64_t number = 0;
  while (nextSendAt < end) {
    const double wait =
      -std::log(1.0 - this->random.NextUnit()) / this->options.ratePerSecond;
    nextSendAt +=
      std::chrono::microseconds(static_cast<std::int64_t>(wait * 1e6));
    const auto now = std::chrono::steady_clock::now();
    if (nextSendAt > now) {
      co_await Sleep(std::chrono::duration_cast<std::chrono::milliseconds>(
        nextSendAt - now));
    }
    ++number;
    ++this->outstanding;
    this->worker.Spawn(this->RunRequest(number));
    if (this->options.poisonRequests > 0 && number % 40 == 0) {
      --this->options.poisonRequests;
      this->worker.Spawn(this->RunPoisonRequest(number));
    }
    if (std::chrono::steady_clock::now() > nextProgressAt) {
      nextProgressAt += std::chrono::seconds(5);
      std::cerr << "load: sent " << this->report.sent << " completed "
                << this->report.completed << " outstanding "
                << this->outstanding << "\n";
    }
  }
  const auto drainDeadline = std::chrono::steady_clock::now() + kDrainDeadline;
  while (this->outstanding > 0 &&
         std::chrono::steady_clock::now() < drainDeadline) {
    co_await Sleep(kPollInterval);
  }
  this->report.failed += this->outstanding;
  co_await this->CheckExecutions();
}

} // namespace toucanshed::standin
