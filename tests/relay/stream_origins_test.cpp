#include <bamboogate/relay/configuration_store.hpp>
#include <bamboogate/relay/stream_origins.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

const service_id gen("gen");
const software_version v1("v1");
const software_version v2("v2");

struct stream_origins_fixture
{
    stream_origins origins{{.retention = 10s, .max_entries = 8}};
    time_point now{1h};
};

} // namespace

// Guards against a caller that resumes the stream of another account.
TEST_CASE("stream_key_of_another_account_differs")
{
    const client_account_id account("a");
    CHECK(stream_key(account, request_id("1x")) !=
          stream_key(client_account_id("a1"), request_id("x")));
    CHECK(stream_key(account, request_id("x")) ==
          stream_key(account, request_id("x")));
}

// Guards against an origin that is lost while its caller resumes, and against
// memory that grows with every stream.
TEST_CASE_FIXTURE(stream_origins_fixture,
                  "stream_origins_entry_expires_after_its_retention")
{
    origins.note(1, {gen, v1}, now);
    origins.note(2, {gen, v1}, now);
    now += 10s;
    origins.note(1, {gen, v1}, now);
    CHECK(origins.find(2) == origin_record{{gen, v1}});
    now += 10s;
    origins.note(3, {gen, v2}, now);
    CHECK(origins.find(1) == origin_record{{gen, v1}});
    CHECK_FALSE(origins.find(2));
    for (std::uint64_t key = 100; key < 200; ++key) {
        origins.note(key, {gen, v1}, now);
    }
    CHECK(origins.size() <= 8);
}

// Guards against a replica that knows an origin from before the stream was
// placed again at another version.
TEST_CASE_FIXTURE(stream_origins_fixture,
                  "stream_origins_merged_batches_equal_the_source")
{
    origins.note(1, {gen, v1}, now);
    origins.note(2, {gen, v2}, now);
    stream_origins replica;
    for (const auto& batch : origins.take_unsent()) {
        replica.merge(batch, stream_origins::conflict::replace, now);
    }
    CHECK(origins.take_unsent().empty());
    origins.note(1, {gen, v2}, now);
    for (const auto& batch : origins.take_unsent()) {
        replica.merge(batch, stream_origins::conflict::replace, now);
    }
    CHECK(replica.find(1) == origin_record{{gen, v2}});
    CHECK(replica.find(2) == origin_record{{gen, v2}});
    CHECK(replica.take_unsent().empty());
    replica.merge({{gen, v1}, {1, 3}}, stream_origins::conflict::keep, now);
    CHECK(replica.find(1) == origin_record{{gen, v2}});
    CHECK(replica.find(3) == origin_record{{gen, v1}});
}

// Guards against an origin of a stream that has begun and that a replica which
// was cut off replaces by an earlier placement.
TEST_CASE_FIXTURE(stream_origins_fixture,
                  "stream_origins_begun_stream_keeps_its_origin")
{
    using conflict = stream_origins::conflict;
    const origin_record begun{{gen, v2}, true};
    origins.note(1, {gen, v1}, now);
    origins.note_begun(1, {gen, v2}, now);
    CHECK(origins.find(1) == begun);
    origins.note(1, {gen, v1}, now);
    origins.merge({{gen, v1}, {1}}, conflict::replace, now);
    CHECK(origins.find(1) == begun);
    stream_origins outdated;
    outdated.merge({{gen, v1}, {1}}, conflict::replace, now);
    for (const auto& batch : origins.all()) {
        outdated.merge(batch, conflict::keep, now);
    }
    CHECK(outdated.find(1) == begun);
}

// Guards against a service that counts as having one version after a restart,
// though another one has begun streams.
TEST_CASE("version_history_survives_a_snapshot")
{
    configuration_store store;
    std::uint64_t index = 0;
    const auto apply = [&](const std::string& command) {
        store.apply({.index = ++index}, command);
    };
    apply(version_history::encode_add(gen, v1));
    CHECK(store.versions().sole_version(gen) == v1);
    apply(version_history::encode_add(gen, v2));
    configuration_store restored;
    REQUIRE(restored.restore(store.snapshot()));
    CHECK_FALSE(restored.versions().sole_version(gen));
    apply(version_history::encode_remove(gen, v1));
    CHECK(store.versions().sole_version(gen) == v2);
    CHECK_FALSE(store.versions().contains(gen, v1));
}
