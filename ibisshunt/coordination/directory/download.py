"""Download the newest configuration in chunks from any node that has it."""

from zlib import crc32

import msgspec

from .messages import Chunk, FetchChunks

# Fits in a packet of the usual size together with its header.
CHUNK_BYTES = 1_200
# Chunks sent for one request: as many as a low-bandwidth link takes at once.
WINDOW_CHUNKS = 8
# How long a source may be silent before another one is used.
SOURCE_TIMEOUT_SECONDS = 0.25


class _Transfer(msgspec.Struct):
    version: int
    source: str
    deadline: float
    chunk_count: int = 0
    checksum: int = 0
    chunks: dict[int, bytes] = msgspec.field(default_factory=dict)


class Download:
    """Manage the downloads of one node, on which ``active_version`` is active."""

    def __init__(self) -> None:
        self.active_version = 0
        self._offered_versions: dict[str, int] = {}
        self._transfer: _Transfer | None = None

    def handle_offer(
        self, address: str, version: int, now: float
    ) -> tuple[str, FetchChunks] | None:
        """Handle the offer of a version; return the request to send, if any."""
        if version <= self.active_version:
            return None
        self._offered_versions[address] = version
        transfer = self._transfer
        if transfer is not None and transfer.version >= version:
            return None
        return self._start(address, version, now)

    def handle_chunk(
        self, address: str, chunk: Chunk, now: float
    ) -> tuple[bytes | None, tuple[str, FetchChunks] | None]:
        """Add a chunk; return the whole content once complete, and the next request."""
        transfer = self._transfer
        if transfer is None or chunk.version != transfer.version:
            return None, None
        transfer.source = address
        transfer.chunk_count, transfer.checksum = chunk.count, chunk.checksum
        transfer.deadline = now + SOURCE_TIMEOUT_SECONDS
        transfer.chunks[chunk.index] = chunk.data
        if len(transfer.chunks) == transfer.chunk_count:
            return self._finish(transfer), None
        is_last_of_window = chunk.index % WINDOW_CHUNKS == WINDOW_CHUNKS - 1
        if is_last_of_window or chunk.index == transfer.chunk_count - 1:
            return None, (
                address,
                FetchChunks(transfer.version, _find_first_missing(transfer)),
            )
        return None, None

    def retry(self, now: float) -> tuple[str, FetchChunks] | None:
        """Request missing chunks from another source if the current one is silent."""
        transfer = self._transfer
        if transfer is None or now < transfer.deadline:
            return None
        sources = [
            address
            for address, version in self._offered_versions.items()
            if version >= transfer.version
        ]
        if not sources:
            self._transfer = None
            return None
        index = sources.index(transfer.source) if transfer.source in sources else -1
        transfer.source = sources[(index + 1) % len(sources)]
        transfer.deadline = now + SOURCE_TIMEOUT_SECONDS
        return transfer.source, FetchChunks(
            transfer.version, _find_first_missing(transfer)
        )

    def mark_active(self, version: int) -> None:
        """Record that a version is active here."""
        self.active_version = max(self.active_version, version)
        self._offered_versions = {
            address: offered
            for address, offered in self._offered_versions.items()
            if offered > self.active_version
        }

    def _start(self, address: str, version: int, now: float) -> tuple[str, FetchChunks]:
        self._transfer = _Transfer(version, address, now + SOURCE_TIMEOUT_SECONDS)
        return address, FetchChunks(version, 0)

    def _finish(self, transfer: _Transfer) -> bytes | None:
        content = b"".join(
            transfer.chunks[index] for index in range(transfer.chunk_count)
        )
        self._transfer = None
        if crc32(content) != transfer.checksum:
            return None
        return content


def make_chunks(version: int, content: bytes, first_chunk: int) -> list[Chunk]:
    """Return the window of chunks from ``first_chunk`` on."""
    count = max(1, -(-len(content) // CHUNK_BYTES))
    checksum = crc32(content)
    end = min(count, (first_chunk // WINDOW_CHUNKS + 1) * WINDOW_CHUNKS)
    return [
        Chunk(
            version,
            index,
            count,
            checksum,
            content[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES],
        )
        for index in range(first_chunk, end)
    ]


def _find_first_missing(transfer: _Transfer) -> int:
    index = 0
    while index in transfer.chunks:
        index += 1
    return index
