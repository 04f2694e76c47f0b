// Coroutine waits: for a duration, or for a notification by another coroutine on the same thread.
#pragma once

#include "base/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <string>

namespace cumindale {

boost::asio::awaitable<void> sleepFor(Millis);

// Starts a loop that the process can't run without. If the loop ends with an exception, the error is logged and the
// process aborts: a host that is replaced does less harm than one that has silently stopped sending heartbeats or
// reports.
void spawnLoop(boost::asio::any_io_executor, std::string name, boost::asio::awaitable<void>);

class Signal {
public:
    explicit Signal(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    void notifyAll(); // ends all waits in progress
    boost::asio::awaitable<void> wait(Millis timeout);

private:
    boost::asio::any_io_executor m_executor;
    std::list<boost::asio::steady_timer> m_waiting;
};

}
