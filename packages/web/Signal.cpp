#include "web/Signal.h"

#include "base/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <exception>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);

}

void spawnLoop(asio::any_io_executor executor, std::string name, asio::awaitable<void> loop)
{
    asio::co_spawn(executor, std::move(loop), [name = std::move(name)](std::exception_ptr error) {
        if (!error)
            return;
        try {
            std::rethrow_exception(error);
        } catch (const std::exception& why) {
            logChange(LogLevel::Error, "loop-failed", { { "loop", name }, { "why", why.what() } });
        }
        std::abort();
    });
}

asio::awaitable<void> sleepFor(Millis time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(token);
}

void Signal::notifyAll()
{
    for (auto& timer : m_waiting)
        timer.cancel();
}

asio::awaitable<void> Signal::wait(Millis timeout)
{
    const auto timer = m_waiting.emplace(m_waiting.end(), m_executor, timeout);
    co_await timer->async_wait(token);
    m_waiting.erase(timer);
}

}
