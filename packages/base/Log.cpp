#include "base/Log.h"

#include "base/Time.h"

#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace cumindale {

namespace {

    using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

    std::string& hostName()
    {
        static std::string name;
        return name;
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

void startLog(std::string_view host, LogLevel least)
{
    namespace expressions = boost::log::expressions;
    hostName() = host;
    boost::log::add_console_log(std::clog,
        boost::log::keywords::format = (expressions::stream << expressions::smessage),
        boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(expressions::attr<LogLevel>("Severity") >= least);
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
