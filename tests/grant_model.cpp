#include "grant_model.h"

#include "decisions/ServerIdentity.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <random>

using namespace cumindale;

namespace grants {

namespace {

    constexpr Millis stepTime { 10 };
    constexpr Millis troubled { 40'000 }; // faults come until then
    constexpr Millis length { 70'000 };
    constexpr Millis calmFrom { 62'000 }; // everything must be served again
    constexpr size_t sampleCount = 12; // keys that are looked at
    constexpr size_t hostCount = 4;
    constexpr size_t serverCount = 5;
    constexpr Millis lapsesLate { 2'000 }; // an entry outlasts its server by some heartbeats
    const std::string service = "s";

    uint32_t sampleKey(size_t index) { return static_cast<uint32_t>(index * (numberedKeys / sampleCount) + 77); }

    struct Hold {
        uint64_t seenFence = 0;
        uint64_t takenFence = 0;
        uint64_t formerFence = 0; // highest with which former incarnations had the key
        Instant until {};
    };

    struct Server {
        std::string name;
        int64_t born = 0;
        std::string id; // of the present incarnation
        std::string registered; // id that the store shows; empty: none
        bool up = true;
        bool cut = false; // from all hosts
        std::array<bool, hostCount> cutFrom {};
        double clock = 1; // a hold lasts so many times as long
        Instant backAt {};
        std::array<Hold, sampleCount> holds;
        Instant registersAt {}; // a new incarnation is known to the store a little later, behind a cut much later
    };

    struct Office {
        int host = -1;
        int64_t term = 0;
        Instant lapses {};
    };

    struct Store {
        bool down = false;
        bool leasesRun = true; // while it is down
        Office office;
        int64_t revision = 1;
        std::optional<GrantTable> table;
        int64_t tableRevision = 0;
        std::set<std::string, std::less<>> listed;
    };

    // An order on its way, or the late execution of one.
    struct Message {
        Instant at {};
        size_t host = 0;
        int64_t incarnation = 0;
        int64_t term = 0;
        GrantOrder order;
        Instant sent {};
        Instant arrived {};
        int64_t connectedTo = 0; // the incarnation at the other end of the connection; 0: a new connection
        bool answered = true; // the answer will reach the host
        bool isAnswer = false;
        OrderAnswer answer;
        int64_t answeredBy = 0;
    };

    struct Host {
        std::string name;
        bool up = true;
        Instant pausedUntil {};
        Instant backAt {};
        int64_t incarnation = 1;
        bool cutFromStore = false;
        int64_t knownTerm = 0; // newest coordinator that it knows of
        int knownHost = -1;
        // As coordinator
        int64_t term = 0;
        Instant confirmed {};
        Instant nextKeep {};
        Instant nextReport {};
        Instant nextWrite {};
        std::unique_ptr<GrantPlan> plan;
        std::unique_ptr<OfficeRules> office;
        std::string former;
        int64_t tableRevision = 0;
        std::array<int64_t, serverCount> connectedTo {}; // born of the incarnation; 0: no connection
    };

    class World {
    public:
        World(uint64_t seed, const Guards& guards, Restart restart)
            : m_random(seed)
            , m_guards(guards)
            , m_restart(restart)
        {
            for (size_t i = 0; i < hostCount; ++i)
                m_hosts[i].name = "host-" + std::to_string(i);
            for (auto& server : m_servers) {
                startNew(server);
                server.name = server.id;
            }
            if (!guards.waitForHold) {
                m_timing.slowClock = 0;
                m_timing.margin = Millis(0);
            }
            if (!guards.waitForFormer)
                m_timing.renewsWithoutStore = Millis(0);
            // Every other history has hosts that lose the store or single servers again and again.
            m_cuts = seed % 2 ? 6 : 1;
        }

        Outcome run()
        {
            for (m_now = Instant(Millis(1'000)); m_now < Instant(length); m_now += stepTime) {
                if (m_now < Instant(troubled))
                    bringFaults();
                else
                    healAll();
                stepStore();
                deliver();
                for (size_t i = 0; i < hostCount; ++i)
                    stepHost(i);
                look();
            }
            m_outcome.servedShare = static_cast<double>(m_served) / static_cast<double>(std::max<size_t>(1, m_looked));
            return m_outcome;
        }

    private:
        double chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
        bool perSecond(double rate) { return chance() < rate * static_cast<double>(stepTime.count()) / 1000; }
        size_t below(size_t limit) { return std::uniform_int_distribution<size_t>(0, limit - 1)(m_random); }
        Millis between(int64_t least, int64_t most)
        {
            return Millis(std::uniform_int_distribution<int64_t>(least, most)(m_random));
        }

        void startNew(Server& server)
        {
            server = Server {};
            server.born = ++m_lives;
            server.name = server.id = server.registered = "server-" + std::to_string(server.born);
            server.clock = chance() < 0.5 ? 1.02 : 1;
        }

        void startAgain(Server& server)
        {
            Server next;
            next.name = server.name;
            next.born = ++m_lives;
            next.id = serverId(next.name, next.born);
            next.registered = server.registered;
            next.clock = chance() < 0.5 ? 1.02 : 1;
            next.cut = server.cut;
            next.cutFrom = server.cutFrom;
            ++m_outcome.rebirths;
            next.registersAt = m_now + (chance() < 0.3 ? between(500, 8'000) : between(4, 60));
            for (size_t i = 0; i < sampleCount; ++i)
                next.holds[i].formerFence = std::max(server.holds[i].formerFence, server.holds[i].takenFence);
            server = next;
        }

        void bringFaults()
        {
            for (auto& host : m_hosts) {
                if (perSecond(0.04))
                    host.pausedUntil = m_now + between(200, 6'000);
                if (perSecond(0.03))
                    kill(host);
                if (perSecond(0.06 * m_cuts))
                    host.cutFromStore = !host.cutFromStore;
            }
            for (auto& server : m_servers) {
                if (server.up && perSecond(0.02)) {
                    server.up = false;
                    const bool soon = m_restart == Restart::SameName && chance() < 0.5;
                    server.backAt = m_now + (soon ? between(10, 300) : between(300, 5'000));
                }
                if (perSecond(0.05))
                    server.cut = !server.cut;
                if (perSecond(0.05 * m_cuts))
                    server.cutFrom[below(hostCount)] ^= true;
            }
            if (perSecond(0.05)) {
                m_store.down = !m_store.down;
                m_store.leasesRun = chance() < 0.5;
            }
            if (perSecond(0.1))
                m_wild = !m_wild;
        }

        void healAll()
        {
            m_store.down = false;
            m_wild = false;
            for (auto& host : m_hosts)
                host.cutFromStore = false;
            for (auto& server : m_servers) {
                server.cut = false;
                server.cutFrom.fill(false);
            }
        }

        void kill(Host& host)
        {
            const std::string name = host.name;
            const int64_t incarnation = host.incarnation;
            host = Host {};
            host.name = name;
            host.incarnation = incarnation + 1;
            host.up = false;
            host.backAt = m_now + between(200, 4'000);
        }

        void stepStore()
        {
            if (m_store.down && !m_store.leasesRun && m_store.office.host >= 0)
                m_store.office.lapses += stepTime;
            if (m_store.office.host >= 0 && m_now >= m_store.office.lapses)
                m_store.office.host = -1;
            for (auto& server : m_servers) {
                if (!server.up && m_now >= server.backAt)
                    m_restart == Restart::SameName ? startAgain(server) : startNew(server);
                if (!m_store.down)
                    stepEntry(server);
            }
        }

        void stepEntry(Server& server)
        {
            if (server.up && m_now >= server.registersAt)
                server.registered = server.id;
            // An entry outlasts its server by some heartbeats where the server comes back under its name.
            else if (!server.up && (m_restart == Restart::NewName || m_now >= server.backAt - lapsesLate))
                server.registered.clear();
        }

        bool reachesStore(const Host& host) const { return !m_store.down && !host.cutFromStore; }

        // The server at the address of the one that an order is for: whichever incarnation of it is up.
        Server* find(const std::string& id)
        {
            const auto name = serverNameOf(id);
            const auto found = std::find_if(
                m_servers.begin(), m_servers.end(), [&](const Server& server) { return server.name == name; });
            return found == m_servers.end() ? nullptr : found;
        }

        int64_t& connectionTo(const Message& message)
        {
            const auto server = static_cast<size_t>(find(message.order.server) - m_servers.data());
            return m_hosts[message.host].connectedTo[server];
        }

        bool reaches(size_t host, const Server& server) const
        {
            return server.up && !server.cut && !server.cutFrom[host];
        }

        // --- Orders

        void send(size_t host, const GrantOrder& order)
        {
            const bool grant = order.kind == GrantOrder::Kind::Grant;
            const Millis timeout = grant ? m_timing.orderTimeout : Millis(3'000);
            Message message { m_now + between(1, 8), host, m_hosts[host].incarnation, m_hosts[host].term, order };
            message.sent = m_now;
            // The end of a process ends its connections; a host that can reach its machine sees that.
            const Server* server = find(order.server);
            int64_t none = 0;
            int64_t& connection = server ? connectionTo(message) : none;
            if (connection && connection != server->born && reaches(host, *server))
                connection = 0;
            message.connectedTo = connection;
            if (m_guards.newFenceOnNewConnection) {
                const auto fence = m_hosts[host].plan->fenceToSend(order, !connection);
                if (!fence) {
                    answerLater(message, OrderResult::NotSent, m_now);
                    return;
                }
                message.order.fence = *fence;
            }
            const double luck = m_wild ? chance() : 1;
            if (luck < 0.15) {
                answerLater(message, OrderResult::Unanswered, m_now + timeout); // lost on its way
                return;
            }
            message.arrived = message.at;
            if (luck < 0.35) { // carried out late, its time counts from the arrival; no answer
                answerLater(message, OrderResult::Unanswered, m_now + timeout);
                message.at += between(2'000, 12'000);
                message.answered = false;
            } else if (luck < 0.5) { // the answer is lost
                answerLater(message, OrderResult::Unanswered, m_now + timeout);
                message.answered = false;
            }
            m_messages.push_back(std::move(message));
        }

        void answerLater(const Message& message, OrderResult result, Instant at)
        {
            Message answer = message;
            answer.isAnswer = true;
            answer.at = at;
            answer.answer = { message.order.range, message.order.number, result, {}, at };
            m_messages.push_back(std::move(answer));
        }

        void deliver()
        {
            std::vector<Message> due;
            std::erase_if(m_messages, [&](Message& message) {
                if (message.at > m_now)
                    return false;
                due.push_back(std::move(message));
                return true;
            });
            for (auto& message : due) {
                if (message.isAnswer)
                    takeAnswer(message);
                else
                    carryOut(message);
            }
        }

        void takeAnswer(Message& message)
        {
            Host& host = m_hosts[message.host];
            if (host.incarnation != message.incarnation || host.term != message.term || !host.plan)
                return;
            message.answer.endedAt = m_now;
            const bool answered
                = message.answer.result != OrderResult::Unanswered && message.answer.result != OrderResult::NotSent;
            if (find(message.order.server))
                connectionTo(message) = answered ? message.answeredBy : 0;
            if (!m_guards.waitForUnanswered && message.answer.result == OrderResult::Unanswered)
                message.answer.result = OrderResult::NotSent;
            host.plan->onAnswer(message.answer);
        }

        void carryOut(const Message& message)
        {
            Server* server = find(message.order.server);
            const bool late = !message.answered && message.at > message.arrived;
            const bool reached = server && reaches(message.host, *server);
            // Bytes of a connection to a former incarnation mean nothing to the present one. Of a server's late work
            // nothing outlasts it, either.
            const bool ended = server && message.connectedTo && message.connectedTo != server->born;
            if ((!reached && !late) || ended) {
                if (message.answered)
                    answerLater(message, server ? OrderResult::Unanswered : OrderResult::OtherServer,
                        server ? m_now + m_timing.orderTimeout : m_now);
                return;
            }
            if (!server || !server->up)
                return;
            const OrderResult result = apply(*server, message);
            if (message.answered) {
                Message answer = message;
                answer.answeredBy = server->born;
                answerLater(answer, result, m_now + between(1, 5));
            }
        }

        OrderResult apply(Server& server, const Message& message)
        {
            const GrantOrder& order = message.order;
            std::vector<Hold*> touched;
            for (size_t i = 0; i < sampleCount; ++i) {
                if (sampleKey(i) >= order.first && sampleKey(i) <= order.last)
                    touched.push_back(&server.holds[i]);
            }
            if (order.kind == GrantOrder::Kind::Release) {
                for (auto* hold : touched) {
                    hold->until = {};
                    hold->seenFence = std::max(hold->seenFence, order.fence);
                }
                return OrderResult::Done;
            }
            for (const auto* hold : touched) {
                if (hold->seenFence > order.fence)
                    return OrderResult::HigherFence;
            }
            const auto time = static_cast<int64_t>(static_cast<double>(order.hold.count()) * server.clock);
            for (auto* hold : touched) {
                // A grant that was held up tells nothing: it was sent when the former incarnation had the key.
                m_outcome.staleFences += order.fence <= hold->formerFence && message.at - message.sent < Millis(10)
                    && m_hosts[message.host].term == m_store.office.term;
                hold->seenFence = order.fence;
                hold->takenFence = std::max(hold->takenFence, order.fence);
                hold->until = std::max(hold->until, message.arrived + Millis(time));
            }
            ++m_outcome.grantsTaken;
            return OrderResult::Done;
        }

        // --- Hosts

        void stepHost(size_t index)
        {
            Host& host = m_hosts[index];
            if (!host.up && m_now >= host.backAt)
                host.up = true;
            if (!host.up || m_now < host.pausedUntil)
                return;
            if (reachesStore(host) && m_store.office.term > host.knownTerm) {
                host.knownTerm = m_store.office.term;
                host.knownHost = m_store.office.host;
            }
            if (host.term && host.knownTerm > host.term)
                endTerm(host);
            if (host.term)
                keepOffice(index);
            else if (reachesStore(host) && m_store.office.host < 0 && chance() < 0.1)
                stand(index);
            report(index);
            if (host.term && mayAct(host))
                coordinate(index);
        }

        // From here on nothing moves by plan: a planned move leaves its keys without a holder for some 20 ms.
        bool settled() const { return m_now >= Instant(calmFrom - Millis(4'000)); }

        bool mayAct(const Host& host) const
        {
            return m_guards.officeEnds ? host.office->mayAct(host.confirmed, m_now)
                                       : m_now - host.confirmed <= m_officeTiming.longest;
        }

        void endTerm(Host& host)
        {
            host.term = 0;
            host.plan.reset();
            host.office.reset();
        }

        void stand(size_t index)
        {
            Host& host = m_hosts[index];
            m_store.office = { static_cast<int>(index), ++m_store.revision, m_now + m_officeTiming.lease };
            host.term = host.knownTerm = m_store.office.term;
            host.knownHost = static_cast<int>(index);
            host.confirmed = m_now;
            host.plan = std::make_unique<GrantPlan>(service, m_timing, host.term);
            host.office = std::make_unique<OfficeRules>(m_officeTiming);
            host.office->setListed(m_store.listed);
            host.tableRevision = m_store.tableRevision;
            ++m_outcome.terms;
            if (!m_store.table) {
                host.plan->begin(m_now);
                return;
            }
            host.plan->takeOver(*m_store.table, m_now);
            host.former = m_store.table->coordinator;
            if (host.former == host.name)
                formerStopped(host, m_now);
        }

        void formerStopped(Host& host, Instant at)
        {
            host.former.clear();
            host.plan->formerStopped(at);
        }

        void keepOffice(size_t index)
        {
            Host& host = m_hosts[index];
            if (m_now < host.nextKeep || !reachesStore(host))
                return;
            host.nextKeep = m_now + Millis(500);
            if (m_store.office.host == static_cast<int>(index) && m_store.office.term == host.term) {
                m_store.office.lapses = m_now + m_officeTiming.lease;
                host.confirmed = m_now;
            } else {
                endTerm(host);
            }
        }

        void report(size_t index)
        {
            Host& host = m_hosts[index];
            if (m_now < host.nextReport || host.knownHost < 0)
                return;
            host.nextReport = m_now + Millis(250);
            Host& leader = m_hosts[static_cast<size_t>(host.knownHost)];
            const bool lost = m_wild && chance() < 0.2;
            if (!leader.up || m_now < leader.pausedUntil || leader.term != host.knownTerm || lost)
                return;
            leader.office->reported(host.name, m_now);
            if (!leader.former.empty() && leader.former == host.name)
                formerStopped(leader, m_now);
            else if (!leader.former.empty() && leader.office->formerIsAlone())
                formerStopped(leader, leader.office->formerEnd(m_now));
        }

        void coordinate(size_t index)
        {
            Host& host = m_hosts[index];
            GrantPlan::Servers registered;
            for (const auto& server : m_servers) {
                if (server.registered.empty())
                    continue;
                RegisteredServer entry;
                entry.id = server.registered;
                entry.service = service;
                entry.leaving
                    = !settled() && m_now.time_since_epoch().count() / 5'000 % 7 == (&server - m_servers.data());
                registered.emplace(entry.id, entry);
            }
            host.plan->maintain(registered, m_now);
            if (!settled() && perSecond(3) && !registered.empty()) {
                const auto first = static_cast<uint32_t>(below(numberedKeys - 1'000));
                auto to = registered.begin();
                std::advance(to, static_cast<ptrdiff_t>(below(registered.size())));
                m_outcome.moves += host.plan->move(first, first + 999, to->first, "for the test");
            }
            for (const auto& order : host.plan->due(m_now))
                send(index, order);
            host.plan->takeEvents();
            if (host.plan->deposed())
                endTerm(host);
            else
                writeTable(host);
        }

        void writeTable(Host& host)
        {
            if (!host.plan->needsWrite(m_now) || m_now < host.nextWrite)
                return;
            GrantTable table = host.plan->table();
            table.coordinator = host.name;
            if (!m_guards.writeFirst)
                host.plan->onWritten(table.edition.edition, m_now);
            host.nextWrite = m_now + Millis(30);
            if (!reachesStore(host))
                return;
            const bool office = m_store.office.term == host.term && m_store.office.host >= 0;
            if (!office || m_store.tableRevision != host.tableRevision)
                return;
            m_store.table = table;
            m_store.tableRevision = host.tableRevision = ++m_store.revision;
            m_store.listed.clear();
            for (const auto& other : m_hosts)
                m_store.listed.insert(other.name);
            if (m_wild && chance() < 0.3) {
                host.nextWrite = m_now + Millis(1'000); // the answer is lost: read back a second later
                return;
            }
            host.office->setListed(m_store.listed);
            host.plan->onWritten(table.edition.edition, m_now);
        }

        // --- What must hold

        void look()
        {
            const bool calm = m_now >= Instant(calmFrom);
            for (size_t key = 0; key < sampleCount; ++key) {
                int holders = 0;
                for (const auto& server : m_servers)
                    holders += server.up && server.holds[key].until > m_now;
                m_outcome.twoHolders += holders > 1;
                m_looked += calm;
                m_served += calm && holders == 1;
            }
        }

        std::mt19937_64 m_random;
        Guards m_guards;
        Restart m_restart;
        GrantTiming m_timing;
        OfficeTiming m_officeTiming;
        Instant m_now {};
        Store m_store;
        std::array<Host, hostCount> m_hosts;
        std::array<Server, serverCount> m_servers;
        std::vector<Message> m_messages;
        size_t m_lives = 0;
        double m_cuts = 1;
        bool m_wild = false; // messages go astray
        size_t m_looked = 0;
        size_t m_served = 0;
        Outcome m_outcome;
    };

}

Outcome play(uint64_t seed, const Guards& guards, Restart restart) { return World(seed, guards, restart).run(); }

}
