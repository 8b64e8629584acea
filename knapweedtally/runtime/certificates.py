"""TLS contexts of a proxy, created from its settings."""

import structlog

from knapweedtally.conf import settings as settings_module
from knapweedtally.utils import tls

_log = structlog.get_logger("process")


class Certificates:
    """Reloadable TLS contexts of a proxy's adapters.

    Attributes:
        callers: context for connections from callers, or None without TLS.
        peer_server: context for links opened by peers, or None without TLS.
        peer_client: context for links opened to peers, or None without TLS.
    """

    def __init__(self, settings: settings_module.Settings) -> None:
        """Load the certificate and key files that the settings name.

        Raises:
            tls.CertificateError: a file can't be loaded.
        """
        self.callers: tls.ReloadableContext | None = None
        self.peer_server: tls.ReloadableContext | None = None
        self.peer_client: tls.ReloadableContext | None = None
        if settings.tls_certificate:
            files = tls.CertificateFiles(
                settings.tls_certificate, settings.tls_key
            )
            self.callers = tls.ReloadableContext(files, True)
        if settings.peer_tls_certificate:
            files = tls.CertificateFiles(
                settings.peer_tls_certificate,
                settings.peer_tls_key,
                settings.peer_tls_authority,
            )
            self.peer_server = tls.ReloadableContext(files, True)
            self.peer_client = tls.ReloadableContext(files, False)

    def reload(self) -> None:
        """Reload all files; a context whose files can't be loaded is kept."""
        for name, context in (
            ("callers", self.callers),
            ("peers, accepted links", self.peer_server),
            ("peers, opened links", self.peer_client),
        ):
            if context is None:
                continue
            try:
                context.reload()
            except tls.CertificateError as error:
                _log.warning(
                    "process: certificate kept", of=name, reason=str(error)
                )
            else:
                _log.info("process: certificate read again", of=name)
