// Tests that the committed reference page and the samples agree with the schema.
#include "core/settings/reference.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <map>

#include "core/settings/load.h"
#include "core/settings/rule.h"
#include "manifest.pb.h"
#include "settings.pb.h"

namespace savorytrail::settings {
namespace {

// The repository's root, which ctest passes in SAVORY_SOURCE.
std::string source_folder() {
    const char* const folder = std::getenv("SAVORY_SOURCE");
    return folder != nullptr ? folder : ".";
}

TEST(reference, page_is_current) {
    const auto page = read_file(source_folder() + "/docs/SETTINGS.md");
    ASSERT_TRUE(page) << "docs/SETTINGS.md cannot be read";
    EXPECT_EQ(page.value(), reference()) << "regenerate it: savoryctl reference > docs/SETTINGS.md";
}

void expect_valid_rules(const google::protobuf::Descriptor& message) {
    for (int i = 0; i < message.field_count(); i++) {
        const FieldDescriptor& field = *message.field(i);
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            expect_valid_rules(*field.message_type());
            continue;
        }
        const schema::field_rule& rule = rule_of(field);
        EXPECT_FALSE(rule.help().empty()) << field.full_name();
        if (rule.required())
            continue;
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
            EXPECT_TRUE(matches_format(field, rule.default_value())) << field.full_name();
            continue;
        }
        const double value = std::strtod(rule.default_value().c_str(), nullptr);
        EXPECT_GE(value, range_of(field).min) << field.full_name();
        EXPECT_LE(value, range_of(field).max) << field.full_name();
    }
}

TEST(schema, defaults_are_valid_and_every_key_is_explained) {
    expect_valid_rules(*schema::entry_settings::descriptor());
    expect_valid_rules(*schema::manifest::descriptor());
}

struct sample {
    const char* file;
    std::map<std::string, int> executors; // by failure domain
};

std::ostream& operator<<(std::ostream& out, const sample& it) {
    return out << it.file;
}

class sample_manifests : public testing::TestWithParam<sample> {};

TEST_P(sample_manifests, are_valid_and_of_the_stated_size) {
    const auto loaded =
        load_file<schema::manifest>(source_folder() + "/samples/" + GetParam().file);
    ASSERT_EQ(to_string(loaded.problems), "");
    std::map<std::string, int> executors;
    for (const schema::executor& it : loaded.value.upstreams(0).executors()) {
        executors[it.failure_domain()]++;
        EXPECT_EQ(it.slots(), 8U);
        EXPECT_EQ(it.connections(), 60U);
    }
    EXPECT_EQ(executors, GetParam().executors);
}

const sample samples[] = {
    {"brana.toml", {{"zilina", 17}, {"banska", 17}, {"martin", 16}}},
    {"norrsken.toml", {{"kiruna-a", 13}, {"kiruna-b", 13}, {"lulea", 12}, {"pitea", 12}}},
};

INSTANTIATE_TEST_SUITE_P(samples, sample_manifests, testing::ValuesIn(samples));

TEST(samples, settings_are_valid) {
    const auto loaded = load_file<schema::entry_settings>(source_folder() + "/samples/entry.toml");
    EXPECT_EQ(to_string(loaded.problems), "");
}

} // namespace
} // namespace savorytrail::settings
