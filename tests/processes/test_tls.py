"""TLS towards callers and between hosts, with reload of the keys."""

import hashlib
import pathlib
import signal
import socket
import ssl
import struct
import tempfile
from typing import Any

import anyio
import psycopg
import testtools
import trustme

from bench import cluster
from knapweedtally.core import errors
from tests.processes import scenario

LIMIT_S = 60.0
SSL_REQUEST = struct.pack("!II", 8, 80877103)
GARBAGE = "no certificate\n"


class Files:
    """Hold the PEM files that the hosts read."""

    def __init__(self, directory: str, addresses: list[str]) -> None:
        self.directory = pathlib.Path(directory)
        self.addresses = addresses
        self.roots = 0
        self.peer_authority = trustme.CA()
        self.peer_authority.cert_pem.write_to_path(self.get("peer-ca"))
        self.write_caller_files()
        self.write_peer_files()

    def get(self, name: str) -> str:
        return str(self.directory / f"{name}.pem")

    def write_caller_files(self) -> str:
        """Write a certificate of a new authority; return its file."""
        authority = trustme.CA()
        self.roots += 1
        root = self.get(f"root-{self.roots}")
        authority.cert_pem.write_to_path(root)
        self._write("caller", authority.issue_cert(*self.addresses))
        return root

    def write_peer_files(self) -> str:
        """Write a new certificate for peers; return its fingerprint."""
        made = self.peer_authority.issue_cert("peers.test")
        self._write("peer", made)
        der = ssl.PEM_cert_to_DER_cert(made.cert_chain_pems[0].bytes().decode())
        return hashlib.sha256(der).hexdigest()

    def make_environment(self) -> dict[str, str]:
        return {
            "KNAPWEEDTALLY_TLS_CERTIFICATE": self.get("caller"),
            "KNAPWEEDTALLY_TLS_KEY": self.get("caller-key"),
            "KNAPWEEDTALLY_PEER_TLS_CERTIFICATE": self.get("peer"),
            "KNAPWEEDTALLY_PEER_TLS_KEY": self.get("peer-key"),
            "KNAPWEEDTALLY_PEER_TLS_AUTHORITY": self.get("peer-ca"),
        }

    def _write(self, name: str, made: trustme.LeafCert) -> None:
        chain = b"".join(pem.bytes() for pem in made.cert_chain_pems)
        pathlib.Path(self.get(name)).write_bytes(chain)
        made.private_key_pem.write_to_path(self.get(f"{name}-key"))


def connect(
    member: cluster.Member, root: str, mode: str = "verify-full"
) -> psycopg.Connection[Any]:
    """Connect as an unmodified client that checks the certificate."""
    return psycopg.connect(
        host=member.host,
        port=member.port,
        dbname=scenario.GROUP,
        user="panel",
        sslmode=mode,
        sslrootcert=root,
        autocommit=True,
    )


def can_connect(member: cluster.Member, root: str) -> bool:
    try:
        connect(member, root).close()
    except psycopg.OperationalError:
        return False
    return True


