#include "ClientLimits.h"

#include <algorithm>

namespace toucanshed {

namespace {

// Parts of the memory, in per cent.
constexpr std::size_t kRequestPercent = 30;
constexpr std::size_t kResponsePercent = 18;
constexpr std::size_t kFetchPercent = 10;
constexpr std::size_t kConnectionPercent = 12;
/** Of the responses, whatever the machine has. */
constexpr std::size_t kMaxResponseBytes = std::size_t{ 48 } << 20U;
/** Memory of a connection between two requests. */
constexpr std::size_t kConnectionBytes = std::size_t{ 12 } << 10U;
/** Listening sockets, event loops, and connections that are being closed. */
constexpr std::size_t kOwnDescriptors = 40;
/** Of the other descriptors, those for clients. The rest is for calls. */
constexpr std::size_t kConnectionDescriptorPercent = 60;
constexpr std::size_t kMinConnections = 8;

std::size_t
PercentOf(std::size_t aPercent, std::size_t aWhole)
{
  constexpr std::size_t kHundred = 100;
  return aWhole / kHundred * aPercent + aWhole % kHundred * aPercent / kHundred;
}

} // namespace

ClientLimits
ClientLimits::Of(const MachineLimits& aMachine)
{
  const std::size_t descriptors =
    std::max(aMachine.descriptors, kOwnDescriptors + 2 * kMinConnections) -
    kOwnDescriptors;
  ClientLimits limits;
  limits.requestBytes = PercentOf(kRequestPercent, aMachine.memoryBytes);
  limits.responseBytes = std::min(
    kMaxResponseBytes, PercentOf(kResponsePercent, aMachine.memoryBytes));
  limits.fetchBytes =
    std::min(kMaxResponseBytes, PercentOf(kFetchPercent, aMachine.memoryBytes));
  limits.connections = std::min(
    PercentOf(kConnectionDescriptorPercent, descriptors),
    PercentOf(kConnectionPercent, aMachine.memoryBytes) / kConnectionBytes);
  limits.calls =
    descriptors - PercentOf(kConnectionDescriptorPercent, descriptors);
  return limits;
}

} // namespace toucanshed
