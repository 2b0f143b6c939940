#include "Evidence.h"

#include <algorithm>

namespace toucanshed {

namespace {

void
Fill(const google::protobuf::RepeatedField<std::uint64_t>& aFrom,
     LatencyHistogram& aTo)
{
  const auto size =
    std::min(static_cast<std::size_t>(aFrom.size()), kLatencyBucketCount);
  std::copy_n(aFrom.begin(), size, aTo.begin());
}

/** Trailing empty buckets are not sent. */
void
Fill(const LatencyHistogram& aFrom,
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

EvidenceTable::EvidenceTable(std::string aSelf)
  : daemonId(std::move(aSelf))
{
}

void
EvidenceTable::Observe(Position aMove,
                       const VersionId& aVersion,
                       const Stratum& aStratum,
                       const Observation& aObservation)
{
  Tally& tally =
    this->tallies[Key{ aMove, aVersion, aStratum, this->daemonId }];
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
  Fill(aEvidence.first_token(), tally.firstToken);
  Fill(aEvidence.token_gap(), tally.tokenGap);
  Tally& known =
    this->tallies[Key{ Position{ aEvidence.move() },
                       VersionId{ aEvidence.version() },
                       Stratum{ aEvidence.step(), aEvidence.route() },
                       aEvidence.daemon() }];
  if (tally.requests > known.requests) {
    known = tally;
  }
}

std::vector<peer::Evidence>
EvidenceTable::LocalEvidence(Position aMove) const
{
  std::vector<peer::Evidence> own;
  for (auto entry = this->tallies.lower_bound(Key{ aMove, {}, {}, {} });
       entry != this->tallies.end() && entry->first.rollout == aMove;
       ++entry) {
    if (entry->first.daemon != this->daemonId) {
      continue;
    }
    peer::Evidence evidence;
    evidence.set_daemon(this->daemonId);
    evidence.set_move(aMove.value);
    evidence.set_version(entry->first.version.value);
    evidence.set_route(entry->first.stratum.route);
    evidence.set_step(entry->first.stratum.step);
    evidence.set_requests(entry->second.requests);
    evidence.set_errors(entry->second.errors);
    Fill(entry->second.firstToken, *evidence.mutable_first_token());
    Fill(entry->second.tokenGap, *evidence.mutable_token_gap());
    own.push_back(std::move(evidence));
  }
  return own;
}

StratumTallies
EvidenceTable::Sum(Position aMove, const VersionId& aVersion) const
{
  StratumTallies sum;
  for (auto entry = this->tallies.lower_bound(Key{ aMove, aVersion, {}, {} });
       entry != this->tallies.end() && entry->first.rollout == aMove &&
       entry->first.version == aVersion;
       ++entry) {
    sum[entry->first.stratum] += entry->second;
  }
  return sum;
}

void
EvidenceTable::Erase(Position aMove)
{
  std::erase_if(this->tallies,
                [&](const auto& aEntry) { return aEntry.first.rollout == aMove; });
}

} // namespace toucanshed
