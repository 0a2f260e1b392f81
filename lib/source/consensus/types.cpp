#include <bamboogate/consensus/messages.hpp>
#include <bamboogate/consensus/types.hpp>

#include <algorithm>

namespace bamboogate::consensus {

namespace {

json to_binary(std::string_view bytes)
{
    return json::binary(
        json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::string from_binary(const json& document)
{
    const auto& bytes = document.get_ref<const json::binary_t&>();
    return {bytes.begin(), bytes.end()};
}

template <typename Enum>
Enum checked_enum(const json& document, Enum largest)
{
    const auto value = document.get<unsigned>();
    if (value > static_cast<unsigned>(largest)) {
        throw json::other_error::create(501, "unknown enumerator", nullptr);
    }
    return static_cast<Enum>(value);
}

} // namespace

const member* membership::find(const node_id& node) const
{
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const member& m) { return m.node == node; });
    return found == members.end() ? nullptr : &*found;
}

member* membership::find(const node_id& node)
{
    return const_cast<member*>(std::as_const(*this).find(node));
}

std::size_t membership::voter_count() const
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const member& m) {
            return m.role == member_role::voter;
        }));
}

bool membership::is_voter(const node_id& node, incarnation folder) const
{
    const member* found = find(node);
    return found != nullptr && found->role == member_role::voter &&
           (found->folder.value == 0 || found->folder == folder);
}

bool membership::has_unbound_voters() const
{
    return std::any_of(members.begin(), members.end(), [](const member& m) {
        return m.role == member_role::voter && m.folder.value == 0;
    });
}

std::size_t membership::quorum() const
{
    const std::size_t voters = voter_count();
    return has_unbound_voters() ? voters : voters / 2 + 1;
}

std::string encode_membership(const membership& members)
{
    return encode_cbor(members);
}

result<membership> decode_membership(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(document, decode_cbor(bytes));
    return from_document<membership>(document);
}

void to_json(json& document, const log_position& value)
{
    document = json::array({value.term, value.index});
}

void from_json(const json& document, log_position& value)
{
    document.at(0).get_to(value.term);
    document.at(1).get_to(value.index);
}

void to_json(json& document, const entry& value)
{
    document =
        json::array({value.position.term, value.position.index,
                     static_cast<unsigned>(value.kind), to_binary(value.data)});
}

void from_json(const json& document, entry& value)
{
    document.at(0).get_to(value.position.term);
    document.at(1).get_to(value.position.index);
    value.kind = checked_enum(document.at(2), entry_kind::configuration);
    value.data = from_binary(document.at(3));
}

void to_json(json& document, const member& value)
{
    document = {{"node", value.node},
                {"folder", value.folder},
                {"role", static_cast<unsigned>(value.role)},
                {"promote", value.promote_when_caught_up}};
}

void from_json(const json& document, member& value)
{
    document.at("node").get_to(value.node);
    document.at("folder").get_to(value.folder);
    value.role = checked_enum(document.at("role"), member_role::learner);
    document.at("promote").get_to(value.promote_when_caught_up);
}

void to_json(json& document, const membership& value)
{
    document = value.members;
}

void from_json(const json& document, membership& value)
{
    document.get_to(value.members);
}

void to_json(json& document, const snapshot_info& value)
{
    document = {{"last", value.last}, {"members", value.members}};
}

void from_json(const json& document, snapshot_info& value)
{
    document.at("last").get_to(value.last);
    document.at("members").get_to(value.members);
}

void to_json(json& document, const install_snapshot& value)
{
    document = {{"term", value.term},
                {"folder", value.folder},
                {"info", value.info},
                {"offset", value.offset},
                {"data", to_binary(value.data)},
                {"done", value.done},
                {"sent_at", value.sent_at}};
}

void from_json(const json& document, install_snapshot& value)
{
    document.at("term").get_to(value.term);
    document.at("folder").get_to(value.folder);
    document.at("info").get_to(value.info);
    document.at("offset").get_to(value.offset);
    value.data = from_binary(document.at("data"));
    document.at("done").get_to(value.done);
    document.at("sent_at").get_to(value.sent_at);
}

} // namespace bamboogate::consensus
