// The message in which entries pass on changes of the list of executors.
#include "core/fleet/executor_list.h"
#include "fleet.pb.h"

namespace savorytrail::fleet {

std::string encode(const executor_changes& it) {
    schema::executor_list message;
    message.set_version(it.version);
    message.set_is_complete(it.is_complete);
    for (const auto& listed : it.executors) {
        auto* executor = message.add_executors();
        const auto& info = listed.info;
        executor->set_id(info.id);
        executor->set_host(info.address.host);
        executor->set_port(info.address.port);
        executor->set_failure_domain(info.failure_domain);
        executor->set_upstream(info.upstream);
        executor->set_cpu_millis(info.capacity.cpu_millis);
        executor->set_memory_mb(info.capacity.memory_mb);
        executor->set_accelerators(info.capacity.accelerators);
        for (const auto& label : info.labels) {
            executor->add_labels(label);
        }
        executor->set_is_draining(info.is_draining);
        executor->set_start_time_ms(info.start_time_ms);
        executor->set_cold_left_ms(static_cast<std::uint32_t>(info.cold_left.count()));
        executor->set_is_dropped(listed.is_dropped);
        executor->set_version(listed.version);
    }
    return message.SerializeAsString();
}

std::optional<executor_changes> decode_executor_changes(const std::string& bytes) {
    schema::executor_list message;
    if (!message.ParseFromString(bytes)) {
        return std::nullopt;
    }
    executor_changes it;
    it.version = message.version();
    it.is_complete = message.is_complete();
    for (const auto& executor : message.executors()) {
        work::executor_info info;
        info.id = executor.id();
        info.address = {executor.host(), static_cast<std::uint16_t>(executor.port())};
        info.failure_domain = executor.failure_domain();
        info.upstream = executor.upstream();
        info.capacity = {executor.cpu_millis(), executor.memory_mb(), executor.accelerators()};
        info.labels.assign(executor.labels().begin(), executor.labels().end());
        info.is_draining = executor.is_draining();
        info.start_time_ms = executor.start_time_ms();
        info.cold_left = common::milliseconds(executor.cold_left_ms());
        it.executors.push_back({std::move(info), executor.is_dropped(), executor.version()});
    }
    return it;
}

} // namespace savorytrail::fleet
