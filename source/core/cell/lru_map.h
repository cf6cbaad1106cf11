// A map of bounded size: inserting into a full one evicts the least recently touched entry. Find,
// insert and touch take constant time, and entries keep their address until evicted.
#pragma once

#include <cstddef>
#include <list>
#include <utility>

#include "absl/container/flat_hash_map.h"

namespace savorytrail::cell {

template <typename Key, typename Value>
class lru_map {
public:
    explicit lru_map(std::size_t capacity) : m_capacity(capacity) {}

    // Does not touch the entry.
    Value* find(const Key& key) {
        const auto it = m_index.find(key);
        return it == m_index.end() ? nullptr : &it->second->second;
    }
    const Value* find(const Key& key) const {
        const auto it = m_index.find(key);
        return it == m_index.end() ? nullptr : &it->second->second;
    }

    // Finds or inserts the entry, and touches it.
    Value& touch(const Key& key) {
        if (const auto it = m_index.find(key); it != m_index.end()) {
            m_entries.splice(m_entries.begin(), m_entries, it->second);
            return it->second->second;
        }
        if (m_entries.size() >= m_capacity) {
            m_index.erase(m_entries.back().first);
            m_entries.pop_back();
        }
        m_entries.emplace_front(key, Value{});
        m_index[key] = m_entries.begin();
        return m_entries.front().second;
    }

    void erase(const Key& key) {
        if (const auto it = m_index.find(key); it != m_index.end()) {
            m_entries.erase(it->second);
            m_index.erase(it);
        }
    }

    // `predicate` is called with each key and entry.
    template <typename Predicate>
    void erase_if(Predicate predicate) {
        for (auto it = m_entries.begin(); it != m_entries.end();) {
            if (predicate(it->first, it->second)) {
                m_index.erase(it->first);
                it = m_entries.erase(it);
            } else {
                ++it;
            }
        }
    }

    std::size_t size() const { return m_entries.size(); }
    // The entries, the most recently touched first.
    const std::list<std::pair<Key, Value>>& entries() const { return m_entries; }
    std::list<std::pair<Key, Value>>& entries() { return m_entries; }

private:
    std::size_t m_capacity;
    std::list<std::pair<Key, Value>> m_entries;
    absl::flat_hash_map<Key, typename std::list<std::pair<Key, Value>>::iterator> m_index;
};

} // namespace savorytrail::cell
