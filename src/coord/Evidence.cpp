#include "Evidence.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** A stream's mean token gap counts while it runs from this many events on. */
constexpr std::uint64_t kMinEvents = 3;

double
InMillis(Millis aTime)
{
  return static_cast<double>(aTime.count());
}

void
CopyHistogram(const google::protobuf::RepeatedField<std::uint64_t>& aFrom,
              LatencyHistogram& aTo)
{
  const auto size =
    std::min(static_cast<std::size_t>(aFrom.size()), kLatencyBucketCount);
  std::copy_n(aFrom.begin(), size, aTo.begin());
}

/** Omits the empty buckets at the end. */
void
CopyHistogram(const LatencyHistogram& aFrom,
              google::protobuf::RepeatedField<std::uint64_t>& aTo)
{
  std::size_t used = kLatencyBucketCount;
  while (used > 0 && aFrom.at(used - 1) == 0) {
    --used;
  }
  for (std::size_t i = 0; i < used; ++i) {
    aTo.Add(aFrom.at(i));
  }
}

} // namespace

Tally&
Tally::operator+=(const Tally& aOther)
{
  this->requests += aOther.requests;
  this->errors += aOther.errors;
  for (std::size_t i = 0; i < kLatencyBucketCount; ++i) {
    this->firstToken.at(i) += aOther.firstToken.at(i);
    this->tokenGap.at(i) += aOther.tokenGap.at(i);
    this->unanswered.at(i) += aOther.unanswered.at(i);
  }
  return *this;
}

EvidenceTable::EvidenceTable(std::string aDaemonId)
  : daemonId(std::move(aDaemonId))
{
}

void
EvidenceTable::Observe(Position aRollout,
                       const VersionId& aVersion,
                       const Stratum& aStratum,
                       const Observation& aObservation)
{
  Tally& tally =
    this->tallies[Key{ aRollout, aVersion, aStratum, this->daemonId }].tally;
  ++tally.requests;
  tally.errors += aObservation.error ? 1 : 0;
  if (aObservation.firstTokenMs >= 0) {
    ++tally.firstToken.at(BucketOf(aObservation.firstTokenMs));
  }
  if (aObservation.meanGapMs >= 0) {
    ++tally.tokenGap.at(BucketOf(aObservation.meanGapMs));
  }
}

ObservedRequest
EvidenceTable::Start(Position aRollout,
                     const VersionId& aVersion,
                     const Stratum& aStratum,
                     TimePoint aNow)
{
  ++this->lastRequest.value;
  const Key key{ aRollout, aVersion, aStratum, this->daemonId };
  this->tallies.try_emplace(key);
  this->running.emplace(this->lastRequest, Running{ key, aNow });
  return this->lastRequest;
}

void
EvidenceTable::RecordFirstToken(ObservedRequest aRequest, TimePoint aNow)
{
  const auto found = this->running.find(aRequest);
  if (found == this->running.end() || found->second.firstTokenAt) {
    return;
  }
  found->second.firstTokenAt = aNow;
  Tally& tally = this->tallies[found->second.key].tally;
  ++tally.firstToken.at(BucketOf(InMillis(aNow - found->second.sentAt)));
}

void
EvidenceTable::RecordEvents(ObservedRequest aRequest, std::uint64_t aEvents)
{
  const auto found = this->running.find(aRequest);
  if (found != this->running.end()) {
    found->second.events = aEvents;
  }
}

void
EvidenceTable::Stop(ObservedRequest aRequest, bool aWasSent, TimePoint aNow)
{
  const auto found = this->running.find(aRequest);
  if (found == this->running.end()) {
    return;
  }
  if (aWasSent && !found->second.firstTokenAt) {
    found->second.AddTo(this->tallies[found->second.key].tally, aNow);
  }
  this->running.erase(found);
}

void
EvidenceTable::Running::AddTo(Tally& aTally, TimePoint aNow) const
{
  if (!this->firstTokenAt) {
    ++aTally.unanswered.at(BucketOf(InMillis(aNow - this->sentAt)));
    return;
  }
  if (this->events >= kMinEvents) {
    const double gap =
      InMillis(aNow - *this->firstTokenAt) / static_cast<double>(this->events);
    ++aTally.tokenGap.at(BucketOf(gap));
  }
}

