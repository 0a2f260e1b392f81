#include <bamboogate/config/registry.hpp>

#include <algorithm>
#include <initializer_list>
#include <vector>

namespace bamboogate::config {

namespace {

using enum setting_type;

/// Settings common to gates and control replicas.
std::vector<setting> daemon_settings()
{
    return {
        {.name = "node-id",
         .type = identifier,
         .help = "Name of this process, unique among gates and replicas.",
         .required = true},
        {.name = "failure-domain",
         .type = identifier,
         .help = "Name of the failure domain of this vm.",
         .required = true},
        {.name = "link-address",
         .type = listener,
         .help = "Where links from gates and replicas are accepted.",
         .required = true},
        {.name = "secret-file",
         .type = file,
         .help = "File with the secret that all processes share. It wins over "
                 "BAMBOOGATE_SECRET; one of the two is required."},
        {.name = "secret",
         .type = setting_type::secret,
         .help = "The secret that all processes share.",
         .source = setting_source::environment_only},
        {.name = "log-level",
         .type = choice,
         .help = "Log lines below this level are dropped.",
         .default_value = "info",
         .choices = {"debug", "info", "warning", "error"}},
        {.name = "max-connections",
         .type = count,
         .help = "HTTP connections that are open at the same time.",
         .default_value = "8192",
         .minimum = 16,
         .maximum = 65536},
        {.name = "body-limit",
         .type = count,
         .help = "Largest HTTP request body, in bytes.",
         .default_value = "4194304",
         .minimum = 1024,
         .maximum = 67108864},
        {.name = "drain-limit",
         .type = time_span,
         .help = "Longest wait of a planned stop for running requests.",
         .default_value = "10m",
         .minimum = 0,
         .maximum = 86'400'000},
    };
}

std::vector<setting> concatenated(std::vector<setting> first,
                                  std::initializer_list<setting> second)
{
    first.insert(first.end(), second);
    return first;
}

} // namespace

std::span<const setting> gate_registry()
{
    static const auto registry = concatenated(
        daemon_settings(),
        {
            {.name = "http-address",
             .type = listener,
             .help = "Where callers and upstreams connect.",
             .required = true},
            {.name = "gates",
             .type = peers,
             .help = "All gates. The entry of this node may be included, so "
                     "that every gate can have the same list."},
            {.name = "control-replicas",
             .type = peers,
             .help = "All control replicas.",
             .required = true},
            {.name = "upstream-key-file",
             .type = file,
             .help = "File with the key that announcements of upstreams must "
                     "carry. It wins over BAMBOOGATE_UPSTREAM_KEY."},
            {.name = "upstream-key",
             .type = setting_type::secret,
             .help = "The key that announcements of upstreams must carry.",
             .source = setting_source::environment_only},
            {.name = "stale-policy",
             .type = choice,
             .help = "New work while the configuration lease has run out: "
                     "refuse it, or serve by the last known preset.",
             .default_value = "refuse",
             .choices = {"refuse", "serve"}},
            {.name = "buddy",
             .type = boolean,
             .help = "Whether tokens are copied to a gate in another failure "
                     "domain before the caller gets them.",
             .default_value = "on"},
            {.name = "silence-min",
             .type = time_span,
             .help = "Shortest pause of a stream that is judged as silence.",
             .default_value = "200ms",
             .minimum = 10,
             .maximum = 60'000},
            {.name = "silence-max",
             .type = time_span,
             .help = "Longest pause of a stream before it is judged as "
                     "silence.",
             .default_value = "2s",
             .minimum = 50,
             .maximum = 600'000},
        });
    return registry;
}

std::span<const setting> control_registry()
{
    static const auto registry = concatenated(
        daemon_settings(),
        {
            {.name = "operator-address",
             .type = listener,
             .help = "Where operators connect by HTTP.",
             .required = true},
            {.name = "peers",
             .type = peers,
             .help = "All control replicas. The entry of this node may be "
                     "included."},
            {.name = "join",
             .type = boolean,
             .help = "Whether a replica with an empty data folder joins an "
                     "existing cluster as a learner, instead of being one "
                     "of its first voters.",
             .default_value = "off"},
            {.name = "data-folder",
             .type = folder,
             .help = "Folder of log and snapshots; created when absent.",
             .required = true},
            {.name = "bootstrap-operator-key-file",
             .type = file,
             .help = "File with a key that is accepted from operators while "
                     "no operator is declared. It wins over "
                     "BAMBOOGATE_BOOTSTRAP_OPERATOR_KEY."},
            {.name = "bootstrap-operator-key",
             .type = setting_type::secret,
             .help = "The key of operators while none is declared.",
             .source = setting_source::environment_only},
            {.name = "election-timeout",
             .type = time_span,
             .help = "Silence of the leader after which an election starts; "
                     "the real wait is drawn from one to two times this.",
             .default_value = "300ms",
             .minimum = 50,
             .maximum = 10'000},
            {.name = "snapshot-interval",
             .type = count,
             .help = "Log entries between snapshots.",
             .default_value = "1000",
             .minimum = 10,
             .maximum = 10'000'000},
        });
    return registry;
}

std::span<const setting> ctl_registry()
{
    static const std::vector<setting> registry = {
        {.name = "control",
         .type = endpoints,
         .help =
             "Operator addresses of the control replicas, tried in turn. With "
             "ids, the leader that a replica names is tried next."},
        {.name = "gate-addresses",
         .type = endpoints,
         .help = "HTTP addresses of the gates, for burn."},
        {.name = "operator-key-file",
         .type = file,
         .help = "File with the operator's key. It wins over "
                 "BAMBOOGATE_OPERATOR_KEY."},
        {.name = "operator-key",
         .type = setting_type::secret,
         .help = "The operator's key.",
         .source = setting_source::environment_only},
        {.name = "timeout",
         .type = time_span,
         .help = "Longest time for a command over all addresses.",
         .default_value = "10s",
         .minimum = 100,
         .maximum = 600'000},
        {.name = "output",
         .type = choice,
         .help = "Form of the output.",
         .default_value = "table",
         .choices = {"table", "json"}},
        {.name = "operation-id",
         .type = identifier,
         .help = "Operation id of a change; give that of an earlier attempt "
                 "to send it again. Drawn at random when absent.",
         .source = setting_source::flag_only},
        {.name = "based-on",
         .type = count,
         .help = "Revision the change is based on; the newest when absent.",
         .source = setting_source::flag_only,
         .maximum = std::numeric_limits<std::uint64_t>::max()},
        {.name = "revision",
         .type = count,
         .help = "Revision to show.",
         .source = setting_source::flag_only,
         .maximum = std::numeric_limits<std::uint64_t>::max()},
        {.name = "html",
         .type = text,
         .help = "File for the burn report as one HTML page.",
         .source = setting_source::flag_only},
        {.name = "dry-run",
         .type = flag,
         .help = "Checks the change and shows it without making it.",
         .source = setting_source::flag_only},
        {.name = "wait",
         .type = flag,
         .help = "Ends only when the change is in force everywhere.",
         .source = setting_source::flag_only},
    };
    return registry;
}

bool is_known_variable(std::string_view variable)
{
    for (const auto registry :
         {gate_registry(), control_registry(), ctl_registry()}) {
        if (std::any_of(registry.begin(), registry.end(),
                        [&](const setting& definition) {
                            return definition.source !=
                                       setting_source::flag_only &&
                                   environment_name(definition) == variable;
                        })) {
            return true;
        }
    }
    return false;
}

} // namespace bamboogate::config
