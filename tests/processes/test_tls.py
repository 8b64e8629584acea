"""TLS for callers and between hosts, with reloads of certificates and keys."""

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

TIMEOUT_S = 60.0
SSL_REQUEST = struct.pack("!II", 8, 80877103)
INVALID_PEM = "no certificate\n"


class CertificateFiles:
    """PEM files of the hosts' certificates, keys and authorities."""

    def __init__(self, directory: str, addresses: list[str]) -> None:
        self.directory = pathlib.Path(directory)
        self.addresses = addresses
        self.root_count = 0
        self.peer_authority = trustme.CA()
        self.peer_authority.cert_pem.write_to_path(self.get_path("peer-ca"))
        self.write_caller_files()
        self.write_peer_files()

    def get_path(self, name: str) -> str:
        return str(self.directory / f"{name}.pem")

    def write_caller_files(self) -> str:
        """Write a certificate of a new authority; return the root's path."""
        authority = trustme.CA()
        self.root_count += 1
        root = self.get_path(f"root-{self.root_count}")
        authority.cert_pem.write_to_path(root)
        self._write_certificate("caller", authority.issue_cert(*self.addresses))
        return root

    def write_peer_files(self) -> str:
        """Write a new peer certificate; return its SHA-256 fingerprint."""
        certificate = self.peer_authority.issue_cert("peers.test")
        self._write_certificate("peer", certificate)
        der = ssl.PEM_cert_to_DER_cert(
            certificate.cert_chain_pems[0].bytes().decode()
        )
        return hashlib.sha256(der).hexdigest()

    def make_environment(self) -> dict[str, str]:
        return {
            "KNAPWEEDTALLY_TLS_CERTIFICATE": self.get_path("caller"),
            "KNAPWEEDTALLY_TLS_KEY": self.get_path("caller-key"),
            "KNAPWEEDTALLY_PEER_TLS_CERTIFICATE": self.get_path("peer"),
            "KNAPWEEDTALLY_PEER_TLS_KEY": self.get_path("peer-key"),
            "KNAPWEEDTALLY_PEER_TLS_AUTHORITY": self.get_path("peer-ca"),
        }

    def _write_certificate(
        self, name: str, certificate: trustme.LeafCert
    ) -> None:
        chain = b"".join(pem.bytes() for pem in certificate.cert_chain_pems)
        pathlib.Path(self.get_path(name)).write_bytes(chain)
        certificate.private_key_pem.write_to_path(self.get_path(f"{name}-key"))


