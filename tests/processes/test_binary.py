"""The single-file program runs as one process and writes nothing to disk."""

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

REPLACED_HOST = "archivo-1"
# Path prefixes of open files that aren't on disk.
_NON_DISK_PREFIXES = ("socket:", "pipe:", "anon_inode:", "/memfd:", "/dev/")
_WRITE_FLAGS = os.O_WRONLY | os.O_RDWR


def start_binary(
    system: cluster.Cluster, program: pathlib.Path, home: str
) -> psutil.Process:
    """Replace an entry host by the program, run with the host's settings."""
    pid = system.processes[REPLACED_HOST].pid
    arguments = psutil.Process(pid).cmdline()[3:]
    environment = psutil.Process(pid).environ()
    system.kill_process(REPLACED_HOST)
    process = subprocess.Popen(
        [str(program), *arguments],
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
    system.processes[REPLACED_HOST] = process
    member = system.proxies[REPLACED_HOST]
    cluster.wait_for_port(member.host, member.admin_port)
    return psutil.Process(process.pid)


def list_files_open_for_writing(pid: int) -> list[str]:
    """Return the files on disk that a process has open for writing."""
    found = []
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            path = os.readlink(entry)
            info = pathlib.Path(f"/proc/{pid}/fdinfo/{entry.name}").read_text()
        except FileNotFoundError:
            continue  # Closed in the meantime.
        flags = int(info.split("flags:")[1].split()[0], 8)
        if flags & _WRITE_FLAGS and not path.startswith(_NON_DISK_PREFIXES):
            found.append(path)
    return found


async def write_reading(member: cluster.Member) -> None:
    """Create a table and write a reading, retrying each statement on error."""
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
                anyio.run(write_reading, system.proxies[REPLACED_HOST])
                self.assertEqual([], process.children(recursive=True))
                self.assertEqual([], list_files_open_for_writing(process.pid))
                self.assertEqual(0, process.io_counters().write_bytes)
                process.terminate()
                self.assertEqual(0, system.processes[REPLACED_HOST].wait(60))
            self.assertEqual([], list(home.iterdir()))
            self.assertEqual([program], list(program.parent.iterdir()))
            self.assertEqual(before, program.read_bytes())
