// The record of a case: one line for each thing that was sent, answered or run, with the time in milliseconds.
#pragma once

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

int64_t nowMillis(); // monotonic

class Record {
public:
    explicit Record(const std::string& file);
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;
    void write(const std::string& line);
    void flush();
    int64_t sinceStart() const { return nowMillis() - m_start; }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    int64_t m_start = nowMillis();
};

}
