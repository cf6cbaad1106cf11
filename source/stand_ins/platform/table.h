// The platform's transactional table: versioned rows that are changed by compare-and-swap.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace savorytrail::stand_ins {

struct table_row {
    std::string key;
    std::int64_t version = 0; // 0: the row does not exist
    std::string value;

    bool operator==(const table_row&) const = default;
};

constexpr std::int64_t any_version = -1;

struct table_operation {
    std::string key;
    std::int64_t expected_version = any_version;
    std::optional<std::string> value; // nullopt deletes the row

    bool operator==(const table_operation&) const = default;
};

struct transaction_outcome {
    std::vector<std::int64_t> versions; // one per operation, 0 for a deletion; empty on conflict
    std::vector<table_row> conflicts;   // current rows whose version differs from the expected one

    bool operator==(const transaction_outcome&) const = default;
};

class table {
public:
    std::optional<table_row> read(const std::string& key) const;
    // The first `limit` rows whose key starts with the prefix, ordered by key.
    std::vector<table_row> list(const std::string& prefix, std::size_t limit) const;
    // Applies all operations atomically, or none on a conflict. Each key may appear at most once.
    transaction_outcome apply(const std::vector<table_operation>& operations);

private:
    struct stored_row {
        std::int64_t version = 0;
        std::optional<std::string> value; // nullopt after a deletion
    };
    table_row current_row(const std::string& key) const;

    mutable std::mutex m_mutex;
    // Guarded by m_mutex. A deleted row keeps its version, so that versions are never reused.
    std::map<std::string, stored_row> m_rows;
};

} // namespace savorytrail::stand_ins
