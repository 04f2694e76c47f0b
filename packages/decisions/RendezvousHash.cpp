#include "decisions/RendezvousHash.h"

namespace cumindale {

// 64-bit FNV-1a with a final mix.
uint64_t rendezvousHash(std::string_view host, std::string_view server)
{
    uint64_t hash = 0xcbf29ce484222325;
    const auto add = [&](std::string_view text) {
        for (const char c : text) {
            hash ^= static_cast<unsigned char>(c);
            hash *= 0x100000001b3;
        }
    };
    add(host);
    add(std::string_view("\0", 1));
    add(server);
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccd;
    hash ^= hash >> 33;
    return hash;
}

}
