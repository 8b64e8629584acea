"""TLS contexts whose certificates can be reloaded while they are in use."""

import ssl
from typing import NamedTuple


class CertificateFiles(NamedTuple):
    """Paths of the files that a context is created from.

    Attributes:
        certificate: path of the certificate and its chain, in PEM format.
        key: path of the unencrypted private key, in PEM format.
        authority: path of the certificate authorities that the peer's
            certificate is verified against, in PEM format; empty if no peer
            certificate is requested.
    """

    certificate: str
    key: str
    authority: str = ""


class CertificateError(Exception):
    """The files can't be loaded; the message says how to correct them."""


class ReloadableContext:
    """TLS context whose files can be reloaded.

    Open connections keep the certificates that they were established with;
    new ones use those that were loaded last. An authority that is removed from
    its file remains trusted until the process ends.

    Attributes:
        context: the TLS context; reloading keeps the same object.
    """

    def __init__(self, files: CertificateFiles, is_server: bool) -> None:
        """Load the files.

        Args:
            files: paths of the files.
            is_server: whether the context is for accepted connections.

        Raises:
            CertificateError: the files can't be loaded.
        """
        self._files = files
        self._is_server = is_server
        self.context = make_context(files, is_server)

    def reload(self) -> None:
        """Reload the files.

        Raises:
            CertificateError: the files can't be loaded; the context is
                unchanged.
        """
        # Loads the files into a separate context first: a failure halfway would
        # leave the context in use with a certificate and no matching key.
        make_context(self._files, self._is_server)
        _load_files(self.context, self._files)


def make_context(files: CertificateFiles, is_server: bool) -> ssl.SSLContext:
    """Return a new context with the current contents of the files.

    With an authority, the peer must present a certificate issued by it. Host
    names and addresses in the certificate are not verified, because hosts are
    added and removed at run time.

    Raises:
        CertificateError: the files can't be loaded.
    """
    protocol = ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    if files.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    _load_files(context, files)
    return context


def _load_files(context: ssl.SSLContext, files: CertificateFiles) -> None:
    try:
        # An empty password keeps OpenSSL from prompting for one.
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
