"""Read the credentials for mutual TLS between processes."""

from pathlib import Path

import grpc

from ..exceptions import Fault, SettingsError
from ..settings import TlsSettings


def make_channel_credentials(
    settings: TlsSettings | None,
) -> grpc.ChannelCredentials | None:
    """Return what a client shows, or None when TLS is off."""
    if settings is None:
        return None
    authority, key, certificate = _read_files(settings)
    return grpc.ssl_channel_credentials(authority, key, certificate)


def make_server_credentials(
    settings: TlsSettings | None,
) -> grpc.ServerCredentials | None:
    """Return what a server shows and asks of its clients, or None when TLS is off."""
    if settings is None:
        return None
    authority, key, certificate = _read_files(settings)
    # Clients must show a certificate too: without it any process that reaches the
    # port could announce itself as a target and receive a service's flows.
    return grpc.ssl_server_credentials(
        [(key, certificate)], authority, require_client_auth=True
    )


def _read_files(settings: TlsSettings) -> tuple[bytes, bytes, bytes]:
    names = (settings.authority, settings.key, settings.certificate)
    return tuple(_read_file(name) for name in names)


def _read_file(name: str) -> bytes:
    try:
        return Path(name).read_bytes()
    except OSError as error:
        raise SettingsError(Fault("read TLS file", name, str(error))) from error
