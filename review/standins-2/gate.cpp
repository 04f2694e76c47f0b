// A proxy before one server that stands for the network between it and the hosts. While a file names a process, only
// connections of that process carry bytes; all others are silent, as behind a partition.
//
//     gate PORT TARGET-PORT FILE      FILE: the number of the process that still reaches the server; no file: all do
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <list>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

constexpr int pollMillis = 5;
constexpr size_t bufferBytes = 65'536;

struct Direction {
    std::string pending; // read and not yet written
    bool ended = false; // nothing more comes from this side
    bool passedEnd = false; // the other side was told so
};

struct Link {
    int near = -1;
    int far = -1;
    std::string inode; // of the client's socket
    Direction toServer;
    Direction toClient;
    bool broken = false;
};

sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// The socket at the other end of a connection from this machine, as /proc names it; empty: it is gone.
std::string inodeOf(uint16_t clientPort, uint16_t port)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::array<char, 32> local {};
    std::array<char, 32> remote {};
    std::snprintf(local.data(), local.size(), ":%04X", clientPort);
    std::snprintf(remote.data(), remote.size(), ":%04X", port);
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::vector<std::string> fields;
        for (std::string word; words >> word;)
            fields.push_back(word);
        constexpr size_t inodeField = 9;
        if (fields.size() > inodeField && fields[1].ends_with(local.data()) && fields[2].ends_with(remote.data()))
            return fields[inodeField];
    }
    return {};
}

bool belongsTo(const std::string& inode, const std::string& process)
{
    const std::string folder = "/proc/" + process + "/fd";
    DIR* files = ::opendir(folder.c_str());
    if (!files)
        return false;
    const std::string wanted = "socket:[" + inode + "]";
    bool found = false;
    while (const dirent* file = ::readdir(files)) {
        std::array<char, 64> target {};
        const std::string path = folder + "/" + file->d_name;
        const ssize_t length = ::readlink(path.c_str(), target.data(), target.size() - 1);
        found = found || (length > 0 && wanted == std::string(target.data(), static_cast<size_t>(length)));
    }
    ::closedir(files);
    return found;
}

std::string allowedProcess(const char* file)
{
    std::ifstream in(file);
    std::string process;
    in >> process;
    return process;
}

void readInto(int from, Direction& direction, bool& broken)
{
    if (direction.ended || direction.pending.size() >= bufferBytes)
        return;
    std::array<char, bufferBytes> bytes;
    const ssize_t got = ::recv(from, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (got > 0)
        direction.pending.append(bytes.data(), static_cast<size_t>(got));
    else if (got == 0)
        direction.ended = true;
    else if (errno != EAGAIN && errno != EINTR)
        broken = true;
}

void writeFrom(int to, Direction& direction, bool& broken)
{
    if (!direction.pending.empty()) {
        const ssize_t sent
            = ::send(to, direction.pending.data(), direction.pending.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent > 0)
            direction.pending.erase(0, static_cast<size_t>(sent));
        else if (sent < 0 && errno != EAGAIN && errno != EINTR)
            broken = true;
    }
    if (direction.ended && direction.pending.empty() && !direction.passedEnd) {
        ::shutdown(to, SHUT_WR);
        direction.passedEnd = true;
    }
}

void reset(Link& link)
{
    const linger now { 1, 0 };
    for (const int socket : { link.near, link.far }) {
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(socket);
    }
}

}

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    const auto port = static_cast<uint16_t>(std::atoi(argv[1]));
    const sockaddr_in target = loopback(static_cast<uint16_t>(std::atoi(argv[2])));
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    constexpr int backlog = 512;
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) || ::listen(listener, backlog))
        return 2;
    ::fcntl(listener, F_SETFL, O_NONBLOCK);
    std::list<Link> links;
    std::string allowed;
    for (;;) {
        std::vector<pollfd> waiting { { listener, POLLIN, 0 } };
        for (const auto& link : links) {
            waiting.push_back({ link.near, POLLIN, 0 });
            waiting.push_back({ link.far, POLLIN, 0 });
        }
        ::poll(waiting.data(), waiting.size(), allowed.empty() ? pollMillis : 0);
        if (!allowed.empty())
            ::usleep(1000); // silent connections stay readable
        const std::string before = allowed;
        allowed = allowedProcess(argv[3]);
        // What was held back is lost when the partition ends: their senders have given up long ago.
        const bool healed = !before.empty() && allowed.empty();
        sockaddr_in peer {};
        socklen_t length = sizeof peer;
        const int near = ::accept(listener, reinterpret_cast<sockaddr*>(&peer), &length);
        if (near >= 0) {
            Link link;
            link.near = near;
            link.inode = inodeOf(ntohs(peer.sin_port), port);
            link.far = ::socket(AF_INET, SOCK_STREAM, 0);
            link.broken = ::connect(link.far, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0;
            links.push_back(std::move(link));
        }
        for (auto link = links.begin(); link != links.end();) {
            const bool passes = allowed.empty() || belongsTo(link->inode, allowed);
            if (passes && !link->broken) {
                readInto(link->near, link->toServer, link->broken);
                readInto(link->far, link->toClient, link->broken);
                writeFrom(link->far, link->toServer, link->broken);
                writeFrom(link->near, link->toClient, link->broken);
            }
            const bool over = link->toServer.passedEnd && link->toClient.passedEnd;
            const bool lost = healed && !belongsTo(link->inode, before);
            if (passes && (link->broken || over || lost)) {
                reset(*link);
                link = links.erase(link);
            } else {
                ++link;
            }
        }
    }
}
