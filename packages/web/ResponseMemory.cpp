#include "web/ResponseMemory.h"

#include <algorithm>
#include <utility>

namespace cumindale {

ResponseMemory::Reader::Reader(ResponseMemory& memory, std::function<void()> cutOff)
    : m_memory(memory)
    , m_cutOff(std::move(cutOff))
{
    m_memory.m_readers.insert(this);
}

ResponseMemory::Reader::~Reader()
{
    m_memory.setBytes(*this, 0);
    m_memory.m_readers.erase(this);
}

bool ResponseMemory::Reader::grow(size_t bytes)
{
    m_memory.setBytes(*this, bytes);
    while (m_memory.m_used > m_memory.m_limit) {
        Reader& largest = m_memory.largest();
        largest.m_isCutOff = true;
        m_memory.setBytes(largest, 0);
        if (&largest == this)
            return false;
        largest.m_cutOff();
    }
    return true;
}

ResponseMemory::Reader& ResponseMemory::largest() const
{
    return **std::max_element(
        m_readers.begin(), m_readers.end(), [](const Reader* a, const Reader* b) { return a->m_bytes < b->m_bytes; });
}

void ResponseMemory::setBytes(Reader& reader, size_t bytes)
{
    m_used += bytes - reader.m_bytes;
    reader.m_bytes = bytes;
}

}
