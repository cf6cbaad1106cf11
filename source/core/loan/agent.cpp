// gRPC service, client calls and background thread for loans.
#include "core/loan/agent.h"

#include <grpcpp/grpcpp.h>

#include "core/loan/codec.h"
#include "loan.grpc.pb.h"

namespace savorytrail::loan {
namespace {

constexpr common::milliseconds poll_interval{20};

class loan_service final : public schema::loan_peer::CallbackService {
public:
    explicit loan_service(agent& owner) : m_owner(owner) {}

    grpc::ServerUnaryReactor* exchange(grpc::CallbackServerContext* context,
                                       const schema::loan_request* message,
                                       schema::loan_reply* reply) override {
        auto* reactor = context->DefaultReactor();
        const auto request = from_message(*message);
        const auto answer = request ? m_owner.handle(*request) : std::nullopt;
        if (answer) {
            to_message(*answer, *reply);
            reactor->Finish(grpc::Status::OK);
        } else {
            reactor->Finish({grpc::StatusCode::INVALID_ARGUMENT, "malformed or unknown upstream"});
        }
        return reactor;
    }

private:
    agent& m_owner;
};

} // namespace

// One pending call to a peer.
struct agent::call {
    exchange sent;
    grpc::ClientContext context;
    schema::loan_request request;
    schema::loan_reply reply;
    std::unique_ptr<schema::loan_peer::Stub> stub;
};

agent::agent(dispatch::dispatcher& dispatcher, peer::channel_pool& channels,
             const common::clock& clock, agent_options options, agent_hooks hooks)
    : m_dispatcher(dispatcher), m_channels(channels), m_clock(clock), m_options(std::move(options)),
      m_hooks(std::move(hooks)), m_lender(dispatcher, m_options.incarnation),
      m_borrower(dispatcher, m_options.vm, m_options.incarnation,
                 [this](const std::string& upstream, const std::string& executor) {
                     return find_executor(upstream, executor);
                 }) {
    m_dispatcher.set_backlog_listener([this](const std::string&) { wake(); });
}

agent::~agent() {
    stop();
}

std::unique_ptr<grpc::Service> agent::make_service() {
    return std::make_unique<loan_service>(*this);
}

void agent::apply(std::shared_ptr<const manifest::manifest> manifest) {
    const std::lock_guard lock(m_manifest_mutex);
    m_manifest = std::move(manifest);
}

void agent::set_offers(const std::vector<offer>& offers) {
    m_borrower.set_offers(offers, m_clock.now());
}

std::vector<offer> agent::own_offers() const {
    std::vector<offer> offers;
    for (const auto& it : m_dispatcher.demands()) {
        const auto idle = static_cast<std::uint32_t>(m_dispatcher.lendable_slots(it.upstream));
        offers.push_back({m_options.vm, it.upstream, idle, false});
    }
    return offers;
}

void agent::start() {
    m_thread = std::thread([this] { run(); });
}

void agent::stop() {
    {
        std::unique_lock lock(m_mutex);
        m_is_stopping = true;
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return m_pending_calls == 0; });
    }
    if (m_thread.joinable())
        m_thread.join();
}

std::optional<loan_reply> agent::handle(const loan_request& request) {
    const auto manifest = current_manifest();
    const auto* upstream = manifest ? manifest->find_upstream(request.upstream) : nullptr;
    if (upstream == nullptr)
        return std::nullopt;
    std::vector<dispatch::task_start> starts;
    auto reply = m_lender.handle(request, upstream->task_timeout, m_clock.now(), starts);
    m_hooks.send_starts(std::move(starts));
    return reply;
}

void agent::run() {
    std::unique_lock lock(m_mutex);
    while (!m_is_stopping) {
        m_changed.wait_for(lock, poll_interval, [this] { return m_is_woken || m_is_stopping; });
        m_is_woken = false;
        if (m_is_stopping)
            return;
        lock.unlock();
        std::vector<dispatch::task_start> starts;
        m_lender.tick(m_clock.now(), starts);
        m_hooks.send_starts(std::move(starts));
        for (const auto& it : m_borrower.decide(m_clock.now()))
            send(it);
        lock.lock();
    }
}

void agent::wake() {
    const std::lock_guard lock(m_mutex);
    m_is_woken = true;
    m_changed.notify_all();
}

void agent::send(const exchange& it) {
    const auto address = m_hooks.address_of(it.vm);
    if (!address) {
        m_borrower.failed(it, m_clock.now());
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_pending_calls++;
    }
    const auto pending = std::make_shared<call>();
    pending->sent = it;
    pending->context.set_deadline(std::chrono::system_clock::now() + m_options.call_timeout);
    m_hooks.count_request();
    to_message(it.request, pending->request);
    pending->stub = schema::loan_peer::NewStub(m_channels.get(*address));
    pending->stub->async()->exchange(
        &pending->context, &pending->request, &pending->reply,
        [this, pending](const grpc::Status& status) { finish(*pending, status.ok()); });
}

void agent::finish(const call& it, bool is_answered) {
    const auto now = m_clock.now();
    if (is_answered) {
        std::vector<dispatch::task_start> starts;
        m_borrower.replied(it.sent, from_message(it.reply), now, starts);
        m_hooks.send_starts(std::move(starts));
    } else {
        m_borrower.failed(it.sent, now);
    }
    const std::lock_guard lock(m_mutex);
    m_pending_calls--;
    m_is_woken = true;
    m_changed.notify_all();
}

std::optional<manifest::executor> agent::find_executor(const std::string& upstream,
                                                       const std::string& executor) const {
    const auto manifest = current_manifest();
    const auto* found = manifest ? manifest->find_upstream(upstream) : nullptr;
    if (found == nullptr)
        return std::nullopt;
    for (const auto& it : found->executors) {
        if (it.name == executor)
            return m_hooks.takes_new_work(it.vm) ? std::optional(it) : std::nullopt;
    }
    return std::nullopt;
}

std::shared_ptr<const manifest::manifest> agent::current_manifest() const {
    const std::lock_guard lock(m_manifest_mutex);
    return m_manifest;
}

} // namespace savorytrail::loan
