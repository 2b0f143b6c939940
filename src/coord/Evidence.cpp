#include "Evidence.h"

#include <algorithm>

namespace toucanshed {

namespace {

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
    this->tallies[Key{ aRollout, aVersion, aStratum, this->daemonId }];
  ++tally.requests;
  tally.errors += aObservation.error ? 1 : 0;
  if (aObservation.firstTokenMs >= 0) {
    ++tally.firstToken.at(BucketOf(aObservation.firstTokenMs));
  }
  if (aObservation.meanGapMs >= 0) {
    ++tally.tokenGap.at(BucketOf(aObservation.meanGapMs));
  }
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
  Tally& stored =
    this->tallies[Key{ Position{ aEvidence.move() },
                       VersionId{ aEvidence.version() },
                       Stratum{ aEvidence.step(), aEvidence.route() },
                       aEvidence.daemon() }];
  if (tally.requests > stored.requests) {
    stored = tally;
  }
}

std::vector<peer::Evidence>
EvidenceTable::LocalEvidence(Position aRollout) const
{
  std::vector<peer::Evidence> reports;
  for (auto entry = this->tallies.lower_bound(Key{ aRollout, {}, {}, {} });
       entry != this->tallies.end() && entry->first.rollout == aRollout;
       ++entry) {
    if (entry->first.daemon != this->daemonId) {
      continue;
    }
    peer::Evidence evidence;
    evidence.set_daemon(this->daemonId);
    evidence.set_move(aRollout.value);
    evidence.set_version(entry->first.version.value);
    evidence.set_route(entry->first.stratum.route);
    evidence.set_step(entry->first.stratum.step);
    evidence.set_requests(entry->second.requests);
    evidence.set_errors(entry->second.errors);
    CopyHistogram(entry->second.firstToken, *evidence.mutable_first_token());
    CopyHistogram(entry->second.tokenGap, *evidence.mutable_token_gap());
    reports.push_back(std::move(evidence));
  }
  return reports;
}

StratumTallies
EvidenceTable::Sum(Position aRollout, const VersionId& aVersion) const
{
  StratumTallies sum;
  for (auto entry =
         this->tallies.lower_bound(Key{ aRollout, aVersion, {}, {} });
       entry != this->tallies.end() && entry->first.rollout == aRollout &&
       entry->first.version == aVersion;
       ++entry) {
    sum[entry->first.stratum] += entry->second;
  }
  return sum;
}

void
EvidenceTable::Rename(Position aFrom, Position aTo)
{
  std::map<Key, Tally> renamed;
  for (auto& [key, tally] : this->tallies) {
    Key to = key;
    to.rollout = key.rollout == aFrom ? aTo : key.rollout;
    Tally& known = renamed[std::move(to)];
    if (tally.requests > known.requests) {
      known = tally;
    }
  }
  this->tallies = std::move(renamed);
}

void
EvidenceTable::Erase(Position aRollout)
{
  std::erase_if(this->tallies, [&](const auto& aEntry) {
    return aEntry.first.rollout == aRollout;
  });
}

} // namespace toucanshed
