#include "edge/PeerSocket.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <zmq.hpp>

namespace toucanshed::test {
namespace {

PeerKeys
NewKeys()
{
  std::array<char, 41> publicKey{};
  std::array<char, 41> secretKey{};
  REQUIRE(zmq_curve_keypair(publicKey.data(), secretKey.data()) == 0);
  return PeerKeys{ publicKey.data(), secretKey.data() };
}

/** Waits until other threads make aCondition true, for at most 10 s. */
bool
WaitUntil(const std::function<bool()>& aCondition)
{
  constexpr int kMaxChecks = 1000;
  for (int i = 0; i < kMaxChecks && !aCondition(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return aCondition();
}

} // namespace

TEST_CASE("only peers with the shared key pair can send")
{
  // An intruder knows the port and its public key, but has a key pair of its
  // own. The handshake rejects it, and its message is never read. A peer with
  // the shared key pair can still send.
  const PeerKeys keys = NewKeys();
  std::atomic<int> fromPeer{ 0 };
  std::atomic<int> fromIntruder{ 0 };
  const std::string address = "127.77.0.4:21601";
  PeerSocket server(address, keys, [&](peer::Envelope aEnvelope) {
    ++(aEnvelope.from().id() == "friend" ? fromPeer : fromIntruder);
  });
  REQUIRE(server.Start());

  zmq::context_t context;
  zmq::socket_t intruder(context, zmq::socket_type::dealer);
  const PeerKeys otherKeys = NewKeys();
  intruder.set(zmq::sockopt::linger, 0);
  intruder.set(zmq::sockopt::curve_serverkey, keys.publicKey);
  intruder.set(zmq::sockopt::curve_publickey, otherKeys.publicKey);
  intruder.set(zmq::sockopt::curve_secretkey, otherKeys.secretKey);
  intruder.connect("tcp://" + address);
  peer::Envelope forged;
  forged.mutable_from()->set_id("intruder");
  intruder.send(zmq::buffer(forged.SerializeAsString()), zmq::send_flags::none);
  CHECK(WaitUntil([&] { return server.Traffic().rejectedHandshakes > 0; }));

  PeerSocket trusted("127.77.0.4:21602", keys, [](peer::Envelope) {});
  REQUIRE(trusted.Start());
  peer::Envelope envelope;
  envelope.mutable_from()->set_id("friend");
  trusted.Send(address, envelope);
  CHECK(WaitUntil([&] { return fromPeer > 0; }));
  CHECK(fromIntruder == 0);
}

} // namespace toucanshed::test
