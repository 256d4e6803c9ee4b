"""Fetch the newest configuration, piece by piece, from whoever holds it."""

from zlib import crc32

import msgspec

from .messages import Fetch, Piece

# What fits a packet of the usual size with its head.
PIECE_BYTES = 1_200
# Pieces sent for one request, as many as a thin link takes at once.
WINDOW = 8
# How long a provider may be silent before another is asked.
SILENT_SECONDS = 0.25


class _Transfer(msgspec.Struct):
    version: int
    provider: str
    deadline: float
    count: int = 0
    checksum: int = 0
    pieces: dict[int, bytes] = msgspec.field(default_factory=dict)


class Download:
    """Own the transfer of one node; it holds version ``held`` already."""

    def __init__(self) -> None:
        self.held = 0
        self._offers: dict[str, int] = {}
        self._transfer: _Transfer | None = None

    def offer(self, address: str, version: int, now: float) -> tuple[str, Fetch] | None:
        """Take the word that a node holds a version; return what to ask whom."""
        if version <= self.held:
            return None
        self._offers[address] = version
        transfer = self._transfer
        if transfer is not None and transfer.version >= version:
            return None
        return self._start(address, version, now)

    def take(
        self, address: str, piece: Piece, now: float
    ) -> tuple[bytes | None, tuple[str, Fetch] | None]:
        """Take a piece; return the whole when it is there, and what to ask next."""
        transfer = self._transfer
        if transfer is None or piece.version != transfer.version:
            return None, None
        transfer.provider = address
        transfer.count, transfer.checksum = piece.count, piece.checksum
        transfer.deadline = now + SILENT_SECONDS
        transfer.pieces[piece.index] = piece.data
        if len(transfer.pieces) == transfer.count:
            return self._finish(transfer), None
        last_of_window = piece.index % WINDOW == WINDOW - 1
        if last_of_window or piece.index == transfer.count - 1:
            return None, (address, Fetch(transfer.version, _first_missing(transfer)))
        return None, None

    def sweep(self, now: float) -> tuple[str, Fetch] | None:
        """Ask again, somebody else, when the provider is silent."""
        transfer = self._transfer
        if transfer is None or now < transfer.deadline:
            return None
        able = [
            address
            for address, version in self._offers.items()
            if version >= transfer.version
        ]
        if not able:
            self._transfer = None
            return None
        index = able.index(transfer.provider) if transfer.provider in able else -1
        transfer.provider = able[(index + 1) % len(able)]
        transfer.deadline = now + SILENT_SECONDS
        return transfer.provider, Fetch(transfer.version, _first_missing(transfer))

    def hold(self, version: int) -> None:
        """Note that a version is in force here."""
        self.held = max(self.held, version)
        self._offers = {
            address: offered
            for address, offered in self._offers.items()
            if offered > self.held
        }

    def _start(self, address: str, version: int, now: float) -> tuple[str, Fetch]:
        self._transfer = _Transfer(version, address, now + SILENT_SECONDS)
        return address, Fetch(version, 0)

    def _finish(self, transfer: _Transfer) -> bytes | None:
        whole = b"".join(transfer.pieces[index] for index in range(transfer.count))
        self._transfer = None
        if crc32(whole) != transfer.checksum:
            return None
        return whole


def make_pieces(version: int, whole: bytes, first: int) -> list[Piece]:
    """Return the window of pieces from ``first`` on."""
    count = max(1, -(-len(whole) // PIECE_BYTES))
    checksum = crc32(whole)
    end = min(count, (first // WINDOW + 1) * WINDOW)
    return [
        Piece(
            version,
            index,
            count,
            checksum,
            whole[index * PIECE_BYTES : (index + 1) * PIECE_BYTES],
        )
        for index in range(first, end)
    ]


def _first_missing(transfer: _Transfer) -> int:
    index = 0
    while index in transfer.pieces:
        index += 1
    return index
