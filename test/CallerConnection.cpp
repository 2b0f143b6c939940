#include "CallerConnection.h"

#include <chrono>
#include <sstream>
#include <stdexcept>

namespace toucanshed::test {

namespace {

constexpr std::chrono::seconds kPatience{ 30 };

} // namespace

CallerConnection::CallerConnection(const Endpoint& aServer)
{
  this->stream.expires_after(kPatience);
  this->stream.connect(aServer);
  if (!this->stream) {
    throw std::runtime_error("cannot connect to " + ToText(aServer));
  }
}

void
CallerConnection::Send(const std::string& aText)
{
  this->stream << aText << std::flush;
}

std::string
CallerConnection::Receive()
{
  this->stream.expires_after(kPatience);
  std::ostringstream text;
  text << this->stream.rdbuf();
  return text.str();
}

} // namespace toucanshed::test
