#include "Engine.h"

#include "Tokens.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <unistd.h>

namespace toucanshed::standin {

namespace net = boost::asio;
namespace json = boost::json;

namespace {

/** A prompt that contains this text ends the process if the crash switch is on.
 */
constexpr std::string_view kCrashMarker = "CRASH-THE-ENGINE";
/** Tokens that a run generates before the pause of the pause_ms switch. */
constexpr std::uint64_t kTokensBeforePause = 4;

std::int64_t
IntegerOf(const json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

std::string
StringOf(const json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string()
           ? std::string(value->as_string())
           : std::string{};
}

json::object
ObjectOf(const std::string& aBody)
{
  boost::system::error_code error;
  const auto parsed = json::parse(aBody, error);
  return !error && parsed.is_object() ? parsed.as_object() : json::object{};
}

} // namespace

Engine::Engine(Worker& aWorker, EngineOptions aOptions)
  : worker(aWorker)
  , options(std::move(aOptions))
  , faults(this->options.seed)
  , cache(this->options.cacheBlocks)
  , incarnation(std::to_string(getpid()))
  , started(std::chrono::steady_clock::now())
{
  this->faults.Set(this->options.initialFault, 1);
  this->publishedLoad = json::serialize(this->CurrentLoad());
  this->worker.Spawn(this->PublishLoad());
}

Task<void>
Engine::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const std::string_view path = PathOf(aRequest.target());
  if (auto response = this->faults.HandleRequest(aRequest)) {
    this->publishedLoad = json::serialize(this->CurrentLoad());
    co_await aResponder.Send(std::move(*response));
    co_return;
  }
  if (path == "/generate") {
    co_await this->Generate(aRequest, aResponder);
    co_return;
  }
  HttpResponse response = MakeResponse(404, "{}\n");
  if (path == "/load") {
    response = MakeResponse(200, this->publishedLoad);
  } else if (path == "/health") {
    response = MakeResponse(200, "{}\n");
  } else if (path == "/cancel") {
    const std::string attempt = StringOf(ObjectOf(aRequest.body()), "attempt");
    if (this->activePrompts.count(attempt) != 0) {
      this->cancelled.insert(attempt);
    }
    response = MakeResponse(200, "{}\n");
  } else if (path == "/export") {
    response = this->Export(aRequest);
  } else if (path == "/import") {
    response = this->Import(aRequest);
  } else if (path == "/orders") {
    response = this->ApplyOrder(aRequest);
  } else if (path == "/cache-events") {
    response = this->CacheEvents(aRequest.target());
  }
  co_await aResponder.Send(std::move(response));
}

HttpResponse
Engine::Import(const HttpRequest& aRequest)
{
  if (this->faults.IsOn("refuse_import")) {
    return MakeResponse(409,
                        "{\"refused\":\"no memory for imported state\"}\n");
  }
  const json::object body = ObjectOf(aRequest.body());
  const std::string prompt = StringOf(body, "prompt");
  this->cache.Add(PrefixBlocks(prompt));
  this->importedTokens[prompt] =
    static_cast<std::uint64_t>(IntegerOf(body, "count"));
  return MakeResponse(200, "{}\n");
}

HttpResponse
Engine::Export(const HttpRequest& aRequest)
{
  const json::object body = ObjectOf(aRequest.body());
  const auto found = this->activePrompts.find(StringOf(body, "attempt"));
  if (found == this->activePrompts.end() ||
      this->faults.IsOn("refuse_export")) {
    return MakeResponse(409, "{\"refused\":\"no such state\"}\n");
  }
  const json::object state{ { "prompt", found->second },
                            { "count", IntegerOf(body, "count") } };
  return MakeResponse(200, json::serialize(state));
}

HttpResponse
Engine::ApplyOrder(const HttpRequest& aRequest)
{
  const json::object order = ObjectOf(aRequest.body());
  const auto fencing = static_cast<std::uint64_t>(IntegerOf(order, "fencing"));
  const bool outdated = fencing < this->highestFence;
  if (outdated && !this->faults.IsOn("ignore_fencing")) {
    return MakeResponse(409, "{\"refused\":\"old fencing number\"}\n");
  }
  this->highestFence = std::max(this->highestFence, fencing);
  const std::string version = StringOf(order, "load");
  if (!version.empty()) {
    this->options.version = version;
  }
  return MakeResponse(200, "{}\n");
}

HttpResponse
Engine::CacheEvents(std::string_view aTarget)
{
  const std::string after = QueryParamOf(aTarget, "after");
  std::uint64_t from = 0;
  std::from_chars(after.data(), after.data() + after.size(), from);
  json::array events;
  const std::uint64_t latest =
    this->cache.Events().empty() ? 0 : this->cache.Events().back().number;
  const auto delayedEvents =
    static_cast<std::uint64_t>(this->faults.Value("late_cache_events"));
  for (const auto& event : this->cache.Events()) {
    const bool withheld =
      delayedEvents > 0 && event.number + delayedEvents > latest;
    if (event.number <= from || withheld ||
        this->faults.ShouldInject("lose_cache_event_percent")) {
      continue;
    }
    events.push_back(json::object{ { "number", event.number },
                                   { "block", std::to_string(event.block) },
                                   { "added", event.added } });
  }
  return MakeResponse(200, json::serialize(events));
}

json::object
Engine::CurrentLoad() const
{
  return json::object{
    { "incarnation", this->incarnation },
    { "service", this->options.service },
    { "version", this->options.version },
    { "running", this->running },
    { "waiting", this->waiting.size() },
    { "slots", this->options.slots },
    { "leaving", this->faults.IsOn("leaving") },
    { "recomputed", this->totals.recomputedTokens },
    { "prompt_tokens", this->totals.promptTokens },
    { "generated", this->totals.generatedTokens },
  };
}

Task<void>
Engine::PublishLoad()
{
  while (true) {
    const auto lag =
      static_cast<std::uint64_t>(this->faults.Value("load_lag_ms"));
    co_await Sleep(
      std::chrono::milliseconds(this->options.loadReportIntervalMs + lag));
    this->publishedLoad = json::serialize(this->CurrentLoad());
  }
}

bool
Engine::IsDegraded() const
{
  const auto after = this->faults.Value("bad_after_s");
  const auto age = std::chrono::steady_clock::now() - this->started;
  if (age < std::chrono::seconds(after)) {
    return false;
  }
  const bool onlyUnderLoad = this->faults.IsOn("bad_under_load");
  return !onlyUnderLoad || this->running * 2 >= this->options.slots;
}

std::uint64_t
Engine::CurrentStepMs() const
{
  const auto slowPercent = this->faults.Value("slow_percent");
  const std::uint64_t base = this->options.decodeStepMs;
  return this->IsDegraded() && slowPercent > 0
           ? base * static_cast<std::uint64_t>(slowPercent) / 100
           : base;
}

Task<void>
Engine::AcquireSlot(std::int64_t aPriority)
{
  if (this->running < this->options.slots) {
    ++this->running;
    co_return;
  }
  auto timer = std::make_shared<net::steady_timer>(this->worker.context);
  timer->expires_at(std::chrono::steady_clock::time_point::max());
  const auto insertAt = std::find_if(
    this->waiting.begin(),
    this->waiting.end(),
    [&](const WaitingRequest& aOther) { return aOther.priority < aPriority; });
  this->waiting.insert(insertAt, WaitingRequest{ aPriority, timer });
  boost::system::error_code waitError;
  co_await timer->async_wait(
    net::redirect_error(net::use_awaitable, waitError));
}

void
Engine::ReleaseSlot()
{
  if (this->waiting.empty()) {
    --this->running;
    return;
  }
  this->waiting.front().wakeTimer->cancel();
  this->waiting.pop_front();
}

Task<void>
Engine::Prefill(const Job& aJob)
{
  const auto blocks = PrefixBlocks(aJob.prompt);
  const std::uint64_t cached = this->cache.MatchPrefix(blocks) * kWordsPerBlock;
  const std::uint64_t tokens = CountWords(aJob.prompt) + aJob.resumeFrom;
  std::uint64_t uncached = tokens > cached ? tokens - cached : 0;
  const auto state = this->importedTokens.find(aJob.prompt);
  if (state != this->importedTokens.end() && state->second >= aJob.resumeFrom) {
    uncached = 0;
    this->importedTokens.erase(state);
  }
  this->cache.Add(blocks);
  this->totals.promptTokens += tokens;
  this->totals.recomputedTokens += aJob.resumeFrom > 0 ? uncached : 0;
  std::uint64_t wait = uncached / this->options.prefillTokensPerMs;
  const auto slowPercent = this->faults.Value("slow_percent");
  if (this->IsDegraded() && slowPercent > 0) {
    wait = wait * static_cast<std::uint64_t>(slowPercent) / 100;
  }
  wait += static_cast<std::uint64_t>(this->faults.Value("delay_ms"));
  co_await Sleep(std::chrono::milliseconds(wait));
}

Task<void>
Engine::WaitWhileSilent(const Job& aJob)
{
  while (this->faults.TimesTurnedOn("silent") != aJob.silentCountAtArrival) {
    co_await Sleep(std::chrono::milliseconds(200));
    if (this->cancelled.count(aJob.attempt) != 0) {
      co_return;
    }
  }
}

Task<void>
Engine::Generate(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const json::object body = ObjectOf(aRequest.body());
  Job job;
  job.attempt = StringOf(body, "attempt");
  job.prompt = StringOf(body, "prompt");
  job.maxTokens = static_cast<std::uint64_t>(IntegerOf(body, "max_tokens"));
  job.priority = IntegerOf(body, "priority");
  job.resumeFrom = static_cast<std::uint64_t>(IntegerOf(body, "resume_from"));
  job.silentCountAtArrival = this->faults.TimesTurnedOn("silent");
  const bool crashes = this->faults.IsOn("crash") &&
                       job.prompt.find(kCrashMarker) != std::string::npos;
  if (this->faults.IsOn("leaving")) {
    co_await aResponder.Send(MakeResponse(503, "{\"refused\":\"leaving\"}\n"));
    co_return;
  }
  if (this->IsDegraded() && this->faults.ShouldInject("fail_percent")) {
    co_await aResponder.Send(MakeResponse(500, "{\"error\":\"internal\"}\n"));
    co_return;
  }
  this->activePrompts[job.attempt] = job.prompt;
  co_await this->AcquireSlot(job.priority);
  co_await this->Prefill(job);
  if (crashes) {
    _exit(3);
  }
  co_await this->StreamResponse(job, aResponder);
  this->ReleaseSlot();
  this->activePrompts.erase(job.attempt);
  this->cancelled.erase(job.attempt);
}

Task<bool>
Engine::StreamTokens(const Job& aJob, HttpResponder& aResponder)
{
  for (std::uint64_t i = aJob.resumeFrom; i < aJob.maxTokens; ++i) {
    co_await Sleep(std::chrono::milliseconds(this->CurrentStepMs()));
    if (i == aJob.resumeFrom + kTokensBeforePause) {
      co_await Sleep(std::chrono::milliseconds(this->faults.Value("pause_ms")));
    }
    co_await this->WaitWhileSilent(aJob);
    if (this->cancelled.count(aJob.attempt) != 0) {
      co_return false;
    }
    const json::object event{ { "attempt", aJob.attempt },
                              { "offset", i },
                              { "token", TokenAt(aJob.prompt, i) } };
    std::string line = json::serialize(event) + "\n";
    if (this->faults.ShouldInject("crossed_percent")) {
      const json::object other{ { "attempt", "another-attempt" },
                                { "offset", i },
                                { "token", "wrong " } };
      line = json::serialize(other) + "\n" + line;
    }
    if (this->faults.ShouldInject("doubled_percent")) {
      line += line;
    }
    if (this->faults.ShouldInject("cut_percent")) {
      co_return false;
    }
    ++this->totals.generatedTokens;
    if (!co_await aResponder.Write(line)) {
      co_return false;
    }
  }
  co_return true;
}

Task<void>
Engine::StreamResponse(Job aJob, HttpResponder& aResponder)
{
  co_await this->WaitWhileSilent(aJob);
  HttpResponse head = MakeResponse(200, {}, "application/x-ndjson");
  head.set("Engine-Version", this->options.version);
  head.set("Engine-Incarnation", this->incarnation);
  if (!co_await aResponder.Begin(std::move(head))) {
    co_return;
  }
  if (!co_await this->StreamTokens(aJob, aResponder)) {
    co_return;
  }
  const json::object finalEvent{ { "attempt", aJob.attempt },
                                 { "done", true },
                                 { "count", aJob.maxTokens } };
  co_await aResponder.Write(json::serialize(finalEvent) + "\n");
  co_await aResponder.End();
}

} // namespace toucanshed::standin
