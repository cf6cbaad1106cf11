// Encodes and decodes loan messages.
#include "core/loan/codec.h"

#include "loan.pb.h"

namespace savorytrail::loan {
namespace {

void to_message(const submission::incarnation& value, schema::incarnation& out) {
    out.set_high(value.high);
    out.set_low(value.low);
}

submission::incarnation from_message(const schema::incarnation& message) {
    return {message.high(), message.low()};
}

} // namespace

void to_message(const loan_request& value, schema::loan_request& out) {
    out.set_borrower(value.borrower);
    to_message(value.incarnation, *out.mutable_borrower_incarnation());
    out.set_sequence(value.sequence);
    out.set_upstream(value.upstream);
    out.set_wanted(value.wanted);
    for (const auto& it : value.held) {
        auto& held = *out.add_held();
        held.set_loan(it.loan);
        held.set_slots(it.slots);
        held.set_renews(it.renews);
    }
    for (const auto& it : value.ejected)
        out.add_ejected(it);
}

std::optional<loan_request> from_message(const schema::loan_request& message) {
    if (message.borrower().empty() || message.upstream().empty() || message.sequence() == 0)
        return std::nullopt;
    loan_request value;
    value.borrower = message.borrower();
    value.incarnation = from_message(message.borrower_incarnation());
    value.sequence = message.sequence();
    value.upstream = message.upstream();
    value.wanted = message.wanted();
    value.ejected.assign(message.ejected().begin(), message.ejected().end());
    for (const auto& it : message.held())
        value.held.push_back({it.loan(), it.slots(), it.renews()});
    return value;
}

void to_message(const loan_reply& value, schema::loan_reply& out) {
    to_message(value.lender, *out.mutable_lender_incarnation());
    out.set_term_ms(static_cast<std::uint32_t>(value.term.count()));
    for (const auto& it : value.granted) {
        auto& granted = *out.add_granted();
        granted.set_loan(it.loan);
        granted.set_executor(it.slots.executor);
        granted.set_slots(it.slots.slots);
    }
    for (const auto it : value.renewed)
        out.add_renewed(it);
    out.set_idle_slots(value.idle_slots);
}

loan_reply from_message(const schema::loan_reply& message) {
    loan_reply value;
    value.lender = from_message(message.lender_incarnation());
    value.term = common::milliseconds(message.term_ms());
    for (const auto& it : message.granted())
        value.granted.push_back({it.loan(), {it.executor(), it.slots()}});
    value.renewed.assign(message.renewed().begin(), message.renewed().end());
    value.idle_slots = message.idle_slots();
    return value;
}

} // namespace savorytrail::loan
