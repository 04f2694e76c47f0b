#include "Record.h"

#include <chrono>

namespace review {

int64_t nowMillis()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

Record::Record(const std::string& file)
    : m_file(std::fopen(file.c_str(), "w"))
{
}

void Record::flush()
{
    const std::lock_guard lock(m_mutex);
    if (m_file)
        std::fflush(m_file);
}

void Record::write(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    if (m_file)
        std::fprintf(m_file, "%lld %s\n", static_cast<long long>(sinceStart()), line.c_str());
}

}