def connect(
    member: cluster.Member, root: str, mode: str = "verify-full"
) -> psycopg.Connection[Any]:
    """Connect with an unmodified client, which checks the certificate."""
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
    """Return the fingerprint of the certificate on a host's peer port."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    address = (member.host, member.peer_port)
    with (
        socket.create_connection(address, timeout=TIMEOUT_S) as plain_socket,
        context.wrap_socket(plain_socket) as tls_socket,
    ):
        certificate = tls_socket.getpeercert(binary_form=True)
    assert certificate
    return hashlib.sha256(certificate).hexdigest()


async def wait_until(is_met: Any) -> None:
    """Poll until a condition is met, or fail after ``TIMEOUT_S``."""
    with anyio.fail_after(TIMEOUT_S):
        while not await anyio.to_thread.run_sync(is_met):
            await anyio.sleep(0.1)


def count_live_hosts(system: cluster.Cluster, member: cluster.Member) -> int:
    """Return the number of hosts that a host reports as live."""
    bundle = anyio.run(cluster.fetch_admin_json, system, member, "/v1/bundle")
    return sum(host["status"] == "live" for host in bundle["hosts"])


class TlsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        addresses = [f"127.0.{centre}.1" for centre in (1, 2, 3)]
        self.files = CertificateFiles(directory.name, addresses)
        self.root = self.files.write_caller_files()
        layout = scenario.LAYOUT._replace(
            host_environment=self.files.make_environment()
        )
        self.system = self.start_system(cluster.Cluster(layout))
        self.member = next(iter(self.system.proxies.values()))

    def start_system(self, system: cluster.Cluster) -> cluster.Cluster:
        system.__enter__()
        self.addCleanup(system.stop)
        return system

    def reload_certificates(self) -> None:
        self.system.send_signal(self.member.name, signal.SIGHUP)

    def wait_until(self, is_met: Any) -> None:
        anyio.run(wait_until, is_met)

    def test_callers_are_served_with_and_without_tls(self) -> None:
        self.wait_until(lambda: can_connect(self.member, self.root))
        with connect(self.member, self.root) as connection:
            self.assertTrue(connection.pgconn.ssl_in_use)
            self.wait_until(lambda: self.can_query(connection))
        with connect(self.member, self.root, "disable") as connection:
            self.assertFalse(connection.pgconn.ssl_in_use)
            connection.execute("SELECT 1")
        other = self.files.get_path("peer-ca")
        self.assertFalse(can_connect(self.member, other))

    def test_bytes_before_the_handshake_are_refused(self) -> None:
        address = (self.member.host, self.member.port)
        with socket.create_connection(
            address, timeout=TIMEOUT_S
        ) as plain_socket:
            plain_socket.sendall(SSL_REQUEST + b"\0\0\0\x09\0\x03\0\0\0")
            answer = plain_socket.recv(1000)
        self.assertEqual(b"E", answer[:1])
        self.assertIn(
            errors.ERROR_ANSWERS[errors.ErrorKind.MALFORMED].sqlstate.encode(),
            answer,
        )
        self.assertTrue(can_connect(self.member, self.root))

    def test_new_connections_use_a_new_key(self) -> None:
        with connect(self.member, self.root) as old:
            self.wait_until(lambda: self.can_query(old))
            new_root = self.files.write_caller_files()
            self.assertFalse(can_connect(self.member, new_root))
            self.reload_certificates()
            self.wait_until(lambda: can_connect(self.member, new_root))
            self.assertFalse(can_connect(self.member, self.root))
            self.assertTrue(self.can_query(old))
            pathlib.Path(self.files.get_path("caller")).write_text(INVALID_PEM)
            fingerprint = self.files.write_peer_files()
            self.reload_certificates()
            # Peer files are read after those for callers, so the invalid
            # certificate was read by then.
            self.wait_until(
                lambda: fetch_peer_fingerprint(self.member) == fingerprint
            )
            self.assertTrue(can_connect(self.member, new_root))
            self.assertTrue(self.can_query(old))

    def test_hosts_accept_peers_only_over_mutual_tls(self) -> None:
        self.wait_until(lambda: count_live_hosts(self.system, self.member) == 3)
        address = (self.member.host, self.member.peer_port)
        with socket.create_connection(
            address, timeout=TIMEOUT_S
        ) as plain_socket:
            answer = self.send_request(plain_socket, b"GET / HTTP/1.1\r\n\r\n")
            self.assertNotIn(b"HTTP", answer)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.load_verify_locations(self.files.get_path("peer-ca"))
        for has_certificate in (False, True):
            if has_certificate:
                context.load_cert_chain(
                    self.files.get_path("peer"), self.files.get_path("peer-key")
                )
            with (
                socket.create_connection(
                    address, timeout=TIMEOUT_S
                ) as plain_socket,
                context.wrap_socket(plain_socket) as tls_socket,
            ):
                answer = self.send_request(
                    tls_socket, b"GET / HTTP/1.1\r\n\r\n"
                )
            self.assertEqual(has_certificate, answer.startswith(b"HTTP"))

    def send_request(self, connection: socket.socket, request: bytes) -> bytes:
        """Send a request; return the answer, or nothing if it is refused."""
        try:
            connection.sendall(request)
            return connection.recv(1000)
        except (ConnectionError, ssl.SSLError):
            return b""

    def can_query(self, connection: psycopg.Connection[Any]) -> bool:
        try:
            connection.execute("SELECT 1")
        except psycopg.errors.OperationalError:
            return False
        return True
