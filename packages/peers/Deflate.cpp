#include "peers/Deflate.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace cumindale {

namespace zlib = boost::beast::zlib;

namespace {

    // The lowest level compresses a routes document to a tenth of its size. Higher levels take up to five times as
    // long and save only another tenth of the compressed size.
    constexpr int level = 1;
    constexpr int windowBits = 15;
    constexpr int memoryLevel = 8; // uses 256 kB during compression

    template <typename Input> zlib::z_params paramsFor(const Input& in, std::string& out)
    {
        zlib::z_params params;
        params.next_in = in.data();
        params.avail_in = in.size();
        params.next_out = out.data();
        params.avail_out = out.size();
        return params;
    }

}

std::string deflated(std::string_view plain)
{
    zlib::deflate_stream stream;
    stream.reset(level, windowBits, memoryLevel, zlib::Strategy::normal);
    std::string out(stream.upper_bound(plain.size()), '\0');
    zlib::z_params params = paramsFor(plain, out);
    boost::beast::error_code error;
    stream.write(params, zlib::Flush::finish, error);
    // Without a byte to spare the inflate stream doesn't recognise the end of some input that can't be compressed.
    out.resize(params.total_out + 1);
    return out;
}

std::optional<std::string> inflated(std::string_view compressed, size_t size)
{
    zlib::inflate_stream stream;
    stream.reset(windowBits);
    // The buffer has one extra byte, so that output longer than `size` is detected.
    std::string out(size + 1, '\0');
    zlib::z_params params = paramsFor(compressed, out);
    boost::beast::error_code error;
    stream.write(params, zlib::Flush::finish, error);
    if (error != zlib::error::end_of_stream || params.total_out != size)
        return std::nullopt;
    out.resize(size);
    return out;
}

}
