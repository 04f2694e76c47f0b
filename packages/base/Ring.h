// Bounded single-producer, single-consumer ring buffer that connects two threads.
//
// push() never blocks or allocates more slots: it returns false when the ring is full, and the producer keeps its
// newest state to send later. The consumer is woken once for any number of queued messages.
#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <utility>

namespace cumindale {

template <typename Message> class Ring {
public:
    // `wake` runs on the producer's thread and must make the consumer's thread call drain().
    Ring(size_t capacity, std::function<void()> wake)
        : m_queue(capacity)
        , m_wake(std::move(wake))
    {
    }

    bool push(Message message)
    {
        if (!m_queue.push(std::move(message)))
            return false;
        if (!m_wakePending.exchange(true))
            m_wake();
        return true;
    }

    template <typename Handler> void drain(Handler&& handle)
    {
        // The flag is cleared before draining, so that a message pushed meanwhile wakes the consumer again and none is
        // left in the ring.
        m_wakePending.store(false);
        Message message;
        while (m_queue.pop(message))
            handle(std::move(message));
    }

private:
    boost::lockfree::spsc_queue<Message> m_queue;
    std::function<void()> m_wake;
    std::atomic<bool> m_wakePending { false };
};

}
