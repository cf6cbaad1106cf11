// The forwarding service. A waiting call occupies no thread: its reactor finishes it when the
// answer arrives or its alarm fires, whichever comes first.
#include "core/peer/forward_service.h"

#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>

#include <atomic>

#include "core/peer/codec.h"
#include "peer.grpc.pb.h"

namespace savorytrail::peer {
namespace {

// An open call, shared by the answer's listener and the alarm, each of which may outlive the call.
class open_call : public std::enable_shared_from_this<open_call> {
public:
    open_call(grpc::ServerUnaryReactor* reactor, schema::forward_reply* reply)
        : m_reactor(reactor), m_reply(reply) {}

    void finish(const forward_result& result) {
        if (m_is_finished.exchange(true))
            return;
        to_message(result, *m_reply);
        m_reactor->Finish(grpc::Status::OK);
    }

    void finish_after(common::milliseconds wait, const forward_result& at_end) {
        if (m_is_finished)
            return;
        m_alarm.Set(std::chrono::system_clock::now() + wait,
                    [self = shared_from_this(), at_end](bool) { self->finish(at_end); });
    }

private:
    grpc::ServerUnaryReactor* const m_reactor; // valid until finished
    schema::forward_reply* const m_reply;      // valid until finished
    std::atomic<bool> m_is_finished{false};
    grpc::Alarm m_alarm;
};

forward_result still_running(const submission::incarnation& self) {
    forward_result it;
    it.answer.state = job::answer_state::running;
    it.answer.why = job::reason::wait_over;
    it.current = self;
    return it;
}

class forward_service final : public schema::entry_peer::CallbackService {
public:
    explicit forward_service(request_handler& handler) : m_handler(handler) {}

    grpc::ServerUnaryReactor* forward(grpc::CallbackServerContext* context,
                                      const schema::forward_request* message,
                                      schema::forward_reply* reply) override {
        auto* reactor = context->DefaultReactor();
        auto request = from_message(*message);
        if (!request) {
            reactor->Finish({grpc::StatusCode::INVALID_ARGUMENT, "malformed request"});
            return reactor;
        }
        const auto call = std::make_shared<open_call>(reactor, reply);
        const auto wait = request->wait;
        m_handler.handle(std::move(*request),
                         [call](const forward_result& result) { call->finish(result); });
        // Set after handle(), so that an answer that is already known precedes a wait of zero.
        call->finish_after(wait, still_running(m_handler.self()));
        return reactor;
    }

private:
    request_handler& m_handler;
};

} // namespace

std::unique_ptr<grpc::Service> make_forward_service(request_handler& handler) {
    return std::make_unique<forward_service>(handler);
}

} // namespace savorytrail::peer
