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

/** Waits for what other threads bring about; a bound, not a measurement. */
bool
WaitUntil(const std::function<bool()>& aHolds)
{
  constexpr int kMostLooks = 1000;
  for (int i = 0; i < kMostLooks && !aHolds(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return aHolds();
}

} // namespace

TEST_CASE("only peers with the shared key pair can send")
{
  // An intruder knows the port and even its public key, but holds a key pair
  // of its own. It is refused at the handshake, and its message is never read;
  // a peer with the right pair is heard all the while.
  const PeerKeys keys = NewKeys();
  std::atomic<int> heard{ 0 };
  std::atomic<int> intruded{ 0 };
  const std::string address = "127.77.0.4:21601";
  PeerSocket server(address, keys, [&](peer::Envelope aEnvelope) {
    ++(aEnvelope.from().id() == "friend" ? heard : intruded);
  });
  REQUIRE(server.Start());

  zmq::context_t context;
  zmq::socket_t intruder(context, zmq::socket_type::dealer);
  const PeerKeys other = NewKeys();
  intruder.set(zmq::sockopt::linger, 0);
  intruder.set(zmq::sockopt::curve_serverkey, keys.publicKey);
  intruder.set(zmq::sockopt::curve_publickey, other.publicKey);
  intruder.set(zmq::sockopt::curve_secretkey, other.secretKey);
  intruder.connect("tcp://" + address);
  peer::Envelope lie;
  lie.mutable_from()->set_id("intruder");
  intruder.send(zmq::buffer(lie.SerializeAsString()), zmq::send_flags::none);
  CHECK(WaitUntil([&] { return server.Traffic().rejectedHandshakes > 0; }));

  PeerSocket friendly("127.77.0.4:21602", keys, [](peer::Envelope) {});
  REQUIRE(friendly.Start());
  peer::Envelope hello;
  hello.mutable_from()->set_id("friend");
  friendly.Send(address, hello);
  CHECK(WaitUntil([&] { return heard > 0; }));
  CHECK(intruded == 0);
}

} // namespace toucanshed::test
