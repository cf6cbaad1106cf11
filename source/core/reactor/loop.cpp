#include "core/reactor/loop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/reactor/native.h"

namespace savorytrail::reactor {
namespace {

using boost::asio::steady_timer;

void run_periodically(const std::shared_ptr<steady_timer>& timer, common::milliseconds period,
                      const std::function<void()>& work) {
    timer->expires_after(period);
    timer->async_wait([timer, period, work](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        work();
        run_periodically(timer, period, work);
    });
}

void wait_for_signal(const std::shared_ptr<boost::asio::signal_set>& signals,
                     const std::function<void()>& work) {
    signals->async_wait([signals, work](boost::system::error_code ec, int) {
        if (ec) {
            return;
        }
        work();
        wait_for_signal(signals, work);
    });
}

} // namespace

loop::loop() : m_context(std::make_unique<context>()) {}

loop::~loop() = default;

void loop::post(std::function<void()> work) {
    boost::asio::post(m_context->io, std::move(work));
}

void loop::after(common::milliseconds delay, std::function<void()> work) {
    auto timer = std::make_shared<steady_timer>(m_context->io, delay);
    timer->async_wait([timer, work = std::move(work)](boost::system::error_code ec) {
        if (!ec) {
            work();
        }
    });
}

void loop::every(common::milliseconds period, const std::function<void()>& work) {
    run_periodically(std::make_shared<steady_timer>(m_context->io), period, work);
}

void loop::on_signal(int number, const std::function<void()>& work) {
    wait_for_signal(std::make_shared<boost::asio::signal_set>(m_context->io, number), work);
}

void loop::run() {
    auto guard = boost::asio::make_work_guard(m_context->io);
    m_context->io.run();
}

void loop::stop() {
    m_context->io.stop();
}

} // namespace savorytrail::reactor
