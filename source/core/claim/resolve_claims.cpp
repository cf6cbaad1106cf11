// Resolves claims by optimistic transactions.
#include "core/claim/resolve_claims.h"

#include <optional>

#include "absl/container/flat_hash_map.h"

namespace savorytrail::claim {
namespace {

// Each conflict resolves at least one claim: a few rounds suffice unless rows vanish meanwhile.
constexpr int max_rounds = 4;

using resolved_rows = std::vector<std::optional<resolved_claim>>;

std::optional<resolved_claim> read(const platform::row& it) {
    const auto row = parse_claim_row(it.value);
    return row ? std::optional(resolved_claim{*row, it.version}) : std::nullopt;
}

std::vector<platform::operation> missing_rows(const std::vector<pending_claim>& claims,
                                              const resolved_rows& rows) {
    std::vector<platform::operation> operations;
    for (std::size_t i = 0; i < claims.size(); i++) {
        if (!rows[i])
            operations.push_back(
                {claims[i].key, platform::absent_row, to_text(claims[i].proposed)});
    }
    return operations;
}

void record_committed(const std::vector<pending_claim>& claims,
                      const std::vector<std::uint64_t>& versions, resolved_rows& rows) {
    std::size_t n = 0;
    for (std::size_t i = 0; i < claims.size() && n < versions.size(); i++) {
        if (!rows[i])
            rows[i] = resolved_claim{claims[i].proposed, versions[n++]};
    }
}

void record_existing(const std::vector<pending_claim>& claims,
                     const std::vector<platform::row>& existing, resolved_rows& rows) {
    absl::flat_hash_map<std::string, const platform::row*> by_key;
    for (const auto& it : existing)
        by_key[it.key] = &it;
    for (std::size_t i = 0; i < claims.size(); i++) {
        const auto found = by_key.find(claims[i].key);
        if (!rows[i] && found != by_key.end() && found->second->version != 0)
            rows[i] = read(*found->second);
    }
}

// Returns whether the rows could be read. Claims whose row does not exist stay unresolved.
bool read_rows_back(platform::table& table, const std::vector<pending_claim>& claims,
                    resolved_rows& rows) {
    for (std::size_t i = 0; i < claims.size(); i++) {
        if (rows[i])
            continue;
        const auto present = table.read_newer(claims[i].key, 0);
        if (!present && present.error() != common::error::not_found)
            return false;
        if (present && present.value())
            rows[i] = read(*present.value());
    }
    return true;
}

} // namespace

std::vector<common::result<resolved_claim>>
resolve_claims(platform::table& table, const std::vector<pending_claim>& claims) {
    resolved_rows rows(claims.size());
    for (int round = 0; round < max_rounds; round++) {
        const auto operations = missing_rows(claims, rows);
        if (operations.empty())
            break;
        const auto outcome = table.commit(operations);
        if (outcome && std::holds_alternative<platform::committed>(outcome.value())) {
            record_committed(claims, std::get<platform::committed>(outcome.value()).versions, rows);
            break;
        }
        if (outcome)
            record_existing(claims, std::get<platform::conflicts>(outcome.value()).rows, rows);
        else if (outcome.error() == common::error::unreachable ||
                 !read_rows_back(table, claims, rows))
            break;
    }

    std::vector<common::result<resolved_claim>> results;
    for (const auto& it : rows) {
        if (it)
            results.emplace_back(*it);
        else
            results.emplace_back(make_error_code(common::error::unavailable));
    }
    return results;
}

} // namespace savorytrail::claim
