// An HTTP client for the scripts, with those options of curl that they use. One request, one connection.
//
//     fetch [-s] [-f] [-m SECONDS] [-o FILE] [-D FILE] [-w %{http_code}] [-X METHOD] [-d DATA | @-] [-H FIELD]... URL
//
// Exit status: 0, 22 with -f and a status of 400 or above, 28 if there was no whole answer in time.
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using Clock = std::chrono::steady_clock;

constexpr int failedStatus = 22;
constexpr int noAnswer = 28;

struct Options {
    bool fails = false; // by status
    double seconds = 10;
    std::string bodyFile;
    std::string headFile;
    std::string format;
    std::string method;
    std::string data;
    bool hasData = false;
    std::string fields;
    std::string url;
};

std::string readData(const std::string& text)
{
    if (text != "@-")
        return text;
    return { std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>() };
}

Options parse(int argc, char** argv)
{
    Options options;
    for (int i = 1; i < argc; ++i) {
        const std::string name = argv[i];
        const auto value = [&] { return std::string(i + 1 < argc ? argv[++i] : ""); };
        if (name == "-m")
            options.seconds = std::atof(value().c_str());
        else if (name == "-o")
            options.bodyFile = value();
        else if (name == "-D")
            options.headFile = value();
        else if (name == "-w")
            options.format = value();
        else if (name == "-X")
            options.method = value();
        else if (name == "-H")
            options.fields += value() + "\r\n";
        else if (name == "-d" || name == "--data-binary") {
            options.data = readData(value());
            options.hasData = true;
        } else if (name.starts_with("-"))
            options.fails |= name.find('f') != std::string::npos;
        else
            options.url = name;
    }
    if (options.method.empty())
        options.method = options.hasData ? "POST" : "GET";
    return options;
}

size_t lengthIn(const std::string& head)
{
    for (size_t at = 0; (at = head.find("\r\n", at)) != std::string::npos;) {
        at += 2;
        constexpr std::string_view name = "Content-Length:";
        if (!::strncasecmp(head.c_str() + at, name.data(), name.size()))
            return std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
    }
    return std::string::npos; // until the connection is closed
}

bool isComplete(const std::string& answer)
{
    const size_t end = answer.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    const size_t length = lengthIn(answer.substr(0, end + 2));
    return length != std::string::npos && answer.size() - end - 4 >= length;
}

// False: no whole answer.
bool exchange(
    const Options& options, const std::string& host, uint16_t port, const std::string& request, std::string& answer)
{
    const auto end = Clock::now() + std::chrono::milliseconds(static_cast<int>(options.seconds * 1000));
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1
        || ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address)
        || ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
        return false;
    while (!isComplete(answer)) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
        pollfd waited { socket, POLLIN, 0 };
        if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) <= 0)
            return false;
        std::array<char, 16'384> bytes;
        const ssize_t got = ::recv(socket, bytes.data(), bytes.size(), 0);
        if (got <= 0) {
            const size_t head = answer.find("\r\n\r\n");
            return !got && head != std::string::npos && lengthIn(answer.substr(0, head + 2)) == std::string::npos;
        }
        answer.append(bytes.data(), static_cast<size_t>(got));
    }
    return true; // the process's end closes the socket
}

void write(const std::string& file, const std::string& text)
{
    if (file.empty())
        std::cout << text;
    else
        std::ofstream(file, std::ios::binary) << text;
}

}

int main(int argc, char** argv)
{
    const Options options = parse(argc, argv);
    constexpr std::string_view scheme = "http://";
    const std::string url = options.url.substr(std::min(options.url.size(), scheme.size()));
    const size_t slash = std::min(url.find('/'), url.size());
    const size_t colon = std::min(url.find(':'), slash);
    const std::string host = url.substr(0, colon);
    const auto port
        = static_cast<uint16_t>(std::strtoul(url.substr(std::min(colon + 1, url.size())).c_str(), nullptr, 10));
    const std::string target = slash < url.size() ? url.substr(slash) : "/";

    std::string request = options.method + " " + target + " HTTP/1.1\r\n" + options.fields;
    if (("\r\n" + options.fields).find("\r\nHost:") == std::string::npos)
        request += "Host: " + host + ":" + std::to_string(port) + "\r\n";
    if (options.hasData)
        request += "Content-Length: " + std::to_string(options.data.size()) + "\r\n";
    request += "\r\n" + options.data;

    std::string answer;
    const bool whole = exchange(options, host, port, request, answer);
    const size_t end = answer.find("\r\n\r\n");
    const bool hasHead = end != std::string::npos;
    constexpr size_t statusAt = 9;
    const std::string status = hasHead && answer.size() > statusAt + 3 ? answer.substr(statusAt, 3) : "000";
    constexpr int firstFailure = 400;
    const bool failed = options.fails && std::atoi(status.c_str()) >= firstFailure;
    if (!options.headFile.empty())
        write(options.headFile, hasHead ? answer.substr(0, end + 2) : "");
    if (!failed)
        write(options.bodyFile, hasHead ? answer.substr(end + 4) : "");
    if (options.format == "%{http_code}")
        std::cout << status;
    return !whole ? noAnswer : failed ? failedStatus : 0;
}
