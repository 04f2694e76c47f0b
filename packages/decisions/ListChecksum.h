// Checksum of an ordered list, by which a host and a coordinator tell whether they have the same one.
#pragma once

#include <cstdint>

namespace cumindale {

class ListChecksum {
public:
    void add(uint64_t hash) // of the next entry; the same on every host
    {
        constexpr uint64_t factor = 0x100000001b3; // makes the order count
        m_sum = m_sum * factor + hash;
    }
    uint64_t value() const { return m_sum | 1; } // never 0

private:
    uint64_t m_sum = 1;
};

}
