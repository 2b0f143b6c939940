#include "PeerSocket.h"

#include <array>
#include <map>
#include <mutex>
#include <zmq.hpp>

namespace toucanshed {

namespace {

/** Maximum number of messages queued for one peer; further ones are dropped. */
constexpr int kSendHighWaterMark = 200;
/** Maximum number of open connections to peers. Beyond it, the least recently
 * used one is closed. */
constexpr std::size_t kMaxConnections = 64;
constexpr const char* kSendQueueAddress = "inproc://toucanshed.peer.wake";
constexpr const char* kZapAddress = "inproc://zeromq.zap.01";

} // namespace

struct PeerSocket::Sockets
{
  struct Connection
  {
    zmq::socket_t socket;
    std::uint64_t lastUse = 0;
  };

  zmq::context_t context{ 1 };
  zmq::socket_t incoming{ context, zmq::socket_type::router };
  zmq::socket_t sendQueueOutput{ context, zmq::socket_type::pull };
  zmq::socket_t auth{ context, zmq::socket_type::rep };
  /** Guards sendQueueInput, as Send runs on any thread. */
  std::mutex sendQueueMutex;
  zmq::socket_t sendQueueInput{ context, zmq::socket_type::push };
  std::map<std::string, Connection> outgoing;
  std::uint64_t useCounter = 0;
  bool stopping = false;

  zmq::socket_t& SocketFor(const std::string& aAddress, const PeerKeys& aKeys);
  void Authenticate(const PeerKeys& aKeys, PeerTraffic& aTraffic);
};

zmq::socket_t&
PeerSocket::Sockets::SocketFor(const std::string& aAddress,
                               const PeerKeys& aKeys)
{
  auto found = this->outgoing.find(aAddress);
  if (found == this->outgoing.end()) {
    if (this->outgoing.size() >= kMaxConnections) {
      this->outgoing.erase(
        std::min_element(this->outgoing.begin(),
                         this->outgoing.end(),
                         [](const auto& aLeft, const auto& aRight) {
                           return aLeft.second.lastUse < aRight.second.lastUse;
                         }));
    }
    zmq::socket_t socket(this->context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kSendHighWaterMark);
    socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
    if (!aKeys.publicKey.empty()) {
      socket.set(zmq::sockopt::curve_serverkey, aKeys.publicKey);
      socket.set(zmq::sockopt::curve_publickey, aKeys.publicKey);
      socket.set(zmq::sockopt::curve_secretkey, aKeys.secretKey);
    }
    socket.connect("tcp://" + aAddress);
    found = this->outgoing.emplace(aAddress, Connection{ std::move(socket), 0 })
              .first;
  }
  found->second.lastUse = ++this->useCounter;
  return found->second.socket;
}

void
PeerSocket::Sockets::Authenticate(const PeerKeys& aKeys, PeerTraffic& aTraffic)
{
  // ZAP (ZeroMQ RFC 27): version, request id, domain, address, identity,
  // mechanism, then the client's public key in binary.
  constexpr std::size_t kIdFrame = 1;
  constexpr std::size_t kKeyFrame = 6;
  std::vector<std::string> frames;
  bool more = true;
  while (more) {
    zmq::message_t frame;
    if (!this->auth.recv(frame, zmq::recv_flags::dontwait)) {
      return;
    }
    frames.push_back(frame.to_string());
    more = frame.more();
  }
  std::array<char, 41> text{};
  const bool known =
    frames.size() > kKeyFrame && frames[kKeyFrame].size() == 32 &&
    zmq_z85_encode(
      text.data(),
      reinterpret_cast<const std::uint8_t*>(frames[kKeyFrame].data()),
      frames[kKeyFrame].size()) != nullptr &&
    aKeys.publicKey == text.data();
  aTraffic.rejectedHandshakes += known ? 0 : 1;
  const std::string id = frames.size() > kIdFrame ? frames[kIdFrame] : "";
  const std::array<std::string, 6> response{
    "1.0", id, known ? "200" : "400", known ? "OK" : "unknown key", "", ""
  };
  for (std::size_t i = 0; i < response.size(); ++i) {
    const auto flags = i + 1 < response.size() ? zmq::send_flags::sndmore
                                               : zmq::send_flags::none;
    this->auth.send(zmq::buffer(response.at(i)), flags);
  }
}

PeerSocket::PeerSocket(std::string aAddress, PeerKeys aKeys, Receiver aReceiver)
  : address(std::move(aAddress))
  , keys(std::move(aKeys))
  , receiver(std::move(aReceiver))
  , sockets(std::make_unique<Sockets>())
{
}

PeerSocket::~PeerSocket()
{
  this->Stop();
}

Result<void>
PeerSocket::Start()
{
  Sockets& all = *this->sockets;
  try {
    all.incoming.set(zmq::sockopt::linger, 0);
    if (!this->keys.publicKey.empty()) {
      all.auth.bind(kZapAddress);
      all.incoming.set(zmq::sockopt::zap_domain, "peers");
      all.incoming.set(zmq::sockopt::curve_server, 1);
      all.incoming.set(zmq::sockopt::curve_secretkey, this->keys.secretKey);
    }
    all.incoming.bind("tcp://" + this->address);
    all.sendQueueOutput.bind(kSendQueueAddress);
    all.sendQueueInput.connect(kSendQueueAddress);
  } catch (const zmq::error_t& error) {
    return Fail(ErrorCode::eUnavailable,
                "peer port " + this->address + ": " + error.what());
  }
  this->thread = std::thread([this] { this->Run(); });
  return {};
}

void
PeerSocket::Stop()
{
  if (!this->thread.joinable()) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->sockets->sendQueueMutex);
    this->sockets->sendQueueInput.send(zmq::str_buffer("stop"),
                                       zmq::send_flags::none);
  }
  this->thread.join();
}

