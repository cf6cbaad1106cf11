// The compare-and-swap loop. Every attempt carries the same expected version, so at most one of
// them takes effect, however late the others arrive.
#include "core/configuration/apply.h"

namespace savorytrail::configuration {
namespace {

using platform::row;

std::optional<apply_outcome> find_own_change(const record& present, const proposal& proposed) {
    const change* const own = present.find(proposed.change_id);
    if (own == nullptr)
        return std::nullopt;
    if (own == &present.last && present.text != proposed.text)
        return reused_change_id{*own};
    return accepted{own->version, present.last.version};
}

record next_record(const std::optional<record>& present, const proposal& proposed) {
    record next{{0, proposed.change_id, proposed.author, proposed.applied_at}, proposed.text, {}};
    if (!present)
        return next;
    next.earlier.push_back(present->last);
    next.earlier.insert(next.earlier.end(), present->earlier.begin(), present->earlier.end());
    if (next.earlier.size() > kept_changes)
        next.earlier.resize(kept_changes);
    return next;
}

// Whether a change that took effect right after `base` would still be found in the record.
bool remembers(const record& present, std::uint64_t base) {
    return present.last.version <= base + 1 + kept_changes;
}

bool is_final(const std::error_code& ec) {
    return ec == common::error::not_found || ec == common::error::malformed;
}

common::result<record> read_current(platform::table& table, const retry_gate& try_again) {
    for (;;) {
        auto current = configuration::read_current(table);
        if (current || is_final(current.error()) || !try_again())
            return current;
    }
}

class attempt_series {
public:
    attempt_series(platform::table& table, const proposal& proposed, std::uint64_t base,
                   std::string value)
        : m_table(table), m_proposed(proposed),
          m_base(base), m_operations{
                            {manifest_key, static_cast<std::int64_t>(base), std::move(value)}} {}

    common::result<apply_outcome> run(const retry_gate& try_again) {
        for (;;) {
            const auto answer = m_table.commit(m_operations);
            if (answer)
                return settle(answer.value());
            m_may_be_written |= answer.error() != common::error::unreachable;
            if (!try_again()) {
                if (m_may_be_written)
                    return apply_outcome(unsettled{answer.error()});
                return answer.error();
            }
        }
    }

private:
    common::result<apply_outcome> settle(const platform::commit_outcome& outcome) const {
        if (const auto* const won = std::get_if<platform::committed>(&outcome))
            return apply_outcome(accepted{won->versions.front(), won->versions.front()});

        const auto& rows = std::get<platform::conflicts>(outcome).rows;
        if (rows.empty())
            return apply_outcome(unsettled{make_error_code(common::error::malformed)});
        if (rows.front().version == 0)
            return apply_outcome(conflict{});
        const auto present = read_record(rows.front());
        if (!present)
            return apply_outcome(unsettled{present.error()});
        if (auto own = find_own_change(present.value(), m_proposed))
            return *std::move(own);
        if (m_may_be_written && !remembers(present.value(), m_base))
            return apply_outcome(unsettled{make_error_code(common::error::conflict)});
        return apply_outcome(conflict{present.value().last});
    }

    platform::table& m_table;
    const proposal& m_proposed;
    const std::uint64_t m_base; // version that the change replaces
    const std::vector<platform::operation> m_operations;
    bool m_may_be_written = false; // an attempt ended without telling whether it took effect
};

} // namespace

common::result<apply_outcome> apply(platform::table& table, const proposal& proposed,
                                    const retry_gate& try_again) {
    const auto current = read_current(table, try_again);
    if (!current && current.error() != common::error::not_found)
        return current.error();

    std::optional<record> present;
    if (current)
        present = current.value();
    if (present) {
        if (auto own = find_own_change(*present, proposed))
            return *std::move(own);
    }
    const change last = present ? present->last : change{};
    if (proposed.expected_version && *proposed.expected_version != last.version)
        return apply_outcome(conflict{last});

    auto value = write_record(next_record(present, proposed));
    if (!value)
        return value.error();
    return attempt_series(table, proposed, last.version, std::move(value).value()).run(try_again);
}

} // namespace savorytrail::configuration
