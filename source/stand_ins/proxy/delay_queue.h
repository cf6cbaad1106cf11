// FIFO queue of data chunks, each of which becomes due at a given time.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "core/common/clock.h"

namespace savorytrail::stand_ins {

class delay_queue {
public:
    // `due` is raised to that of the previous chunk if it is earlier, to preserve the order.
    void add(std::string data, common::time_point due) {
        if (!m_chunks.empty())
            due = std::max(due, m_chunks.back().due);
        m_bytes += data.size();
        m_chunks.push_back({due, std::move(data)});
    }

    bool has_due(common::time_point now) const {
        return !m_chunks.empty() && m_chunks.front().due <= now;
    }
    std::optional<common::time_point> next_due() const {
        return m_chunks.empty() ? std::nullopt : std::optional(m_chunks.front().due);
    }

    const std::string& front() const { return m_chunks.front().data; }
    // Removes the first `n` bytes of the first chunk, and the chunk when it becomes empty.
    void consume(std::size_t n) {
        m_bytes -= n;
        m_chunks.front().data.erase(0, n);
        if (m_chunks.front().data.empty())
            m_chunks.pop_front();
    }
    void clear() {
        m_chunks.clear();
        m_bytes = 0;
    }

    bool empty() const { return m_chunks.empty(); }
    std::size_t bytes() const { return m_bytes; }

private:
    struct chunk {
        common::time_point due;
        std::string data;
    };
    std::deque<chunk> m_chunks; // ordered by due
    std::size_t m_bytes = 0;    // total size of m_chunks
};

} // namespace savorytrail::stand_ins
