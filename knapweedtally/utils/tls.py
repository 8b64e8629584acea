"""TLS contexts whose certificates can be read again while in use."""

import ssl
from typing import NamedTuple


class CertificateFiles(NamedTuple):
    """Name the files that a context is made of.

    Attributes:
        certificate: certificate and its chain, PEM.
        key: private key, PEM.
        authority: authorities that the other side's certificate is checked
            against, PEM; empty when none is asked for.
    """

    certificate: str
    key: str
    authority: str = ""


class CertificateError(Exception):
    """Report files that no context can be made of; names the remedy."""


class ReloadableContext:
    """Hold a context and read its files anew on demand.

    Connections that are open keep what they began with; new ones use what
    was read last. An authority that was taken out of its file stays trusted
    until the process ends.

    Attributes:
        context: the context; the same object for its whole life.
    """

    def __init__(self, files: CertificateFiles, is_server: bool) -> None:
        """Read the files.

        Args:
            files: where to read.
            is_server: whether the context accepts connections.

        Raises:
            CertificateError: the files can't be used.
        """
        self._files = files
        self._is_server = is_server
        self.context = make_context(files, is_server)

    def reload(self) -> None:
        """Read the files again.

        Raises:
            CertificateError: the files can't be used; nothing has changed.
        """
        # A failure half-way would leave a certificate without its key.
        make_context(self._files, self._is_server)
        _load(self.context, self._files)


def make_context(files: CertificateFiles, is_server: bool) -> ssl.SSLContext:
    """Return a context of the files as they are now.

    With an authority, the other side has to show a certificate of it; names
    and addresses in it are not compared, since hosts come and go.

    Raises:
        CertificateError: the files can't be used.
    """
    protocol = ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    if files.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    _load(context, files)
    return context


def _load(context: ssl.SSLContext, files: CertificateFiles) -> None:
    try:
        # An empty password keeps the library from asking for one.
        context.load_cert_chain(files.certificate, files.key, password="")
    except (OSError, ValueError) as error:
        raise CertificateError(
            f"{files.certificate!r} with key {files.key!r}: {error}; name a "
            "PEM certificate and its unencrypted key"
        ) from error
    if not files.authority:
        return
    try:
        context.load_verify_locations(files.authority)
    except (OSError, ValueError) as error:
        raise CertificateError(
            f"{files.authority!r}: {error}; name a file of PEM certificates"
        ) from error
