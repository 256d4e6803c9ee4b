"""Load the credentials for mutual TLS between processes."""

from pathlib import Path

import grpc

from ..exceptions import Fault, SettingsError
from ..settings import TlsSettings


def make_channel_credentials(
    settings: TlsSettings | None,
) -> grpc.ChannelCredentials | None:
    """Return the credentials of a client, or None if TLS is disabled."""
    if settings is None:
        return None
    authority, key, certificate = _read_files(settings)
    return grpc.ssl_channel_credentials(authority, key, certificate)


def make_server_credentials(
    settings: TlsSettings | None,
) -> grpc.ServerCredentials | None:
    """Return the credentials of a server, or None if TLS is disabled."""
    if settings is None:
        return None
    authority, key, certificate = _read_files(settings)
    # Clients need a certificate too: otherwise any process that reaches the port could
    # announce itself as a target and receive the flows of a service.
    return grpc.ssl_server_credentials(
        [(key, certificate)], authority, require_client_auth=True
    )


def _read_files(settings: TlsSettings) -> tuple[bytes, bytes, bytes]:
    paths = (settings.authority, settings.key, settings.certificate)
    return tuple(_read_file(path) for path in paths)


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(Fault("read TLS file", path, str(error))) from error
