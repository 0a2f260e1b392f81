#include <bamboogate/core/json.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace bamboogate;

// Guards against input that exhausts the stack or reaches typed code without
// validation: every invalid input must give a typed error.

TEST_CASE("parse_json_malformed_text_names_line_and_column")
{
    const auto parsed = parse_json("{\n  \"a\": ,\n}");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().code == errc::malformed_input);
    CHECK(parsed.error().detail.find("line 2") != std::string::npos);
}

TEST_CASE("parse_json_deep_nesting_reports_limit_exceeded")
{
    const std::string text(100'000, '[');
    const auto parsed = parse_json(text);
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().code == errc::limit_exceeded);
}

TEST_CASE("parse_json_oversized_text_reports_limit_exceeded")
{
    const auto parsed = parse_json("[1,2,3]", {.max_bytes = 3});
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().code == errc::limit_exceeded);
}

TEST_CASE("decode_cbor_deep_nesting_reports_limit_exceeded")
{
    // 0x81 opens an array of one element.
    const std::string bytes(1u << 20, '\x81');
    const auto decoded = decode_cbor(bytes);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().code == errc::limit_exceeded);
}

// Guards against an exception for a length that no container can have.
TEST_CASE("decode_cbor_impossible_length_reports_malformed_input")
{
    std::string bytes;
    SUBCASE("array")
    {
        bytes = "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
    }
    SUBCASE("map")
    {
        bytes = "\xbb\x7f\xff\xff\xff\xff\xff\xff\xff";
    }
    SUBCASE("inside an array")
    {
        bytes = "\x81\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
    }
    SUBCASE("after more bytes than are read without a check of the depth")
    {
        bytes = "\x82\x59\x08" + std::string(1 + 2048, '\0') +
                "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
    }
    const auto decoded = decode_cbor(bytes);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().code == errc::malformed_input);
}

TEST_CASE("decode_cbor_truncated_item_reports_malformed_input")
{
    std::string bytes = encode_cbor({{"a", "value"}});
    bytes.pop_back();
    const auto decoded = decode_cbor(bytes);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().code == errc::malformed_input);
}

TEST_CASE("decode_cbor_encoded_document_gives_the_document_back")
{
    const json document = {{"a", {1, 2, 3}}, {"b", "text"}};
    const auto decoded = decode_cbor(encode_cbor(document));
    REQUIRE(decoded);
    CHECK(decoded.value() == document);
}
