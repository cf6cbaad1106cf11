// Pieces that wait until they are due, in order of arrival.
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
    // A piece is never due before one that was added earlier.
    void add(std::string data, common::time_point due) {
        if (!m_pieces.empty())
            due = std::max(due, m_pieces.back().due);
        m_bytes += data.size();
        m_pieces.push_back({due, std::move(data)});
    }

    bool has_due(common::time_point now) const {
        return !m_pieces.empty() && m_pieces.front().due <= now;
    }
    std::optional<common::time_point> next_due() const {
        return m_pieces.empty() ? std::nullopt : std::optional(m_pieces.front().due);
    }

    const std::string& front() const { return m_pieces.front().data; }
    // Removes the first bytes of the first piece, and the piece once it is empty.
    void consume(std::size_t n) {
        m_bytes -= n;
        m_pieces.front().data.erase(0, n);
        if (m_pieces.front().data.empty())
            m_pieces.pop_front();
    }
    void clear() {
        m_pieces.clear();
        m_bytes = 0;
    }

    bool empty() const { return m_pieces.empty(); }
    std::size_t bytes() const { return m_bytes; }

private:
    struct piece {
        common::time_point due;
        std::string data;
    };
    std::deque<piece> m_pieces; // ordered by due
    std::size_t m_bytes = 0;    // sum over m_pieces
};

} // namespace savorytrail::stand_ins
