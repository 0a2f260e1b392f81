// Announcements by a writer that is no upstream: they name no upstream to use,
// and neither end a process nor affect the other upstreams.
#include "platform/support/relay_fixture.hpp"
#include "support/raw_server.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct odd_announcement_fixture : relay_fixture
{
    int contacts = 0; ///< with the upstream that the odd announcements name
    raw_server odd{loop, [this](raw_server::connection&) { ++contacts; }};

    /// Returns an announcement in which one field has been replaced.
    [[nodiscard]] std::string body(const std::string& field = {},
                                   const std::string& value = {}) const
    {
        std::vector<std::pair<std::string, std::string>> fields{
            {"service", R"("book")"},
            {"address", fmt::format(R"("{}")", odd.bound_address().text())},
            {"zone", R"("d1")"},
            {"slots", "8"},
            {"state", R"("ready")"},
            {"coldLeftMs", "0"},
            {"version", R"("v1")"},
            {"seqNo", "1"},
            {"born", "1000"}};
        std::string out = "{";
        for (auto& [name, text] : fields) {
            out += fmt::format(R"({}"{}":{})", out.size() > 1 ? "," : "", name,
                               name == field ? value : text);
        }
        return out + "}";
    }
    /// A valid announcement without one field.
    [[nodiscard]] std::string body_without(std::string_view field) const
    {
        json document = json::parse(body());
        document.erase(std::string(field));
        return document.dump();
    }
    void check_rejected(const std::string& announcement)
    {
        CAPTURE(announcement.substr(0, 300));
        for (std::size_t node = 0; node < apis.size(); ++node) {
            const auto reply = control_call(
                node, "POST", "/Instances.Heartbeat/odd", announcement);
            CHECK(reply->status() == 400);
        }
    }
    /// Checks that requests reach the service and nothing else.
    void check_service_in_use()
    {
        announce(service, "book", "d1", ++sequence);
        for (int i = 0; i < 3; ++i) {
            const std::size_t at = service.received.size();
            const auto request =
                send_request("/book/x", fmt::format("b{}", at).c_str());
            REQUIRE(wait([&] { return service.received.size() == at + 1; }));
            service.answer(at, "ok");
            REQUIRE(wait([&] { return request->ended(); }));
            CHECK(request->status() == 200);
        }
        CHECK(contacts == 0);
    }
    int sequence = 1;
};

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE_FIXTURE(odd_announcement_fixture,
                  "announcement_with_deep_nesting_names_no_upstream")
{
    start_system();
    check_rejected(std::string(1'000'000, '['));
    check_rejected(nested(100'000));
    for (const std::size_t depth : {33U, 1000U, 100'000U}) {
        check_rejected(body("born", nested(depth)));
        check_rejected(body("born", "1000,\"models\":" + nested(depth)));
    }
    check_service_in_use();
}

TEST_CASE_FIXTURE(odd_announcement_fixture,
                  "announcement_with_a_number_too_large_names_no_upstream")
{
    start_system();
    for (const char* field : {"seqNo", "born", "slots", "coldLeftMs"}) {
        for (const char* value :
             {"1e400", "-1e400", "1e300", "-1e300", "18446744073709551615",
              "18446744073709551616", "9223372036854775808", "-1"}) {
            check_rejected(body(field, value));
        }
    }
    check_rejected(body("slots", "4294967296"));
    check_rejected(body("slots", "4294967304"));
    check_service_in_use();
}

// Guards against another writer that gives a known id to another service.
TEST_CASE_FIXTURE(odd_announcement_fixture,
                  "announcement_with_a_field_missing_names_no_upstream")
{
    start_system();
    for (const char* field : {"service", "address", "zone", "slots", "state",
                              "coldLeftMs", "version", "seqNo"}) {
        check_rejected(body_without(field));
    }
    check_service_in_use();
}

TEST_CASE_FIXTURE(odd_announcement_fixture,
                  "announcement_with_an_address_out_of_range_names_no_upstream")
{
    start_system();
    for (const char* value :
         {"127.0.0.1:65536", "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0",
          "127.0.0.1:99999999999999999999", "127.0.0.1:1e3",
          "127.0.0.1:", "127.0.0.1", "[::1:80", "256.0.0.1:80"}) {
        check_rejected(body("address", fmt::format(R"("{}")", value)));
    }
    check_rejected(body("address", "80"));
    check_service_in_use();
}

// Guards against header fields of the announcement in requests to engines.
TEST_CASE_FIXTURE(odd_announcement_fixture,
                  "announcement_with_a_null_in_its_address_names_no_upstream")
{
    start_system();
    for (const char* value :
         {R"(127.0.0.1\u0000x:80)", R"(127.0.0.1\u0000\r\nX-Field: x:80)"}) {
        check_rejected(body("address", fmt::format(R"("{}")", value)));
    }
    check_service_in_use();
}

// Guards against a response to the sender that cannot be encoded because it
// quotes the announcement.
TEST_CASE_FIXTURE(odd_announcement_fixture,
                  "announcement_that_is_no_text_names_no_upstream")
{
    start_system();
    check_rejected(std::string{'\xff', '\xfe', '\0', '\1'});
    check_rejected("{\"service\":\"\xff\"}");
    check_rejected(body("service", "\"b\xc3\""));
    check_rejected(body("state", "\"\xed\xa0\x80\""));
    check_service_in_use();
}

TEST_CASE_FIXTURE(odd_announcement_fixture,
                  "departure_that_cannot_be_read_ends_no_use_of_the_upstream")
{
    start_system();
    for (const std::string& value :
         {std::string("1e400"), std::string("1e300"), std::string("-1"),
          std::string("18446744073709551615"),
          std::string("18446744073709551616"), nested(1000),
          std::string("\"\xff\"")}) {
        CAPTURE(value.substr(0, 100));
        const auto reply = control_call(0, "POST", "/Instances.Deregister/s1",
                                        fmt::format(R"({{"born":{}}})", value));
        CHECK(reply->status() == 400);
    }
    check_service_in_use();
}

// Guards against an announcement for a service that the configuration does not
// name and that bears the address or the id of an upstream in use: it ended the
// upstream's running requests and its use.
TEST_CASE_FIXTURE(odd_announcement_fixture,
                  "announcement_for_an_unknown_service_ends_no_use")
{
    start_system();
    const auto stream = send_request("/gen/x", "g1");
    REQUIRE(wait([this] {
        return engine1.received.size() + engine2.received.size() == 1;
    }));
    fake_upstream& engine = engine1.received.empty() ? engine2 : engine1;
    engine.begin_stream(0);
    engine.event(0, 1);
    REQUIRE(wait([&] { return !stream->body.empty(); }));
    for (const auto* named : {&engine, &service}) {
        for (const auto& id : {std::string("odd"), named->id}) {
            const auto text = fmt::format(
                R"({{"service":"unknown","address":"{}","zone":"d1",)"
                R"("slots":8,"state":"ready","coldLeftMs":0,"version":"",)"
                R"("seqNo":900,"born":9000}})",
                named->server->bound_address().text());
            for (std::size_t node = 0; node < apis.size(); ++node) {
                control_call(node, "POST", "/Instances.Heartbeat/" + id, text);
            }
        }
    }
    run_until(
        loop, [] { return false; }, 200ms);
    engine.event(0, 2);
    engine.received[0].responder->finish();
    REQUIRE(wait([&] { return stream->ended(); }));
    CHECK(stream->complete);
    CHECK(stream->body.find("data: e2") != std::string::npos);
    CHECK(engine.disconnected_callers == 0);
    check_service_in_use();
}
