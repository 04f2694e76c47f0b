#include "decisions/TableCodec.h"

namespace cumindale {

namespace {

    constexpr uint8_t magic = 0xC5;
    constexpr uint64_t format = 2;
    constexpr size_t checksumBytes = 8;
    constexpr size_t maxServers = 100'000;
    constexpr size_t maxSlices = 1'000'000;
    constexpr size_t maxWorkMillis = 86'400'000; // one day
    constexpr size_t maxNameBytes = 1'024;
    constexpr unsigned sliceStateCount = 3;

    uint64_t checksum(std::span<const char> bytes)
    {
        uint64_t hash = 0xcbf29ce484222325ull;
        for (char byte : bytes) {
            hash ^= static_cast<uint8_t>(byte);
            hash *= 0x100000001b3ull;
        }
        return hash;
    }

    void writeNumber(std::string& out, uint64_t value)
    {
        while (value >= 0x80) {
            out.push_back(static_cast<char>(value | 0x80));
            value >>= 7;
        }
        out.push_back(static_cast<char>(value));
    }

    void writeText(std::string& out, std::string_view text)
    {
        writeNumber(out, text.size());
        out.append(text);
    }

    // Reads numbers and strings. After the first error all values read as 0 or empty, and ok() is false.
    class Reader {
    public:
        explicit Reader(std::span<const char> bytes)
            : m_bytes(bytes)
        {
        }

        bool ok() const { return m_ok; }
        bool atEnd() const { return m_position == m_bytes.size(); }

        uint8_t byte()
        {
            if (m_position >= m_bytes.size()) {
                m_ok = false;
                return 0;
            }
            return static_cast<uint8_t>(m_bytes[m_position++]);
        }

        uint64_t number()
        {
            uint64_t value = 0;
            for (unsigned shift = 0; shift < 64; shift += 7) {
                const uint8_t next = byte();
                value |= static_cast<uint64_t>(next & 0x7f) << shift;
                if (!(next & 0x80))
                    return m_ok ? value : 0;
            }
            m_ok = false;
            return 0;
        }

        size_t count(size_t max)
        {
            const uint64_t value = number();
            if (value > max)
                m_ok = false;
            return m_ok ? static_cast<size_t>(value) : 0;
        }

        std::string text()
        {
            const size_t size = count(maxNameBytes);
            if (size > m_bytes.size() - m_position)
                m_ok = false;
            if (!m_ok)
                return {};
            std::string value(m_bytes.data() + m_position, size);
            m_position += size;
            return value;
        }

    private:
        std::span<const char> m_bytes;
        size_t m_position = 0;
        bool m_ok = true;
    };

    void writeSlice(std::string& out, const SliceTable& table, const Slice& slice, uint64_t previousBegin)
    {
        writeNumber(out, slice.begin - previousBegin);
        const uint64_t owner = slice.owner == noServer ? 0 : slice.owner + 1;
        writeNumber(out, owner * sliceStateCount + static_cast<uint64_t>(slice.state));
        writeNumber(out, table.nextFence - slice.fence);
        if (slice.state != SliceState::Stopping)
            return;
        writeNumber(out, slice.successor == noServer ? 0 : slice.successor + 1);
        writeNumber(out, table.version - slice.stoppedInVersion);
    }

    Slice readSlice(Reader& reader, const SliceTable& table, uint64_t previousBegin)
    {
        Slice slice;
        slice.begin = previousBegin + reader.number();
        const uint64_t ownerAndState = reader.number();
        slice.state = static_cast<SliceState>(ownerAndState % sliceStateCount);
        const uint64_t owner = ownerAndState / sliceStateCount;
        slice.owner = owner ? static_cast<ServerIndex>(owner - 1) : noServer;
        slice.fence = table.nextFence - reader.number();
        if (slice.state != SliceState::Stopping)
            return slice;
        const uint64_t successor = reader.number();
        slice.successor = successor ? static_cast<ServerIndex>(successor - 1) : noServer;
        slice.stoppedInVersion = table.version - reader.number();
        return slice;
    }

}

std::string encodeTable(const SliceTable& table)
{
    std::string out;
    out.reserve(64 + table.slices.size() * 16);
    out.push_back(static_cast<char>(magic));
    writeNumber(out, format);
    writeText(out, table.service);
    writeNumber(out, table.version);
    writeNumber(out, table.nextFence);
    writeNumber(out, static_cast<uint64_t>(table.workLimit.count()));
    writeNumber(out, static_cast<uint64_t>((table.inFlightWorkLimit - table.workLimit).count()));
    writeNumber(out, table.loweredInVersion);
    writeNumber(out, table.servers.size());
    for (const auto& server : table.servers)
        writeText(out, server);
    writeNumber(out, table.slices.size());
    uint64_t previousBegin = 0;
    for (const auto& slice : table.slices) {
        writeSlice(out, table, slice, previousBegin);
        previousBegin = slice.begin;
    }
    uint64_t sum = checksum(out);
    for (size_t i = 0; i < checksumBytes; ++i) {
        out.push_back(static_cast<char>(sum));
        sum >>= 8;
    }
    return out;
}

std::optional<SliceTable> decodeTable(std::span<const char> bytes)
{
    if (bytes.size() < checksumBytes)
        return std::nullopt;
    const auto body = bytes.first(bytes.size() - checksumBytes);
    uint64_t sum = 0;
    for (size_t i = checksumBytes; i--;)
        sum = sum << 8 | static_cast<uint8_t>(bytes[body.size() + i]);
    if (sum != checksum(body))
        return std::nullopt;

    Reader reader(body);
    if (reader.byte() != magic || reader.number() != format)
        return std::nullopt;
    SliceTable table;
    table.service = reader.text();
    table.version = reader.number();
    table.nextFence = reader.number();
    table.workLimit = Millis(static_cast<int64_t>(reader.count(maxWorkMillis)));
    table.inFlightWorkLimit = table.workLimit + Millis(static_cast<int64_t>(reader.count(maxWorkMillis)));
    table.loweredInVersion = reader.number();
    const size_t servers = reader.count(maxServers);
    for (size_t i = 0; i < servers && reader.ok(); ++i)
        table.servers.push_back(reader.text());
    const size_t slices = reader.count(maxSlices);
    uint64_t previousBegin = 0;
    for (size_t i = 0; i < slices && reader.ok(); ++i) {
        table.slices.push_back(readSlice(reader, table, previousBegin));
        previousBegin = table.slices.back().begin;
    }
    if (!reader.ok() || !reader.atEnd() || !validationError(table).empty())
        return std::nullopt;
    return table;
}

}
