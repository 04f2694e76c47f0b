#include "gateway/BulkWindow.h"

namespace cumindale {

BulkWindow::BulkWindow(boost::asio::any_io_executor executor, size_t bytes)
    : m_limit(bytes)
    , m_left(std::move(executor))
{
}

boost::asio::awaitable<void> BulkWindow::enter(size_t bytes)
{
    constexpr Millis recheck { 1'000 }; // leave() wakes all that wait
    while (m_inFlight && m_inFlight + bytes > m_limit)
        co_await m_left.wait(recheck);
    m_inFlight += bytes;
}

void BulkWindow::leave(size_t bytes)
{
    m_inFlight -= bytes;
    m_left.notifyAll();
}

}