void
PeerSocket::Send(const std::string& aAddress, const peer::Envelope& aEnvelope)
{
  const std::string bytes = aEnvelope.SerializeAsString();
  const std::lock_guard<std::mutex> lock(this->sockets->sendQueueMutex);
  this->sockets->sendQueueInput.send(zmq::buffer(aAddress),
                                     zmq::send_flags::sndmore);
  this->sockets->sendQueueInput.send(zmq::buffer(bytes), zmq::send_flags::none);
}

void
PeerSocket::Run()
{
  Sockets& all = *this->sockets;
  std::array<zmq::pollitem_t, 3> items{ {
    { all.incoming.handle(), 0, ZMQ_POLLIN, 0 },
    { all.sendQueueOutput.handle(), 0, ZMQ_POLLIN, 0 },
    { all.auth.handle(), 0, ZMQ_POLLIN, 0 },
  } };
  while (!all.stopping) {
    zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      zmq::message_t identity;
      zmq::message_t body;
      const bool complete =
        all.incoming.recv(identity, zmq::recv_flags::dontwait) &&
        identity.more() && all.incoming.recv(body);
      peer::Envelope envelope;
      if (complete &&
          envelope.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        ++this->traffic.messagesReceived;
        this->traffic.bytesReceived += body.size();
        this->receiver(std::move(envelope));
      }
    }
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
      zmq::message_t destination;
      zmq::message_t body;
      static_cast<void>(all.sendQueueOutput.recv(destination));
      all.stopping = !destination.more();
      if (!all.stopping && all.sendQueueOutput.recv(body)) {
        ++this->traffic.messagesSent;
        this->traffic.bytesSent += body.size();
        all.SocketFor(destination.to_string(), this->keys)
          .send(body, zmq::send_flags::dontwait);
      }
    }
    if ((items[2].revents & ZMQ_POLLIN) != 0) {
      all.Authenticate(this->keys, this->traffic);
    }
  }
}

} // namespace toucanshed
