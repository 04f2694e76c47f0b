// Bounds the memory of the responses that one thread is reading from peers.
//
// Load pattern: some servers send bodies without end while others answer properly. When the memory is used up, the
// largest response is cut off, since a proper one is small next to one without end.
#pragma once

#include <cstddef>
#include <functional>
#include <set>

namespace cumindale {

class ResponseMemory {
public:
    explicit ResponseMemory(size_t limit) // bytes
        : m_limit(limit)
    {
    }

    // One response that is being read.
    class Reader {
    public:
        // `cutOff` ends the reading of the response and is called at most once. The response isn't the one that grows.
        Reader(ResponseMemory&, std::function<void()> cutOff);
        ~Reader();
        Reader(const Reader&) = delete;
        Reader& operator=(const Reader&) = delete;

        bool grow(size_t bytes); // to so many in all; false: this response is the one to cut off
        bool isCutOff() const { return m_isCutOff; }

    private:
        friend class ResponseMemory;

        ResponseMemory& m_memory;
        std::function<void()> m_cutOff;
        size_t m_bytes = 0;
        bool m_isCutOff = false;
    };

    size_t used() const { return m_used; }

private:
    Reader& largest() const;
    void setBytes(Reader&, size_t bytes);

    size_t m_limit;
    size_t m_used = 0;
    std::set<Reader*> m_readers;
};

}
