#include "Upstream.h"

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

    constexpr int idleMillis = 10'000; // stated in Keep-Alive

    // Value of a numeric or string member of a flat JSON object, as text.
    std::string fieldOf(const std::string& json, std::string_view name)
    {
        const std::string quoted = "\"" + std::string(name) + "\":";
        const auto at = json.find(quoted);
        if (at == std::string::npos)
            return {};
        const auto begin = at + quoted.size();
        return json.substr(begin, json.find_first_of(",}", begin) - begin);
    }

    uint64_t numberOf(std::string_view text) { return std::strtoull(std::string(text).c_str(), nullptr, 10); }

}

Upstream::Upstream(UpstreamOptions options, Record& record)
    : m_options(std::move(options))
    , m_record(record)
    , m_random(m_options.seed)
{
    std::thread([this] { acceptAll(); }).detach();
}

std::string Upstream::entry(bool draining) const
{
    return "{\"service\":\"" + m_options.service + "\",\"address\":\"127.0.0.1:" + std::to_string(port())
        + "\",\"zone\":\"" + m_options.zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.slots)
        + ",\"state\":\"" + (draining ? "draining" : "ready") + "\",\"warmup_left_s\":0,\"sequence\":1}";
}

// --- Connections

void Upstream::acceptAll()
{
    for (;;) {
        const int socket = m_listener.accept();
        if (socket < 0)
            return;
        std::thread([this, socket] { serve(socket); }).detach();
    }
}

void Upstream::serve(int socket)
{
    HttpConnection connection(socket);
    std::string leftOver; // copy of the previous answer
    std::string leftOverOf; // request that it answered
    for (;;) {
        const auto request = connection.read(idleMillis);
        if (!request)
            return;
        // The extra answer arrives at the point where the next one is expected.
        if (!leftOver.empty()) {
            m_record.write("extra " + leftOverOf + " " + m_options.id + " before the answer to "
                + std::string(request->target()) + " " + std::string(request->header("X-Request-Id")));
            ++m_extrasSent;
            if (!connection.write(std::exchange(leftOver, {})))
                return;
        }
        const std::string text = answer(*request).text();
        if (!connection.write(text))
            return;
        if (happens(faults.extraShare)) {
            leftOver = text;
            leftOverOf = std::string(request->target()) + " " + std::string(request->header("X-Request-Id"));
        }
    }
}

