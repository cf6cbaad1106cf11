// The compare-and-swap loop. All attempts have the same expected version, so at most one of them
// takes effect, however late the others arrive.
#include "core/configuration/apply.h"

namespace savorytrail::configuration {
namespace {

using platform::row;

std::optional<apply_outcome> find_applied_change(const record& present, const proposal& proposed) {
    const change* const existing = present.find(proposed.change_id);
    if (existing == nullptr)
        return std::nullopt;
    if (existing == &present.last && present.text != proposed.text)
        return reused_change_id{*existing};
    return accepted{existing->version, present.last.version};
}

record next_record(const std::optional<record>& present, const proposal& proposed) {
    record next{{0, proposed.change_id, proposed.author, proposed.applied_at}, proposed.text, {}};
    if (!present)
        return next;
    next.earlier.push_back(present->last);
    next.earlier.insert(next.earlier.end(), present->earlier.begin(), present->earlier.end());
    if (next.earlier.size() > max_earlier_changes)
        next.earlier.resize(max_earlier_changes);
    return next;
}

// Whether the record's history reaches back far enough to contain a change that replaced `base`.
bool covers_attempt(const record& present, std::uint64_t base) {
    return present.last.version <= base + 1 + max_earlier_changes;
}

bool is_final(const std::error_code& ec) {
    return ec == common::error::not_found || ec == common::error::malformed;
}

common::result<record> read_current(platform::table& table, const retry_predicate& should_retry) {
    for (;;) {
        auto current = configuration::read_current(table);
        if (current || is_final(current.error()) || !should_retry())
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

    common::result<apply_outcome> run(const retry_predicate& should_retry) {
        for (;;) {
            const auto answer = m_table.commit(m_operations);
            if (answer)
                return interpret(answer.value());
            m_may_be_written |= answer.error() != common::error::unreachable;
            if (!should_retry()) {
                if (m_may_be_written)
                    return apply_outcome(unknown_outcome{answer.error()});
                return answer.error();
            }
        }
    }

private:
    common::result<apply_outcome> interpret(const platform::commit_outcome& outcome) const {
        if (const auto* const success = std::get_if<platform::committed>(&outcome))
            return apply_outcome(accepted{success->versions.front(), success->versions.front()});

        const auto& rows = std::get<platform::conflicts>(outcome).rows;
        if (rows.empty())
            return apply_outcome(unknown_outcome{make_error_code(common::error::malformed)});
        if (rows.front().version == 0)
            return apply_outcome(conflict{});
        const auto present = read_record(rows.front());
        if (!present)
            return apply_outcome(unknown_outcome{present.error()});
        if (auto existing = find_applied_change(present.value(), m_proposed))
            return *std::move(existing);
        if (m_may_be_written && !covers_attempt(present.value(), m_base))
            return apply_outcome(unknown_outcome{make_error_code(common::error::conflict)});
        return apply_outcome(conflict{present.value().last});
    }

    platform::table& m_table;
    const proposal& m_proposed;
    const std::uint64_t m_base; // the version that the change replaces
    const std::vector<platform::operation> m_operations;
    bool m_may_be_written = false; // the outcome of some attempt is unknown
};

} // namespace

common::result<apply_outcome> apply(platform::table& table, const proposal& proposed,
                                    const retry_predicate& should_retry) {
    const auto current = read_current(table, should_retry);
    if (!current && current.error() != common::error::not_found)
        return current.error();

    std::optional<record> present;
    if (current)
        present = current.value();
    if (present) {
        if (auto existing = find_applied_change(*present, proposed))
            return *std::move(existing);
    }
    const change last = present ? present->last : change{};
    if (proposed.expected_version && *proposed.expected_version != last.version)
        return apply_outcome(conflict{last});

    auto value = write_record(next_record(present, proposed));
    if (!value)
        return value.error();
    return attempt_series(table, proposed, last.version, std::move(value).value())
        .run(should_retry);
}

} // namespace savorytrail::configuration
