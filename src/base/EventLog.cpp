#include "EventLog.h"

#include "LogWriter.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/make_shared.hpp>

namespace toucanshed {

namespace {

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string
Quoted(std::string_view aValue)
{
  std::string text = "\"";
  for (const char character : aValue) {
    if (character == '\n' || character == '\r' || character == '\t') {
      text += ' ';
      continue;
    }
    if (character == '"' || character == '\\') {
      text += '\\';
    }
    text += character;
  }
  return text + "\"";
}

} // namespace

Event::Event(std::string_view aName)
  : text("event=" + std::string(aName))
{
}

Event&&
Event::With(std::string_view aKey, std::string_view aValue) &&
{
  this->text += ' ';
  this->text += aKey;
  this->text += '=';
  this->text += NeedsQuotes(aValue) ? Quoted(aValue) : std::string(aValue);
  return std::move(*this);
}

EventLog::EventLog(std::string aProcess, std::function<TimePoint()> aNow)
  : processName(std::move(aProcess))
  , now(std::move(aNow))
{
}

void
EventLog::Emit(const Event& aEvent)
{
  const HybridTimestamp timestamp = this->clock.Next(this->now());
  std::string line = "at=" + ToText(timestamp) +
                     " process=" + this->processName + " " + aEvent.Text();
  BOOST_LOG_TRIVIAL(info) << line;
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->lines.push_back(std::move(line));
  ++this->latestNumber;
  if (this->lines.size() > kMaxLines) {
    this->lines.pop_front();
  }
}

EventLog::Page
EventLog::LinesAfter(std::uint64_t aAfter)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  Page page;
  page.latestNumber = this->latestNumber;
  const std::uint64_t dropped = this->latestNumber - this->lines.size();
  const std::uint64_t skip = aAfter > dropped ? aAfter - dropped : 0;
  for (std::uint64_t i = skip; i < this->lines.size(); ++i) {
    page.lines.push_back(this->lines[i]);
  }
  return page;
}

namespace {

/** Passes formatted records to a LogWriter. */
class LineSink
  : public boost::log::sinks::
      basic_formatted_sink_backend<char, boost::log::sinks::concurrent_feeding>
{
public:
  explicit LineSink(LogWriter& aWriter)
    : writer(aWriter)
  {
  }

  // Boost.Log prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const boost::log::record_view& /*aRecord*/,
               const string_type& aLine)
  {
    this->writer.Write(aLine);
  }

private:
  LogWriter& writer;
};

} // namespace

void
StartLogging(std::string_view aLevel, LogWriter& aWriter)
{
  namespace logging = boost::log;
  using Sink = logging::sinks::unlocked_sink<LineSink>;
  auto sink = boost::make_shared<Sink>(boost::make_shared<LineSink>(aWriter));
  sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  logging::core::get()->add_sink(sink);
  const auto minSeverity =
    aLevel == "error" ? logging::trivial::error : logging::trivial::info;
  logging::core::get()->set_filter(logging::trivial::severity >= minSeverity);
}

} // namespace toucanshed