bool Upstream::happens(double share)
{
    const std::lock_guard lock(m_mutex);
    return std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

// --- Answers

HttpMessage Upstream::refusal(const HttpMessage& request, int status) const
{
    HttpMessage response = makeResponse(status);
    response.headers.emplace_back("X-Request-Id", request.header("X-Request-Id"));
    response.headers.emplace_back("X-Not-Executed", "1");
    response.headers.emplace_back("X-Instance-Id", m_options.id);
    return response;
}

HttpMessage Upstream::answer(const HttpMessage& request)
{
    const std::string_view intended = request.header("X-Target-Instance");
    if (!intended.empty() && intended != m_options.id)
        return refusal(request, 421);
    if (request.target() == "/-/grant")
        return grant(request);
    if (request.target() == "/-/release")
        return release(request);
    return run(request);
}

HttpMessage Upstream::grant(const HttpMessage& request)
{
    const auto first = static_cast<uint32_t>(numberOf(fieldOf(request.body, "from")));
    const auto last = static_cast<uint32_t>(numberOf(fieldOf(request.body, "target")));
    const uint64_t fence = numberOf(fieldOf(request.body, "fence"));
    const double seconds = std::atof(fieldOf(request.body, "hold_s").c_str());
    if (last >= keyCount || first > last)
        return makeResponse(400);
    bool isNew = false;
    {
        const std::lock_guard lock(m_mutex);
        const int64_t now = nowMillis();
        for (uint32_t key = first; key <= last; ++key) {
            if (m_fences[key] > fence)
                return makeResponse(409);
        }
        for (uint32_t key = first; key <= last; ++key) {
            isNew |= m_holdUntil[key] <= now;
            m_fences[key] = fence;
            m_holdUntil[key] = m_grantedUntil[key] = now + static_cast<int64_t>(seconds * 1000);
        }
    }
    if (isNew) {
        m_record.write("granted " + m_options.id + " " + std::to_string(first) + " " + std::to_string(last) + " fence "
            + std::to_string(fence));
        if (m_onGrant)
            m_onGrant(*this, first, last);
    }
    return makeResponse(200, "{}");
}

// Stops new work on the keys at once, and answers when the work that was running on them has ended.
HttpMessage Upstream::release(const HttpMessage& request)
{
    const auto first = static_cast<uint32_t>(numberOf(fieldOf(request.body, "from")));
    const auto last
        = std::min<uint32_t>(static_cast<uint32_t>(numberOf(fieldOf(request.body, "target"))), keyCount - 1);
    const uint64_t fence = numberOf(fieldOf(request.body, "fence"));
    const std::string keys
        = m_options.id + " " + std::to_string(first) + " " + std::to_string(last) + " fence " + std::to_string(fence);
    m_record.write("release-asked " + keys);
    std::unique_lock lock(m_mutex);
    for (uint32_t key = first; key <= last; ++key) {
        m_fences[key] = std::max(m_fences[key], fence);
        m_holdUntil[key] = 0;
    }
    m_changed.wait(lock, [&] {
        return std::none_of(m_running.begin(), m_running.end(),
            [&](const auto& entry) { return first <= entry.second.key && entry.second.key <= last; });
    });
    lock.unlock();
    m_record.write("released " + keys);
    HttpMessage response = makeResponse(200, "{}");
    response.headers.emplace_back("X-Handover", "h-" + m_options.id);
    return response;
}

HttpMessage Upstream::run(const HttpMessage& request)
{
    const std::string id(request.header("X-Request-Id"));
    const auto key = static_cast<uint32_t>(numberOf(request.header("X-Shard-Key"))) % keyCount;
    const auto timeLeft = static_cast<int64_t>(numberOf(request.header("X-Request-Deadline-Ms")));
    const int64_t deadline = nowMillis() + (timeLeft ? timeLeft : idleMillis);
    if (happens(faults.shedShare)) {
        m_record.write("shed " + id + " " + m_options.id);
        return refusal(request, 503);
    }
    std::unique_lock lock(m_mutex);
    if (m_running.size() >= m_options.slots && m_waiting >= m_options.queued)
        return refusal(request, 503);
    ++m_waiting;
    while (m_running.size() >= m_options.slots && nowMillis() < deadline)
        m_changed.wait_for(lock, std::chrono::milliseconds(20));
    --m_waiting;
    if (m_running.size() >= m_options.slots)
        return refusal(request, 503);
    if (m_options.keyed && m_holdUntil[key] <= nowMillis())
        return refusal(request, 421);
    const uint64_t number = m_nextRun++;
    m_running[number] = { id, key };
    const int work = std::uniform_int_distribution<>(m_options.workMillis / 2, m_options.workMillis * 3 / 2)(m_random);
    lock.unlock();
    m_record.write("began " + id + " " + m_options.id + " key " + std::to_string(key));
    std::this_thread::sleep_for(std::chrono::milliseconds(work));
    m_record.write("ended " + id + " " + m_options.id);
    lock.lock();
    m_running.erase(number);
    lock.unlock();
    m_changed.notify_all();
    HttpMessage response = makeResponse(200, m_bodyOf ? m_bodyOf(request) : "ran " + id);
    response.headers.emplace_back("X-Request-Id", id);
    response.headers.emplace_back("X-Upstream-Signature", "s-" + id);
    response.headers.emplace_back("Keep-Alive", "timeout=10");
    return response;
}

// --- State

std::optional<Run> Upstream::runningWithin(uint32_t first, uint32_t last) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [number, run] : m_running) {
        if (first <= run.key && run.key <= last && m_grantedUntil[run.key] > nowMillis())
            return run;
    }
    return std::nullopt;
}

}
