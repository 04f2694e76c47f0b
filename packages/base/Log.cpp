#include "base/Log.h"

#include "base/Time.h"

#include <boost/core/null_deleter.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <iostream>

namespace cumindale {

namespace {

    using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

    std::string& hostName()
    {
        static std::string name;
        return name;
    }

    constexpr size_t maxQueuedLines = 4'096; // lines queued for the writer thread; about 1 MB

    boost::shared_ptr<boost::log::sinks::sink>& logSink()
    {
        static boost::shared_ptr<boost::log::sinks::sink> sink;
        return sink;
    }

    Logger& logger()
    {
        static Logger instance;
        return instance;
    }

    std::string_view levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "error";
    }

}

void startLog(std::string_view host, LogLevel minLevel)
{
    namespace expressions = boost::log::expressions;
    namespace sinks = boost::log::sinks;
    // Writes the lines on a separate thread. If the reader of standard output stalls, the queue fills up and lines are
    // dropped, so that no request ever waits for the log.
    using Backend = sinks::text_ostream_backend;
    using Sink = sinks::asynchronous_sink<Backend, sinks::bounded_fifo_queue<maxQueuedLines, sinks::drop_on_overflow>>;
    const auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    const auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(expressions::stream << expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    logSink() = sink;
    hostName() = host;
    boost::log::core::get()->set_filter(expressions::attr<LogLevel>("Severity") >= minLevel);
}

void stopLog()
{
    if (!logSink())
        return;
    logSink()->flush();
    boost::log::core::get()->remove_sink(std::exchange(logSink(), nullptr));
}

void logChange(LogLevel level, std::string_view event, boost::json::object fields)
{
    boost::json::object line;
    line["timeMs"] = SystemClock().unixMillis();
    line["level"] = levelName(level);
    line["host"] = hostName();
    line["event"] = event;
    for (auto& field : fields)
        line[field.key()] = field.value();
    BOOST_LOG_SEV(logger(), level) << boost::json::serialize(line);
}

}
