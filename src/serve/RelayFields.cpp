#include "RelayFields.h"

#include "edge/MessageFields.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace toucanshed {

namespace {

constexpr const char* kFromField = "Toucanshed-Relay-From";
constexpr const char* kTimeLeftField = "Toucanshed-Relay-Time-Left";
constexpr const char* kCatalogField = "Toucanshed-Relay-Catalog";
constexpr const char* kResumeAfterField = "Toucanshed-Relay-Resume-After";
constexpr const char* kOutcomeField = "Toucanshed-Relay-Outcome";
constexpr const char* kSendsField = "Toucanshed-Relay-Sends";
constexpr const char* kRetryAfterField = "Toucanshed-Relay-Retry-After";
constexpr const char* kRefused = "refused";
constexpr const char* kNotRun = "not-run";
constexpr const char* kMayHaveRun = "may-have-run";
/** Longer than any request runs. */
constexpr std::uint64_t kMaxTimeMs = 24ULL * 3600 * 1000;

const char*
ToText(RelayOutcome::Kind aKind)
{
  switch (aKind) {
    case RelayOutcome::Kind::eRefused:
      return kRefused;
    case RelayOutcome::Kind::eNotRun:
      return kNotRun;
    case RelayOutcome::Kind::eMayHaveRun:
      return kMayHaveRun;
  }
  return "";
}

RelayOutcome::Kind
KindOf(const std::string& aText)
{
  if (aText == kRefused) {
    return RelayOutcome::Kind::eRefused;
  }
  return aText == kNotRun ? RelayOutcome::Kind::eNotRun
                          : RelayOutcome::Kind::eMayHaveRun;
}

std::optional<std::uint64_t>
NumberOf(const http::fields& aFields, const char* aName)
{
  const std::string text = HeaderOf(aFields, aName);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  const bool complete = read.ec == std::errc{} && read.ptr == end;
  return complete ? std::optional(number) : std::nullopt;
}

} // namespace

void
WriteRelayTerms(const RelayTerms& aTerms, HttpRequest& aRequest)
{
  SetField(aRequest, kFromField, aTerms.from.value);
  SetField(aRequest, kTimeLeftField, std::to_string(aTerms.timeLeft.count()));
  SetField(aRequest, kCatalogField, std::to_string(aTerms.catalogVersion));
  EraseField(aRequest, kResumeAfterField);
  if (aTerms.resumeAfter) {
    SetField(aRequest, kResumeAfterField, std::to_string(*aTerms.resumeAfter));
  }
}

Result<RelayTerms>
TakeRelayTerms(HttpRequest& aRequest)
{
  RelayTerms terms;
  terms.from = DaemonId{ HeaderOf(aRequest, kFromField) };
  const auto timeLeft = NumberOf(aRequest, kTimeLeftField);
  const auto catalog = NumberOf(aRequest, kCatalogField);
  terms.resumeAfter = NumberOf(aRequest, kResumeAfterField);
  for (const char* name :
       { kFromField, kTimeLeftField, kCatalogField, kResumeAfterField }) {
    EraseField(aRequest, name);
  }
  if (terms.from.Empty() || !timeLeft || !catalog) {
    return Fail(ErrorCode::eInvalid, "no relayed request");
  }
  terms.timeLeft =
    Millis(static_cast<std::int64_t>(std::min(*timeLeft, kMaxTimeMs)));
  terms.catalogVersion = *catalog;
  return terms;
}

void
WriteRelayOutcome(const RelayOutcome& aOutcome, HttpResponse& aResponse)
{
  aResponse.set(kOutcomeField, ToText(aOutcome.kind));
  aResponse.set(kSendsField, std::to_string(aOutcome.sends));
  if (aOutcome.retryAfter) {
    aResponse.set(kRetryAfterField,
                  std::to_string(aOutcome.retryAfter->count()));
  }
}

std::optional<RelayOutcome>
ReadRelayOutcome(const http::fields& aFields)
{
  const std::string text = HeaderOf(aFields, kOutcomeField);
  if (text.empty()) {
    return std::nullopt;
  }
  RelayOutcome outcome;
  outcome.kind = KindOf(text);
  outcome.sends =
    static_cast<unsigned>(NumberOf(aFields, kSendsField).value_or(1));
  if (const auto wait = NumberOf(aFields, kRetryAfterField)) {
    outcome.retryAfter =
      Millis(static_cast<std::int64_t>(std::min(*wait, kMaxTimeMs)));
  }
  return outcome;
}

void
EraseRelayOutcome(HttpResponse& aResponse)
{
  EraseField(aResponse, kOutcomeField);
  EraseField(aResponse, kSendsField);
  EraseField(aResponse, kRetryAfterField);
}

} // namespace toucanshed