Tally
EvidenceTable::WithRunning(const Key& aKey, Tally aTally, TimePoint aNow) const
{
  for (const auto& [number, request] : this->running) {
    if (request.key == aKey) {
      request.AddTo(aTally, aNow);
    }
  }
  return aTally;
}

Tally
EvidenceTable::RunningTally(Position aRollout,
                            const VersionId& aVersion,
                            TimePoint aNow) const
{
  Tally tally;
  for (const auto& [number, request] : this->running) {
    const bool counts =
      request.key.rollout == aRollout && request.key.version == aVersion;
    if (counts) {
      request.AddTo(tally, aNow);
    }
  }
  return tally;
}

void
EvidenceTable::Merge(const peer::Evidence& aEvidence)
{
  if (aEvidence.daemon() == this->daemonId) {
    return;
  }
  Tally tally;
  tally.requests = aEvidence.requests();
  tally.errors = aEvidence.errors();
  CopyHistogram(aEvidence.first_token(), tally.firstToken);
  CopyHistogram(aEvidence.token_gap(), tally.tokenGap);
  CopyHistogram(aEvidence.unanswered(), tally.unanswered);
  Counted& stored =
    this->tallies[Key{ Position{ aEvidence.move() },
                       VersionId{ aEvidence.version() },
                       Stratum{ aEvidence.step(), aEvidence.route() },
                       aEvidence.daemon() }];
  // Daemons of earlier builds state no revision.
  const bool hasMore = tally.requests > stored.tally.requests;
  const bool isLater = aEvidence.revision() > stored.revision ||
                       (aEvidence.revision() == stored.revision && hasMore);
  if (isLater) {
    stored = Counted{ tally, aEvidence.revision() };
  }
}

std::vector<peer::Evidence>
EvidenceTable::LocalEvidence(Position aRollout, TimePoint aNow) const
{
  std::vector<peer::Evidence> reports;
  for (auto entry = this->tallies.lower_bound(Key{ aRollout, {}, {}, {} });
       entry != this->tallies.end() && entry->first.rollout == aRollout;
       ++entry) {
    if (entry->first.daemon != this->daemonId) {
      continue;
    }
    const Tally tally =
      this->WithRunning(entry->first, entry->second.tally, aNow);
    peer::Evidence evidence;
    evidence.set_daemon(this->daemonId);
    evidence.set_move(aRollout.value);
    evidence.set_version(entry->first.version.value);
    evidence.set_route(entry->first.stratum.route);
    evidence.set_step(entry->first.stratum.step);
    evidence.set_requests(tally.requests);
    evidence.set_errors(tally.errors);
    CopyHistogram(tally.firstToken, *evidence.mutable_first_token());
    CopyHistogram(tally.tokenGap, *evidence.mutable_token_gap());
    CopyHistogram(tally.unanswered, *evidence.mutable_unanswered());
    evidence.set_revision(static_cast<std::uint64_t>(aNow.ms));
    reports.push_back(std::move(evidence));
  }
  return reports;
}

StratumTallies
EvidenceTable::Sum(Position aRollout,
                   const VersionId& aVersion,
                   TimePoint aNow) const
{
  StratumTallies sum;
  for (auto entry =
         this->tallies.lower_bound(Key{ aRollout, aVersion, {}, {} });
       entry != this->tallies.end() && entry->first.rollout == aRollout &&
       entry->first.version == aVersion;
       ++entry) {
    sum[entry->first.stratum] +=
      this->WithRunning(entry->first, entry->second.tally, aNow);
  }
  return sum;
}

void
EvidenceTable::Rename(Position aFrom, Position aTo)
{
  std::map<Key, Counted> renamed;
  for (auto& [key, counted] : this->tallies) {
    Key to = key;
    to.rollout = key.rollout == aFrom ? aTo : key.rollout;
    const auto [known, isNew] = renamed.try_emplace(std::move(to), counted);
    if (!isNew && counted.tally.requests > known->second.tally.requests) {
      known->second = counted;
    }
  }
  for (auto& [number, request] : this->running) {
    request.key.rollout =
      request.key.rollout == aFrom ? aTo : request.key.rollout;
  }
  this->tallies = std::move(renamed);
}

void
EvidenceTable::Erase(Position aRollout)
{
  std::erase_if(this->tallies, [&](const auto& aEntry) {
    return aEntry.first.rollout == aRollout;
  });
  std::erase_if(this->running, [&](const auto& aEntry) {
    return aEntry.second.key.rollout == aRollout;
  });
}

} // namespace toucanshed
