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

std::string
CallerConnection::ReceiveLine(std::string& aText)
{
  std::string line;
  std::getline(this->stream, line);
  aText += line;
  if (!this->stream.eof()) {
    aText += '\n';
  }
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

void
CallerConnection::ReceiveBytes(std::size_t aBytes, std::string& aText)
{
  std::string bytes(aBytes, '\0');
  this->stream.read(bytes.data(), static_cast<std::streamsize>(aBytes));
  bytes.resize(static_cast<std::size_t>(this->stream.gcount()));
  aText += bytes;
}

std::string
CallerConnection::ReceiveOne()
{
  const std::string lengthName = "Content-Length: ";
  constexpr int kHexadecimal = 16;
  constexpr std::size_t kLineEnd = 2;
  this->stream.expires_after(kPatience);
  std::string text;
  std::size_t length = 0;
  bool chunked = false;
  std::string line = this->ReceiveLine(text);
  while (this->stream && !line.empty()) {
    if (line.starts_with(lengthName)) {
      length = std::stoul(line.substr(lengthName.size()));
    }
    chunked = chunked || line == "Transfer-Encoding: chunked";
    line = this->ReceiveLine(text);
  }
  while (this->stream && chunked) {
    length = std::stoul("0" + this->ReceiveLine(text), nullptr, kHexadecimal);
    chunked = length > 0;
    this->ReceiveBytes(length + kLineEnd, text);
    length = 0;
  }
  if (this->stream && length > 0) {
    this->ReceiveBytes(length, text);
  }
  return text;
}

} // namespace toucanshed::test
