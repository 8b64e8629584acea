"""The program as one file: one process, nothing written to disk."""

import os
import pathlib
import subprocess
import sys
import tempfile

import anyio
import psutil
import psycopg
import testtools

from bench import binary
from bench import cluster

REPLACED = "archivo-1"
# Open files that have no place on disk.
_PLACELESS = ("socket:", "pipe:", "anon_inode:", "/memfd:", "/dev/")
_ACCESS_MODES = os.O_WRONLY | os.O_RDWR


def start_binary(
    system: cluster.Cluster, program: pathlib.Path, home: str
) -> psutil.Process:
    """Run the program in place of an entry host, with its settings."""
    pid = system.processes[REPLACED].pid
    words = psutil.Process(pid).cmdline()[3:]
    environment = psutil.Process(pid).environ()
    system.kill(REPLACED)
    process = subprocess.Popen(
        [str(program), *words],
        cwd="/",
        env={
            **{n: v for n, v in environment.items() if "KNAPWEED" in n},
            "PATH": f"{sys.base_prefix}/bin:/usr/bin:/bin",
            "HOME": home,
            "TMPDIR": home,
        },
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    system.processes[REPLACED] = process
    member = system.proxies[REPLACED]
    cluster.wait_for_port(member.host, member.admin_port)
    return psutil.Process(process.pid)


def list_files_open_for_writing(pid: int) -> list[str]:
    """Return the files with a place on disk that a process may write."""
    found = []
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            place = os.readlink(entry)
            info = pathlib.Path(f"/proc/{pid}/fdinfo/{entry.name}").read_text()
        except FileNotFoundError:
            continue  # Closed meanwhile.
        flags = int(info.split("flags:")[1].split()[0], 8)
        if flags & _ACCESS_MODES and not place.startswith(_PLACELESS):
            found.append(place)
    return found


async def log_reading(member: cluster.Member) -> None:
    """Write a reading through a host, with repeats, and read it."""
    options = {"host": member.host, "port": member.port, "dbname": "fog-1"}
    statements = (
        "CREATE TABLE IF NOT EXISTS readings (panel TEXT)",
        "INSERT INTO readings VALUES ('panel-4')",
    )
    with anyio.fail_after(60):
        for statement in statements:
            while not await anyio.to_thread.run_sync(
                run_statement, options, statement
            ):
                await anyio.sleep(0.2)


def run_statement(options: dict[str, object], statement: str) -> bool:
    """Return whether a statement was answered without an error."""
    try:
        with psycopg.connect(
            user="panel",
            autocommit=True,
            **options,  # type: ignore[arg-type]
        ) as connection:
            connection.execute(statement)  # type: ignore[call-overload]
    except psycopg.OperationalError:
        return False
    return True


class BinaryTest(testtools.TestCase):
    def test_one_process_writes_nothing_to_disk(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            program = pathlib.Path(directory, "program", binary.NAME)
            home = pathlib.Path(directory, "home")
            home.mkdir(mode=0o500)
            binary.write_archive(program)
            before = program.read_bytes()
            with cluster.Cluster(cluster.Layout()) as system:
                process = start_binary(system, program, str(home))
                anyio.run(log_reading, system.proxies[REPLACED])
                self.assertEqual([], process.children(recursive=True))
                self.assertEqual([], list_files_open_for_writing(process.pid))
                self.assertEqual(0, process.io_counters().write_bytes)
                process.terminate()
                self.assertEqual(0, system.processes[REPLACED].wait(60))
            self.assertEqual([], list(home.iterdir()))
            self.assertEqual([program], list(program.parent.iterdir()))
            self.assertEqual(before, program.read_bytes())
