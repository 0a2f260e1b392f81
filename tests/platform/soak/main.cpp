#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>

#include "soak.hpp"

int main(int argc, char** argv)
{
    using namespace bamboogate;
    try {
        TCLAP::CmdLine command("Runs the platform programs under random faults",
                               ' ', "1");
        TCLAP::ValueArg<unsigned> first("", "first-seed",
                                        "seed of the first run", false, 1,
                                        "number", command);
        TCLAP::ValueArg<unsigned> runs("", "runs", "runs, one seed each", false,
                                       1, "number", command);
        TCLAP::ValueArg<unsigned> seconds("", "fault-seconds",
                                          "time with faults in each run", false,
                                          12, "s", command);
        TCLAP::ValueArg<unsigned> gates("", "gates", "gates", false, 3,
                                        "number", command);
        TCLAP::ValueArg<unsigned> engines("", "engines", "engines", false, 6,
                                          "number", command);
        TCLAP::SwitchArg calm("", "no-faults",
                              "only changes and signals to read the settings; "
                              "every request has to succeed",
                              command);
        TCLAP::ValueArg<unsigned> versions(
            "", "versions",
            "software versions of engines that serve side by side at first; "
            "with more than one, later starts bring others",
            false, 1, "number", command);
        TCLAP::SwitchArg replacing(
            "", "replacements",
            "replace engines in series by new ones; with --no-faults every "
            "request still has to succeed",
            command);
        TCLAP::SwitchArg taking_up(
            "", "take-ups",
            "break streams, kill all gates at once, and let clients name false "
            "attempts when they take streams up; also with --no-faults",
            command);
        TCLAP::SwitchArg restarting(
            "", "restarts",
            "kill all processes just after a back end's departure was "
            "acknowledged; with --no-faults that is the only fault",
            command);
        TCLAP::SwitchArg replacing_core(
            "", "core-replacement",
            "replace all replicas in series, the new ones first; implies "
            "--no-faults",
            command);
        TCLAP::SwitchArg losing_core_disks(
            "", "core-losses",
            "replace replicas while others restart, then kill the core and "
            "lose as many disks as is tolerated; implies --no-faults",
            command);
        TCLAP::ValueArg<unsigned> disk_writers(
            "", "disk-writers",
            "threads that write and sync on the disk of the replicas", false, 0,
            "number", command);
        TCLAP::ValueArg<unsigned> retry_slack(
            "", "retry-slack",
            "repeated requests that all gates together may send in any case",
            false, 150, "number", command);
        TCLAP::ValueArg<unsigned> pressing(
            "", "press",
            "streams a second that callers send in addition; implies "
            "--no-faults, and requests may be refused",
            false, 0, "number", command);
        TCLAP::ValueArg<std::string> folder(
            "", "folder", "where settings, logs and data of the runs go", false,
            (std::filesystem::temp_directory_path() /
             fmt::format("bamboogate-soak-{}", getpid()))
                .string(),
            "path", command);
        TCLAP::ValueArg<std::string> programs(
            "", "programs", "folder of platform-gate and platform-control",
            false, BAMBOOGATE_BINARY_DIR "/bin", "path", command);
        command.parse(argc, argv);
        std::signal(SIGPIPE, SIG_IGN);
        unsigned failed = 0;
        for (unsigned i = 0; i < runs.getValue(); ++i) {
            const unsigned seed = first.getValue() + i;
            const auto run_folder = std::filesystem::path(folder.getValue()) /
                                    fmt::format("seed-{}", seed);
            tests::soak soak(
                {.seed = seed,
                 .gates = gates.getValue(),
                 .engines = engines.getValue(),
                 .fault_time = std::chrono::seconds(seconds.getValue()),
                 .faults = !calm.getValue() && !replacing_core.getValue() &&
                           !losing_core_disks.getValue() &&
                           pressing.getValue() == 0,
                 .versions = std::max(1U, versions.getValue()),
                 .replacements = replacing.getValue(),
                 .take_ups = taking_up.getValue(),
                 .restarts = restarting.getValue(),
                 .core_replacement = replacing_core.getValue(),
                 .core_losses = losing_core_disks.getValue(),
                 .disk_writers = disk_writers.getValue(),
                 .retry_slack = retry_slack.getValue(),
                 .pressing_streams = pressing.getValue(),
                 .programs = programs.getValue(),
                 .folder = run_folder});
            const bool passed = soak.run();
            failed += passed ? 0 : 1;
            if (passed) {
                std::filesystem::remove_all(run_folder);
            }
        }
        fmt::print("{} of {} runs violated a guarantee; their logs are in {}\n",
                   failed, runs.getValue(), folder.getValue());
        return failed == 0 ? 0 : 1;
    } catch (const TCLAP::ArgException& problem) {
        fmt::print(stderr, "{}: {}\n", problem.argId(), problem.error());
        return 2;
    }
}