def fetch_peer_fingerprint(member: cluster.Member) -> str:
    """Return the fingerprint of what a host shows on its peer port."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    address = (member.host, member.peer_port)
    with (
        socket.create_connection(address, timeout=LIMIT_S) as plain,
        context.wrap_socket(plain) as secured,
    ):
        shown = secured.getpeercert(binary_form=True)
    assert shown
    return hashlib.sha256(shown).hexdigest()


async def wait_until(is_met: Any) -> None:
    """Wait for a condition; fail if it never holds."""
    with anyio.fail_after(LIMIT_S):
        while not await anyio.to_thread.run_sync(is_met):
            await anyio.sleep(0.1)


def count_links(system: cluster.Cluster, member: cluster.Member) -> int:
    """Return how many hosts a host sees as live."""
    shown = anyio.run(cluster.fetch_json, system, member, "/v1/bundle")
    return sum(host["status"] == "live" for host in shown["hosts"])


class TlsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        addresses = [f"127.0.{centre}.1" for centre in (1, 2, 3)]
        self.files = Files(directory.name, addresses)
        self.root = self.files.write_caller_files()
        layout = scenario.LAYOUT._replace(
            host_environment=self.files.make_environment()
        )
        self.system = self.enter(cluster.Cluster(layout))
        self.member = next(iter(self.system.proxies.values()))

    def enter(self, system: cluster.Cluster) -> cluster.Cluster:
        system.__enter__()
        self.addCleanup(system.stop)
        return system

    def reload(self) -> None:
        self.system.send_signal(self.member.name, signal.SIGHUP)

    def wait_until(self, is_met: Any) -> None:
        anyio.run(wait_until, is_met)

    def test_callers_are_served_with_and_without_tls(self) -> None:
        self.wait_until(lambda: can_connect(self.member, self.root))
        with connect(self.member, self.root) as connection:
            self.assertTrue(connection.pgconn.ssl_in_use)
            self.wait_until(lambda: self.is_answered(connection))
        with connect(self.member, self.root, "disable") as connection:
            self.assertFalse(connection.pgconn.ssl_in_use)
            connection.execute("SELECT 1")
        other = self.files.get("peer-ca")
        self.assertFalse(can_connect(self.member, other))

    def test_bytes_before_the_handshake_are_refused(self) -> None:
        address = (self.member.host, self.member.port)
        with socket.create_connection(address, timeout=LIMIT_S) as plain:
            plain.sendall(SSL_REQUEST + b"\0\0\0\x09\0\x03\0\0\0")
            answer = plain.recv(1000)
        self.assertEqual(b"E", answer[:1])
        self.assertIn(
            errors.ANSWERS[errors.ErrorKind.MALFORMED].sqlstate.encode(),
            answer,
        )
        self.assertTrue(can_connect(self.member, self.root))

    def test_new_connections_use_a_new_key(self) -> None:
        with connect(self.member, self.root) as old:
            self.wait_until(lambda: self.is_answered(old))
            new_root = self.files.write_caller_files()
            self.assertFalse(can_connect(self.member, new_root))
            self.reload()
            self.wait_until(lambda: can_connect(self.member, new_root))
            self.assertFalse(can_connect(self.member, self.root))
            self.assertTrue(self.is_answered(old))
            pathlib.Path(self.files.get("caller")).write_text(GARBAGE)
            fingerprint = self.files.write_peer_files()
            self.reload()
            # The files for peers are read after those for callers.
            self.wait_until(
                lambda: fetch_peer_fingerprint(self.member) == fingerprint
            )
            self.assertTrue(can_connect(self.member, new_root))
            self.assertTrue(self.is_answered(old))

    def test_hosts_link_with_tls_only(self) -> None:
        self.wait_until(lambda: count_links(self.system, self.member) == 3)
        address = (self.member.host, self.member.peer_port)
        with socket.create_connection(address, timeout=LIMIT_S) as plain:
            answer = self.receive(plain, b"GET / HTTP/1.1\r\n\r\n")
            self.assertNotIn(b"HTTP", answer)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.load_verify_locations(self.files.get("peer-ca"))
        for is_known in (False, True):
            if is_known:
                context.load_cert_chain(
                    self.files.get("peer"), self.files.get("peer-key")
                )
            with (
                socket.create_connection(address, timeout=LIMIT_S) as plain,
                context.wrap_socket(plain) as secured,
            ):
                answer = self.receive(secured, b"GET / HTTP/1.1\r\n\r\n")
            self.assertEqual(is_known, answer.startswith(b"HTTP"))

    def receive(self, connection: socket.socket, request: bytes) -> bytes:
        """Return the answer to a request; empty when it is refused."""
        try:
            connection.sendall(request)
            return connection.recv(1000)
        except (ConnectionError, ssl.SSLError):
            return b""

    def is_answered(self, connection: psycopg.Connection[Any]) -> bool:
        try:
            connection.execute("SELECT 1")
        except psycopg.errors.OperationalError:
            return False
        return True
