"""Runs clang-tidy over the compilation database in parallel.

A file whose own text, project headers and configuration have not changed
since its last clean run is skipped. Only clean results are cached.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(
    os.environ.get("BAMBOOGATE_TIDY_CACHE",
                   pathlib.Path.home() / ".cache" / "bamboogate-tidy"))
INCLUDE = re.compile(r'#include [<"]([^>"]+)[>"]')
# clang cannot read the precompiled headers of g++.
DROPPED = re.compile(r"-include \S*cmake_pch\S*|-Winvalid-pch|-fpch-\S+")


def collect_includes(path, visited):
    """Adds a file and the project headers it includes, transitively."""
    if path in visited or not path.is_file():
        return
    visited.add(path)
    for name in INCLUDE.findall(path.read_text(errors="replace")):
        for base in (ROOT / "lib/include", path.parent, ROOT / "tests"):
            collect_includes((base / name).resolve(), visited)


def fingerprint(path, command):
    files = set()
    collect_includes(path, files)
    digest = hashlib.sha256((ROOT / ".clang-tidy").read_bytes())
    digest.update(re.sub(re.escape(str(ROOT)), "", command).encode())
    for file in sorted(files):
        digest.update(str(file.relative_to(ROOT)).encode())
        digest.update(file.read_bytes())
    return digest.hexdigest()


def check(path, database):
    result = subprocess.run(
        ["clang-tidy", "-p", str(database), "--quiet", str(path)],
        capture_output=True, text=True, cwd=ROOT)
    return result.returncode, result.stdout + result.stderr


def main():
    build = ROOT / sys.argv[1]
    entries = json.loads((build / "compile_commands.json").read_text())
    database = build / "tidy"
    database.mkdir(exist_ok=True)
    CACHE.mkdir(parents=True, exist_ok=True)
    work = []
    tidy_entries = []
    for entry in entries:
        path = pathlib.Path(entry["file"]).resolve()
        if "cmake_pch" in path.name or build in path.parents:
            continue
        entry["command"] = DROPPED.sub("", entry["command"])
        tidy_entries.append(entry)
        clean_marker = CACHE / fingerprint(path, entry["command"])
        if not clean_marker.exists():
            work.append((path, clean_marker))
    (database / "compile_commands.json").write_text(json.dumps(tidy_entries))
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results = pool.map(lambda w: (w, check(w[0], database)), work)
        for (path, clean_marker), (code, output) in results:
            if code == 0:
                clean_marker.touch()
                continue
            failed += 1
            print(f"--- {path.relative_to(ROOT)}\n{output}")
    print(f"clang-tidy: {len(work)} files checked, {failed} with findings")
    return 1 if failed else 0


sys.exit(main())
