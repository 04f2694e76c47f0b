// Measures how late a thread's event loop runs what is due: one handler that takes long delays all others.
#pragma once

#include "base/Metrics.h"
#include "base/Time.h"

#include <boost/asio/any_io_executor.hpp>

namespace cumindale {

// Adds a delay each 20 ms, until the loop ends. Clock and distribution must outlive the loop.
void startLoopMonitor(boost::asio::any_io_executor, const Clock&, Distribution& delays);

}
