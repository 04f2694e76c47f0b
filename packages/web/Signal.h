// Waits in coroutines: for a time, or for a change that another coroutine of the same thread announces.
#pragma once

#include "base/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <string>

namespace cumindale {

boost::asio::awaitable<void> sleepFor(Millis);

// Starts a loop that a duty can't do without. If it ends by an exception the process ends too, with a log line: a
// host that is replaced does less harm than one that has silently stopped beating or reporting.
void spawnLoop(boost::asio::any_io_executor, std::string name, boost::asio::awaitable<void>);

class Signal {
public:
    explicit Signal(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    void notifyAll(); // ends every wait that has begun
    boost::asio::awaitable<void> wait(Millis atMost);

private:
    boost::asio::any_io_executor m_executor;
    std::list<boost::asio::steady_timer> m_waiting;
};

}
